"""A retry budget over a sliding window, shared by all instances.

The limit holds for the sum over all instances, each of which sees only its
own requests. Each takes the ratio of its own requests, which adds up by
itself, and an equal part of the slack.
"""

import collections
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """How many retries a service may get."""

    # Retries as a share of the requests in the window.
    ratio: float
    # The length of the sliding window.
    window_s: float
    # Retries in a window beyond the ratio, over all instances.
    slack: float
    # The part of both that is used. The platform counts arrivals at servers,
    # we count sendings, and the two windows differ by the time between them;
    # instances also learn late that others have joined.
    caution_ratio: float = 0.7


class RetryBudget:
    """Counts the requests and retries of one service at one instance."""

    def __init__(
        self, settings: RetryBudgetSettings, instances: Callable[[], int]
    ) -> None:
        """Starts with an empty window.

        Args:
            settings: How many retries are allowed.
            instances: Tells how many instances share the slack.
        """
        self._settings = settings
        self._instances = instances
        self._requests_s: collections.deque[float] = collections.deque()
        self._retries_s: collections.deque[float] = collections.deque()

    def count_request(self, now_s: float) -> None:
        """Counts the first attempt of a request."""
        self._requests_s.append(now_s)

    def left(self, now_s: float) -> float:
        """Returns the retries that may still be spent in this window."""
        start_s = now_s - self._settings.window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
        slack = self._settings.slack / max(self._instances(), 1)
        allowed = self._settings.ratio * len(self._requests_s) + slack
        return self._settings.caution_ratio * allowed - len(self._retries_s)

    def spend(self, now_s: float) -> bool:
        """Takes one retry out; returns whether there was one."""
        if self.left(now_s) < 1:
            return False
        self._retries_s.append(now_s)
        return True
