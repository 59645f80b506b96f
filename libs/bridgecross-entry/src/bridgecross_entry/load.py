"""Load reports that an instance sends to the coordinator of a service."""

import collections
from typing import NamedTuple

from bridgecross_core import ids

_MAX_REPORTED_KEYS = 400
"""The number of keys in one report, busiest first; 400 take about 3 KB."""


class KeyCount(NamedTuple):
    """The number of requests for one key."""

    key: int
    requests: int


class ServerCount(NamedTuple):
    """The number of answers of one server and the time that they took."""

    server_id: ids.ServerId
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


class LoadCounter:
    """Counts one service's requests by key and by server."""

    def __init__(self) -> None:
        """Starts all counts at zero."""
        self._keys: collections.Counter[int] = collections.Counter()
        self._counts: collections.Counter[ids.ServerId] = collections.Counter()
        self._busy_s: collections.defaultdict[ids.ServerId, float]
        self._busy_s = collections.defaultdict(float)

    def count_key(self, key: int) -> None:
        """Counts a request for a key."""
        self._keys[key] += 1

    def count_answer(self, server_id: ids.ServerId, busy_s: float) -> None:
        """Counts an answer of a server."""
        self._counts[server_id] += 1
        self._busy_s[server_id] += busy_s

    def pop_counts(
        self,
    ) -> tuple[tuple[KeyCount, ...], tuple[ServerCount, ...]]:
        """Returns the counts since the last call, and resets them."""
        keys = tuple(
            KeyCount(key, count)
            for key, count in self._keys.most_common(_MAX_REPORTED_KEYS)
        )
        servers = tuple(
            ServerCount(server_id, count, self._busy_s[server_id])
            for server_id, count in self._counts.items()
        )
        self._keys.clear()
        self._counts.clear()
        self._busy_s.clear()
        return keys, servers
