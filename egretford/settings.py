"""Settings of an entry, read from a JSON file with comments and checked as a whole."""

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
    """Where callers reach the entry; the host is an IP number."""

    port: int = field(validator=_port)
    host: str = field(default="127.0.0.1", validator=_ip)


@frozen
class PeerSettings:
    """Where other entries reach this one; the host is an IP number."""

    port: int = field(validator=_port)
    host: str = field(default="127.0.0.1", validator=_ip)


@frozen
class PlatformSettings:
    """The platform's object API; times in seconds."""

    url: str
    timeout: float = field(default=2.0, validator=_positive)
    watch: float = field(default=10.0, validator=_positive)


@frozen
class JournalSettings:
    """Pace and bounds of the journal."""

    writes_per_second: float = field(default=30.0, validator=_positive)
    pending_bytes: int = field(default=16_000_000, validator=_positive)
    durable_wait_seconds: float = field(default=1.5, validator=_positive)
    spare_segments: int = field(default=64, validator=_positive)


@frozen
class LimitSettings:
    """Bounds of one entry."""

    programs: int = field(default=10_000, validator=_positive)
    running_calls: int = field(default=2_000, validator=_positive)
    body_bytes: int = field(default=512_000, validator=[_positive, validators.le(900_000)])
    metric_series: int = field(default=200, validator=_positive)
    retention_seconds: float = field(default=300.0, validator=_positive)


@frozen
class LinkSettings:
    """The link between regions, shared by all entries of a region."""

    bits_per_second: float = field(default=15_000_000.0, validator=_positive)
    one_way_seconds: float = field(default=0.012, validator=validators.ge(0))


@frozen
class UpstreamSettings:
    """Times of upstream connections, in seconds."""

    connect: float = field(default=1.0, validator=_positive)
    silence: float = field(default=10.0, validator=_positive)
    load_interval: float = field(default=1.0, validator=_positive)


@frozen
class StatsdSettings:
    """Where metrics go by UDP; the host is an IP number."""

    host: str = field(validator=_ip)
    port: int = field(validator=_port)


@frozen
class Settings:
    """All settings of an entry."""

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
    """Read a settings file; raises InputError that names each faulty field."""
    raw = read_json(path)
    try:
        return from_json(raw, Settings)
    except Exception as error:
        problems = [
            Problem(f"{path}: {where}", what, "correct this field")
            for where, what in explain_error(error)
        ]
        raise InputError(problems) from error
