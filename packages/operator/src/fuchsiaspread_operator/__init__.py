"""Operator command line of a layer-4 load balancer."""

from .main import main

__all__ = ["main"]
