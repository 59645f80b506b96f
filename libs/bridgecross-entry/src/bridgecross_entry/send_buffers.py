"""Counts what callers have not read yet, and decides which read too slowly.

The operating system takes bytes from the send buffer of a connection as fast as
the caller reads them. What stays in the buffer is memory of this process.
"""

from collections.abc import Iterable
import dataclasses
from typing import Protocol

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib


@dataclasses.dataclass(frozen=True, slots=True)
class SendBufferSettings:
    """How slowly a caller may read."""

    # The throughput of a slow mobile link, 128 kbit/s.
    slow_link_bytes_per_s: float = 16_000.0
    # The size of an ordinary response that is large.
    response_bytes: int = 128_000
    # While memory is short, how long a caller may read nothing at all. A link
    # that lost a packet twice in a row moves again within 2 s.
    stuck_s: float = 2.5
    # The interval between checks.
    interval_s: float = 0.5
    # If checks are this far apart, this process was suspended or stalled, and
    # did not write either.
    stall_s: float = 2.0

    @property
    def read_timeout_s(self) -> float:
        """How long a caller on a slow link needs for an ordinary response."""
        return self.response_bytes / self.slow_link_bytes_per_s


class Connection(Protocol):
    """A connection to a caller."""

    @property
    def peer(self) -> str:
        """The address of the caller."""

    def unsent_bytes(self) -> int:
        """Returns the size of the send buffer."""

    def acknowledged_bytes(self) -> int:
        """Returns how many bytes the caller has acknowledged so far."""

    def abort(self) -> None:
        """Closes the connection and drops its send buffer."""


@dataclasses.dataclass(slots=True)
class _Backlog:
    """What one caller has not read yet."""

    # The bytes that the ledger counts.
    counted_bytes: int
    # When the current period of ``read_timeout_s`` began, and how many bytes of
    # the connection the caller had acknowledged by then.
    period_began_s: float
    period_began_bytes: int
    # When the caller was last found to have acknowledged more, and how many
    # bytes of the connection it has acknowledged.
    progress_s: float
    acknowledged_bytes: int


class SendBuffers:
    """Watches the send buffers of connections."""

    def __init__(
        self,
        settings: SendBufferSettings,
        ledger: memory_ledger.MemoryLedger,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Watches nothing yet."""
        self.settings = settings
        self._ledger = ledger
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._backlogs: dict[Connection, _Backlog] = {}
        self._checked_s = clock.monotonic_s()

    def note(self, connection: Connection) -> None:
        """Counts the send buffer of a connection."""
        unsent_bytes = connection.unsent_bytes()
        backlog = self._backlogs.get(connection)
        if not unsent_bytes:
            if backlog is not None:
                self.forget(connection)
            return
        if backlog is None:
            now_s = self._clock.monotonic_s()
            total_bytes = connection.acknowledged_bytes()
            backlog = self._backlogs[connection] = _Backlog(
                0, now_s, total_bytes, now_s, total_bytes
            )
        self._ledger.release(
            memory_ledger.Purpose.ANSWER, backlog.counted_bytes
        )
        self._ledger.reserve(memory_ledger.Purpose.ANSWER, unsent_bytes)
        backlog.counted_bytes = unsent_bytes

    def forget(self, connection: Connection) -> None:
        """Releases what is counted of a connection, which may have ended."""
        backlog = self._backlogs.pop(connection, None)
        if backlog is not None:
            self._ledger.release(
                memory_ledger.Purpose.ANSWER, backlog.counted_bytes
            )

    def check(self, connections: Iterable[Connection]) -> None:
        """Counts all send buffers, and closes connections of slow readers."""
        now_s = self._clock.monotonic_s()
        has_stalled = now_s - self._checked_s > self.settings.stall_s
        self._checked_s = now_s
        for connection in connections:
            self.note(connection)
        for connection, backlog in list(self._backlogs.items()):
            total_bytes = connection.acknowledged_bytes()
            if has_stalled:
                backlog.period_began_s = now_s
            if has_stalled or total_bytes != backlog.acknowledged_bytes:
                backlog.progress_s = now_s
            backlog.acknowledged_bytes = total_bytes
            reason = self._find_close_reason(backlog, now_s)
            if reason is not None:
                self._close(connection, backlog, now_s, reason)

    def _find_close_reason(self, backlog: _Backlog, now_s: float) -> str | None:
        """Returns why a connection must be closed; None if it may stay.

        A caller that reads a large response gets another period after each
        ordinary response's worth of bytes. While memory is short, it gets only
        one, and a caller that reads nothing at all gets less time, since other
        callers are refused meanwhile.
        """
        is_short = self._ledger.is_short
        if is_short and now_s - backlog.progress_s >= self.settings.stuck_s:
            return "it reads nothing while memory is short"
        if now_s - backlog.period_began_s < self.settings.read_timeout_s:
            return None
        read_bytes = backlog.acknowledged_bytes - backlog.period_began_bytes
        if read_bytes < self.settings.response_bytes:
            return "it reads too slowly"
        if is_short:
            return "it reads slowly while memory is short"
        backlog.period_began_s = now_s
        backlog.period_began_bytes = backlog.acknowledged_bytes
        return None

    def _close(
        self,
        connection: Connection,
        backlog: _Backlog,
        now_s: float,
        reason: str,
    ) -> None:
        """Closes the connection of a slow reader."""
        self._metrics.slow_readers_closed.inc({})
        self._journal.decision(
            "slow_reader_closed",
            caller=connection.peer,
            reason=reason,
            unsent_bytes=backlog.counted_bytes,
            read_bytes=backlog.acknowledged_bytes - backlog.period_began_bytes,
            waited_s=round(now_s - backlog.period_began_s, 1),
        )
        self.forget(connection)
        connection.abort()
