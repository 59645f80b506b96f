"""Log lines for requests that end without an answer of their server."""

import dataclasses
from typing import NamedTuple

import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_request import requests

_PERIOD_S = 1.0
"""One line in this time tells of requests that end alike.

An overload refuses thousands a second for one reason; on-call engineers need
the reason, an example and a count.
"""

_KINDS_MAX_COUNT = 100
"""Kinds that are kept apart at one time; reasons may hold names of servers."""


class _Kind(NamedTuple):
    """What requests that end alike have in common."""

    service: ids.ServiceName
    outcome: str
    reason: str


@dataclasses.dataclass
class _Told:
    """When a kind was last told, and how many came since."""

    at_s: float
    untold_count: int = 0


class FailedRequestLog:
    """Tells of requests that were not run, or whose outcome is unknown."""

    def __init__(self, instance: ids.InstanceId, clock: clocks.Clock) -> None:
        """Has told nothing yet."""
        self._instance = instance
        self._clock = clock
        self._told: dict[_Kind, _Told] = {}

    def note(
        self,
        request: requests.Request,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> None:
        """Writes a line, or counts the request for the next one."""
        now_s = self._clock.monotonic_s()
        kind = _Kind(request.service, type(outcome).__name__, outcome.reason)
        told = self._told.get(kind)
        if told is not None and now_s - told.at_s < _PERIOD_S:
            told.untold_count += 1
            return
        loguru.logger.warning(
            "{}: {} {}/{} {}: {}; {:.3f} s left, {} more like it",
            self._instance,
            request.request_id,
            request.service,
            request.key,
            kind.outcome,
            kind.reason,
            request.deadline_s - now_s,
            told.untold_count if told else 0,
        )
        self._forget_old(now_s)
        self._told[kind] = _Told(now_s)

    def _forget_old(self, now_s: float) -> None:
        """Keeps the memory bounded; what is dropped was told long ago."""
        if len(self._told) < _KINDS_MAX_COUNT:
            return
        self._told = {
            kind: told
            for kind, told in self._told.items()
            if now_s - told.at_s < _PERIOD_S
        }
