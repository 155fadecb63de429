"""Tells the story of one request from the logs of several processes."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import Factory, define, frozen

_FIELD = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# What a process believed is told by the last line of each of these, about the same subject.
BELIEFS = (
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
_SUBJECTS = ("worker", "keeper")


@frozen
class LogLine:
    """One line; `time` as written, which sorts."""

    time: str
    event: str
    fields: dict[str, str]

    @property
    def instance(self) -> str:
        """The instance that wrote it."""
        return self.fields.get("instance", "")

    @property
    def subject(self) -> str:
        """The worker or keeper that it is about, if any."""
        return next((self.fields[key] for key in _SUBJECTS if key in self.fields), "")

    def __str__(self) -> str:
        shown = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in ("timestamp", "event", "level", "request", "instance")
        )
        return f"{self.time}  {self.instance}  {self.event}  {shown}".rstrip()


@define
class Story:
    """The lines of a request, and what the processes that served it believed."""

    lines: list[LogLine] = Factory(list)
    beliefs: list[LogLine] = Factory(list)

    def render(self) -> str:
        """Return both as text, oldest first."""
        if not self.lines:
            return "no line of these logs names this request"
        parts = ["What was believed:", *(f"  {line}" for line in self.beliefs)]
        parts += ["What happened:", *(f"  {line}" for line in self.lines)]
        return "\n".join(parts)


def parse_line(text: str) -> LogLine | None:
    """Parse a line, or None where it is not a log line; what stands before it is skipped."""
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {}
    for name, value in _FIELD.findall(text[start:]):
        fields[name] = value[1:-1].replace('\\"', '"') if value.startswith('"') else value
    return LogLine(fields["timestamp"], fields.get("event", ""), fields)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Read all log lines of some files."""
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


def explain_request(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Collect the story of one request."""
    ordered = sorted(lines, key=lambda line: line.time)
    story = Story([line for line in ordered if line.fields.get("request") == request_id])
    if not story.lines:
        return story
    instances = {line.instance for line in story.lines}
    subjects = {line.subject for line in story.lines}
    end = story.lines[-1].time
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in ordered:
        relevant = line.event in BELIEFS and line.instance in instances and line.time <= end
        if relevant and (not line.subject or line.subject in subjects or "keeper" in line.fields):
            latest[line.instance, line.event, line.subject] = line
    story.beliefs = sorted(latest.values(), key=lambda line: line.time)
    return story
