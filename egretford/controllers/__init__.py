"""In-memory state of an entry and the background tasks that maintain it."""
