"""Measurements of the load balancer against baselines."""
