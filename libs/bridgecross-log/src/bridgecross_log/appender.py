"""Appends a record and learns its fate by reading it back.

An acknowledgement can be lost, so the only proof that a record counts is to
see it in the stream. The reader reports every record's verdict here; a writer
waits for its own.
"""

import dataclasses

import anyio

from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import records
from bridgecross_log import service


@dataclasses.dataclass(frozen=True)
class Applied:
    """The record is in the log and every reader applies it."""

    # Where the record is.
    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class Void:
    """The record is in the log and every reader ignores it."""

    # Where the record is.
    offset: ids.Offset
    # The rule that it breaks.
    reason: str


@dataclasses.dataclass(frozen=True)
class NotAppended:
    """The log refused the record; it will never appear."""

    # What the log said.
    reason: str


@dataclasses.dataclass(frozen=True)
class FateUnknown:
    """The record has not been seen in time; it may still appear."""

    # What is known.
    reason: str


Verdict = Applied | Void
"""What a reader makes of a record."""

AppendOutcome = Applied | Void | NotAppended | FateUnknown
"""What a writer learns about its record."""


class _Waiter:
    """A writer that waits for the verdict on its record."""

    def __init__(self) -> None:
        self.seen = anyio.Event()
        self.verdict: Verdict | None = None


@dataclasses.dataclass(frozen=True)
class AppenderSettings:
    """How records are appended."""

    # The stream to append to.
    stream: str
    # The name that records carry as their writer.
    writer: str
    # How long to wait until the record is seen in the stream.
    fate_timeout_ms: int = 1_500


class Appender:
    """Appends records to one stream for one writer."""

    def __init__(
        self,
        settings: AppenderSettings,
        log: service.LogService,
        clock: hybrid_clock.HybridClock,
    ) -> None:
        """Appends nothing yet."""
        self._settings = settings
        self._log = log
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}

    def report(self, record_id: str, verdict: Verdict) -> None:
        """Tells the writer of a record, if it waits, what became of it.

        The first verdict on a record id stands: a second copy of the same
        record is void for every reader and says nothing about the first.
        """
        waiter = self._waiters.get(record_id)
        if waiter is not None and waiter.verdict is None:
            waiter.verdict = verdict
            waiter.seen.set()

    async def append(self, kind: str, body: bytes) -> AppendOutcome:
        """Appends a record and waits for the reader's verdict on it."""
        envelope = records.Envelope(
            record_id=records.new_record_id(),
            kind=kind,
            writer=self._settings.writer,
            stamp=self._clock.tick(),
            body=body,
        )
        waiter = _Waiter()
        self._waiters[envelope.record_id] = waiter
        try:
            return await self._append_and_wait(envelope, waiter)
        finally:
            del self._waiters[envelope.record_id]

    async def _append_and_wait(
        self, envelope: records.Envelope, waiter: _Waiter
    ) -> AppendOutcome:
        """Appends the envelope; a lost acknowledgement changes nothing."""
        reason = "not seen in the stream in time"
        try:
            await self._log.append(
                self._settings.stream, records.encode_envelope(envelope)
            )
        except service.AppendRefusedError as error:
            return NotAppended(str(error))
        except service.AppendFateUnknownError as error:
            reason = str(error)
        with anyio.move_on_after(self._settings.fate_timeout_ms / 1_000):
            await waiter.seen.wait()
        return waiter.verdict or FateUnknown(reason)
