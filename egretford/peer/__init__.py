"""Messages and sockets between entries."""
