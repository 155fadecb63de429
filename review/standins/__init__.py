"""A small deployment of separate processes, and the stand-ins around it."""
