"""The `egretford` command: daemons and operators' commands."""
