"""Generated code of the messages between entry VMs."""
