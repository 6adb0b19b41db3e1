"""Reading of files, platform and entry VMs; no decisions."""
