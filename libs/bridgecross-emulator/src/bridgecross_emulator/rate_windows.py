"""The number of requests that a server with a limit may get in any window."""

import bisect
from collections.abc import Sequence
import math
from typing import NamedTuple

WINDOW_S = 4.0
"""The sliding window in which arrivals are counted."""

OVERAGE_RATIO = 1.5
SLACK_COUNT = 5
"""In each window a server may get what its limit allows times this ratio, and
this many requests more."""

TOLD_BEFORE_S = 0.5
"""Arrivals count if their sender was told of a limit this long before."""

BOUND_AFTER_S = 3.0
"""Windows count that end this long after the first naming, or later."""


class LimitChange(NamedTuple):
    """The start, change or end of the limit that a server names."""

    at_s: float
    # The requests per second from all instances; infinite without a limit.
    limit_per_s: float


class Excess(NamedTuple):
    """A window in which a server got too many requests."""

    until_s: float
    arrived_count: int
    allowed: float

    def __str__(self) -> str:
        """Describes the excess."""
        return (
            f"{self.arrived_count} requests in {WINDOW_S} s, "
            f"allowed {self.allowed:.1f}"
        )


def count_allowed(
    changes: Sequence[LimitChange], from_s: float, until_s: float
) -> float:
    """Returns how many requests a server may get in a window.

    Args:
        changes: The limits that it named, in order.
        from_s: The start of the window.
        until_s: The end of the window.
    """
    times_s = [change.at_s for change in changes]
    first = max(bisect.bisect_right(times_s, from_s) - 1, 0)
    last = bisect.bisect_right(times_s, until_s)
    highest_per_s = max(
        (change.limit_per_s for change in changes[first:last]),
        default=math.inf,
    )
    return OVERAGE_RATIO * highest_per_s * WINDOW_S + SLACK_COUNT


def find_excess(
    counted_s: Sequence[float], changes: Sequence[LimitChange]
) -> Excess | None:
    """Returns the first window in which a server got too many requests.

    Args:
        counted_s: When requests arrived from senders that had been told.
        changes: The limits that the server named, in order; not empty.
    """
    first = 0
    for last, until_s in enumerate(counted_s):
        while counted_s[first] <= until_s - WINDOW_S:
            first += 1
        if until_s < changes[0].at_s + BOUND_AFTER_S:
            continue
        arrived_count = last - first + 1
        allowed = count_allowed(changes, until_s - WINDOW_S, until_s)
        if arrived_count > allowed:
            return Excess(until_s, arrived_count, allowed)
    return None
