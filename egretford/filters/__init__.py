"""The chain of checks that each request passes before it reaches its owner."""
