"""How a topic of the platform's log is followed by an instance.

A topic is read from the log, or told by the instance that reads for all.
What is known is always the state of the topic before ``next_offset``: the
offset never moves without the records before it, and never back. So whoever
hears of the offset knows what is missing.
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
    """By which way something was learned."""

    LOG = "log"
    """Read from the log by this instance."""

    PEER = "peer"
    """Told by another instance."""


class TopicBatch(NamedTuple):
    """What one instance tells another of a topic."""

    topic: str
    # The receiver has to know the topic up to an offset from the first to the
    # last of these. First is None: it need not know anything, and keys that
    # are not named are gone.
    first_offset: int | None
    last_offset: int
    # The offset to read on from.
    next_offset: int
    # The newest record of each key that changed in between.
    records: tuple[logs.KeyedRecord, ...]
    # How long ago the sender, or whoever told it, read the log.
    age_s: float
    # Whether the sender cannot read the topic at the moment.
    is_lost: bool


class TopicStatus(NamedTuple):
    """How well a topic is known, for metrics."""

    topic: str
    # The offset to read on from; None before the first read.
    next_offset: int | None
    # How long ago the log was read up to there; None if it never was.
    age_s: float | None
    # The greatest age since the last status, reached just before news came.
    longest_age_s: float
    # Words of the leader that were left aside, for want of what came before.
    dropped_batch_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowSettings:
    """How a topic is followed."""

    topic: str
    # How long a read may wait in the log for a record; 0 returns at once.
    wait_ms: float
    # The pause between reads. With a wait it only bounds the rate.
    pause_s: float
    # Whether it is read here at once when the leader cannot read it.
    is_urgent: bool = False
    # What is known is read here once it is older than this, whoever speaks and
    # whatever is said. It bounds how old any instance's knowledge becomes, and
    # with it how late a change is acted upon, for those that reach the log.
    own_read_age_s: float = math.inf
    # For so long after the start all reading is left to another instance, which
    # then tells of it, however old that is.
    first_read_wait_s: float = 0.0
    # The pause after a failed read. How often the log is called while it does
    # not answer is not decided here but by the circuit breaker before it.
    retry_pause_s: float = 0.3
    # While another instance tells what it reads, this one reads nothing
    # itself. Its word comes every 0.7 s, and when it ends, the next leader's
    # after 1.4 s; one that is older is no longer waited for.
    relay_fresh_s: float = 1.5
    # How often that is looked at.
    relay_look_s: float = 0.1
    # A call fails within 0.8 s beyond its wait; the rest is for a busy
    # processor. A reader that has heard nothing for longer has lost the topic,
    # also if its call has not failed yet.
    call_margin_s: float = 1.0

    @property
    def longest_silence_s(self) -> float:
        """How long a reader hears nothing while all is well, at the most."""
        return self.wait_ms / 1_000 + self.pause_s + self.call_margin_s


class Follower:
    """Follows one topic and hands its records over.

    One task; ``run`` goes on until it is cancelled.
    """

    def __init__(
        self,
        settings: FollowSettings,
        log: logs.PlatformLog,
        take_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        take_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
        journal: journals.Journal,
        clock: clocks.Clock,
        on_read: Callable[[], None] | None = None,
    ) -> None:
        """Reads nothing yet.

        Args:
            settings: Which topic, and how often.
            log: The platform's log.
            take_all: Takes the newest record of every key.
            take_changes: Takes the records that followed.
            journal: Told when the log is lost and regained.
            clock: For the age of what was read.
            on_read: Called after each read that the log answered, and when
                it is lost.
        """
        self._settings = settings
        self._log = log
        self._take_all = take_all
        self._take_changes = take_changes
        self._journal = journal
        self._clock = clock
        self._on_read = on_read
        # The offset to read on from; None before the first read.
        self.next_offset: int | None = None
        # Until when all reading is left to another instance.
        self._first_read_s = clock.monotonic_s() + settings.first_read_wait_s
        # When the log was last read up to there, by this instance or by the
        # one that told it; None if never.
        self.as_of_s: float | None = None
        # Since when the log has been silent; None while it answers.
        self.lost_since_s: float | None = None
        # When the log last came back after it had been silent.
        self.regained_s = float("-inf")
        # When another instance last told what it read.
        self.last_relay_s = float("-inf")
        # By which way the records came that were taken last.
        self.source = Source.LOG
        # Whether the last answer left out what would have made it too long.
        self._has_more = False
        self._left_aside_count = 0
        self._in_gap = False
        # The greatest age that was reached since it was last looked at.
        self._longest_age_s = 0.0

    @property
    def age_s(self) -> float:
        """How long ago the log was read; infinite if it never was."""
        if self.as_of_s is None:
            return float("inf")
        return self._clock.monotonic_s() - self.as_of_s

    @property
    def is_lost(self) -> bool:
        """Whether this instance does not know what is new in the log."""
        return (
            self.lost_since_s is not None
            or self.age_s > self._settings.longest_silence_s
        )

    def take_status(self) -> TopicStatus:
        """Returns how well the topic is known; the longest age starts anew."""
        age_s = None if self.as_of_s is None else self.age_s
        longest_age_s = max(self._longest_age_s, age_s or 0.0)
        self._longest_age_s = 0.0
        return TopicStatus(
            self._settings.topic,
            self.next_offset,
            age_s,
            longest_age_s,
            self._left_aside_count,
        )

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        was_relayed = False
        while True:
            # What is overdue is not waited for in the log on top of that.
            wait_ms = 0 if was_relayed else self._settings.wait_ms
            if self._is_relayed():
                was_relayed = True
                await anyio.sleep(self._settings.relay_look_s)
                continue
            if was_relayed:
                was_relayed = False
                self._journal.decision(
                    "relay_lost",
                    topic=self._settings.topic,
                    age_s=self._rounded_age_s(),
                )
            if await self._step(wait_ms):
                if not self._has_more:
                    await anyio.sleep(self._settings.pause_s)
            else:
                await anyio.sleep(self._settings.retry_pause_s)

    # Told by another instance.

    def apply_relayed(
        self, batch: TopicBatch, delay_s: float | None = 0.0
    ) -> None:
        """Takes what another instance knows, unless some is missing before it.

        What a leader knows is taken even if it cannot read the log itself;
        but then it is not waited for.

        Args:
            batch: What it told.
            delay_s: For how long the word was under way at the most; None if
                that is not known, so that it says nothing of its age.
        """
        if not self._connects(batch):
            self._note_gap(batch)
            return
        self._in_gap = False
        self._take_content(batch)
        told_s = self._clock.monotonic_s() - (delay_s or 0.0)
        if delay_s is not None:
            self._note_age(told_s - batch.age_s)
        if batch.is_lost:
            self._take_lost()
            return
        self.last_relay_s = max(self.last_relay_s, told_s)
        self._note_regained()

    def apply_from_follower(self, batch: TopicBatch) -> None:
        """Takes what another instance knows beyond this one.

        Nobody is waited for on that account: this instance reads on, or tries.
        """
        if self._connects(batch):
            self._take_content(batch)
            self._note_age(self._clock.monotonic_s() - batch.age_s)

    def _connects(self, batch: TopicBatch) -> bool:
        """Whether a batch leaves out nothing that is not known."""
        known_to = self.next_offset
        if batch.first_offset is None:
            return True
        if known_to is None or known_to < batch.first_offset:
            return False
        return known_to <= batch.last_offset or known_to >= batch.next_offset

    def _take_content(self, batch: TopicBatch) -> None:
        """Takes the records of a batch that goes further than what is known."""
        known_to = self.next_offset
        if known_to is not None and batch.next_offset <= known_to:
            return
        is_whole = batch.first_offset is None
        take = self._take_all if is_whole else self._take_changes
        self._advance(batch.next_offset, Source.PEER, take, batch.records)

    def _advance(
        self,
        next_offset: int,
        source: Source,
        take: Callable[[tuple[logs.KeyedRecord, ...]], None],
        records: tuple[logs.KeyedRecord, ...],
    ) -> None:
        """Moves the offset together with its records, or not at all."""
        known_to = self.next_offset
        self.next_offset = next_offset
        self.source = source
        try:
            take(records)
        except BaseException:
            self.next_offset = known_to
            raise

    def _take_lost(self) -> None:
        """Takes it that the instance that reads for this one cannot.

        The log may turn that one away alone, so what is urgent is read here
        at once. Once that has failed as well, the log is away for all most
        likely, and it is left to the leader to go on trying; but now and then
        it is tried here as well, for the log may be back for this one alone.
        """
        if self._settings.is_urgent and self.lost_since_s is None:
            self.stop_awaiting_relay()
            return
        if not self._is_relayed():
            self.last_relay_s = self._clock.monotonic_s()
        self._note_lost("the leader has lost it")

    def _note_gap(self, batch: TopicBatch) -> None:
        """Counts a word that cannot be taken; tells of the first in a row."""
        self._left_aside_count += 1
        if self._in_gap:
            return
        self._in_gap = True
        self._journal.decision(
            "relay_left_aside",
            topic=self._settings.topic,
            known_to=self.next_offset,
            told_from=batch.first_offset,
        )

    def stop_awaiting_relay(self) -> None:
        """Reads by itself from now on, until it is told something again."""
        self.last_relay_s = float("-inf")
        self._first_read_s = float("-inf")

    def _is_relayed(self) -> bool:
        """Whether another instance reads for this one.

        While nobody reads the topic, trying is left to whoever speaks, since
        each call costs; else what is known must not grow too old meanwhile.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._first_read_s:
            return True
        silent_s = now_s - self.last_relay_s
        if silent_s >= self._settings.relay_fresh_s:
            return False
        is_lost = self.lost_since_s is not None
        return is_lost or self.age_s < self._settings.own_read_age_s

    # Read from the log.

    async def catch_up(self) -> bool:
        """Reads what is there by now; returns whether the log answered."""
        return await self._step(0)

    async def reload(self) -> bool:
        """Reads the newest records again; returns whether the log answered.

        What others told may have left a record out; before something is
        written on top of the newest one, it is looked up in the log itself.
        """
        return await self._start()

    async def _step(self, wait_ms: float) -> bool:
        """Reads once; returns whether the log answered."""
        first_offset = self.next_offset
        if first_offset is None or self.lost_since_s is not None:
            # After a loss the newest records are asked for: what was written
            # meanwhile may be too long for one answer, over and over again.
            return await self._start()
        asked_s = self._clock.monotonic_s()
        result = await self._log.read(
            self._settings.topic, first_offset, wait_ms
        )
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            return False
        if isinstance(result, logs.Forgotten):
            # What is known stays true; only what followed is looked up anew.
            self._journal.lifecycle(
                "history_forgotten",
                topic=self._settings.topic,
                offset=first_offset,
            )
            return await self._start()
        is_whole = result.next_offset >= result.end
        if not result.records and not is_whole:
            # The next record fits into no answer to a read.
            return await self._start()
        self._take_read(first_offset, result)
        self._has_more = not is_whole
        if is_whole:
            # An answer tells how things were when it was asked for, and one
            # without a record comes only once the wait is over.
            waited_s = 0.0 if result.records else wait_ms / 1_000
            heard_s = min(asked_s + waited_s, self._clock.monotonic_s())
            self._note_heard(heard_s)
        self._tell_read()
        return True

    def _tell_read(self) -> None:
        """Tells whoever waits for it that the log was asked."""
        if self._on_read is not None:
            self._on_read()

    def _take_read(self, first_offset: int, batch: logs.Batch) -> None:
        """Takes what was read, but for what was told in the meantime."""
        known_to = self.next_offset or 0
        if batch.next_offset <= known_to:
            return
        new = batch.records[known_to - first_offset :]
        self._advance(batch.next_offset, Source.LOG, self._take_changes, new)

    def note_own_append(self, offset: int, record: logs.KeyedRecord) -> None:
        """Takes in a record that this process appended itself.

        It is taken like one that was read: whoever is told where to read on
        from must be told of it as well.
        """
        if self.next_offset == offset:
            self._advance(offset + 1, Source.LOG, self._take_changes, (record,))

    async def _start(self) -> bool:
        """Reads the newest record of every key."""
        asked_s = self._clock.monotonic_s()
        result = await self._log.read_newest(self._settings.topic)
        self._has_more = False
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            return False
        if self.next_offset is None:
            # The leader will tell what comes next, if there is one.
            self.last_relay_s = self._clock.monotonic_s()
        # More may have been told while the answer was under way.
        if self.next_offset is None or result.end >= self.next_offset:
            self._advance(
                result.end, Source.LOG, self._take_all, result.records
            )
        self._note_heard(asked_s)
        self._tell_read()
        return True

    # What is known of the log itself.

    def _note_lost(self, reason: str) -> None:
        """Keeps since when the log has been silent."""
        if self.lost_since_s is None:
            self.lost_since_s = self._clock.monotonic_s()
            self._journal.lifecycle(
                "log_lost",
                topic=self._settings.topic,
                reason=reason,
                age_s=self._rounded_age_s(),
            )
            self._tell_read()

    def _note_heard(self, heard_s: float) -> None:
        """Keeps when the log answered."""
        self._note_age(heard_s)
        self._note_regained()

    def _note_age(self, as_of_s: float) -> None:
        """Keeps when the log was read, be it by another instance."""
        if self.as_of_s is None:
            self.as_of_s = as_of_s
        elif as_of_s > self.as_of_s:
            self._longest_age_s = max(self._longest_age_s, self.age_s)
            self.as_of_s = as_of_s

    def _rounded_age_s(self) -> float | None:
        """Returns how old what is known is, for a line of the log."""
        return None if self.as_of_s is None else round(self.age_s, 3)

    def _note_regained(self) -> None:
        """Keeps that the log is there again."""
        if self.lost_since_s is not None:
            now_s = self._clock.monotonic_s()
            self._journal.lifecycle(
                "log_regained",
                topic=self._settings.topic,
                silent_s=round(now_s - self.lost_since_s, 3),
            )
            self.lost_since_s = None
            self.regained_s = now_s
