"""The recent rate of grants, by tier and kind of request."""

import enum
import math

from bridgecross_core import clock as clocks


class Kind(enum.Enum):
    """What decides on the order of requests within a tier."""

    RETURNING = "returning"
    """The caller was refused before, and can be answered by its target."""

    RETURNING_LATE = "returning_late"
    """The caller was refused before, and will be answered late."""

    IN_TIME = "in_time"
    """A first attempt that can be answered by its target time."""

    LATE = "late"
    """A first attempt that will be answered late."""

    ABOVE_SHARE = "above_share"
    """The caller requests much more than others."""


class GrantRates:
    """Exponentially weighted rates of grants."""

    def __init__(self, window_s: float, clock: clocks.Clock) -> None:
        """Starts with rates of zero.

        Args:
            window_s: The time after which a grant has a third of its weight.
            clock: Measures the age of grants.
        """
        self._window_s = window_s
        self._clock = clock
        self._weights: dict[tuple[int, Kind], float] = {}
        self._decayed_s = clock.monotonic_s()

    def add(self, priority: int, kind: Kind) -> None:
        """Counts a grant."""
        self._decay()
        key = (priority, kind)
        self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def higher_per_s(self, priority: int) -> float:
        """Returns the rate of grants to higher tiers."""
        self._decay()
        weights = (w for (p, _), w in self._weights.items() if p < priority)
        return sum(weights) / self._window_s

    def kinds_per_s(self, priority: int, kinds: tuple[Kind, ...]) -> float:
        """Returns the rate of grants to some kinds of one tier."""
        self._decay()
        weights = (self._weights.get((priority, kind), 0.0) for kind in kinds)
        return sum(weights) / self._window_s

    def _decay(self) -> None:
        """Reduces all weights by the time that has passed."""
        now_s = self._clock.monotonic_s()
        factor = math.exp((self._decayed_s - now_s) / self._window_s)
        self._decayed_s = now_s
        for key in self._weights:
            self._weights[key] *= factor
