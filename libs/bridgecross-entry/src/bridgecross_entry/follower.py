"""Follows a topic of the platform's log.

A topic is either read from the log or relayed by the leader, the instance that
reads for all.

What is known always equals the state of the topic before ``next_offset``: the
offset only moves forward, and only together with the records before it. So
another instance can tell from the offset alone what is missing.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs


class Source(enum.Enum):
    """The source of the records that an instance has applied."""

    LOG = "log"
    """Read from the log by this instance."""

    PEER = "peer"
    """Relayed by another instance."""


class TopicBatch(NamedTuple):
    """The changes of a topic that one instance sends to another."""

    topic: str
    # The batch applies to a receiver that knows the topic up to an offset from
    # ``first_offset`` to ``last_offset``. If ``first_offset`` is None it
    # applies to any receiver, and keys without a record in it have been
    # removed.
    first_offset: int | None
    last_offset: int
    # The offset to read on from.
    next_offset: int
    # The newest record of each key that changed in between.
    records: tuple[logs.KeyedRecord, ...]
    # How long ago the log was read, by the sender or by the instance that the
    # sender had this from.
    age_s: float
    # Whether the sender cannot read the topic at present.
    is_lost: bool


class TopicStatus(NamedTuple):
    """The offset and age of what is known of a topic, for metrics."""

    topic: str
    # The offset to read on from; None before the first read.
    next_offset: int | None
    # How long ago the log was read up to there; None if it never was.
    age_s: float | None
    # The greatest age since the last status, measured just before each update.
    longest_age_s: float
    # Relayed batches that were dropped because earlier records were missing.
    dropped_batch_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowSettings:
    """The timing of reads of a topic."""

    topic: str
    # How long a read may block in the log until a record arrives; 0 returns at
    # once.
    wait_ms: float
    # The pause between reads. If reads block, it only limits their rate.
    pause_s: float
    # Whether this instance reads the topic at once when the leader cannot.
    is_urgent: bool = False
    # Once what is known is older than this, the instance reads the topic
    # itself, even while another instance relays it. For every instance that can
    # reach the log this bounds the age of its knowledge, and thus how late it
    # acts on a change.
    own_read_age_s: float = math.inf
    # For this long after the start the instance leaves reading to another one
    # and accepts what that one relays, whatever its age.
    first_read_wait_s: float = 0.0
    # The pause after a failed read. The circuit breaker in front of the log
    # decides how often the log is actually called while it does not answer.
    retry_pause_s: float = 0.3
    # An instance does not read while another one relays the topic and its last
    # relay message is younger than this. Relay messages come every 0.4 s; after
    # the leader has ended, the next leader's first one comes after 1.4 s.
    relay_valid_s: float = 1.5
    # How often that is checked.
    relay_check_s: float = 0.1
    # A call fails within 0.8 s beyond its wait; the rest allows for a busy
    # processor. A reader that has had no answer for longer counts the topic as
    # lost, even if its call has not failed yet.
    call_margin_s: float = 1.0

    @property
    def longest_silence_s(self) -> float:
        """The longest time between two answers in normal operation."""
        return self.wait_ms / 1_000 + self.pause_s + self.call_margin_s


class Follower:
    """Follows one topic and passes its records on.

    ``run`` is one task, which goes on until it is cancelled.
    """

    def __init__(
        self,
        settings: FollowSettings,
        log: logs.PlatformLog,
        apply_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        apply_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
        journal: journals.Journal,
        clock: clocks.Clock,
        on_read: Callable[[], None] | None = None,
    ) -> None:
        """Initializes the follower without reading.

        Args:
            settings: The topic, and the timing of reads.
            log: The platform's log.
            apply_all: Called with the newest record of every key.
            apply_changes: Called with the records that followed.
            journal: Receives a line when the log is lost or regained.
            clock: Measures the age of what was read.
            on_read: Called after each read that the log answered, and when the
                log is lost.
        """
        self._settings = settings
        self._log = log
        self._apply_all = apply_all
        self._apply_changes = apply_changes
        self._journal = journal
        self._clock = clock
        self._on_read = on_read
        # The offset to read on from; None before the first read.
        self.next_offset: int | None = None
        # Before this time all reading is left to another instance.
        self._first_read_s = clock.monotonic_s() + settings.first_read_wait_s
        # When the log was last read up to ``next_offset``, by this instance or
        # by the one that relayed it; None if never.
        self.as_of_s: float | None = None
        # Since when the log has not answered; None while it answers.
        self.lost_since_s: float | None = None
        # When the log last answered again after a loss.
        self.regained_s = float("-inf")
        # When another instance last relayed the topic.
        self.last_relay_s = float("-inf")
        # The source of the records that were applied last.
        self.source = Source.LOG
        # Whether the last answer was cut short for its length.
        self._has_more = False
        self._dropped_batch_count = 0
        self._is_dropping = False
        # The greatest age since the last status.
        self._longest_age_s = 0.0

    @property
    def age_s(self) -> float:
        """How long ago the log was last read; infinite if it never was."""
        if self.as_of_s is None:
            return float("inf")
        return self._clock.monotonic_s() - self.as_of_s

    @property
    def is_lost(self) -> bool:
        """Whether this instance may be unable to learn of newer records."""
        return (
            self.lost_since_s is not None
            or self.age_s > self._settings.longest_silence_s
        )

    def take_status(self) -> TopicStatus:
        """Returns the topic's status, and resets the longest age."""
        age_s = None if self.as_of_s is None else self.age_s
        longest_age_s = max(self._longest_age_s, age_s or 0.0)
        self._longest_age_s = 0.0
        return TopicStatus(
            self._settings.topic,
            self.next_offset,
            age_s,
            longest_age_s,
            self._dropped_batch_count,
        )

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        was_relayed = False
        while True:
            # A read that is overdue does not block in the log on top of that.
            wait_ms = 0 if was_relayed else self._settings.wait_ms
            if self._is_relayed():
                was_relayed = True
                await anyio.sleep(self._settings.relay_check_s)
                continue
            if was_relayed:
                was_relayed = False
                self._journal.decision(
                    "relay_lost",
                    topic=self._settings.topic,
                    age_s=self._rounded_age_s(),
                )
            if await self._read_once(wait_ms):
                if not self._has_more:
                    await anyio.sleep(self._settings.pause_s)
            else:
                await anyio.sleep(self._settings.retry_pause_s)

    # Records that another instance relays.

    def apply_relayed(
        self, batch: TopicBatch, delay_s: float | None = 0.0
    ) -> None:
        """Applies a batch that another instance relays, unless there is a gap.

        A gap means that records before the batch are missing here.

        A batch is applied even if its sender cannot read the log itself; but
        then this instance no longer leaves reading to the sender.

        Args:
            batch: The relayed changes.
            delay_s: An upper bound of the time that the message was in transit;
                None if that is unknown, and then the age of what is known stays
                as it is.
        """
        if not self._is_contiguous(batch):
            self._note_dropped_batch(batch)
            return
        self._is_dropping = False
        self._apply_newer(batch)
        sent_s = self._clock.monotonic_s() - (delay_s or 0.0)
        if delay_s is not None:
            self._note_age(sent_s - batch.age_s)
        if batch.is_lost:
            self._handle_lost_relay()
            return
        self.last_relay_s = max(self.last_relay_s, sent_s)
        self._note_regained()

    def apply_from_follower(self, batch: TopicBatch, asked_s: float) -> None:
        """Applies a batch from a follower that is ahead of this instance.

        This does not make this instance rely on the sender: it goes on reading,
        or trying to read, the log itself.

        Args:
            batch: The changes that the sender gave in its answer.
            asked_s: When it was asked for them. The answer may have waited here
                for any time, so its age counts from then.
        """
        if self._is_contiguous(batch):
            self._apply_newer(batch)
            self._note_age(asked_s - batch.age_s)

    def _is_contiguous(self, batch: TopicBatch) -> bool:
        """Whether no record between what is known and the batch is missing."""
        known_to = self.next_offset
        if batch.first_offset is None:
            return True
        if known_to is None or known_to < batch.first_offset:
            return False
        return known_to <= batch.last_offset or known_to >= batch.next_offset

    def _apply_newer(self, batch: TopicBatch) -> None:
        """Applies the records of a batch that goes beyond what is known."""
        known_to = self.next_offset
        if known_to is not None and batch.next_offset <= known_to:
            return
        replaces_all = batch.first_offset is None
        apply = self._apply_all if replaces_all else self._apply_changes
        self._advance(batch.next_offset, Source.PEER, apply, batch.records)

    def _advance(
        self,
        next_offset: int,
        source: Source,
        apply: Callable[[tuple[logs.KeyedRecord, ...]], None],
        records: tuple[logs.KeyedRecord, ...],
    ) -> None:
        """Moves the offset and applies the records, or does neither."""
        known_to = self.next_offset
        self.next_offset = next_offset
        self.source = source
        try:
            apply(records)
        except BaseException:
            self.next_offset = known_to
            raise

    def _handle_lost_relay(self) -> None:
        """Handles a relay message whose sender cannot read the topic.

        The log may reject only that one, so an urgent topic is read here at
        once. If that fails too, the log is most likely unavailable to all, and
        retrying is left to the leader; but from time to time this instance
        tries as well, since the log may be available again to this one alone.
        """
        if self._settings.is_urgent and self.lost_since_s is None:
            self.stop_awaiting_relay()
            return
        if not self._is_relayed():
            self.last_relay_s = self._clock.monotonic_s()
        self._note_lost("the leader cannot read the topic")

    def _note_dropped_batch(self, batch: TopicBatch) -> None:
        """Counts a batch with a gap before it, and logs the first in a row."""
        self._dropped_batch_count += 1
        if self._is_dropping:
            return
        self._is_dropping = True
        self._journal.decision(
            "relay_left_aside",
            topic=self._settings.topic,
            known_to=self.next_offset,
            told_from=batch.first_offset,
        )

    def stop_awaiting_relay(self) -> None:
        """Reads the log itself until the topic is relayed again."""
        self.last_relay_s = float("-inf")
        self._first_read_s = float("-inf")

    @property
    def _reads_itself(self) -> bool:
        """Whether this instance began to read on its own since the start."""
        return self._first_read_s == float("-inf")

    def _is_relayed(self) -> bool:
        """Whether reading is left to another instance.

        While no instance can read the topic, retrying is left to the sender,
        since each call costs money. Otherwise what is known must not grow too
        old meanwhile.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._first_read_s:
            return True
        silent_s = now_s - self.last_relay_s
        if silent_s >= self._settings.relay_valid_s:
            return False
        is_lost = self.lost_since_s is not None
        return is_lost or self.age_s < self._settings.own_read_age_s

    # Records that this instance reads from the log.

    async def catch_up(self) -> bool:
        """Reads the available records; returns whether the log answered."""
        return await self._read_once(0)

    async def reload(self) -> bool:
        """Reads the newest record of every key again.

        Before a record is written on top of the newest one, that one is looked
        up in the log itself, since relayed batches may have left it out.
        """
        return await self._read_newest()

    async def _read_once(self, wait_ms: float) -> bool:
        """Reads once; returns whether the log answered."""
        first_offset = self.next_offset
        if first_offset is None or self.lost_since_s is not None:
            # After a loss the newest records are read: the changes since may be
            # too long for one answer, each time anew.
            return await self._read_newest()
        asked_s = self._clock.monotonic_s()
        result = await self._log.read(
            self._settings.topic, first_offset, wait_ms
        )
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            return False
        if isinstance(result, logs.Forgotten):
            # What is known stays valid; only the changes after it are read
            # anew.
            self._journal.lifecycle(
                "history_forgotten",
                topic=self._settings.topic,
                offset=first_offset,
            )
            return await self._read_newest()
        is_complete = result.next_offset >= result.end
        if not result.records and not is_complete:
            # The next record is too long for an answer to a read.
            return await self._read_newest()
        self._apply_read(first_offset, result)
        self._has_more = not is_complete
        if is_complete:
            # An answer reflects the topic at the time of the request. One
            # without records is sent only when the wait is over, and reflects
            # that time.
            waited_s = 0.0 if result.records else wait_ms / 1_000
            as_of_s = min(asked_s + waited_s, self._clock.monotonic_s())
            self._note_answer(as_of_s)
        self._notify_read()
        return True

    def _notify_read(self) -> None:
        """Calls ``on_read``, if there is one."""
        if self._on_read is not None:
            self._on_read()

    def _apply_read(self, first_offset: int, batch: logs.Batch) -> None:
        """Applies what was read, except for what was relayed meanwhile."""
        known_to = self.next_offset or 0
        if batch.next_offset <= known_to:
            return
        new = batch.records[known_to - first_offset :]
        self._advance(batch.next_offset, Source.LOG, self._apply_changes, new)

    def note_own_append(self, offset: int, record: logs.KeyedRecord) -> None:
        """Applies a record that this process has appended itself.

        It is applied like a record that was read, so that it is also relayed to
        instances that are told to read on after it.
        """
        if self.next_offset == offset:
            self._advance(
                offset + 1, Source.LOG, self._apply_changes, (record,)
            )

    async def _read_newest(self) -> bool:
        """Reads all newest records; returns whether the log answered."""
        asked_s = self._clock.monotonic_s()
        result = await self._log.read_newest(self._settings.topic)
        self._has_more = False
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            return False
        if self.next_offset is None and not self._reads_itself:
            # The leader, if there is one, will relay what follows.
            self.last_relay_s = self._clock.monotonic_s()
        # More may have been relayed while the call was in progress.
        if self.next_offset is None or result.end >= self.next_offset:
            self._advance(
                result.end, Source.LOG, self._apply_all, result.records
            )
        self._note_answer(asked_s)
        self._notify_read()
        return True

    # Availability of the log, and age of what is known.

    def _note_lost(self, reason: str) -> None:
        """Records that the log does not answer."""
        if self.lost_since_s is None:
            self.lost_since_s = self._clock.monotonic_s()
            self._journal.lifecycle(
                "log_lost",
                topic=self._settings.topic,
                reason=reason,
                age_s=self._rounded_age_s(),
            )
            self._notify_read()

    def _note_answer(self, as_of_s: float) -> None:
        """Records when the log answered."""
        self._note_age(as_of_s)
        self._note_regained()

    def _note_age(self, as_of_s: float) -> None:
        """Records when the log was read, by this or another instance."""
        if self.as_of_s is None:
            self.as_of_s = as_of_s
        elif as_of_s > self.as_of_s:
            self._longest_age_s = max(self._longest_age_s, self.age_s)
            self.as_of_s = as_of_s

    def _rounded_age_s(self) -> float | None:
        """Returns the age of what is known, rounded for log lines."""
        return None if self.as_of_s is None else round(self.age_s, 3)

    def _note_regained(self) -> None:
        """Records that the log answers again."""
        if self.lost_since_s is not None:
            now_s = self._clock.monotonic_s()
            self._journal.lifecycle(
                "log_regained",
                topic=self._settings.topic,
                silent_s=round(now_s - self.lost_since_s, 3),
            )
            self.lost_since_s = None
            self.regained_s = now_s
