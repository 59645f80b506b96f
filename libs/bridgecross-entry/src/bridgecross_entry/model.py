"""What an entry instance believes about the world around it.

These types are what adapters decode into; nothing in here knows how they are
spelled on any wire.
"""

from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from bridgecross_core import ids

_RUN_MARK = "@"
"""Stands between a server's name and the start of a run."""


class Address(NamedTuple):
    """Where a process listens."""

    # An IP number.
    host: str
    port: int

    def __str__(self) -> str:
        """Renders ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One run of a backend server, as the platform lists it."""

    # Names this run; see ``name_run``.
    server_id: ids.ServerId
    # The service that it belongs to.
    service: ids.ServiceName
    # Where it takes requests; may belong to another server later.
    address: Address
    # The failure domain that it runs in.
    failure_domain: str
    # Requests that it works on at the same time.
    slots: int
    # Whether it has said that it will end soon.
    leaving: bool
    # How much longer it is slow, counted from its start.
    warmup_left_ms: float
    # The platform's name of the server, the same in all its runs. A server
    # that starts again under its name holds and knows nothing of before.
    name: str
    # When the run started, as the server tells, in milliseconds since 1970;
    # None if it does not tell, and then its name names one run only.
    started_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: ids.ServiceName
    # Relative to the weights of the route's other services.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests to one host and path prefix are treated."""

    name: str
    host: str
    # Starts and ends with a slash.
    path_prefix: str
    # Whether running a request twice does no harm.
    idempotent: bool
    # The longest time for which a request may be held.
    timeout_ms: float
    # Answers later than this are worth less to the caller.
    target_latency_ms: float
    # 0 goes first.
    priority: int
    # The services among which requests are divided.
    shares: tuple[WeightedService, ...]
    # Backend servers that one request may be sent to.
    max_attempts: int
    # The areas in which its requests may be served; any, if empty.
    allowed_areas: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What holds for all backend servers of a service."""

    name: ids.ServiceName
    # Connections that a backend server takes from all instances together.
    max_connections: int
    # Whether its backend servers own ranges of keys exclusively.
    keyed: bool
    # How long keys are slow if they come without state of the old owner.
    warm_ms: float
    # For how long a server is cold that has just started.
    warmup_ms: float = 0.0
    # Requests a second that a cold server bears; None if it bears all.
    warmup_rate_per_s: float | None = None
    # Where a server tells how it is; empty if it does not.
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may rest."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """What the operator wants; replaced as a whole."""

    # Rises with each change, in uneven steps.
    version: int
    routes: tuple[Route, ...]
    services: Mapping[ids.ServiceName, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the platform promises and asks for, in time and counts."""

    # After this a leaving backend server must get no new requests.
    drain_ms: float
    # Between the signal to stop and the kill.
    grace_ms: float
    # Retries allowed to a service, as a share of its requests.
    retry_ratio: float
    # The sliding window in which retries are counted.
    retry_window_ms: float
    # Retries allowed in each window beyond the share.
    retry_slack: float
    # The longest lease that a backend server accepts.
    lease_max_ms: float
    # A configuration is in force everywhere this long after it was taken.
    configuration_ms: float
    # After this the servers of an evacuated failure domain get no requests.
    evacuation_ms: float = 5_000.0
    # A cold server may get so many times its rate in any second, from all
    # instances together, and this many requests more.
    warmup_overage_ratio: float = 1.0
    warmup_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What an instance learns from the platform when it starts."""

    # The name of the instance.
    name: str
    # The failure domain that it runs in.
    failure_domain: str
    # Where callers connect.
    caller_address: Address
    # Where the platform asks for readiness.
    ready_address: Address
    # Where the other instances reach this one.
    peer_address: Address
    # Where metrics are served.
    metrics_address: Address
    # Where the platform's log answers.
    log_address: Address
    # What the machine has of a processor core, and its link.
    cores: float
    link_mbps: float
    bounds: Bounds
    # Whether the whole system starts for the first time: nobody leads yet, and
    # nobody is served before all have started.
    is_first_start: bool = False
    # The area that each failure domain lies in.
    area_of_domain: Mapping[str, str] = dataclasses.field(default_factory=dict)


def name_run(name: str, started_ms: int | None) -> ids.ServerId:
    """Returns what names one run of a server, and no other run of any."""
    if started_ms is not None:
        return ids.ServerId(f"{name}{_RUN_MARK}{started_ms:x}")
    return ids.ServerId(name + _RUN_MARK if _RUN_MARK in name else name)


def split_run(server_id: ids.ServerId) -> tuple[str, int | None]:
    """Returns the name and the start that ``name_run`` was given."""
    name, mark, start = server_id.rpartition(_RUN_MARK)
    if not mark:
        return server_id, None
    return name, int(start, 16) if start else None


def parse_address(text: str) -> Address:
    """Returns the address that ``host:port`` names.

    Raises:
        ValueError: There is no port, or it is not a number from 1 to 65535.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form host:port")
    if not 1 <= int(port) <= 65535:  # noqa: PLR2004 (the range of TCP ports)
        raise ValueError(f"{text!r} has a port outside 1 to 65535")
    return Address(host, int(port))
