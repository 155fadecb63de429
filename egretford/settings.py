"""Settings of an entry, read from a JSON5 file and validated before any is used."""

from __future__ import annotations

from pathlib import Path

from attrs import field, frozen, validators

from egretford.codec import explain_error, from_json
from egretford.errors import InputError, Problem
from egretford.policy.membership import LeaseTimes
from egretford.tables import read_json

_port = [validators.ge(0), validators.le(65_535)]
_positive = validators.gt(0)
_ip = validators.matches_re(r"^[0-9a-fA-F.:]+$")


@frozen
class HttpSettings:
    """Address on which the entry listens for callers; the host is an IP address."""

    port: int = field(validator=_port)
    host: str = field(default="127.0.0.1", validator=_ip)


@frozen
class PeerSettings:
    """Address on which the entry listens for other entries; the host is an IP address."""

    port: int = field(validator=_port)
    host: str = field(default="127.0.0.1", validator=_ip)


@frozen
class PlatformSettings:
    """The platform's object API: request timeout and long-poll (watch) duration, in seconds."""

    url: str
    timeout: float = field(default=2.0, validator=_positive)
    watch: float = field(default=10.0, validator=_positive)


@frozen
class JournalSettings:
    """Limits of the journal: write rate, buffer size, wait for durability and segments.

    The oldest segments are compacted when there are more than `spare_segments` plus an
    allowance for each live program tree.
    """

    writes_per_second: float = field(default=30.0, validator=_positive)
    pending_bytes: int = field(default=16_000_000, validator=_positive)
    durable_wait_seconds: float = field(default=1.5, validator=_positive)
    spare_segments: int = field(default=64, validator=_positive)


@frozen
class LimitSettings:
    """Limits of one entry; `retention_seconds` is how long an ended program is kept."""

    programs: int = field(default=10_000, validator=_positive)
    running_calls: int = field(default=2_000, validator=_positive)
    body_bytes: int = field(default=512_000, validator=[_positive, validators.le(900_000)])
    metric_series: int = field(default=200, validator=_positive)
    retention_seconds: float = field(default=300.0, validator=_positive)


@frozen
class LinkSettings:
    """Bandwidth and latency of the link between regions, which a region's entries share."""

    bits_per_second: float = field(default=15_000_000.0, validator=_positive)
    one_way_seconds: float = field(default=0.012, validator=validators.ge(0))


@frozen
class UpstreamSettings:
    """Connect timeout, read timeout (`silence`) and load polling interval, in seconds."""

    connect: float = field(default=1.0, validator=_positive)
    silence: float = field(default=10.0, validator=_positive)
    load_interval: float = field(default=1.0, validator=_positive)


@frozen
class StatsdSettings:
    """Address to which metrics are sent over UDP; the host is an IP address."""

    host: str = field(validator=_ip)
    port: int = field(validator=_port)


@frozen
class Settings:
    """All settings of an entry; `regions` maps each failure domain to its region."""

    instance: str = field(validator=validators.min_len(1))
    region: str = field(validator=validators.min_len(1))
    failure_domain: str = field(validator=validators.min_len(1))
    http: HttpSettings
    peer: PeerSettings
    platform: PlatformSettings
    journal: JournalSettings = JournalSettings()
    limits: LimitSettings = LimitSettings()
    link: LinkSettings = LinkSettings()
    upstream: UpstreamSettings = UpstreamSettings()
    lease: LeaseTimes = LeaseTimes()
    statsd: StatsdSettings | None = None
    regions: dict[str, str] = field(factory=dict)
    drain_seconds: float = field(default=60.0, validator=_positive)


def read_settings(path: Path) -> Settings:
    """Read a settings file; raises InputError with a problem for each invalid field."""
    raw = read_json(path)
    try:
        return from_json(raw, Settings)
    except Exception as error:
        problems = [
            Problem(f"{path}: {where}", what, "correct this field")
            for where, what in explain_error(error)
        ]
        raise InputError(problems) from error
