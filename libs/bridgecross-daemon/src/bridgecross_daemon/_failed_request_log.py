"""Rate-limited log lines for requests that were not answered by a server."""

import dataclasses
from typing import NamedTuple

import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_request import requests

_INTERVAL_S = 1.0
"""The interval in which one line is logged per service, outcome and reason.

In an overload, thousands of requests per second are refused for one reason.
On-call engineers need the reason, one example and the count.
"""

_KINDS_MAX_COUNT = 100
"""How many kinds of failure are tracked before expired ones are removed.

Reasons may contain the names of servers, so their number is unbounded.
"""


class _Kind(NamedTuple):
    """Identifies failures that share one log line."""

    service: ids.ServiceName
    outcome: str
    reason: str


@dataclasses.dataclass
class _LastLine:
    """When a kind was last logged, and the number of requests since then."""

    logged_s: float
    suppressed_count: int = 0


class FailedRequestLog:
    """Logs requests that were not run, or whose outcome is unknown."""

    def __init__(self, instance: ids.InstanceId, clock: clocks.Clock) -> None:
        """Starts without logged kinds."""
        self._instance = instance
        self._clock = clock
        self._last_lines: dict[_Kind, _LastLine] = {}

    def record(
        self,
        request: requests.Request,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> None:
        """Logs a request, or counts it for the next line of its kind."""
        now_s = self._clock.monotonic_s()
        kind = _Kind(request.service, type(outcome).__name__, outcome.reason)
        last_line = self._last_lines.get(kind)
        if last_line is not None and now_s - last_line.logged_s < _INTERVAL_S:
            last_line.suppressed_count += 1
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
            last_line.suppressed_count if last_line else 0,
        )
        self._remove_expired(now_s)
        self._last_lines[kind] = _LastLine(now_s)

    def _remove_expired(self, now_s: float) -> None:
        """Removes expired kinds if there are too many, to bound memory."""
        if len(self._last_lines) < _KINDS_MAX_COUNT:
            return
        self._last_lines = {
            kind: last_line
            for kind, last_line in self._last_lines.items()
            if now_s - last_line.logged_s < _INTERVAL_S
        }
