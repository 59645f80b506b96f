"""What backend servers say of themselves in their answers, and what holds then.

Whatever the list of servers says, a server's own word counts at the instance
that was told: that its run is leaving, until the run ends, and that it wants to
be left alone, for as long as it asked. It is kept by runs, since their entries
come and go.
"""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import model

_RUNS_MAX_COUNT = 10_000
"""Runs whose word is remembered, 0.2 KB each: 180 servers are replaced on an
ordinary day, and what is forgotten has left weeks ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeSettings:
    """How long what servers say is heeded."""

    # The part of the platform's drain bound in which a server that says that
    # it leaves may still be used. The bound runs from when the answer has been
    # passed on, and for callers who send after it; this runs from when the
    # answer was read, until a request is written. So all waits are inside, and
    # the rest is for clocks that differ, and for work that is to end in peace.
    leaving_use_ratio: float = 0.8
    # A rest is kept for as many times as long as was asked: clocks that run
    # slow by 2% are within the platform's promises.
    backoff_clock_ratio: float = 1.02


class Notices:
    """What servers said to this instance."""

    def __init__(
        self,
        settings: NoticeSettings,
        bounds: model.Bounds,
        journal: journals.Journal,
        clock: clocks.Clock,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        """Was told nothing.

        Args:
            settings: How long what is said is heeded.
            bounds: How long it may take.
            journal: Told of what is new, and of what makes no sense.
            clock: For all times; must go on while the machine is suspended.
            on_leaving: Called when a run says for the first time that it
                leaves.
        """
        self._leaving_use_s = (
            bounds.drain_ms / 1_000 * settings.leaving_use_ratio
        )
        self._rest_clock_ratio = settings.backoff_clock_ratio
        self._on_leaving = on_leaving
        self._journal = journal
        self._clock = clock
        self._unreadable = invalid_records.InvalidRecords("answers", journal)
        # When each run that is leaving first said so, the first of them first.
        self._leaving_told_s: dict[ids.ServerId, float] = {}
        # Until when each run wants to be left alone, the last to say so last.
        self._rest_until_s: dict[ids.ServerId, float] = {}
        # When the last of them has rested.
        self._all_rested_s = float("-inf")

    @property
    def leaving_count(self) -> int:
        """How many runs are remembered that said that they leave."""
        return len(self._leaving_told_s)

    @property
    def backoff_count(self) -> int:
        """How many runs want to be left alone at this moment."""
        now_s = self._clock.monotonic_s()
        return sum(until_s > now_s for until_s in self._rest_until_s.values())

    def is_leaving(self, server_id: ids.ServerId) -> bool:
        """Whether a run has said that it leaves."""
        return server_id in self._leaving_told_s

    def is_past_drain_limit(
        self, server_id: ids.ServerId, now_s: float
    ) -> bool:
        """Whether a run said so long ago that it leaves that it gets nothing.

        No entry of the list undoes that, only another run.
        """
        told_s = self._leaving_told_s.get(server_id)
        return told_s is not None and now_s >= told_s + self._leaving_use_s

    @property
    def any_wants_backoff(self) -> bool:
        """Whether any run wants to be left alone at this moment."""
        return self._clock.monotonic_s() < self._all_rested_s

    def wants_backoff(self, server_id: ids.ServerId) -> bool:
        """Whether a run wants to be left alone by this instance."""
        return self.backoff_left_s(server_id) > 0

    def backoff_left_s(self, server_id: ids.ServerId) -> float:
        """Returns for how long a run wants to be left alone; 0 if not."""
        until_s = self._rest_until_s.get(server_id)
        if until_s is None:
            return 0.0
        return max(until_s - self._clock.monotonic_s(), 0.0)

    def record(
        self, server: model.BackendServer, notice: attempts.Notice
    ) -> None:
        """Takes in what a server said in an answer."""
        if notice.problem:
            self._unreadable.note(
                "notice_unreadable",
                server.server_id,
                ValueError(notice.problem),
            )
        if notice.is_leaving:
            self._take_leaving(server)
        if notice.backoff_s > 0:
            self._take_rest(server, notice.backoff_s)

    def _take_leaving(self, server: model.BackendServer) -> None:
        """Takes in that a run is leaving; the first word of it counts."""
        server_id = server.server_id
        if server_id in self._leaving_told_s:
            return
        if len(self._leaving_told_s) >= _RUNS_MAX_COUNT:
            del self._leaving_told_s[next(iter(self._leaving_told_s))]
        self._leaving_told_s[server_id] = self._clock.monotonic_s()
        self._journal.decision(
            "server_says_leaving", server=server_id, service=server.service
        )
        self._on_leaving()

    def _take_rest(self, server: model.BackendServer, rest_s: float) -> None:
        """Takes in that a run wants to be left alone."""
        server_id = server.server_id
        now_s = self._clock.monotonic_s()
        before_s = self._rest_until_s.pop(server_id, now_s)
        if len(self._rest_until_s) >= _RUNS_MAX_COUNT:
            del self._rest_until_s[next(iter(self._rest_until_s))]
        until_s = now_s + rest_s * self._rest_clock_ratio
        self._rest_until_s[server_id] = max(before_s, until_s)
        self._all_rested_s = max(self._all_rested_s, until_s)
        if before_s <= now_s:
            self._journal.decision(
                "server_asks_rest",
                server=server_id,
                service=server.service,
                rest_s=rest_s,
            )
