"""Stand-ins for what surrounds the load balancer, for tests and the demo."""
