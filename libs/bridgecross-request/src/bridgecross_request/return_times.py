"""Decides when the callers of refused requests should return."""

import random

RETURN_RATIO = 1 / 3
"""Callers heed a Retry-After up to this share of their remaining time."""

_MIN_SPREAD_RATIO = 0.5


class ReturnTimes:
    """Assigns each refused caller a time at which a slot is expected.

    The times are as far apart as slots for returning callers become free, so
    that callers refused together do not return together.
    """

    def __init__(self) -> None:
        """Starts without refused callers."""
        self._last_s = float("-inf")

    def assign_s(
        self, now_s: float, deadline_s: float, returning_per_s: float
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        Args:
            now_s: The current time.
            deadline_s: When the caller leaves.
            returning_per_s: The rate of grants for returning callers.
        """
        longest_s = RETURN_RATIO * max(deadline_s - now_s, 0.0)
        next_s = max(self._last_s, now_s) + 1.0 / max(returning_per_s, 1e-9)
        if next_s - now_s <= longest_s:
            self._last_s = next_s
            return next_s - now_s
        # More are refused than can be served when they return. Longer values
        # would be cut by all of these callers to the same time.
        return longest_s * random.uniform(_MIN_SPREAD_RATIO, 1.0)
