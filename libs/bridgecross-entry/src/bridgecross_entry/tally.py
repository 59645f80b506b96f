"""What became of the requests of each route, summed up by the second.

Lines of single requests are bounded, so most are not written when it matters
most. The sums are always written, one line a route in each second, and every
request is in one of them.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import model

EVENT = "requests"
"""The event of the lines."""

IN_TIME = "in_time"
LATE = "late"
CALLER_LEFT = "caller_left"
"""Outcomes besides causes."""

_CAUSES = {
    "the queue of the tier is full": "no_room",
    "the deadline cannot be met": "no_room",
    "the deadline has passed": "waited_for_room",
    # Before what is a part of it.
    "to be left alone": "server_rests",
    "it rests": "server_rests",
    "left alone": "server_left_alone",
    "no retry left": "no_retry_left",
    "has no owner": "no_owner",
    "not the owner": "not_the_owner",
    "interrupted": "interrupted",
    "not sent": "not_sent",
    "shed with": "shed",
    "no other server": "shed",
    "failed with": "failed_by_server",
    "left meanwhile": "server_left",
    "said that it leaves": "server_left",
    "out of time": "out_of_time",
    "instance is stopping": "instance_stopping",
    "servers end under it": "poison",
    "it is tried elsewhere first": "poison",
}
"""Why requests are not served, by what the last entry of their trail says."""

OTHER_CAUSE = "other"
"""Stands for causes that have no name; no trail should come to it."""

_ROUTES_MAX_COUNT = 50
"""Routes with a line of their own in one second, the busiest ones; an instance
takes requests for a few at a time, and a configuration may have thousands."""


class RequestResult(NamedTuple):
    """How a request ended."""

    # Whether it was its caller's first attempt.
    first: bool
    # One of the outcomes above, or why it was not served.
    outcome: str
    # From its head to its end.
    held_s: float


def find_cause(trail: Sequence[str]) -> str:
    """Returns why a request was not served, by its trail."""
    if not trail:
        return "no_server"
    for words, cause in _CAUSES.items():
        if words in trail[-1]:
            return cause
    return OTHER_CAUSE


class _RouteTotals:
    """The requests of one route in one second."""

    def __init__(self, route: model.Route, service: ids.ServiceName) -> None:
        """Starts at zero."""
        self.route = route
        self.service = service
        self.first_count = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.held_s: collections.defaultdict[str, float]
        self.held_s = collections.defaultdict(float)

    @property
    def count(self) -> int:
        """All requests."""
        return self.outcomes.total()


class RequestTally:
    """Sums up requests until they are written."""

    def __init__(self, journal: journals.Journal) -> None:
        """Starts at zero."""
        self._journal = journal
        self._totals: dict[tuple[str, ids.ServiceName], _RouteTotals] = {}

    def count(
        self, route: model.Route, service: ids.ServiceName, ended: RequestResult
    ) -> None:
        """Counts a request that has ended."""
        key = (route.name, service)
        found = self._totals.get(key)
        if found is None:
            found = self._totals[key] = _RouteTotals(route, service)
        found.first_count += ended.first
        found.outcomes[ended.outcome] += 1
        found.held_s[ended.outcome] += ended.held_s

    def write(self, span_s: float) -> None:
        """Writes the sums of the last ``span_s`` seconds, and starts anew."""
        sums = sorted(self._totals.values(), key=lambda each: -each.count)
        self._totals = {}
        for each in sums[:_ROUTES_MAX_COUNT]:
            self._journal.lifecycle(
                EVENT,
                route=each.route.name,
                service=each.service,
                span_s=round(span_s, 3),
                target_ms=each.route.target_latency_ms,
                priority=each.route.priority,
                first=each.first_count,
                outcomes=dict(each.outcomes),
                held_s={
                    name: round(held_s, 3)
                    for name, held_s in each.held_s.items()
                },
            )
        left_out = sum(each.count for each in sums[_ROUTES_MAX_COUNT:])
        if left_out:
            self._journal.lifecycle(EVENT, route="", left_out=left_out)
