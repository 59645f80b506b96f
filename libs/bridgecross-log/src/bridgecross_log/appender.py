"""Appends a record and confirms it by reading it back.

An acknowledgement can be lost, so only reading a record back from the stream
proves that it is valid. The reader of the stream reports its verdict on every
record to the ``Appender``; a writer waits for the verdict on its own record.
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

    # The offset of the record.
    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class Void:
    """The record is in the log and every reader ignores it."""

    # The offset of the record.
    offset: ids.Offset
    # The rule that the record violates.
    reason: str


@dataclasses.dataclass(frozen=True)
class NotAppended:
    """The log refused the record; it will never appear."""

    # The reason given by the log.
    reason: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The record was not read back in time; it may still appear."""

    # The error, if there was one.
    reason: str


Verdict = Applied | Void
"""A reader's verdict on a record."""

AppendOutcome = Applied | Void | NotAppended | OutcomeUnknown
"""The outcome of an append, as its writer learns it."""


class _Waiter:
    """A writer that waits for the verdict on its record."""

    def __init__(self) -> None:
        self.seen = anyio.Event()
        self.verdict: Verdict | None = None


@dataclasses.dataclass(frozen=True)
class AppenderSettings:
    """Settings of an appender."""

    # The stream to append to.
    stream: str
    # The name of the writer, stored in each record.
    writer: str
    # How long to wait until the record is read back from the stream.
    confirm_timeout_ms: int = 1_500


class Appender:
    """Appends records to one stream for one writer."""

    def __init__(
        self,
        settings: AppenderSettings,
        log: service.LogService,
        clock: hybrid_clock.HybridClock,
    ) -> None:
        """Initializes the appender."""
        self._settings = settings
        self._log = log
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}

    def report(self, record_id: str, verdict: Verdict) -> None:
        """Passes the verdict on a record to its writer, if that waits for it.

        Only the first verdict on a record id counts: a duplicate of a record
        is void for every reader, which says nothing about the original.
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
        """Appends the envelope and waits, also without an acknowledgement."""
        reason = "not seen in the stream in time"
        try:
            await self._log.append(
                self._settings.stream, records.encode_envelope(envelope)
            )
        except service.AppendRefusedError as error:
            return NotAppended(str(error))
        except service.AppendOutcomeUnknownError as error:
            reason = str(error)
        with anyio.move_on_after(self._settings.confirm_timeout_ms / 1_000):
            await waiter.seen.wait()
        return waiter.verdict or OutcomeUnknown(reason)
