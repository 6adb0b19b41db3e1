"""Benchmarks of the load balancer against baselines."""
