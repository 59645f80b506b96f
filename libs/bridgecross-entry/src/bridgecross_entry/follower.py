"""How a topic of the platform's log is followed by an instance."""

from collections.abc import Callable
import dataclasses
import enum
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
    """Told by the instance that reads for all."""


class TopicStatus(NamedTuple):
    """How well a topic is known, for metrics."""

    topic: str
    # The offset to read on from; None before the first read.
    next_offset: int | None
    # Since when nothing was heard of it; None if it never was.
    age_s: float | None
    # Words of the leader that were left aside, for want of what came before.
    left_aside_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowSettings:
    """How a topic is followed."""

    topic: str
    # How long a read may wait in the log for a record; 0 returns at once.
    wait_ms: float
    # The pause between reads. With a wait it only bounds the rate.
    pause_s: float
    # The pause after a failed read. How often the log is called while it does
    # not answer is not decided here but by the circuit breaker before it.
    retry_pause_s: float = 0.3
    # While another instance tells what it reads, this one reads nothing
    # itself. Its word comes every 0.7 s, and when it ends, the next leader's
    # after 1.4 s; one that is older is no longer waited for, so that a change
    # is known within 2 s all the same.
    relay_fresh_s: float = 1.5
    # How often that is looked at.
    relay_look_s: float = 0.1


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
            on_read: Called after each read, whether the log answered or not.
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
        # When the log was last heard of this topic; None if never.
        self.heard_s: float | None = None
        # Since when the log has been silent; None while it answers.
        self.lost_since_s: float | None = None
        # When the log last came back after it had been silent.
        self.regained_s = float("-inf")
        # When another instance last told what it read.
        self.relayed_s = float("-inf")
        # By which way the records came that were taken last.
        self.source = Source.LOG
        self._left_aside_count = 0
        self._in_gap = False

    @property
    def status(self) -> TopicStatus:
        """How well the topic is known at this moment."""
        age_s = None
        if self.heard_s is not None:
            age_s = self._clock.monotonic_s() - self.heard_s
        return TopicStatus(
            self._settings.topic,
            self.next_offset,
            age_s,
            self._left_aside_count,
        )

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        was_relayed = False
        while True:
            if self._is_relayed():
                was_relayed = True
                await anyio.sleep(self._settings.relay_look_s)
                continue
            if was_relayed:
                was_relayed = False
                self._journal.decision("relay_lost", topic=self._settings.topic)
            if await self._step(self._settings.wait_ms):
                await anyio.sleep(self._settings.pause_s)
            else:
                await anyio.sleep(self._settings.retry_pause_s)

    def take_relayed(self, first_offset: int, batch: logs.Batch) -> None:
        """Takes what another instance read, unless some is missing before it.

        Args:
            first_offset: The offset from which it read.
            batch: What it read; records that change nothing may be left out.
        """
        if self.next_offset is None or first_offset > self.next_offset:
            self._note_gap(first_offset)
            return
        self._in_gap = False
        self.relayed_s = self._clock.monotonic_s()
        if batch.next_offset > self.next_offset:
            self.next_offset = batch.next_offset
            if batch.records:
                self.source = Source.PEER
                self._take_changes(batch.records)
        self._note_heard()

    def _note_gap(self, first_offset: int) -> None:
        """Counts a word that cannot be taken; tells of the first in a row."""
        self._left_aside_count += 1
        if self._in_gap:
            return
        self._in_gap = True
        self._journal.decision(
            "relay_left_aside",
            topic=self._settings.topic,
            known_to=self.next_offset,
            told_from=first_offset,
        )

    def take_lost(self, *, is_urgent: bool) -> None:
        """Takes it that the instance that reads for this one has lost the log.

        The log may turn that one away alone, so what is urgent is read here
        at once. Once that has failed as well, the log is away for all most
        likely, and it is left to the leader to go on trying.
        """
        if self.next_offset is None:
            return
        if is_urgent and self.lost_since_s is None:
            self.stop_waiting()
        else:
            self.relayed_s = self._clock.monotonic_s()
            self._note_lost("the leader has lost it")

    def stop_waiting(self) -> None:
        """Reads by itself from now on, until it is told something again."""
        self.relayed_s = float("-inf")

    def _is_relayed(self) -> bool:
        """Whether another instance reads for this one."""
        age_s = self._clock.monotonic_s() - self.relayed_s
        return age_s < self._settings.relay_fresh_s

    async def catch_up(self) -> bool:
        """Reads what is there by now; returns whether the log answered."""
        return await self._step(0)

    async def _step(self, wait_ms: float) -> bool:
        """Reads once; returns whether the log answered."""
        if self.next_offset is None:
            return await self._start()
        if self.lost_since_s is not None:
            wait_ms = 0
        result = await self._log.read(
            self._settings.topic, self.next_offset, wait_ms
        )
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            if self._on_read is not None:
                self._on_read()
            return False
        if isinstance(result, logs.Forgotten):
            self._journal.lifecycle(
                "history_forgotten",
                topic=self._settings.topic,
                offset=self.next_offset,
            )
            self.next_offset = None
            return await self._start()
        self.next_offset = max(self.next_offset or 0, result.next_offset)
        if result.records:
            self.source = Source.LOG
            self._take_changes(result.records)
        self._note_heard()
        if self._on_read is not None:
            self._on_read()
        return True

    def note_own_append(self, offset: int, record: logs.KeyedRecord) -> None:
        """Takes in a record that this process appended itself.

        It is taken like one that was read: whoever is told where to read on
        from must be told of it as well.
        """
        if self.next_offset == offset:
            self.next_offset = offset + 1
            self.source = Source.LOG
            self._take_changes((record,))

    async def start_over(self) -> bool:
        """Reads the newest records again; returns whether the log answered.

        What others told may have left a record out; before something is
        written on top of the newest one, it is looked up in the log itself.
        """
        return await self._start()

    async def _start(self) -> bool:
        """Reads the newest record of every key."""
        result = await self._log.read_newest(self._settings.topic)
        if isinstance(result, logs.Unreachable):
            self._note_lost(result.reason)
            return False
        # The leader will tell what comes next, if there is one.
        self.relayed_s = self._clock.monotonic_s()
        self.next_offset = result.end
        self.source = Source.LOG
        self._take_all(result.records)
        self._note_heard()
        return True

    def _note_lost(self, reason: str) -> None:
        """Keeps since when the log has been silent."""
        if self.lost_since_s is None:
            self.lost_since_s = self._clock.monotonic_s()
            self._journal.lifecycle(
                "log_lost", topic=self._settings.topic, reason=reason
            )

    def _note_heard(self) -> None:
        """Keeps when the log was heard."""
        now_s = self._clock.monotonic_s()
        self.heard_s = now_s
        if self.lost_since_s is not None:
            self._journal.lifecycle(
                "log_regained",
                topic=self._settings.topic,
                silent_s=round(now_s - self.lost_since_s, 3),
            )
            self.lost_since_s = None
            self.regained_s = now_s
