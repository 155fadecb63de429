"""Decoder for the benchmark's report of one day of traffic."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from egretford.errors import InputError, Problem


@frozen
class LossRow:
    """How much one component of the score, or one price, reduced the day's worth.

    `amount` is the share reached in that component, or the quantity that was priced.
    """

    name: str
    lost: float
    amount: float


@frozen
class Window:
    """Counts of programs that started in one interval; `start` in seconds of traffic.

    `expected` is the number of programs that had to be served, `share` the interval's score.
    """

    start: float
    expected: int
    on_time: int
    late: int
    refused: int
    failed: int
    share: float


@frozen
class Disruption:
    """Planned maintenance or a fault; `start` and `end` in seconds of traffic."""

    start: float
    end: float
    kind: str
    what: str


@frozen
class DayReport:
    """One day as measured by the benchmark; `violations` maps each rule to its violation count."""

    worth: float
    losses: tuple[LossRow, ...]
    windows: tuple[Window, ...]
    disruptions: tuple[Disruption, ...]
    violations: dict[str, int]


def decode_report(document: Any) -> DayReport:
    """Decode a report; raises InputError if a field that is used is missing or malformed."""
    try:
        return DayReport(
            worth=float(document["G"]),
            losses=tuple(_decode_losses(document)),
            windows=tuple(_decode_window(item) for item in document["windows"]),
            disruptions=tuple(
                Disruption(item["at_s"], item["to_s"], item["kind"], item["what"])
                for item in document["events"]
            ),
            violations=dict(document["breaks"]),
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
        expected=item["n"] - item["not_owed"],
        on_time=item["in_aim"],
        late=item["late"],
        refused=item["refused"],
        failed=item["failed"],
        share=item["worth"],
    )
