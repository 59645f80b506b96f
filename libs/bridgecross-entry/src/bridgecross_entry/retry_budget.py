"""A retry budget over a sliding window, shared by all instances.

The limit applies to the sum over all instances, but each sees only its own
requests. Each instance may use the ratio of its own requests, which adds up to
the overall ratio, and an equal part of the slack.
"""

import collections
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """How many retries may be sent to a service."""

    # Retries as a share of the requests in the window.
    ratio: float
    # The length of the sliding window.
    window_s: float
    # Retries in a window in addition to the ratio, over all instances.
    slack: float
    # The part of both that is used. The platform counts retries when they
    # arrive at servers, this class when they are sent, and the two windows are
    # offset by the time in between. Instances also learn with a delay that
    # others have joined.
    safety_ratio: float = 0.7


class RetryBudget:
    """Counts the requests and retries of one service at one instance."""

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_instances: Callable[[], float],
    ) -> None:
        """Starts with an empty window.

        Args:
            settings: How many retries are allowed.
            count_instances: Returns how many instances share the slack;
                infinite if that is not known, so that none of it is used.
        """
        self._settings = settings
        self._count_instances = count_instances
        self._requests_s: collections.deque[float] = collections.deque()
        self._retries_s: collections.deque[float] = collections.deque()

    def count_request(self, now_s: float) -> None:
        """Counts the first attempt of a request."""
        self._requests_s.append(now_s)

    def remaining(self, now_s: float) -> float:
        """Returns how many retries are left in this window."""
        start_s = now_s - self._settings.window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
        slack = self._settings.slack / max(self._count_instances(), 1)
        allowed = self._settings.ratio * len(self._requests_s) + slack
        return self._settings.safety_ratio * allowed - len(self._retries_s)

    def spend(self, now_s: float) -> bool:
        """Uses one retry; returns whether there was one left."""
        if self.remaining(now_s) < 1:
            return False
        self._retries_s.append(now_s)
        return True
