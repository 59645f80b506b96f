"""The state that the log's control stream puts in force.

One stream of a place holds the changes of its settings and the claims and
assignments of its services. Every instance folds it, so all of them come to
the same state at the same offset.
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
    """The whole state, as a snapshot keeps it."""

    settings: versions.SettingsVersion | None
    cells: list[cells.CellSnapshot]


@dataclasses.dataclass(frozen=True)
class UnreadableRecord:
    """A record that no rule could be applied to."""

    # Where it is.
    offset: ids.Offset
    # What is wrong with it.
    problem: str


_RECENT_RECORDS = 1_000
_SNAPSHOTS = codec.Codec(ControlSnapshot)


class ControlState:
    """Folds the control stream; a ``follower.RecordHandler``."""

    def __init__(self, ring: rings.Ring) -> None:
        """Starts with neither settings nor services."""
        self.settings = versions.SettingsState()
        self.cells: dict[ids.ServiceName, cells.Cell] = {}
        self.changed = notifier.Notifier()
        self.unreadable: list[UnreadableRecord] = []
        self.next_offset = ids.Offset(0)
        self.snapshot_as_of = ids.NO_OFFSET
        self.on_change: Callable[[], None] = lambda: None
        self._ring = ring
        self._appender: appenders.Appender | None = None
        self._follower: followers.Follower | None = None
        self._assembler = snapshots.Assembler()
        # The newest applied records, for instances that cannot reach the log.
        self._recent: collections.deque[log_service.StoredRecord] = (
            collections.deque(maxlen=_RECENT_RECORDS)
        )
        # Records since a gap; None while there is no gap.
        self._pending: list[log_service.StoredRecord] | None = None

    def attach(
        self, appender: appenders.Appender, follower: followers.Follower
    ) -> None:
        """Names the appender that waits for verdicts, and the follower."""
        self._appender = appender
        self._follower = follower

    @property
    def fresh_at_s(self) -> float:
        """The monotonic time up to which every record is known applied."""
        if self._follower is None or self._pending is not None:
            return -math.inf
        return self._follower.fresh_at_s

    @property
    def awaits_snapshot(self) -> bool:
        """Whether records are missing until a snapshot comes."""
        return self._pending is not None

    def find_cell(self, service: ids.ServiceName) -> cells.Cell:
        """Returns the cell of a service, made when first asked for."""
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
        self._look_for_snapshot(record)

    def restart(self, first_offset: ids.Offset) -> None:
        """Waits for a snapshot that reaches up to the oldest record."""
        self._pending = [] if first_offset > self.next_offset else None
        self._assembler = snapshots.Assembler()

    def list_recent(
        self, from_offset: ids.Offset
    ) -> list[log_service.StoredRecord] | None:
        """Returns the applied records from an offset on.

        Returns:
            None if the offset is no longer remembered.
        """
        if from_offset >= self.next_offset:
            return []
        if not self._recent or from_offset < self._recent[0].offset:
            return None
        return [r for r in self._recent if r.offset >= from_offset]

    def apply_news(self, records: list[log_service.StoredRecord]) -> None:
        """Applies records that another instance has read in the log."""
        for record in records:
            if record.offset == self.next_offset:
                self.apply(record)
        self._move_follower()

    def adopt(self, snapshot: snapshots.Snapshot) -> None:
        """Takes over a whole state that another instance has folded."""
        if snapshot.as_of < self.next_offset:
            return
        self._restore(snapshot)
        self.next_offset = ids.Offset(snapshot.as_of + 1)
        self._pending = None
        self._move_follower()
        self._tell_change()

    def to_snapshot(self) -> snapshots.Snapshot:
        """Returns the whole state at the newest record."""
        state = ControlSnapshot(
            settings=self.settings.version,
            cells=[cell.to_snapshot() for cell in self.cells.values()],
        )
        as_of = ids.Offset(self.next_offset - 1)
        return snapshots.Snapshot(as_of, _SNAPSHOTS.encode(state))

    def _apply_now(self, record: log_service.StoredRecord) -> None:
        """Applies a record on top of the state."""
        self._recent.append(record)
        try:
            envelope = log_records.decode_envelope(record.data)
            verdict = self._judge(record.offset, envelope)
        except codec.CodecError as error:
            self._note_unreadable(record.offset, str(error))
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
        self._tell_change()

    def _judge(
        self, offset: ids.Offset, envelope: log_records.Envelope
    ) -> appenders.Verdict:
        """Applies an envelope by its kind."""
        record = log_records.LogRecord(offset, envelope)
        if envelope.kind == versions.CHANGE_KIND:
            return self._apply_settings(record)
        if envelope.kind in _OWNERSHIP_KINDS:
            return self._apply_ownership(record)
        if envelope.kind == snapshots.CHUNK_KIND:
            return self._note_chunk(offset, envelope.body)
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
        """Applies a claim or an assignment to its service's cell."""
        service = _read_service(record.envelope)
        cell = self.find_cell(service)
        verdict = cell.apply(record)
        is_claim = record.envelope.kind == ownership_records.CLAIM_KIND
        if is_claim and isinstance(verdict, appenders.Applied):
            self._ring.add(
                events.TermBegan(service, cell.term, cell.coordinator)
            )
        return verdict

    def _note_chunk(self, offset: ids.Offset, body: bytes) -> appenders.Verdict:
        """Notes how far the newest snapshot reaches."""
        chunk = snapshots.decode_chunk(body)
        if chunk.part == chunk.parts - 1:
            self.snapshot_as_of = chunk.as_of
        return appenders.Applied(offset)

    def _note_unreadable(self, offset: ids.Offset, problem: str) -> None:
        """Keeps a record that could not be read as a finding."""
        self.unreadable.append(UnreadableRecord(offset, problem))
        self._ring.add(events.FaultSeen(f"record {offset}", problem))
        loguru.logger.bind(offset=offset).error("unreadable: {}", problem)

    def _look_for_snapshot(self, record: log_service.StoredRecord) -> None:
        """Ends a gap if the record makes a snapshot whole."""
        try:
            envelope = log_records.decode_envelope(record.data)
            if envelope.kind != snapshots.CHUNK_KIND:
                return
            whole = self._assembler.add(snapshots.decode_chunk(envelope.body))
        except codec.CodecError:
            return
        if whole is not None:
            self._end_gap(whole)

    def _end_gap(self, whole: snapshots.Snapshot) -> None:
        """Takes a snapshot over and applies the records that it lacks."""
        pending = self._pending or []
        if not pending or whole.as_of < pending[0].offset - 1:
            return
        self._restore(whole)
        self._pending = None
        for record in pending:
            if record.offset > whole.as_of:
                self._apply_now(record)
        self._tell_change()

    def _restore(self, whole: snapshots.Snapshot) -> None:
        """Takes the settings and cells of a snapshot over."""
        state = _SNAPSHOTS.decode(whole.data)
        self.settings.restore(state.settings)
        for kept in state.cells:
            self.find_cell(kept.service).restore(kept)

    def _move_follower(self) -> None:
        """Has the follower go on behind what came from elsewhere."""
        if self._follower is not None:
            self._follower.resume_at(self.next_offset)

    def _tell_change(self) -> None:
        """Wakes everybody who waits for a change."""
        self.on_change()
        self.changed.notify()


def _read_service(envelope: log_records.Envelope) -> ids.ServiceName:
    """Returns the service that a claim or an assignment is about.

    Raises:
        codec.CodecError: The body is damaged.
    """
    if envelope.kind == ownership_records.CLAIM_KIND:
        return ownership_records.CLAIMS.decode(envelope.body).service
    return ownership_records.ASSIGNMENTS.decode(envelope.body).service
