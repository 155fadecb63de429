"""Access to the platform: object API and instance list."""
