"""Workload files: programs of model turns, tool calls, pauses and sub-agents."""

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
    """One step; exactly one of `model`, `tool`, `pause` and `agents` is given.

    `model` and `tool` hold the text that is sent, `pause` seconds of tool time that
    the caller spends itself, `agents` the sub-agents that run at the same time.
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
    """A kind of program and how often it comes; budgets as callers give them."""

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
    """All templates of a file."""

    programs: list[Template] = field(validator=validators.min_len(1))


def read_workload(path: Path) -> Workload:
    """Read a workload file; raises InputError."""
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
