"""The request rates to which backend servers limit all instances together.

A server that is overloaded names a limit in its answers, and it holds until an
answer shows that there is none. Answers may overtake one another, so a report
replaces another one only if its request was sent after the other was read. Of
reports whose order is unknown, the lower limit holds.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal as journals
from bridgecross_entry import model

_RUNS_MAX_COUNT = 10_000
"""Runs whose reports are kept, 0.2 KB each."""

_ENDED_KEPT_S = 120.0
"""How long the end of a limit is kept. An answer that is read later belongs to
a request that was sent after the end."""


class LimitReport(NamedTuple):
    """What an answer says about the limit of its server."""

    # The requests per second from all instances; infinite without a limit.
    limit_per_s: float
    # When the request was sent at the earliest, and when its answer was read at
    # the latest, on the monotonic clock of whoever keeps the report.
    sent_s: float
    read_s: float

    @property
    def is_limited(self) -> bool:
        """Whether the server limits the requests to it."""
        return math.isfinite(self.limit_per_s)


def merge(known: LimitReport | None, new: LimitReport) -> LimitReport:
    """Returns what two reports of the same run say together."""
    if known is None or new.sent_s >= known.read_s:
        return new
    if new.read_s <= known.sent_s:
        return known
    if not (known.is_limited and new.is_limited):
        # The one without a limit shows nothing as long as its place is unknown.
        return min(known, new)
    return LimitReport(
        min(known.limit_per_s, new.limit_per_s),
        min(known.sent_s, new.sent_s),
        max(known.read_s, new.read_s),
    )


class LimitAge(NamedTuple):
    """The limit of a run, and how an instance knows it."""

    limit_per_s: float
    # How long ago the newest answer or message that names it was read.
    age_s: float
    # Whether an answer to this instance named it; else it heard of it.
    is_told: bool


class _HeardLimit(NamedTuple):
    """A limit that other instances were told of."""

    limit_per_s: float
    # When it was heard of, and until when it is believed.
    heard_s: float
    until_s: float


class ReportedLimits:
    """The limits that servers named in their answers.

    Reports to this instance hold until another report replaces them; limits
    that it has only heard of hold for a limited time.
    """

    def __init__(self, journal: journals.Journal, clock: clocks.Clock) -> None:
        """Starts without reports.

        Args:
            journal: Logs limits that begin, change or end.
            clock: Measures ages; must advance while the machine is suspended.
        """
        # Called with each run whose limit ended by an answer to this instance.
        self.on_end: Callable[[ids.ServerId], None] = lambda _: None
        self._journal = journal
        self._clock = clock
        # The newest report of each run that has named a limit, in the order of
        # their last reports.
        self._reports: dict[ids.ServerId, LimitReport] = {}
        # The limits that others were told of.
        self._heard: dict[ids.ServerId, _HeardLimit] = {}

    @property
    def any_known(self) -> bool:
        """Whether any run may currently limit the requests to it."""
        return bool(self._reports) or bool(self._heard)

    def get(self, server_id: ids.ServerId) -> LimitReport | None:
        """Returns what this instance was told of a run; None if nothing."""
        return self._reports.get(server_id)

    def limit_per_s(self, server_id: ids.ServerId) -> float:
        """Returns the known limit of a run; infinite without a limit."""
        report = self._reports.get(server_id)
        told_per_s = report.limit_per_s if report else math.inf
        heard = self._heard.get(server_id)
        if heard is None or self._clock.monotonic_s() >= heard.until_s:
            return told_per_s
        return min(told_per_s, heard.limit_per_s)

    def get_age(self, server_id: ids.ServerId) -> LimitAge | None:
        """Returns how the limit of a run is known; None without a limit."""
        now_s = self._clock.monotonic_s()
        limit_per_s = self.limit_per_s(server_id)
        report = self._reports.get(server_id)
        if report is not None and report.limit_per_s == limit_per_s:
            if report.is_limited:
                return LimitAge(limit_per_s, now_s - report.read_s, True)
            return None
        heard = self._heard.get(server_id)
        if heard is None or not math.isfinite(limit_per_s):
            return None
        return LimitAge(limit_per_s, now_s - heard.heard_s, False)

    def list_limited(self) -> dict[ids.ServerId, float]:
        """Returns the limits of all runs that are known to have one."""
        return {
            server_id: self.limit_per_s(server_id)
            for server_id in {*self._reports, *self._heard}
            if self.is_limited(server_id)
        }

    def is_limited(self, server_id: ids.ServerId) -> bool:
        """Whether a run limits the requests of all instances."""
        return math.isfinite(self.limit_per_s(server_id))

    def hear(self, limits: Mapping[ids.ServerId, float], for_s: float) -> None:
        """Records the limits that the leader knows.

        One that it no longer names is believed for as long as before: a new
        leader learns of limits only when it is asked for quotas.

        Args:
            limits: The limits.
            for_s: How long they are believed without another message.
        """
        now_s = self._clock.monotonic_s()
        for server_id, limit_per_s in limits.items():
            heard = _HeardLimit(limit_per_s, now_s, now_s + for_s)
            self._heard[server_id] = heard

    def record(
        self, server: model.BackendServer, notice: attempts.Notice
    ) -> None:
        """Records what an answer says about the limit of its server."""
        limit_per_s = notice.limit_per_s
        known = self._reports.get(server.server_id)
        if limit_per_s is None:
            if known is None:
                return
            limit_per_s = math.inf
        now_s = self._clock.monotonic_s()
        new = LimitReport(limit_per_s, notice.sent_s, now_s)
        self._store(server.server_id, server.service, merge(known, new))

    def end(self, server_id: ids.ServerId, before_s: float) -> None:
        """Forgets a limit of which the leader knows that it has ended.

        That is no report of the server to this instance: when its answer was
        asked for is known to others only.

        Args:
            server_id: The run.
            before_s: A report that was read later than this still holds, and
                so does a limit that was heard of later.
        """
        heard = self._heard.get(server_id)
        if heard is not None and heard.heard_s <= before_s:
            del self._heard[server_id]
        known = self._reports.get(server_id)
        if known is None or known.read_s > before_s:
            return
        del self._reports[server_id]
        if known.is_limited:
            self._log_change(server_id, None, math.inf)

    def sweep(self) -> None:
        """Drops what was heard long ago, and ends that all answers know."""
        now_s = self._clock.monotonic_s()
        ended_before_s = now_s - _ENDED_KEPT_S
        self._reports = {
            server_id: report
            for server_id, report in self._reports.items()
            if report.is_limited or report.read_s > ended_before_s
        }
        self._heard = {
            server_id: heard
            for server_id, heard in self._heard.items()
            if heard.until_s > now_s
        }

    def _store(
        self,
        server_id: ids.ServerId,
        service: ids.ServiceName,
        report: LimitReport,
    ) -> None:
        """Stores a report, and logs what it changes."""
        known = self._reports.pop(server_id, None)
        if len(self._reports) >= _RUNS_MAX_COUNT:
            del self._reports[next(iter(self._reports))]
        self._reports[server_id] = report
        limit_before_per_s = known.limit_per_s if known else math.inf
        if report.limit_per_s == limit_before_per_s:
            return
        self._log_change(server_id, service, report.limit_per_s)
        if not report.is_limited:
            self.on_end(server_id)

    def _log_change(
        self,
        server_id: ids.ServerId,
        service: ids.ServiceName | None,
        limit_per_s: float,
    ) -> None:
        """Logs that a limit began, changed or ended."""
        is_limited = math.isfinite(limit_per_s)
        self._journal.decision(
            "server_limit" if is_limited else "server_limit_ended",
            server=server_id,
            service=service,
            limit_per_s=limit_per_s if is_limited else None,
        )
