"""Stand-ins for the systems around the load balancer, for tests and the demo."""
