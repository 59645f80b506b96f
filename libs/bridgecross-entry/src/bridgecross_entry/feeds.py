"""What an instance knows of a topic, and what of it another has to be told.

Each key's newest record is kept with the offset up to which it may have
changed. So an instance that knows the topic up to some offset can be told just
what it lacks, however many words it missed, without the log.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from bridgecross_entry import follower as followers
from bridgecross_entry import log as logs

_TOMBSTONES_MAX_COUNT = 1_000
"""Removed keys that are remembered. 180 servers are replaced on an ordinary
day; who has missed more than this is told everything."""

_JUMPS_MAX_COUNT = 8
"""Jumps that are remembered; each loss of the log makes one at its end."""


class _Entry(NamedTuple):
    """The newest record of a key."""

    # The last offset at which it may have changed.
    offset: int
    record: logs.KeyedRecord


IsChanged = Callable[[logs.KeyedRecord], bool]
"""Whether a record says anything that others must be told."""


class _Jump(NamedTuple):
    """Offsets that were jumped over, by reading only what was newest after.

    A key that was both added and removed in between was never seen. Whoever
    knows the topic up to an offset in between may know such a key.
    """

    # Both ends are known: the topic was known up to here, and then up to there.
    known_to: int
    next_offset: int


class Feed:
    """One topic: its follower, and the newest record of each key."""

    def __init__(self, topic: str) -> None:
        """Knows nothing yet; the follower is set by whoever builds it."""
        self.topic = topic
        self.follower: followers.Follower
        self._entries: dict[str, _Entry] = {}
        # Every change from this offset on is in the entries, but for jumps.
        self._complete_from = 0
        self._known_to: int | None = None
        self._jumps: list[_Jump] = []

    def put(
        self,
        records: Iterable[logs.KeyedRecord],
        is_changed: IsChanged | None = None,
    ) -> None:
        """Takes changes that the follower has just gone past.

        Args:
            records: The newest record of each key that was written.
            is_changed: Whether others must be told; all, if left out.
        """
        offset = self._last_offset()
        for record in records:
            known = self._entries.get(record.key)
            if known is None or is_changed is None or is_changed(record):
                self._entries[record.key] = _Entry(offset, record)
            else:
                self._entries[record.key] = known._replace(record=record)
        self._known_to = offset + 1
        self._bound_tombstones()

    def put_all(
        self,
        records: Iterable[logs.KeyedRecord],
        is_changed: IsChanged | None = None,
    ) -> None:
        """Takes the newest record of every key.

        Args:
            records: One of each key; keys without one are gone.
            is_changed: Whether others must be told; if left out, those are
                whose value differs.
        """
        newest = {record.key: record for record in records}
        self._note_jump()
        gone = [
            logs.KeyedRecord(key, b"")
            for key, entry in self._entries.items()
            if entry.record.value and key not in newest
        ]
        self.put(newest.values(), is_changed or self._differs)
        self.put(gone)

    def since(self, offset: int | None) -> followers.TopicBatch | None:
        """Returns what one that knows the topic up to an offset is told.

        Args:
            offset: Where it would read on from; None if it knows nothing.

        Returns:
            None if nothing is known here either.
        """
        follower = self.follower
        if follower.next_offset is None:
            return None
        if offset is None or not self._is_complete_since(offset):
            offset = None
            records = self._live()
        else:
            records = self._changed_since(offset)
        return followers.TopicBatch(
            self.topic,
            offset,
            self._last_connecting(offset, follower.next_offset),
            follower.next_offset,
            records,
            round(follower.age_s, 3),
            follower.is_lost,
        )

    def _last_offset(self) -> int:
        """Returns the offset of the last record that was gone past."""
        return (self.follower.next_offset or 0) - 1

    def note_applied(self, batch: followers.TopicBatch) -> None:
        """Takes it that a batch was taken, which may lead across a jump."""
        if batch.first_offset is None or batch.last_offset >= batch.next_offset:
            return
        self._add_jump(_Jump(batch.last_offset, batch.next_offset))

    def _note_jump(self) -> None:
        """Keeps which offsets are jumped over."""
        next_offset = self._last_offset() + 1
        if self._known_to is None:
            self._complete_from = next_offset
        elif next_offset > self._known_to:
            self._add_jump(_Jump(self._known_to, next_offset))

    def _add_jump(self, jump: _Jump) -> None:
        """Keeps a jump; beyond some, nothing before the oldest is told."""
        self._jumps.append(jump)
        if len(self._jumps) > _JUMPS_MAX_COUNT:
            oldest = self._jumps.pop(0)
            self._complete_from = max(self._complete_from, oldest.next_offset)

    def _is_complete_since(self, offset: int) -> bool:
        """Whether every change from an offset on can be told."""
        return offset >= self._complete_from and not any(
            jump.known_to < offset < jump.next_offset for jump in self._jumps
        )

    def _last_connecting(self, offset: int | None, next_offset: int) -> int:
        """Returns up to where one may know the topic to be told from there.

        What changed from an offset on is not all that changed from a later one
        on, if offsets that were jumped over lie between.
        """
        if offset is None:
            return next_offset
        starts = [j.known_to for j in self._jumps if j.known_to >= offset]
        return min(starts, default=next_offset)

    def _differs(self, record: logs.KeyedRecord) -> bool:
        """Whether a record is not the one that is known."""
        return self._entries[record.key].record != record

    def _live(self) -> tuple[logs.KeyedRecord, ...]:
        """Returns the newest record of each key that was not removed."""
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.record.value
        )

    def _changed_since(self, offset: int) -> tuple[logs.KeyedRecord, ...]:
        """Returns the newest record of each key that changed since."""
        if offset > self._last_offset():
            return ()
        return tuple(
            entry.record
            for entry in self._entries.values()
            if entry.offset >= offset
        )

    def _bound_tombstones(self) -> None:
        """Forgets the oldest half of the removed keys if there are many."""
        if len(self._entries) <= _TOMBSTONES_MAX_COUNT:
            return
        removed = sorted(
            (entry.offset, key)
            for key, entry in self._entries.items()
            if not entry.record.value
        )
        if len(removed) <= _TOMBSTONES_MAX_COUNT:
            return
        for offset, key in removed[: len(removed) // 2]:
            del self._entries[key]
            self._complete_from = max(self._complete_from, offset + 1)
