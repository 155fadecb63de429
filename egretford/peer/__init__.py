"""Messages and transports between instances."""
