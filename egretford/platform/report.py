"""A day's report of the users' bench, decoded."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from egretford.errors import InputError, Problem


@frozen
class LossRow:
    """What one part of the score, or one price, took off the day's worth."""

    name: str
    lost: float
    amount: float


@frozen
class Window:
    """Programs that began in one span of the day; times in seconds of traffic."""

    start: float
    owed: int
    on_time: int
    late: int
    refused: int
    failed: int
    share: float


@frozen
class Disruption:
    """Planned work or a fault; times in seconds of traffic."""

    start: float
    end: float
    kind: str
    what: str


@frozen
class DayReport:
    """One day as the bench saw it; `broken` maps rules to how often they were broken."""

    worth: float
    losses: tuple[LossRow, ...]
    windows: tuple[Window, ...]
    disruptions: tuple[Disruption, ...]
    broken: dict[str, int]


def decode_report(document: Any) -> DayReport:
    """Decode a report; raises InputError where a part that is used cannot be read."""
    try:
        return DayReport(
            worth=float(document["G"]),
            losses=tuple(_decode_losses(document)),
            windows=tuple(_decode_window(item) for item in document["windows"]),
            disruptions=tuple(
                Disruption(item["at_s"], item["to_s"], item["kind"], item["what"])
                for item in document["events"]
            ),
            broken=dict(document["breaks"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        problem = Problem("report", f"cannot be read: {error!r}", "give a file of --report")
        raise InputError([problem]) from error


def _decode_losses(document: dict[str, Any]) -> list[LossRow]:
    parts = [
        LossRow(name, weight * (1.0 - share), share) for name, weight, share in document["parts"]
    ]
    return parts + [LossRow(name, cost, amount) for name, amount, cost in document["prices"]]


def _decode_window(item: dict[str, Any]) -> Window:
    return Window(
        start=float(item["name"]),
        owed=item["n"] - item["not_owed"],
        on_time=item["in_aim"],
        late=item["late"],
        refused=item["refused"],
        failed=item["failed"],
        share=item["worth"],
    )
