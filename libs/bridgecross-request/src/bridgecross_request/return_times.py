"""Decides when the callers of refused requests should return."""

import random

_MAX_RETURN_RATIO = 1 / 3
"""Callers heed a Retry-After up to this share of their remaining time."""

_MIN_SPREAD_RATIO = 0.5
"""Callers that exceed the capacity for returns are spread over the time between
this share of the longest Retry-After and all of it."""


class ReturnTimes:
    """Assigns each refused caller a time at which a slot is expected.

    Callers that are refused together return at different times, at the rate at
    which they can be served.
    """

    def __init__(self) -> None:
        """Starts without refused callers."""
        # The latest return time that was assigned, on the monotonic clock.
        self._last_s = float("-inf")

    def assign_s(
        self, now_s: float, deadline_s: float, returns_per_s: float
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        Args:
            now_s: The current time, on the monotonic clock.
            deadline_s: When the caller leaves, on the same clock.
            returns_per_s: How many refused callers may return each second.
        """
        longest_s = _MAX_RETURN_RATIO * max(deadline_s - now_s, 0.0)
        next_s = max(self._last_s, now_s) + 1.0 / max(returns_per_s, 1e-9)
        if next_s - now_s <= longest_s:
            self._last_s = next_s
            return next_s - now_s
        # More are refused than can be served when they return. Longer values
        # would be cut by all of these callers to the same time.
        return longest_s * random.uniform(_MIN_SPREAD_RATIO, 1.0)
