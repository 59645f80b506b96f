"""Tracks what backend servers report about themselves in their answers.

A server's report takes precedence over the list of servers at the instance that
received it: that its run is leaving, until the run ends, that it asks for a
backoff, for as long as it asked, and that it limits the rate of requests, until
it says otherwise. Reports are stored by run, since the entries of the list come
and go.
"""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import rate_limits

_RUNS_MAX_COUNT = 10_000
"""Runs whose reports are kept, 0.2 KB each: 180 servers are replaced on an
ordinary day, so a run that is dropped has left weeks ago."""

_UNKNOWN_HEADERS_MAX_COUNT = 200
"""Unknown headers that are logged, by service and name; servers that make names
up must not fill the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeSettings:
    """Settings for how long reports of servers are respected."""

    # The fraction of the platform's drain bound during which a server that
    # reported that it leaves may still be used. The bound runs from when the
    # answer was forwarded, and for callers that send after it; this time runs
    # from when the answer was read until a request is written. So all waits are
    # included, and the remainder allows for clock differences and lets work
    # finish undisturbed.
    leaving_use_ratio: float = 0.8
    # Backoffs are longer than requested by this factor: the platform allows
    # clocks that run slow by 2%.
    backoff_clock_ratio: float = 1.02


class Notices:
    """The reports that servers sent to this instance."""

    def __init__(
        self,
        settings: NoticeSettings,
        bounds: model.Bounds,
        journal: journals.Journal,
        clock: clocks.Clock,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts without any reports.

        Args:
            settings: How long reports are respected.
            bounds: The platform's time bounds.
            journal: Logs new and invalid reports.
            clock: The time source; must advance while the machine is suspended.
            on_leaving: Called when a run first reports that it is leaving.
        """
        # The limits on the rate of requests.
        self.limits = rate_limits.ReportedLimits(journal, clock)
        self._leaving_use_s = (
            bounds.drain_ms / 1_000 * settings.leaving_use_ratio
        )
        self._backoff_clock_ratio = settings.backoff_clock_ratio
        self._on_leaving = on_leaving
        self._journal = journal
        self._clock = clock
        # The services and names of unknown headers that were logged.
        self._unknown_headers: set[tuple[ids.ServiceName, str]] = set()
        self._invalid_reports = invalid_records.InvalidRecords(
            "answers", journal
        )
        # When each leaving run first reported it, oldest first.
        self._leaving_since_s: dict[ids.ServerId, float] = {}
        # The end of each run's backoff, in the order of their last reports.
        self._backoff_until_s: dict[ids.ServerId, float] = {}
        # When the last of these backoffs is over.
        self._last_backoff_ends_s = float("-inf")

    @property
    def leaving_count(self) -> int:
        """The number of stored runs that reported that they are leaving."""
        return len(self._leaving_since_s)

    @property
    def backoff_count(self) -> int:
        """The number of runs that are currently in a backoff."""
        now_s = self._clock.monotonic_s()
        return sum(
            until_s > now_s for until_s in self._backoff_until_s.values()
        )

    def is_leaving(self, server_id: ids.ServerId) -> bool:
        """Whether a run has reported that it is leaving."""
        return server_id in self._leaving_since_s

    def is_past_drain_limit(
        self, server_id: ids.ServerId, now_s: float
    ) -> bool:
        """Whether a run has been leaving for too long to be sent requests.

        No entry of the list of servers reverts this; only another run of the
        server is usable again.
        """
        since_s = self._leaving_since_s.get(server_id)
        return since_s is not None and now_s >= since_s + self._leaving_use_s

    @property
    def any_wants_backoff(self) -> bool:
        """Whether any run is currently in a backoff."""
        return self._clock.monotonic_s() < self._last_backoff_ends_s

    def wants_backoff(self, server_id: ids.ServerId) -> bool:
        """Whether a run is in a backoff from this instance."""
        return self.backoff_left_s(server_id) > 0

    def backoff_left_s(self, server_id: ids.ServerId) -> float:
        """Returns the rest of a run's backoff; 0 if there is none."""
        until_s = self._backoff_until_s.get(server_id)
        if until_s is None:
            return 0.0
        return max(until_s - self._clock.monotonic_s(), 0.0)

    def record(
        self, server: model.BackendServer, notice: attempts.Notice
    ) -> None:
        """Records what a server reported in an answer."""
        if notice.problem:
            self._invalid_reports.note(
                "notice_unreadable",
                server.server_id,
                ValueError(notice.problem),
            )
        for header in notice.unknown_headers:
            self._note_unknown(server, header)
        if notice.is_leaving:
            self._record_leaving(server)
        if notice.backoff_s > 0:
            self._record_backoff(server, notice.backoff_s)
        self.limits.record(server, notice)

    @property
    def unknown_header_count(self) -> int:
        """The number of headers, by service and name, that are not known."""
        return len(self._unknown_headers)

    def _note_unknown(
        self, server: model.BackendServer, header: attempts.UnknownHeader
    ) -> None:
        """Logs a header that is not known, once for each service."""
        key = (server.service, header.name)
        is_full = len(self._unknown_headers) >= _UNKNOWN_HEADERS_MAX_COUNT
        if key in self._unknown_headers or is_full:
            return
        self._unknown_headers.add(key)
        self._journal.decision(
            "server_header_unknown",
            server=server.server_id,
            service=server.service,
            header=header.name,
            value=header.value,
        )

    def _record_leaving(self, server: model.BackendServer) -> None:
        """Records that a run is leaving; only its first report counts."""
        server_id = server.server_id
        if server_id in self._leaving_since_s:
            return
        if len(self._leaving_since_s) >= _RUNS_MAX_COUNT:
            del self._leaving_since_s[next(iter(self._leaving_since_s))]
        self._leaving_since_s[server_id] = self._clock.monotonic_s()
        self._journal.decision(
            "server_says_leaving", server=server_id, service=server.service
        )
        self._on_leaving()

    def _record_backoff(
        self, server: model.BackendServer, backoff_s: float
    ) -> None:
        """Records that a run asks for a backoff."""
        server_id = server.server_id
        now_s = self._clock.monotonic_s()
        previous_until_s = self._backoff_until_s.pop(server_id, now_s)
        if len(self._backoff_until_s) >= _RUNS_MAX_COUNT:
            del self._backoff_until_s[next(iter(self._backoff_until_s))]
        until_s = now_s + backoff_s * self._backoff_clock_ratio
        self._backoff_until_s[server_id] = max(previous_until_s, until_s)
        self._last_backoff_ends_s = max(self._last_backoff_ends_s, until_s)
        if previous_until_s <= now_s:
            self._journal.decision(
                "server_asks_rest",
                server=server_id,
                service=server.service,
                rest_s=backoff_s,
            )
