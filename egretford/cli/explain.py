"""Collects the log lines of one request, and the state it depended on, from several logs."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import Factory, define, frozen

_FIELD = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# The latest line of each of these events, per instance and subject, gives the state that the
# instance assumed when it handled the request.
STATE_EVENTS = (
    "gateway: put a configuration in force",
    "keepers: learnt of a view",
    "keepers: lost a keeper",
    "keepers: a keeper answers again",
    "store: the store does not answer",
    "store: the store answers again",
    "workers: learnt of a worker",
    "workers: a worker is leaving",
    "workers: a worker's entry is gone",
    "workers: a worker failed",
    "workers: another worker has the address",
    "entry: stopping: not ready any more",
)
_SUBJECT_FIELDS = ("worker", "keeper")


@frozen
class LogLine:
    """One log line; `time` is an ISO timestamp in UTC, so that lines sort by its text."""

    time: str
    event: str
    fields: dict[str, str]

    @property
    def instance(self) -> str:
        """Name of the instance that wrote the line."""
        return self.fields.get("instance", "")

    @property
    def subject(self) -> str:
        """Name of the worker or keeper that the line concerns; empty if none."""
        return next((self.fields[key] for key in _SUBJECT_FIELDS if key in self.fields), "")

    def __str__(self) -> str:
        shown = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in ("timestamp", "event", "level", "request", "instance")
        )
        return f"{self.time}  {self.instance}  {self.event}  {shown}".rstrip()


@define
class Explanation:
    """The lines of a request, and those that show the state its instances assumed."""

    lines: list[LogLine] = Factory(list)
    state_lines: list[LogLine] = Factory(list)

    def render(self) -> str:
        """Return both lists as text, each in order of time."""
        if not self.lines:
            return "no line of these logs has this request id; check the id and the files"
        parts = ["State assumed by the instances:", *(f"  {line}" for line in self.state_lines)]
        parts += ["Events of the request:", *(f"  {line}" for line in self.lines)]
        return "\n".join(parts)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; text before its timestamp is skipped, other lines give None."""
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {}
    for name, value in _FIELD.findall(text[start:]):
        fields[name] = value[1:-1].replace('\\"', '"') if value.startswith('"') else value
    return LogLine(fields["timestamp"], fields.get("event", ""), fields)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of the files in order; other lines are skipped."""
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


def explain_request(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Collect the lines of a request, and the state that its instances assumed until its end."""
    ordered = sorted(lines, key=lambda line: line.time)
    explanation = Explanation(
        [line for line in ordered if line.fields.get("request") == request_id]
    )
    if not explanation.lines:
        return explanation
    instances = {line.instance for line in explanation.lines}
    subjects = {line.subject for line in explanation.lines}
    end = explanation.lines[-1].time
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in ordered:
        relevant = line.event in STATE_EVENTS and line.instance in instances and line.time <= end
        if relevant and (not line.subject or line.subject in subjects or "keeper" in line.fields):
            latest[line.instance, line.event, line.subject] = line
    explanation.state_lines = sorted(latest.values(), key=lambda line: line.time)
    return explanation
