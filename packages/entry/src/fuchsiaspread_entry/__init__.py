"""Daemon of a layer-4 load balancer."""
