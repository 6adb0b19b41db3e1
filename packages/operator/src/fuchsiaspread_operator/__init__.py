"""Command line for the operators of a layer-4 load balancer."""

from .main import main

__all__ = ["main"]
