"""Keeps the state of a topic, and computes what other instances lack of it.

The newest record of each key is kept with the offset up to which it may have
changed. So an instance that knows the topic up to some offset can be sent
exactly what it lacks, without reading the log, however many relay messages it
has missed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from bridgecross_entry import follower as followers
from bridgecross_entry import log as logs

_REMOVED_KEYS_MAX_COUNT = 1_000
"""The maximum number of removed keys that are remembered. 180 servers are
replaced on an ordinary day; an instance that has missed more removals than this
is sent the whole topic."""

_SKIPPED_RANGES_MAX_COUNT = 8
"""The maximum number of skipped ranges that are remembered; each loss of the
log adds one when it ends."""


class _Entry(NamedTuple):
    """The newest record of a key."""

    # The last offset at which the record may have changed.
    offset: int
    record: logs.KeyedRecord


IsChanged = Callable[[logs.KeyedRecord], bool]
"""Returns whether a record contains a change that others must be sent."""


class _SkippedRange(NamedTuple):
    """Offsets that were skipped because only the newest records were read.

    A key that was added and removed within the range was never read. An
    instance that knows the topic up to an offset within the range may know such
    a key.
    """

    # The topic was known up to the first of these offsets, and then up to the
    # second.
    known_to: int
    next_offset: int


class Feed:
    """The follower of one topic, and the newest record of each key."""

    def __init__(self, topic: str) -> None:
        """Initializes an empty state; the caller sets the follower."""
        self.topic = topic
        self.follower: followers.Follower
        self._entries: dict[str, _Entry] = {}
        # The entries hold every change from this offset on, except for changes
        # in skipped ranges.
        self._complete_from = 0
        self._known_to: int | None = None
        self._skipped_ranges: list[_SkippedRange] = []

    def put(
        self,
        records: Iterable[logs.KeyedRecord],
        is_changed: IsChanged | None = None,
    ) -> None:
        """Adds changes that the follower has just applied.

        Args:
            records: The newest record of each changed key.
            is_changed: Returns whether others must be sent a record; if left
                out, all are.
        """
        offset = self._last_offset()
        for record in records:
            known = self._entries.get(record.key)
            if known is None or is_changed is None or is_changed(record):
                self._entries[record.key] = _Entry(offset, record)
            else:
                self._entries[record.key] = known._replace(record=record)
        self._known_to = offset + 1
        self._limit_removed_keys()

    def put_all(
        self,
        records: Iterable[logs.KeyedRecord],
        is_changed: IsChanged | None = None,
    ) -> None:
        """Replaces the state by the newest record of every key.

        Args:
            records: One record of each key; keys without one have been removed.
            is_changed: Returns whether others must be sent a record; if left
                out, those are whose value differs.
        """
        newest = {record.key: record for record in records}
        self._note_skipped_range()
        removed = [
            logs.KeyedRecord(key, b"")
            for key, entry in self._entries.items()
            if entry.record.value and key not in newest
        ]
        self.put(newest.values(), is_changed or self._differs)
        self.put(removed)

    def since(self, offset: int | None) -> followers.TopicBatch | None:
        """Returns the batch for one that knows the topic up to an offset.

        Args:
            offset: The offset from which that instance would read on; None if
                it knows nothing.

        Returns:
            None if this instance knows nothing either.
        """
        follower = self.follower
        if follower.next_offset is None:
            return None
        if offset is None or not self._is_complete_since(offset):
            offset = None
            records = self._list_present()
        else:
            records = self._changed_since(offset)
        return followers.TopicBatch(
            self.topic,
            offset,
            self._last_applicable_offset(offset, follower.next_offset),
            follower.next_offset,
            records,
            round(follower.age_s, 3),
            follower.is_lost,
        )

    def _last_offset(self) -> int:
        """Returns the offset of the last record that the follower passed."""
        return (self.follower.next_offset or 0) - 1

    def note_applied(self, batch: followers.TopicBatch) -> None:
        """Records that a batch was applied, which may cover a skipped range."""
        if batch.first_offset is None or batch.last_offset >= batch.next_offset:
            return
        self._add_skipped_range(
            _SkippedRange(batch.last_offset, batch.next_offset)
        )

    def _note_skipped_range(self) -> None:
        """Records which offsets are about to be skipped."""
        next_offset = self._last_offset() + 1
        if self._known_to is None:
            self._complete_from = next_offset
        elif next_offset > self._known_to:
            self._add_skipped_range(_SkippedRange(self._known_to, next_offset))

    def _add_skipped_range(self, skipped: _SkippedRange) -> None:
        """Records a skipped range; beyond the maximum, drops the oldest.

        From then on, changes before the end of the dropped range are not
        complete any more.
        """
        self._skipped_ranges.append(skipped)
        if len(self._skipped_ranges) > _SKIPPED_RANGES_MAX_COUNT:
            oldest = self._skipped_ranges.pop(0)
            self._complete_from = max(self._complete_from, oldest.next_offset)

    def _is_complete_since(self, offset: int) -> bool:
        """Whether the entries hold every change from an offset on."""
        return offset >= self._complete_from and not any(
            skipped.known_to < offset < skipped.next_offset
            for skipped in self._skipped_ranges
        )

    def _last_applicable_offset(
        self, offset: int | None, next_offset: int
    ) -> int:
        """Returns the last offset to which a batch from ``offset`` applies.

        The changes from ``offset`` on may leave out some of the changes from a
        later offset on, if a skipped range lies in between.
        """
        if offset is None:
            return next_offset
        starts = [
            r.known_to for r in self._skipped_ranges if r.known_to >= offset
        ]
        return min(starts, default=next_offset)

    def _differs(self, record: logs.KeyedRecord) -> bool:
        """Whether a record differs from the known one of its key."""
        return self._entries[record.key].record != record

    def _list_present(self) -> tuple[logs.KeyedRecord, ...]:
        """Returns the newest record of each key that has not been removed."""
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.record.value
        )

    def _changed_since(self, offset: int) -> tuple[logs.KeyedRecord, ...]:
        """Returns the newest record of each key changed since an offset."""
        if offset > self._last_offset():
            return ()
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.offset >= offset
        )

    def _limit_removed_keys(self) -> None:
        """Forgets the older half of the removed keys if there are too many."""
        if len(self._entries) <= _REMOVED_KEYS_MAX_COUNT:
            return
        removed = sorted(
            (entry.offset, key)
            for key, entry in self._entries.items()
            if not entry.record.value
        )
        if len(removed) <= _REMOVED_KEYS_MAX_COUNT:
            return
        for offset, key in removed[: len(removed) // 2]:
            del self._entries[key]
            self._complete_from = max(self._complete_from, offset + 1)
