"""Coordination parts of a layer-4 load balancer, free of input and output."""
