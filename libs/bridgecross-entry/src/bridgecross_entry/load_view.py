"""The load of one service over all instances, as its coordinator sees it."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from bridgecross_core import ids
from bridgecross_entry import load
from bridgecross_entry import model
from bridgecross_entry import planner


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How reports are averaged."""

    # The times over which requests count, falling off evenly. The short one
    # sees a hot key at once but is off by 20% at 35 requests/s a server; the
    # long one is off by 10%.
    fast_window_s: float = 0.8
    slow_window_s: float = 3.0
    # The same for the time that servers need; speeds change less often.
    server_window_s: float = 5.0
    # Reports are summed up over this time: two of each instance.
    step_s: float = 0.5
    # Answers of a server that weigh as much as the mean of its service.
    prior_count: float = 6.0
    # What a request is taken to need before one has been seen.
    first_guess_s: float = 0.1


class _KeyWeights:
    """Requests by key, where older ones count less."""

    # Keys with a smaller weight are forgotten.
    _LEAST = 0.01

    def __init__(self, window_s: float) -> None:
        """Starts without any."""
        self._window_s = window_s
        self._weights: dict[int, float] = {}
        # The part of the window that has passed since the first request;
        # until it is full, fewer requests mean the same load.
        self._filled_ratio = 0.0

    def add(self, key: int, requests: int) -> None:
        """Counts requests for a key."""
        self._weights[key] = self._weights.get(key, 0.0) + requests

    def decay(self, passed_s: float) -> None:
        """Lets requests count less as time passes."""
        keep = math.exp(-passed_s / self._window_s)
        if self._weights:
            self._filled_ratio = 1.0 - (1.0 - self._filled_ratio) * keep
        self._weights = {
            key: weight * keep
            for key, weight in self._weights.items()
            if weight * keep > self._LEAST
        }

    def load(self) -> planner.KeyLoad:
        """Returns the requests a second of each key."""
        window_s = self._window_s * max(self._filled_ratio, 0.1)
        return planner.KeyLoad(
            {key: weight / window_s for key, weight in self._weights.items()}
        )


class LoadView:
    """Sums up the reports of all instances."""

    def __init__(self, settings: LoadSettings) -> None:
        """Starts without any load."""
        self._settings = settings
        self._fast = _KeyWeights(settings.fast_window_s)
        self._slow = _KeyWeights(settings.slow_window_s)
        # Answers and slot time of each server, older ones counting less.
        self._answers: collections.defaultdict[ids.ServerId, float]
        self._answers = collections.defaultdict(float)
        self._worked_s: collections.defaultdict[ids.ServerId, float]
        self._worked_s = collections.defaultdict(float)
        # The same since the last step, from sending to answer.
        self._step_answers: collections.Counter[ids.ServerId]
        self._step_answers = collections.Counter()
        self._step_busy_s: collections.defaultdict[ids.ServerId, float]
        self._step_busy_s = collections.defaultdict(float)
        self._decayed_s: float | None = None
        self._stepped_s: float | None = None

    def take(
        self,
        keys: tuple[load.KeyCount, ...],
        servers: tuple[load.ServerCount, ...],
    ) -> None:
        """Adds one report."""
        for key, requests in keys:
            self._fast.add(key, requests)
            self._slow.add(key, requests)
        for server_id, answers, busy_s in servers:
            self._step_answers[server_id] += answers
            self._step_busy_s[server_id] += busy_s

    def advance(
        self, servers: Iterable[model.BackendServer], now_s: float
    ) -> None:
        """Lets older requests count less, and sums up what servers did."""
        if self._decayed_s is None or self._stepped_s is None:
            self._decayed_s = self._stepped_s = now_s
            return
        passed_s = now_s - self._decayed_s
        self._decayed_s = now_s
        self._fast.decay(passed_s)
        self._slow.decay(passed_s)
        passed_s = now_s - self._stepped_s
        if passed_s >= self._settings.step_s:
            self._stepped_s = now_s
            self._sum_up(servers, passed_s)

    def _sum_up(
        self, servers: Iterable[model.BackendServer], passed_s: float
    ) -> None:
        """Adds what each server did since the last step.

        A server cannot work for longer than its slots allow; the rest of the
        time from sending to answer was waiting in its queue (Little's law).
        """
        keep = math.exp(-passed_s / self._settings.server_window_s)
        for server in servers:
            server_id = server.server_id
            worked_s = min(
                self._step_busy_s[server_id], passed_s * server.slots
            )
            self._worked_s[server_id] *= keep
            self._worked_s[server_id] += worked_s
            self._answers[server_id] *= keep
            self._answers[server_id] += self._step_answers[server_id]
        self._step_answers.clear()
        self._step_busy_s.clear()

    def fast_load(self) -> planner.KeyLoad:
        """Returns the load of each key over the last second or so."""
        return self._fast.load()

    def slow_load(self) -> planner.KeyLoad:
        """Returns the load of each key over some seconds."""
        return self._slow.load()

    def rooms(
        self, servers: Iterable[model.BackendServer]
    ) -> dict[ids.ServerId, float]:
        """Returns the requests a second that each server can work on."""
        servers = list(servers)
        settings = self._settings
        answers = sum(self._answers[s.server_id] for s in servers)
        worked_s = sum(self._worked_s[s.server_id] for s in servers)
        prior = settings.prior_count
        mean_s = (worked_s + prior * settings.first_guess_s) / (answers + prior)
        rooms = {}
        for server in servers:
            worked_s = self._worked_s[server.server_id] + prior * mean_s
            answers = self._answers[server.server_id] + prior
            rooms[server.server_id] = server.slots * answers / worked_s
        return rooms
