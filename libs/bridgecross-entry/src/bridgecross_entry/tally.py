"""Totals of the outcomes of requests per route and second.

Log lines of single requests are rate-limited, so under load most of them are
not written. The totals are always written, one line per route and second, and
include every request.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import model

EVENT = "requests"
"""The event name of the log lines."""

IN_TIME = "in_time"
LATE = "late"
CALLER_LEFT = "caller_left"
"""The outcomes other than the causes below."""

_CAUSES = {
    "the queue of the tier is full": "no_room",
    "the deadline cannot be met": "no_room",
    "the deadline has passed": "waited_for_room",
    # Precedes "left alone", which it contains.
    "to be left alone": "server_rests",
    "it rests": "server_rests",
    "left alone": "server_left_alone",
    "servers limit their requests": "server_limits",
    "it limits its requests": "server_limits",
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
"""The causes of requests not served, by texts in the last trail entry."""

OTHER_CAUSE = "other"
"""The cause of trails without a known text; there should be none."""

_ROUTES_MAX_COUNT = 50
"""The number of busiest routes with a line of their own per second. An instance
receives requests for a few routes at a time, but a configuration may have
thousands."""


class RequestResult(NamedTuple):
    """How a request ended."""

    # Whether it was its caller's first attempt.
    first: bool
    # One of the outcomes above, or the cause if it was not served.
    outcome: str
    # The time from receiving its head to its outcome.
    held_s: float


def find_cause(trail: Sequence[str]) -> str:
    """Returns the cause of a request that was not served, by its trail."""
    if not trail:
        return "no_server"
    for text, cause in _CAUSES.items():
        if text in trail[-1]:
            return cause
    return OTHER_CAUSE


class _RouteTotals:
    """The totals of one route for one interval."""

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
        """The number of all requests."""
        return self.outcomes.total()


class RequestTally:
    """Adds up requests until the totals are written."""

    def __init__(self, journal: journals.Journal) -> None:
        """Starts at zero."""
        self._journal = journal
        self._totals: dict[tuple[str, ids.ServiceName], _RouteTotals] = {}

    def count(
        self,
        route: model.Route,
        service: ids.ServiceName,
        result: RequestResult,
    ) -> None:
        """Counts a request that has ended."""
        key = (route.name, service)
        totals = self._totals.get(key)
        if totals is None:
            totals = self._totals[key] = _RouteTotals(route, service)
        totals.first_count += result.first
        totals.outcomes[result.outcome] += 1
        totals.held_s[result.outcome] += result.held_s

    def write(self, span_s: float) -> None:
        """Logs the totals of the last ``span_s`` seconds, and resets them."""
        busiest = sorted(
            self._totals.values(), key=lambda totals: -totals.count
        )
        self._totals = {}
        for totals in busiest[:_ROUTES_MAX_COUNT]:
            self._journal.lifecycle(
                EVENT,
                route=totals.route.name,
                service=totals.service,
                span_s=round(span_s, 3),
                target_ms=totals.route.target_latency_ms,
                priority=totals.route.priority,
                first=totals.first_count,
                outcomes=dict(totals.outcomes),
                held_s={
                    name: round(held_s, 3)
                    for name, held_s in totals.held_s.items()
                },
            )
        left_out = sum(totals.count for totals in busiest[_ROUTES_MAX_COUNT:])
        if left_out:
            self._journal.lifecycle(EVENT, route="", left_out=left_out)
