"""Workload files for `egretford load`: programs of model and tool calls, pauses, sub-agents."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import Factory, field, frozen, validators

from egretford.codec import explain_error, from_json
from egretford.errors import InputError, Problem
from egretford.models import Urgency, rename_class_field
from egretford.tables import read_json


@frozen
class Step:
    """One step of a program; exactly one of `model`, `tool`, `pause` and `agents` is given.

    `model` and `tool` are the text of the message to send. `pause` is a time in seconds that
    the caller spends on a tool of its own. `agents` are the steps of each of the sub-agents,
    which run concurrently.
    """

    model: str | None = None
    max_tokens: int = field(default=64, validator=validators.ge(1))
    tool: str | None = None
    service: str | None = None
    repeatable: bool = False
    pause: float | None = None
    agents: list[list[Step]] = Factory(list)

    def __attrs_post_init__(self) -> None:
        given = [self.model is not None, self.tool is not None, self.pause is not None]
        if sum([*given, bool(self.agents)]) != 1:
            raise ValueError("give exactly one of model, tool, pause and agents")
        if self.tool is not None and self.service is None:
            raise ValueError("a tool step needs a service")


@frozen
class Template:
    """A type of program and its relative frequency (`weight`); `budget` is as in OpenRequest."""

    name: str
    route: str
    tenants: list[str]
    urgency: Urgency
    budget: dict[str, Any]
    steps: list[Step]
    weight: float = field(default=1.0, validator=validators.gt(0))


rename_class_field(Template)


@frozen
class Workload:
    """Contents of a workload file: the program templates to choose from."""

    programs: list[Template] = field(validator=validators.min_len(1))


def read_workload(path: Path) -> Workload:
    """Read a workload file; raises InputError with a problem for each invalid field."""
    try:
        return from_json(read_json(path), Workload)
    except InputError:
        raise
    except Exception as error:
        raise InputError(
            [
                Problem(f"{path}: {where}", what, "correct this field")
                for where, what in explain_error(error)
            ]
        ) from error
