"""What an instance tells the coordinator of a service about its load."""

import collections
from typing import NamedTuple

from bridgecross_core import ids

_KEYS_MAX_COUNT = 400
"""Keys in one report, the busiest ones; 400 are about 3 KB."""


class KeyCount(NamedTuple):
    """Requests for one key."""

    key: int
    requests: int


class ServerCount(NamedTuple):
    """Answers of one server."""

    server_id: ids.ServerId
    answers: int
    # The sum over the answers of the time from sending to answer.
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
        """Starts at zero."""
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

    def take(
        self,
    ) -> tuple[tuple[KeyCount, ...], tuple[ServerCount, ...]]:
        """Returns the counts since the last call, and starts anew."""
        keys = tuple(
            KeyCount(key, count)
            for key, count in self._keys.most_common(_KEYS_MAX_COUNT)
        )
        servers = tuple(
            ServerCount(server_id, count, self._busy_s[server_id])
            for server_id, count in self._counts.items()
        )
        self._keys.clear()
        self._counts.clear()
        self._busy_s.clear()
        return keys, servers
