"""The load of one service over all instances, as its coordinator sees it."""

import collections
import dataclasses
import math

from bridgecross_core import ids
from bridgecross_entry import load
from bridgecross_entry import planner
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How reports are averaged."""

    # The time over which requests count, falling off evenly. At 35 requests/s
    # a server, 2 s give 70 requests: 12% of noise.
    key_window_s: float = 2.0
    # The same for the time that servers need; speeds change less often.
    server_window_s: float = 4.0
    # Answers of a server that weigh as much as the mean of its service.
    prior_count: float = 6.0
    # What a request is taken to need before one has been seen.
    first_guess_s: float = 0.1
    # An instance that has not reported for this long is not counted.
    report_timeout_s: float = 2.5


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

    def room_of(self, server: servers_lib.Server) -> float:
        """Returns the requests a second that a server can work on."""
        settings = self._settings
        total = sum(self._answers.values())
        mean_s = settings.first_guess_s
        if total > settings.prior_count:
            mean_s = sum(self._busy_s.values()) / total
        server_id = server.listed.server_id
        count = self._answers[server_id]
        busy_s = self._busy_s[server_id]
        prior = settings.prior_count
        latency_s = (busy_s + prior * mean_s) / (count + prior)
        # By Little's law; with more requests than slots at the server, the
        # time from sending to answer contains waiting in its queue.
        concurrency = busy_s / settings.server_window_s
        slots = server.listed.slots
        service_s = latency_s * min(1.0, slots / max(concurrency, 1e-9))
        return slots / max(service_s, 1e-4)
