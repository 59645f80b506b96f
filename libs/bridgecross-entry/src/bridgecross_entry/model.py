"""An entry instance's view of the platform.

Adapters decode into these types, which do not depend on any wire format.
"""

from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from bridgecross_core import findings
from bridgecross_core import ids

_RUN_MARK = "@"
"""Separates a server's name from the start time of a run."""


class Address(NamedTuple):
    """The address at which a process listens."""

    # An IP address.
    host: str
    port: int

    def __str__(self) -> str:
        """Renders ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One run of a backend server, as the platform lists it."""

    # Identifies this run; see ``name_run``.
    server_id: ids.ServerId
    # The service that it belongs to.
    service: ids.ServiceName
    # Where it accepts requests; another server may have the address later.
    address: Address
    # The failure domain that it runs in.
    failure_domain: str
    # The number of requests that it processes concurrently.
    slots: int
    # Whether it has announced that it will stop soon.
    leaving: bool
    # How much of its warm-up time, counted from its start, is left; it is slow
    # during that time.
    warmup_left_ms: float
    # The platform's name of the server, the same in all its runs. A run holds
    # nothing and knows nothing of the runs before it.
    name: str
    # When the run started, as reported by the server, in milliseconds since
    # 1970. None if it does not report this; its name then stands for a single
    # run.
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
    # Whether a request may safely be executed twice.
    idempotent: bool
    # The maximum time for which a request may be held.
    timeout_ms: float
    # The latency above which an answer is worth less to the caller.
    target_latency_ms: float
    # 0 is the highest priority.
    priority: int
    # The services among which requests are divided.
    shares: tuple[WeightedService, ...]
    # The maximum number of backend servers that one request may be sent to.
    max_attempts: int
    # The areas in which its requests may be served; any, if empty.
    allowed_areas: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Settings of a service, which apply to all its backend servers."""

    name: ids.ServiceName
    # The number of connections that a backend server accepts from all instances
    # together.
    max_connections: int
    # Whether its backend servers own ranges of keys exclusively.
    keyed: bool
    # How long requests for a key are slow after a move without the previous
    # owner's state.
    warm_ms: float
    # The length of the warm-up after a server has started.
    warmup_ms: float = 0.0
    # The requests per second that a server handles during its warm-up; None if
    # there is no limit.
    warmup_rate_per_s: float | None = None
    # The path of the health check; empty if there is none.
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send and how long it may be idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's configuration; always replaced as a whole."""

    # Increases with each change, in uneven steps.
    version: int
    routes: tuple[Route, ...]
    services: Mapping[ids.ServiceName, Service]
    limits: CallerLimits
    # Fields whose values this version does not know. They do not make the
    # configuration invalid.
    warnings: tuple[findings.Finding, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform guarantees or requires."""

    # After this time a leaving backend server must get no new requests.
    drain_ms: float
    # The time between the stop signal and the kill.
    grace_ms: float
    # The allowed retries of a service, as a share of its requests.
    retry_ratio: float
    # The sliding window in which retries are counted.
    retry_window_ms: float
    # Additional retries allowed in each window.
    retry_slack: float
    # The longest lease that a backend server accepts.
    lease_max_ms: float
    # The time after which an accepted configuration is in force on all
    # instances.
    configuration_ms: float
    # After this time the servers of an evacuated failure domain get no
    # requests.
    evacuation_ms: float = 5_000.0
    # In any second, all instances together may send a server in warm-up its
    # rate times this ratio, plus the slack.
    warmup_overage_ratio: float = 1.0
    warmup_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The settings that the platform gives an instance at its start."""

    # The name of the instance.
    name: str
    # The failure domain that it runs in.
    failure_domain: str
    # The address for callers.
    caller_address: Address
    # The address for the platform's readiness checks.
    ready_address: Address
    # The address for other instances.
    peer_address: Address
    # The address at which metrics are served.
    metrics_address: Address
    # The address of the platform's log.
    log_address: Address
    # The processor cores of the machine, possibly less than one, and the
    # bandwidth of its link.
    cores: float
    link_mbps: float
    bounds: Bounds
    # Whether the whole system starts for the first time: there is no leader
    # yet, and no request is served before all have started.
    is_first_start: bool = False
    # The memory that the process may use, in 10^6 bytes; 0 if the platform
    # states no limit.
    memory_mb: float = 0.0
    # The sockets and pipes that the process may have open; 0 if the platform
    # states no limit.
    max_descriptors: int = 0
    # The area of each failure domain.
    area_of_domain: Mapping[str, str] = dataclasses.field(default_factory=dict)


def name_run(name: str, started_ms: int | None) -> ids.ServerId:
    """Returns an id that identifies exactly one run of a server."""
    if started_ms is not None:
        return ids.ServerId(f"{name}{_RUN_MARK}{started_ms:x}")
    return ids.ServerId(name + _RUN_MARK if _RUN_MARK in name else name)


def split_run(server_id: ids.ServerId) -> tuple[str, int | None]:
    """Returns the name and the start time that ``name_run`` was given."""
    name, mark, start = server_id.rpartition(_RUN_MARK)
    if not mark:
        return server_id, None
    return name, int(start, 16) if start else None


def parse_address(text: str) -> Address:
    """Returns the address that a ``host:port`` text denotes.

    Raises:
        ValueError: There is no port, or it is not a number from 1 to 65535.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form host:port")
    if not 1 <= int(port) <= 65535:  # noqa: PLR2004 (the range of TCP ports)
        raise ValueError(f"{text!r} has a port outside 1 to 65535")
    return Address(host, int(port))
