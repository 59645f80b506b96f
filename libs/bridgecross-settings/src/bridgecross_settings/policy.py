"""Every field that a level of the settings tree may set.

A field is set at the highest level that it holds for and overridden below.
Each field names its unit as a suffix; its type carries the allowed range.
"""

import dataclasses
import enum
from typing import Annotated
from typing import Any
from typing import get_args
from typing import get_type_hints

import msgspec


class Level(enum.IntEnum):
    """The levels of the tree, from the root down."""

    HOUSE = 0
    PLACE = 1
    SERVICE = 2
    TIER = 3


_DEEPEST = "deepest"
_AT_TIER = {_DEEPEST: Level.TIER}
_AT_SERVICE = {_DEEPEST: Level.SERVICE}
_AT_PLACE = {_DEEPEST: Level.PLACE}

_MINUTE_MS = 60_000
_MEBIBYTE = 1_048_576


@dataclasses.dataclass(frozen=True)
class Policy:
    """All fields with the values that hold if no level sets them."""

    # The deadline of a request whose caller names none.
    deadline_ms: Annotated[
        int, msgspec.Meta(ge=1, le=10 * _MINUTE_MS, extra=_AT_TIER)
    ] = 2_000
    # The longest deadline that a caller may name.
    max_deadline_ms: Annotated[
        int, msgspec.Meta(ge=1, le=10 * _MINUTE_MS, extra=_AT_TIER)
    ] = 30_000
    # Requests of one tier that may wait for one backend server.
    queue_requests: Annotated[
        int, msgspec.Meta(ge=0, le=100_000, extra=_AT_TIER)
    ] = 64
    # The largest request or answer body.
    max_body_bytes: Annotated[
        int, msgspec.Meta(ge=0, le=64 * _MEBIBYTE, extra=_AT_SERVICE)
    ] = _MEBIBYTE
    # The share of served requests that goes to the lowest waiting tier even
    # while higher tiers wait; 0 lets the lowest tier starve.
    starvation_share_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.5, extra=_AT_SERVICE)
    ] = 0.02
    # Retries allowed, as a share of first attempts.
    retry_budget_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=1.0, extra=_AT_SERVICE)
    ] = 0.1
    # Attempts for one request, the first included.
    max_attempts: Annotated[
        int, msgspec.Meta(ge=1, le=10, extra=_AT_SERVICE)
    ] = 3
    # Requests that one backend server runs at the same time.
    slots_per_server: Annotated[
        int, msgspec.Meta(ge=1, le=10_000, extra=_AT_SERVICE)
    ] = 4
    # Connections that one backend server accepts from all instances.
    connections_per_server: Annotated[
        int, msgspec.Meta(ge=1, le=100_000, extra=_AT_SERVICE)
    ] = 100
    # Whether the backend servers refuse a wrong fencing token or lease.
    checks_fences: Annotated[bool, msgspec.Meta(extra=_AT_SERVICE)] = True
    # Methods whose requests must not run twice; they need an Idempotency-Key.
    non_repeatable_methods: Annotated[
        tuple[str, ...], msgspec.Meta(extra=_AT_SERVICE)
    ] = ()
    # Slices into which the service's keys are divided; fixed when the
    # service is first seen.
    slice_count: Annotated[
        int, msgspec.Meta(ge=1, le=1_000_000, extra=_AT_SERVICE)
    ] = 128
    # How long a backend server may act on a lease that is not renewed.
    lease_ms: Annotated[
        int, msgspec.Meta(ge=100, le=_MINUTE_MS, extra=_AT_SERVICE)
    ] = 1_200
    # How often a lease is renewed.
    renew_interval_ms: Annotated[
        int, msgspec.Meta(ge=20, le=_MINUTE_MS, extra=_AT_SERVICE)
    ] = 300
    # Renewals in a row that fail before a server counts as lost.
    renew_misses: Annotated[
        int, msgspec.Meta(ge=1, le=100, extra=_AT_SERVICE)
    ] = 2
    # How long an instance may act without fresh news from the log or,
    # during an outage of it, from a majority of its peers.
    authority_ms: Annotated[
        int, msgspec.Meta(ge=100, le=_MINUTE_MS, extra=_AT_PLACE)
    ] = 1_500
    # How often the instances exchange heartbeats.
    heartbeat_interval_ms: Annotated[
        int, msgspec.Meta(ge=20, le=_MINUTE_MS, extra=_AT_PLACE)
    ] = 250
    # Heartbeats in a row that fail before an instance counts as lost.
    heartbeat_misses: Annotated[
        int, msgspec.Meta(ge=1, le=100, extra=_AT_PLACE)
    ] = 3
    # The difference in rate that the clocks of two machines may have.
    clock_drift_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.1, extra=_AT_PLACE)
    ] = 0.001
    # The most loaded server's load over the mean that the planner accepts.
    imbalance_target_ratio: Annotated[
        float, msgspec.Meta(ge=1.0, le=10.0, extra=_AT_SERVICE)
    ] = 1.25
    # Slices that may change owner each minute to improve the balance; moves
    # off a lost or leaving server do not count.
    churn_budget_slices_per_min: Annotated[
        int, msgspec.Meta(ge=0, le=100_000, extra=_AT_SERVICE)
    ] = 16
    # Servers of a service that may be evicted within 10 s on the word of one
    # instance, as a share of the service's servers; one is always allowed.
    eviction_limit_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=1.0, extra=_AT_SERVICE)
    ] = 0.25
    # How long a planned stop goes on serving, at least, while it says that it
    # is not ready: longer than the platform's balancer takes to notice.
    drain_notice_ms: Annotated[
        int, msgspec.Meta(ge=0, le=_MINUTE_MS, extra=_AT_PLACE)
    ] = 2_000
    # How long a planned stop waits for requests in flight.
    drain_ms: Annotated[
        int, msgspec.Meta(ge=0, le=10 * _MINUTE_MS, extra=_AT_PLACE)
    ] = 10_000


FIELD_NAMES = tuple(field.name for field in dataclasses.fields(Policy))
"""The names of all fields, in the order of their declaration."""


def _find_deepest_levels() -> dict[str, Level]:
    """Reads the deepest level of each field off its type."""
    hints: dict[str, Any] = get_type_hints(Policy, include_extras=True)
    deepest = {}
    for name, hint in hints.items():
        meta = get_args(hint)[1]
        deepest[name] = meta.extra[_DEEPEST]
    return deepest


DEEPEST_LEVELS = _find_deepest_levels()
"""For each field the deepest level that may set it."""
