"""The settings file of the platform, decoded into the project's own settings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from egretford.errors import InputError, Problem
from egretford.instance import DeploymentBounds, InstanceSettings

PATH_VARIABLE = "EGRETFORD_BOOT"


def find_settings_path() -> Path:
    """Return the path that the platform gives by its environment variable."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise InputError(
            [Problem(PATH_VARIABLE, "is not set", "set it to the path of the settings file")]
        )
    return Path(path)


def read_instance_settings(path: Path) -> InstanceSettings:
    """Read and check the file; raises InputError naming field, value and remedy."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InputError([Problem(str(path), str(error), "give a readable TOML file")]) from error
    return _Reader(str(path), document).read()


class _Reader:
    """Collects every problem of a file before it is refused."""

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document
        self._problems: list[Problem] = []

    def read(self) -> InstanceSettings:
        ports = self._take("internal_ports", list, [0, 0])
        if len(ports) != 2 or not all(type(port) is int for port in ports):
            self._report("internal_ports", ports, "give the first and the last port")
            ports = [0, 0]
        settings = InstanceSettings(
            name=self._take("node_name", str, ""),
            ip=self._take("ip", str, ""),
            failure_domain=self._take("zone", str, ""),
            region=self._take("region", str, ""),
            regions=self._take("zones", dict, {}),
            peer_port=ports[0],
            store_address=self._take("provider.address", str, ""),
            bounds=DeploymentBounds(
                stop_grace=float(self._take("bounds.grace_s", (int, float), 0)),
            ),
            # Only whole instances are counted; losing a failure domain is not asked for here.
            tolerated_losses=self._take("fault_tolerance.machines", int, 0),
            first_start=self._take("bootstrap", bool, False),
            callers_address=self._take("listen.front", str, "", required=False),
            readiness_address=self._take("listen.ready", str, "", required=False),
            data_folder=self._take("data_dir", str, "", required=False),
        )
        if self._problems:
            raise InputError(self._problems)
        return settings

    def _take(self, name: str, kind: Any, default: Any, *, required: bool = True) -> Any:
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
            self._report(name, value, f"give a value of type {_name_kind(kind)}")
            return default
        return value

    def _report(self, name: str, value: Any, remedy: str) -> None:
        self._problems.append(Problem(f"{self._path}: {name}", f"is {value!r}", remedy))


def _name_kind(kind: Any) -> str:
    return "number" if isinstance(kind, tuple) else kind.__name__
