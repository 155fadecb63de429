"""Logs: short sentences with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str = "INFO") -> None:
    """Send log lines to standard error, one a line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix_event,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level)),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )


def _prefix_event(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    event["event"] = f"{event.pop('part', 'egretford')}: {event['event']}"
    return event


def make_logger(part: str, **fields: Any) -> Any:
    """Return a logger whose lines start with the part's name."""
    return structlog.get_logger().bind(part=part, **fields)
