"""The replicated state that an instance builds from the control stream.

Each place has one control stream in the log. It contains the changes of the
place's settings and the claims and assignments of its services. Every instance
applies all records in order, so all have the same state at the same offset.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

import loguru

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_log import appender as appenders
from bridgecross_log import follower as followers
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_log import snapshot as snapshots
from bridgecross_ownership import cell as cells
from bridgecross_ownership import records as ownership_records
from bridgecross_settings import versions
from bridgecross_timeline import events
from bridgecross_timeline import ring as rings

_OWNERSHIP_KINDS = frozenset(
    {ownership_records.CLAIM_KIND, ownership_records.ASSIGNMENT_KIND}
)


class ControlSnapshot(NamedTuple):
    """The whole state, as stored in a snapshot."""

    settings: versions.SettingsVersion | None
    cells: list[cells.CellSnapshot]


@dataclasses.dataclass(frozen=True)
class InvalidRecord:
    """A record that was skipped because it is malformed or of unknown kind."""

    # The offset of the record in the control stream.
    offset: ids.Offset
    # Why the record could not be applied.
    problem: str


_RECENT_RECORDS = 1_000
_SNAPSHOTS = codec.Codec(ControlSnapshot)


class ControlState:
    """Applies the control stream; a ``follower.RecordHandler``."""

    def __init__(self, ring: rings.Ring) -> None:
        """Starts with neither settings nor services."""
        self.settings = versions.SettingsState()
        self.cells: dict[ids.ServiceName, cells.Cell] = {}
        self.changed = notifier.Notifier()
        self.invalid_records: list[InvalidRecord] = []
        self.next_offset = ids.Offset(0)
        self.snapshot_as_of = ids.NO_OFFSET
        self.on_change: Callable[[], None] = lambda: None
        self._ring = ring
        self._appender: appenders.Appender | None = None
        self._follower: followers.Follower | None = None
        self._assembler = snapshots.Assembler()
        # The newest applied records, for peers that cannot reach the log.
        self._recent: collections.deque[log_service.StoredRecord] = (
            collections.deque(maxlen=_RECENT_RECORDS)
        )
        # Records received since a gap in the stream, to be applied on top of
        # the next snapshot; None if there is no gap.
        self._pending: list[log_service.StoredRecord] | None = None

    def attach(
        self, appender: appenders.Appender, follower: followers.Follower
    ) -> None:
        """Sets the appender that waits for verdicts, and the follower."""
        self._appender = appender
        self._follower = follower

    @property
    def fresh_at_s(self) -> float:
        """The monotonic time up to which all records have been applied."""
        if self._follower is None or self._pending is not None:
            return -math.inf
        return self._follower.fresh_at_s

    @property
    def awaits_snapshot(self) -> bool:
        """Whether records are missing, so that a snapshot is needed."""
        return self._pending is not None

    def find_cell(self, service: ids.ServiceName) -> cells.Cell:
        """Returns the cell of a service, creating it on first use."""
        if service not in self.cells:
            self.cells[service] = cells.Cell(service)
        return self.cells[service]

    def apply(self, record: log_service.StoredRecord) -> None:
        """Applies the next record; see ``follower.RecordHandler.apply``."""
        self.next_offset = ids.Offset(record.offset + 1)
        if self._pending is None:
            self._apply_now(record)
            return
        self._pending.append(record)
        self._try_snapshot(record)

    def restart(self, first_offset: ids.Offset) -> None:
        """Handles an expired offset; see ``follower.RecordHandler.restart``.

        If records are missing, the following ones are held back until a
        snapshot is complete that covers the missing ones.
        """
        self._pending = [] if first_offset > self.next_offset else None
        self._assembler = snapshots.Assembler()

    def list_recent(
        self, from_offset: ids.Offset
    ) -> list[log_service.StoredRecord] | None:
        """Returns the applied records from an offset on.

        Returns:
            The records, or None if the first of them is no longer cached.
        """
        if from_offset >= self.next_offset:
            return []
        if not self._recent or from_offset < self._recent[0].offset:
            return None
        return [r for r in self._recent if r.offset >= from_offset]

    def apply_from_peer(self, records: list[log_service.StoredRecord]) -> None:
        """Applies records that another instance has read from the log."""
        for record in records:
            if record.offset == self.next_offset:
                self.apply(record)
        self._advance_follower()

    def restore_from_peer(self, snapshot: snapshots.Snapshot) -> None:
        """Restores a snapshot of another instance, unless it is older."""
        if snapshot.as_of < self.next_offset:
            return
        self._restore(snapshot)
        self.next_offset = ids.Offset(snapshot.as_of + 1)
        self._pending = None
        self._advance_follower()
        self._notify_change()

    def to_snapshot(self) -> snapshots.Snapshot:
        """Returns a snapshot of the state as of the newest record."""
        state = ControlSnapshot(
            settings=self.settings.version,
            cells=[cell.to_snapshot() for cell in self.cells.values()],
        )
        as_of = ids.Offset(self.next_offset - 1)
        return snapshots.Snapshot(as_of, _SNAPSHOTS.encode(state))

    def _apply_now(self, record: log_service.StoredRecord) -> None:
        """Applies a record to the state and reports its verdict."""
        self._recent.append(record)
        try:
            envelope = log_records.decode_envelope(record.data)
            verdict = self._apply_envelope(record.offset, envelope)
        except codec.CodecError as error:
            self._record_invalid(record.offset, str(error))
            return
        self._ring.clock.observe(envelope.stamp)
        if isinstance(verdict, appenders.Void):
            loguru.logger.bind(offset=record.offset).info(
                "{} by {} is void: {}",
                envelope.kind,
                envelope.writer,
                verdict.reason,
            )
        if self._appender is not None:
            self._appender.report(envelope.record_id, verdict)
        self._notify_change()

    def _apply_envelope(
        self, offset: ids.Offset, envelope: log_records.Envelope
    ) -> appenders.Verdict:
        """Applies a decoded record according to its kind."""
        record = log_records.LogRecord(offset, envelope)
        if envelope.kind == versions.CHANGE_KIND:
            return self._apply_settings(record)
        if envelope.kind in _OWNERSHIP_KINDS:
            return self._apply_ownership(record)
        if envelope.kind == snapshots.CHUNK_KIND:
            return self._record_chunk(offset, envelope.body)
        raise codec.CodecError(f"unknown kind {envelope.kind!r}")

    def _apply_settings(
        self, record: log_records.LogRecord
    ) -> appenders.Verdict:
        """Applies a change of the settings."""
        verdict = self.settings.apply(record)
        version = self.settings.version
        if isinstance(verdict, appenders.Applied) and version is not None:
            self._ring.add(
                events.SettingsInForce(version.offset, version.author)
            )
        return verdict

    def _apply_ownership(
        self, record: log_records.LogRecord
    ) -> appenders.Verdict:
        """Applies a claim or an assignment to the cell of its service."""
        service = _read_service(record.envelope)
        cell = self.find_cell(service)
        verdict = cell.apply(record)
        is_claim = record.envelope.kind == ownership_records.CLAIM_KIND
        if is_claim and isinstance(verdict, appenders.Applied):
            self._ring.add(
                events.TermBegan(service, cell.term, cell.coordinator)
            )
        return verdict

    def _record_chunk(
        self, offset: ids.Offset, body: bytes
    ) -> appenders.Verdict:
        """Records up to which offset the newest snapshot reaches."""
        chunk = snapshots.decode_chunk(body)
        if chunk.part == chunk.parts - 1:
            self.snapshot_as_of = chunk.as_of
        return appenders.Applied(offset)

    def _record_invalid(self, offset: ids.Offset, problem: str) -> None:
        """Records, logs and reports a record that could not be applied."""
        self.invalid_records.append(InvalidRecord(offset, problem))
        self._ring.add(events.FaultObserved(f"record {offset}", problem))
        loguru.logger.bind(offset=offset).error("invalid record: {}", problem)

    def _try_snapshot(self, record: log_service.StoredRecord) -> None:
        """Closes the gap if the record completes a snapshot."""
        try:
            envelope = log_records.decode_envelope(record.data)
            if envelope.kind != snapshots.CHUNK_KIND:
                return
            snapshot = self._assembler.add(
                snapshots.decode_chunk(envelope.body)
            )
        except codec.CodecError:
            return
        if snapshot is not None:
            self._close_gap(snapshot)

    def _close_gap(self, snapshot: snapshots.Snapshot) -> None:
        """Restores a snapshot and applies the records after it.

        A snapshot that ends before the first record held back is ignored.
        """
        pending = self._pending or []
        if not pending or snapshot.as_of < pending[0].offset - 1:
            return
        self._restore(snapshot)
        self._pending = None
        for record in pending:
            if record.offset > snapshot.as_of:
                self._apply_now(record)
        self._notify_change()

    def _restore(self, snapshot: snapshots.Snapshot) -> None:
        """Replaces the settings and cells by those of a snapshot."""
        state = _SNAPSHOTS.decode(snapshot.data)
        self.settings.restore(state.settings)
        for cell_snapshot in state.cells:
            self.find_cell(cell_snapshot.service).restore(cell_snapshot)

    def _advance_follower(self) -> None:
        """Moves the follower past records that came from a peer."""
        if self._follower is not None:
            self._follower.resume_at(self.next_offset)

    def _notify_change(self) -> None:
        """Calls ``on_change`` and wakes all tasks waiting for a change."""
        self.on_change()
        self.changed.notify()


def _read_service(envelope: log_records.Envelope) -> ids.ServiceName:
    """Returns the service that a claim or an assignment is about.

    Raises:
        codec.CodecError: The body is corrupted.
    """
    if envelope.kind == ownership_records.CLAIM_KIND:
        return ownership_records.CLAIMS.decode(envelope.body).service
    return ownership_records.ASSIGNMENTS.decode(envelope.body).service
