"""Reads the platform's settings file (TOML) into InstanceSettings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from egretford.errors import InputError, Problem
from egretford.instance import DeploymentBounds, InstanceSettings

PATH_VARIABLE = "EGRETFORD_BOOT"


def find_settings_path() -> Path:
    """Return the path from the environment variable EGRETFORD_BOOT.

    Raises InputError if the variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise InputError(
            [Problem(PATH_VARIABLE, "is not set", "set it to the path of the settings file")]
        )
    return Path(path)


def read_instance_settings(path: Path) -> InstanceSettings:
    """Read and validate the file; raises InputError with field, value and remedy per problem."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InputError([Problem(str(path), str(error), "give a readable TOML file")]) from error
    return _SettingsReader(str(path), document).read()


# Time in which changes must be in force if the settings don't say, in milliseconds.
DEFAULT_LIMIT_MS = 2_500


class _SettingsReader:
    """Reads all fields and collects every problem, so that one InputError reports them all."""

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document
        self._problems: list[Problem] = []

    def read(self) -> InstanceSettings:
        ports = self._read_field("internal_ports", list, [0, 0])
        if len(ports) != 2 or not all(type(port) is int for port in ports):
            self._add_problem("internal_ports", ports, "give the first and the last port")
            ports = [0, 0]
        settings = InstanceSettings(
            name=self._read_field("node_name", str, ""),
            ip=self._read_field("ip", str, ""),
            failure_domain=self._read_field("zone", str, ""),
            region=self._read_field("region", str, ""),
            regions=self._read_field("zones", dict, {}),
            peer_port=ports[0],
            store_address=self._read_field("provider.address", str, ""),
            bounds=DeploymentBounds(
                stop_grace=float(self._read_field("bounds.grace_s", (int, float), 0)),
                change_limit=min(
                    self._read_field(
                        f"bounds.{name}", (int, float), DEFAULT_LIMIT_MS, required=False
                    )
                    for name in ("config_apply_ms", "drain_ms")
                )
                / 1_000,
            ),
            # Counts instances only; tolerating the loss of a whole failure domain is not required.
            tolerated_losses=self._read_field("fault_tolerance.machines", int, 0),
            first_start=self._read_field("bootstrap", bool, False),
            callers_address=self._read_field("listen.front", str, "", required=False),
            readiness_address=self._read_field("listen.ready", str, "", required=False),
            data_folder=self._read_field("data_dir", str, "", required=False),
        )
        if self._problems:
            raise InputError(self._problems)
        return settings

    def _read_field(self, name: str, kind: Any, default: Any, *, required: bool = True) -> Any:
        value: Any = self._document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            if required:
                self._problems.append(
                    Problem(f"{self._path}: {name}", "is missing", "add this field")
                )
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            self._add_problem(name, value, f"give a value of type {_describe_type(kind)}")
            return default
        return value

    def _add_problem(self, name: str, value: Any, remedy: str) -> None:
        self._problems.append(Problem(f"{self._path}: {name}", f"is {value!r}", remedy))


def _describe_type(kind: Any) -> str:
    return "number" if isinstance(kind, tuple) else kind.__name__
