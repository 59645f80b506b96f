"""The fields that a level of the settings tree may set.

A value applies to the level that sets it and to all levels below that do not
override it. The suffix of a field is its unit, and its type annotation
contains the allowed range.
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


_DEEPEST_KEY = "deepest"
_DOWN_TO_TIER = {_DEEPEST_KEY: Level.TIER}
_DOWN_TO_SERVICE = {_DEEPEST_KEY: Level.SERVICE}
_DOWN_TO_PLACE = {_DEEPEST_KEY: Level.PLACE}

_MINUTE_MS = 60_000
_MEBIBYTE = 1_048_576


@dataclasses.dataclass(frozen=True)
class Policy:
    """All fields, with the defaults for fields that no level sets."""

    # The deadline of a request if the caller sets none.
    deadline_ms: Annotated[
        int, msgspec.Meta(ge=1, le=10 * _MINUTE_MS, extra=_DOWN_TO_TIER)
    ] = 2_000
    # The longest deadline that a caller may set.
    max_deadline_ms: Annotated[
        int, msgspec.Meta(ge=1, le=10 * _MINUTE_MS, extra=_DOWN_TO_TIER)
    ] = 30_000
    # The maximum number of requests of one tier that wait for one backend
    # server.
    queue_requests: Annotated[
        int, msgspec.Meta(ge=0, le=100_000, extra=_DOWN_TO_TIER)
    ] = 64
    # The maximum size of a request or response body.
    max_body_bytes: Annotated[
        int, msgspec.Meta(ge=0, le=64 * _MEBIBYTE, extra=_DOWN_TO_SERVICE)
    ] = _MEBIBYTE
    # The share of served requests that is reserved for the lowest waiting
    # tier while higher tiers wait; at 0 the lowest tier may starve.
    starvation_share_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.5, extra=_DOWN_TO_SERVICE)
    ] = 0.02
    # The retry budget, as a share of first attempts.
    retry_budget_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=1.0, extra=_DOWN_TO_SERVICE)
    ] = 0.1
    # The maximum number of attempts for one request, including the first.
    max_attempts: Annotated[
        int, msgspec.Meta(ge=1, le=10, extra=_DOWN_TO_SERVICE)
    ] = 3
    # The number of requests that one backend server runs concurrently.
    slots_per_server: Annotated[
        int, msgspec.Meta(ge=1, le=10_000, extra=_DOWN_TO_SERVICE)
    ] = 4
    # The number of connections that one backend server accepts from all
    # instances together.
    connections_per_server: Annotated[
        int, msgspec.Meta(ge=1, le=100_000, extra=_DOWN_TO_SERVICE)
    ] = 100
    # Whether the backend servers refuse a wrong token or an expired lease.
    checks_fences: Annotated[bool, msgspec.Meta(extra=_DOWN_TO_SERVICE)] = True
    # Methods whose requests must run at most once and therefore require an
    # Idempotency-Key.
    non_repeatable_methods: Annotated[
        tuple[str, ...], msgspec.Meta(extra=_DOWN_TO_SERVICE)
    ] = ()
    # The number of slices into which the service's keys are divided; cannot
    # change after the service is first read.
    slice_count: Annotated[
        int, msgspec.Meta(ge=1, le=1_000_000, extra=_DOWN_TO_SERVICE)
    ] = 128
    # How long a backend server may act on a lease without a renewal.
    lease_ms: Annotated[
        int, msgspec.Meta(ge=100, le=_MINUTE_MS, extra=_DOWN_TO_SERVICE)
    ] = 1_200
    # The interval between lease renewals.
    renew_interval_ms: Annotated[
        int, msgspec.Meta(ge=20, le=_MINUTE_MS, extra=_DOWN_TO_SERVICE)
    ] = 300
    # The number of failed renewals in a row after which a server is lost.
    renew_misses: Annotated[
        int, msgspec.Meta(ge=1, le=100, extra=_DOWN_TO_SERVICE)
    ] = 2
    # How long an instance may act after it last read the log or, during an
    # outage of the log, after it last heard from a majority of its peers.
    authority_ms: Annotated[
        int, msgspec.Meta(ge=100, le=_MINUTE_MS, extra=_DOWN_TO_PLACE)
    ] = 1_500
    # The interval between heartbeats of the instances.
    heartbeat_interval_ms: Annotated[
        int, msgspec.Meta(ge=20, le=_MINUTE_MS, extra=_DOWN_TO_PLACE)
    ] = 250
    # The number of failed heartbeats in a row after which an instance is
    # lost.
    heartbeat_misses: Annotated[
        int, msgspec.Meta(ge=1, le=100, extra=_DOWN_TO_PLACE)
    ] = 3
    # The largest difference in rate between the clocks of two machines, as a
    # ratio.
    clock_drift_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.1, extra=_DOWN_TO_PLACE)
    ] = 0.001
    # The highest accepted load of a server over the mean.
    imbalance_target_ratio: Annotated[
        float, msgspec.Meta(ge=1.0, le=10.0, extra=_DOWN_TO_SERVICE)
    ] = 1.25
    # The maximum number of slices that change owner per minute to improve the
    # balance. Moves off a lost or leaving server do not count.
    churn_budget_slices_per_min: Annotated[
        int, msgspec.Meta(ge=0, le=100_000, extra=_DOWN_TO_SERVICE)
    ] = 16
    # The maximum number of servers of a service that are evicted within 10 s
    # because of reports of a single instance, as a share of the service's
    # servers. One eviction is always allowed.
    eviction_limit_ratio: Annotated[
        float, msgspec.Meta(ge=0.0, le=1.0, extra=_DOWN_TO_SERVICE)
    ] = 0.25
    # The minimum time for which a planned shutdown keeps serving while the
    # instance reports that it is not ready. Must be longer than the
    # platform's load balancer takes to notice.
    drain_notice_ms: Annotated[
        int, msgspec.Meta(ge=0, le=_MINUTE_MS, extra=_DOWN_TO_PLACE)
    ] = 2_000
    # How long a planned shutdown waits for requests in flight.
    drain_ms: Annotated[
        int, msgspec.Meta(ge=0, le=10 * _MINUTE_MS, extra=_DOWN_TO_PLACE)
    ] = 10_000


FIELD_NAMES = tuple(field.name for field in dataclasses.fields(Policy))
"""The names of all fields, in declaration order."""


def _read_deepest_levels() -> dict[str, Level]:
    """Returns the deepest level of each field from its annotation."""
    hints: dict[str, Any] = get_type_hints(Policy, include_extras=True)
    deepest = {}
    for name, hint in hints.items():
        meta = get_args(hint)[1]
        deepest[name] = meta.extra[_DEEPEST_KEY]
    return deepest


DEEPEST_LEVELS = _read_deepest_levels()
"""The deepest level that may set a field, by the field's name."""
