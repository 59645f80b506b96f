"""Compares the work of a service's routes.

Routes of one service differ in work, so the same number of requests may be half
as much load again for one server as for another. A request counts by the usual
duration of its route relative to the service's mean, as this instance measures
it. Servers differ in speed alike for all routes, which cancels out.
"""

import collections

_PRIOR_COUNT = 16.0
"""The assumed number of answers of each route with the service's mean. The
durations of requests vary by about their mean, so this is an error of 25%."""

_KEPT_RATIO = 0.99
"""The weight that earlier answers keep from one report to the next: with 4
reports/s, a third of it is left after 25 s."""


class RouteWork:
    """The mean durations of the requests of one service's routes."""

    def __init__(self) -> None:
        """Starts without answers."""
        self._counts: collections.defaultdict[str, float]
        self._counts = collections.defaultdict(float)
        self._busy_s: collections.defaultdict[str, float]
        self._busy_s = collections.defaultdict(float)

    def add(self, route: str, busy_s: float) -> None:
        """Counts an answer and the time from the request to it."""
        self._counts[route] += 1.0
        self._busy_s[route] += busy_s

    def decay(self) -> None:
        """Reduces the weight of earlier answers, once per report."""
        for route in self._counts:
            self._counts[route] *= _KEPT_RATIO
            self._busy_s[route] *= _KEPT_RATIO

    @property
    def differs(self) -> bool:
        """Whether there are routes to compare."""
        return len(self._counts) > 1

    def weight(self, route: str) -> float:
        """Returns the work of a request; the mean of the service is 1."""
        busy_sum_s = sum(self._busy_s.values())
        if busy_sum_s <= 0:
            return 1.0
        mean_s = busy_sum_s / sum(self._counts.values())
        count = self._counts.get(route, 0.0) + _PRIOR_COUNT
        busy_s = self._busy_s.get(route, 0.0) + _PRIOR_COUNT * mean_s
        return busy_s / count / mean_s
