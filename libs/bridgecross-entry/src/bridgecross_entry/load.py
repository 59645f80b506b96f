"""Load reports that an instance sends to the coordinator of a service."""

import collections
from collections.abc import Mapping
from typing import NamedTuple
from typing import TypeVar

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_entry import route_work

_Subject = TypeVar("_Subject", int, ids.ServerId)

_MAX_REPORTED_KEYS = 400
"""The number of keys in one report, busiest first; 400 take about 3 KB."""


_WORK_UNITS_COUNT = 16
"""The units of a request of mean work, where load is counted by work. Rounding
one request to whole units is an error of 3%."""


class KeyCount(NamedTuple):
    """The number of requests for one key."""

    key: int
    # In units; see ``LoadReport.units_per_request``.
    requests: int


class ServerCount(NamedTuple):
    """The number of answers of one server and the time that they took."""

    server_id: ids.ServerId
    # In units; see ``LoadReport.units_per_request``.
    answers: int
    # The time from sending a request to its answer, summed over the answers.
    busy_s: float


class LoadReport(NamedTuple):
    """The load of one service at one instance, since its last report."""

    instance: ids.InstanceId
    service: ids.ServiceName
    window_s: float
    keys: tuple[KeyCount, ...]
    servers: tuple[ServerCount, ...]
    # How many units a request of mean work counts; 1 if all requests count the
    # same. Left out then, since earlier versions cannot decode it.
    units_per_request: int = 1


class LoadCounts(NamedTuple):
    """Counts as in a report."""

    keys: tuple[KeyCount, ...]
    servers: tuple[ServerCount, ...]
    units_per_request: int


class _ReportCodec(codec.Codec[LoadReport]):
    """Leaves out the units where all requests count the same."""

    def encode(self, value: LoadReport) -> bytes:
        """Returns the encoded report."""
        if value.units_per_request != 1:
            return super().encode(value)
        return self._encoder.encode(tuple(value[:-1]))


REPORTS = _ReportCodec(LoadReport)


class LoadCounter:
    """Counts one service's requests by key and by server."""

    def __init__(self) -> None:
        """Starts all counts at zero."""
        # Each with the route of the requests.
        self._keys: collections.Counter[tuple[int, str]]
        self._keys = collections.Counter()
        self._answers: collections.Counter[tuple[ids.ServerId, str]]
        self._answers = collections.Counter()
        self._busy_s: collections.defaultdict[ids.ServerId, float]
        self._busy_s = collections.defaultdict(float)
        self._work = route_work.RouteWork()

    def count_key(self, key: int, route: str = "") -> None:
        """Counts a request for a key."""
        self._keys[key, route] += 1

    def count_answer(
        self, server_id: ids.ServerId, busy_s: float, route: str = ""
    ) -> None:
        """Counts an answer of a server."""
        self._answers[server_id, route] += 1
        self._busy_s[server_id] += busy_s
        self._work.add(route, busy_s)

    def pop_counts(self, *, by_work: bool = False) -> LoadCounts:
        """Returns the counts since the last call, and resets them.

        Args:
            by_work: Whether requests count by the usual work of their route, if
                there are several.
        """
        units = _WORK_UNITS_COUNT if by_work and self._work.differs else 1
        keys = self._sum_units(self._keys, units)
        answers = self._sum_units(self._answers, units)
        counts = LoadCounts(
            tuple(
                KeyCount(key, count)
                for key, count in keys.most_common(_MAX_REPORTED_KEYS)
            ),
            tuple(
                ServerCount(server_id, count, self._busy_s[server_id])
                for server_id, count in answers.items()
            ),
            units,
        )
        self._keys.clear()
        self._answers.clear()
        self._busy_s.clear()
        self._work.decay()
        return counts

    def _sum_units(
        self, counts: Mapping[tuple[_Subject, str], int], units: int
    ) -> collections.Counter[_Subject]:
        """Returns counts over all routes, in units."""
        sums: collections.Counter[_Subject] = collections.Counter()
        for (subject, route), count in counts.items():
            weight = 1.0 if units == 1 else self._work.weight(route)
            sums[subject] += round(count * units * weight)
        return sums
