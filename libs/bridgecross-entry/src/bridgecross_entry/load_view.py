"""Aggregates the load reports of all instances for one service."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from bridgecross_core import ids
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import model
from bridgecross_entry import planner


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How load reports are averaged."""

    # Time constants of the exponential decay of request counts. The short one
    # shows a hot key at once but has an error of 20% at 35 requests/s per
    # server; the long one has an error of 10%.
    fast_window_s: float = 0.8
    slow_window_s: float = 3.0
    # The same for the processing time of servers, which changes less often.
    server_window_s: float = 5.0
    # Reports are summed over this time, which covers two of each instance.
    step_s: float = 0.5
    # The weight of the service's mean processing time in the estimate for one
    # server, as a number of answers.
    prior_count: float = 6.0
    # The assumed processing time of a request before any was measured.
    first_guess_s: float = 0.1


class _KeyWeights:
    """Exponentially decaying request counts by key."""

    # Keys with a smaller weight are dropped.
    _MIN_WEIGHT = 0.01

    def __init__(self, window_s: float) -> None:
        """Starts without any requests."""
        self._window_s = window_s
        self._weights: dict[int, float] = {}
        # The share of the window that has passed since the first request;
        # until it is 1, counts are scaled up accordingly.
        self._filled_ratio = 0.0

    def add(self, key: int, requests: int) -> None:
        """Counts requests for a key."""
        self._weights[key] = self._weights.get(key, 0.0) + requests

    def decay(self, passed_s: float) -> None:
        """Reduces the weight of earlier requests by the time passed."""
        decay_factor = math.exp(-passed_s / self._window_s)
        if self._weights:
            self._filled_ratio = 1.0 - (1.0 - self._filled_ratio) * decay_factor
        self._weights = {
            key: weight * decay_factor
            for key, weight in self._weights.items()
            if weight * decay_factor > self._MIN_WEIGHT
        }

    def load(self) -> planner.KeyLoad:
        """Returns the requests per second of each key."""
        window_s = self._window_s * max(self._filled_ratio, 0.1)
        return planner.KeyLoad(
            {key: weight / window_s for key, weight in self._weights.items()}
        )


class LoadView:
    """Aggregates the load reports of all instances."""

    def __init__(self, settings: LoadSettings) -> None:
        """Starts without any load."""
        self._settings = settings
        self._fast = _KeyWeights(settings.fast_window_s)
        self._slow = _KeyWeights(settings.slow_window_s)
        # Decaying answer counts and slot time of each server.
        self._answers: collections.defaultdict[ids.ServerId, float]
        self._answers = collections.defaultdict(float)
        self._busy_slot_s: collections.defaultdict[ids.ServerId, float]
        self._busy_slot_s = collections.defaultdict(float)
        # Answer counts since the last step, and the time from sending to
        # answer, which includes queueing.
        self._step_answers: collections.Counter[ids.ServerId]
        self._step_answers = collections.Counter()
        self._step_busy_s: collections.defaultdict[ids.ServerId, float]
        self._step_busy_s = collections.defaultdict(float)
        self._last_decay_s: float | None = None
        self._last_step_s: float | None = None

    def add_report(
        self,
        keys: tuple[load.KeyCount, ...],
        servers: tuple[load.ServerCount, ...],
    ) -> int:
        """Adds one load report.

        Returns:
            The number of its keys that do not exist, which are left out.
        """
        unknown_count = 0
        for key, requests in keys:
            if not keymap.FIRST_KEY <= key <= keymap.LAST_KEY:
                unknown_count += 1
                continue
            self._fast.add(key, requests)
            self._slow.add(key, requests)
        for server_id, answers, busy_s in servers:
            self._step_answers[server_id] += answers
            self._step_busy_s[server_id] += busy_s
        return unknown_count

    def advance(
        self, servers: Iterable[model.BackendServer], now_s: float
    ) -> None:
        """Decays older requests, and updates the servers' answer statistics."""
        if self._last_decay_s is None or self._last_step_s is None:
            self._last_decay_s = self._last_step_s = now_s
            return
        passed_s = now_s - self._last_decay_s
        self._last_decay_s = now_s
        self._fast.decay(passed_s)
        self._slow.decay(passed_s)
        passed_s = now_s - self._last_step_s
        if passed_s >= self._settings.step_s:
            self._last_step_s = now_s
            self._sum_up(servers, passed_s)

    def _sum_up(
        self, servers: Iterable[model.BackendServer], passed_s: float
    ) -> None:
        """Adds the answers of each server since the last step.

        A server cannot work for longer than its slots allow; the rest of the
        time from sending to answer was spent in its queue (Little's law).
        """
        decay_factor = math.exp(-passed_s / self._settings.server_window_s)
        for server in servers:
            server_id = server.server_id
            busy_slot_s = min(
                self._step_busy_s[server_id], passed_s * server.slots
            )
            self._busy_slot_s[server_id] *= decay_factor
            self._busy_slot_s[server_id] += busy_slot_s
            self._answers[server_id] *= decay_factor
            self._answers[server_id] += self._step_answers[server_id]
        self._step_answers.clear()
        self._step_busy_s.clear()

    def fast_load(self) -> planner.KeyLoad:
        """Returns the load of each key over the last second or so."""
        return self._fast.load()

    def slow_load(self) -> planner.KeyLoad:
        """Returns the load of each key over several seconds."""
        return self._slow.load()

    def capacities(
        self, servers: Iterable[model.BackendServer]
    ) -> dict[ids.ServerId, float]:
        """Returns the requests per second that each server can process."""
        servers = list(servers)
        settings = self._settings
        answers = sum(self._answers[s.server_id] for s in servers)
        busy_slot_s = sum(self._busy_slot_s[s.server_id] for s in servers)
        prior_count = settings.prior_count
        mean_s = (busy_slot_s + prior_count * settings.first_guess_s) / (
            answers + prior_count
        )
        capacities = {}
        for server in servers:
            busy_slot_s = (
                self._busy_slot_s[server.server_id] + prior_count * mean_s
            )
            answers = self._answers[server.server_id] + prior_count
            capacities[server.server_id] = server.slots * answers / busy_slot_s
        return capacities
