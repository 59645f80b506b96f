"""The load of one service over all instances, as its coordinator sees it."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from bridgecross_core import ids
from bridgecross_entry import load
from bridgecross_entry import model
from bridgecross_entry import planner
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How reports are averaged."""

    # The time over which requests count, falling off evenly. At 35 requests/s
    # a server, 1 s gives 35 requests: 17% of noise, half of what it takes for
    # a move. Longer windows see a hot key later: 2 s took 1.1 s, 0.9 s more
    # than it takes to move it.
    key_window_s: float = 1.0
    # The same for the time that servers need; speeds change less often.
    server_window_s: float = 4.0
    # Answers of a server that weigh as much as the mean of its service.
    prior_count: float = 6.0
    # What a request is taken to need before one has been seen.
    first_guess_s: float = 0.1


class LoadView:
    """Sums up the reports of all instances."""

    def __init__(self, settings: LoadSettings) -> None:
        """Starts without any load."""
        self._settings = settings
        self._keys: dict[int, float] = {}
        self._answers: collections.defaultdict[ids.ServerId, float]
        self._answers = collections.defaultdict(float)
        self._busy_s: collections.defaultdict[ids.ServerId, float]
        self._busy_s = collections.defaultdict(float)
        self._decayed_s = 0.0

    def take(
        self,
        keys: tuple[load.KeyCount, ...],
        servers: tuple[load.ServerCount, ...],
    ) -> None:
        """Adds one report."""
        for key, count in keys:
            self._keys[key] = self._keys.get(key, 0.0) + count
        for server_id, count, busy_s in servers:
            self._answers[server_id] += count
            self._busy_s[server_id] += busy_s

    def decay(self, now_s: float) -> None:
        """Lets older requests count less."""
        passed_s = now_s - self._decayed_s
        self._decayed_s = now_s
        keep = math.exp(-passed_s / self._settings.key_window_s)
        least = 0.01
        self._keys = {
            key: weight * keep
            for key, weight in self._keys.items()
            if weight * keep > least
        }
        keep = math.exp(-passed_s / self._settings.server_window_s)
        for server_id in list(self._answers):
            self._answers[server_id] *= keep
            self._busy_s[server_id] *= keep

    def key_load(self) -> planner.KeyLoad:
        """Returns the requests a second of each key."""
        window_s = self._settings.key_window_s
        return planner.KeyLoad(
            {key: weight / window_s for key, weight in self._keys.items()}
        )

    def rooms(
        self, servers: Iterable[servers_lib.Server]
    ) -> dict[ids.ServerId, float]:
        """Returns the requests a second that each server can work on."""
        listed = [server.listed for server in servers]
        needed_s = {s.server_id: self._service_s(s) for s in listed}
        answers = {s.server_id: self._answers[s.server_id] for s in listed}
        prior = self._settings.prior_count
        total = sum(answers.values()) + prior
        mean_s = prior * self._settings.first_guess_s
        mean_s += sum(answers[s] * needed_s[s] for s in answers)
        mean_s /= total
        rooms = {}
        for server in listed:
            count = answers[server.server_id]
            blend_s = count * needed_s[server.server_id] + prior * mean_s
            blend_s /= count + prior
            rooms[server.server_id] = server.slots / max(blend_s, 1e-4)
        return rooms

    def _service_s(self, server: model.BackendServer) -> float:
        """Returns how long a server works on a request.

        By Little's law: with more requests than slots at the server, the time
        from sending to answer contains waiting in its queue.
        """
        answers = self._answers[server.server_id]
        if answers <= 0:
            return 0.0
        busy_s = self._busy_s[server.server_id]
        concurrency = busy_s / self._settings.server_window_s
        share = min(1.0, server.slots / max(concurrency, 1e-9))
        return busy_s / answers * share
