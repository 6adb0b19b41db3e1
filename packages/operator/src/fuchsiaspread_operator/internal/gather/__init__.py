"""Input only: reads files, logs, the platform and the entry VMs."""
