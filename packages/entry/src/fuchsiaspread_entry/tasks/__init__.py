"""Tasks of the daemon; each owns its sockets and its state and has one mailbox."""
