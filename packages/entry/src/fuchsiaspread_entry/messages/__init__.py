"""Generated code for the messages between entry VMs."""
