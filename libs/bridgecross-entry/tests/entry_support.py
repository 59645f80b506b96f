"""Fixtures and factories shared by the tests of this library."""

import os

from bridgecross_core import ids
from bridgecross_entry import journal
from bridgecross_entry import model


class ManualClock:
    """A clock that a test advances explicitly."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s


BOUNDS = model.Bounds(
    drain_ms=2_000,
    grace_ms=6_000,
    retry_ratio=0.2,
    retry_window_ms=10_000,
    retry_slack=62,
    lease_max_ms=10_000,
    configuration_ms=2_000,
)

INSTANCE = model.InstanceSettings(
    name="entry-1",
    failure_domain="hall-1",
    caller_address=model.Address("127.0.0.1", 1),
    ready_address=model.Address("127.0.0.1", 2),
    peer_address=model.Address("127.0.0.1", 3),
    metrics_address=model.Address("127.0.0.1", 4),
    log_address=model.Address("127.0.0.1", 5),
    cores=1.0,
    link_mbps=1_000.0,
    bounds=BOUNDS,
)


_DEV_NULL = os.open(os.devnull, os.O_WRONLY)
"""Opened only once: tests create thousands of journals, which would exceed the
limit of open file descriptors."""


def make_journal(clock: ManualClock) -> journal.Journal:
    """Returns a journal that discards its lines."""
    return journal.Journal(
        "entry-1", journal.JournalSettings(), clock, _DEV_NULL
    )


def make_server(
    name: str,
    service: str = "rapor",
    *,
    leaving: bool = False,
    domain: str = "hall-1",
    port: int = 9,
    started_ms: int | None = None,
) -> model.BackendServer:
    """Returns a backend server as the platform lists it."""
    return model.BackendServer(
        model.name_run(name, started_ms),
        ids.ServiceName(service),
        model.Address("127.0.0.1", port),
        domain,
        4,
        leaving,
        0.0,
        name,
        started_ms,
    )


def make_route(
    prefix: str = "/a/",
    *,
    host: str = "h.example",
    idempotent: bool = True,
    services: tuple[tuple[str, float], ...] = (("rapor", 1.0),),
    timeout_ms: float = 500,
    max_attempts: int = 2,
) -> model.Route:
    """Returns a route."""
    return model.Route(
        name=f"route{prefix}",
        host=host,
        path_prefix=prefix,
        idempotent=idempotent,
        timeout_ms=timeout_ms,
        target_latency_ms=200,
        priority=1,
        shares=tuple(
            model.WeightedService(ids.ServiceName(name), weight)
            for name, weight in services
        ),
        max_attempts=max_attempts,
    )


def make_configuration(
    *routes: model.Route, version: int = 1, keyed: bool = False
) -> model.Configuration:
    """Returns a configuration with the services of the given routes."""
    names = {share.service for route in routes for share in route.shares}
    services = {n: model.Service(n, 130, keyed, 0) for n in names}
    limits = model.CallerLimits(16_384, 65_536, 3_000, 15_000)
    return model.Configuration(version, routes, services, limits)
