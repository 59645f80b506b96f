"""A circuit breaker in front of the platform's log.

Every call is priced, also one that is turned away. While the log does not
answer for a topic, one call at a time finds out whether it does again; all
others about that topic are told at once that it does not. Topics fail one by
one: each has partitions of its own, and one that is away says nothing about
another.
"""

from collections.abc import Awaitable
import dataclasses
from typing import TypeVar

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs

_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class BreakerSettings:
    """When the log is tried again."""

    # The pause after the first failure: a call that was lost alone is made
    # again well within the drain bound of 2 s.
    first_pause_s: float = 0.3
    # The longest to which it doubles. Entries that lapsed are back 2 s after
    # the log is, so it must be noticed before that.
    longest_pause_s: float = 1.2


class _Circuit:
    """Whether calls about one topic are let through."""

    def __init__(
        self,
        topic: str,
        settings: BreakerSettings,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Lets every call through."""
        self._topic = topic
        self._settings = settings
        self._journal = journal
        self._clock = clock
        # The pause between tries; 0 while the log answers.
        self._pause_s = 0.0
        self._next_try_s = 0.0
        # Calls that were not made.
        self._spared_count = 0

    def spare(self, *, is_write: bool = False) -> logs.Unreachable | None:
        """Returns why a call is not made; None if it may be made.

        Only reads find out whether the log is back: a write without an answer
        says little, and one with an answer is too seldom.
        """
        if not self._pause_s:
            return None
        now_s = self._clock.monotonic_s()
        if is_write or now_s < self._next_try_s:
            self._spared_count += 1
            return logs.Unreachable("it did not answer just now")
        # This call finds out for all that come before its answer.
        self._next_try_s = now_s + self._pause_s
        return None

    async def read(self, call: Awaitable[_Result]) -> _Result:
        """Makes a reading call and learns from it.

        Writes are few, and one without an answer says little about reads.
        """
        was_open = bool(self._pause_s)
        result = await call
        if not isinstance(result, logs.Unreachable):
            self._close()
        elif was_open or not self._pause_s:
            # Calls that were under way when it opened tell nothing new.
            self._open(result.reason)
        return result

    def _open(self, reason: str) -> None:
        """Makes a pause, a longer one each time."""
        if not self._pause_s:
            self._journal.decision(
                "log_breaker_opened", topic=self._topic, reason=reason
            )
        else:
            # Why it is still away may be another reason than at first.
            self._journal.decision(
                "log_still_away", topic=self._topic, reason=reason
            )
        settings = self._settings
        longer_s = max(2 * self._pause_s, settings.first_pause_s)
        self._pause_s = min(longer_s, settings.longest_pause_s)
        self._next_try_s = self._clock.monotonic_s() + self._pause_s

    def _close(self) -> None:
        """Lets every call through again."""
        if self._pause_s:
            self._journal.decision(
                "log_breaker_closed",
                topic=self._topic,
                spared=self._spared_count,
            )
        self._pause_s = 0.0
        self._spared_count = 0


class CircuitBreaker:
    """A ``logs.PlatformLog`` that leaves topics alone that do not answer."""

    def __init__(
        self,
        settings: BreakerSettings,
        log: logs.PlatformLog,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Lets every call through.

        Args:
            settings: When to try again.
            log: The log behind it.
            journal: Told when it opens and closes.
            clock: For the pauses.
        """
        self._settings = settings
        self._log = log
        self._journal = journal
        self._clock = clock
        self._circuits: dict[str, _Circuit] = {}

    async def read_newest(self, topic: str) -> logs.Newest | logs.Unreachable:
        """Returns the newest record of each key; see ``PlatformLog``."""
        circuit = self._circuit(topic)
        spared = circuit.spare()
        if spared is not None:
            return spared
        return await circuit.read(self._log.read_newest(topic))

    async def read(
        self, topic: str, offset: int, wait_ms: float
    ) -> logs.Batch | logs.Forgotten | logs.Unreachable:
        """Returns records from an offset on; see ``PlatformLog``."""
        circuit = self._circuit(topic)
        spared = circuit.spare()
        if spared is not None:
            return spared
        return await circuit.read(self._log.read(topic, offset, wait_ms))

    async def append(
        self, topic: str, record: logs.KeyedRecord, expected_end: int
    ) -> logs.Appended | logs.Conflict | logs.Uncertain | logs.Unreachable:
        """Appends a record on a condition; see ``PlatformLog``."""
        spared = self._circuit(topic).spare(is_write=True)
        return spared or await self._log.append(topic, record, expected_end)

    async def put(self, topic: str, record: logs.KeyedRecord) -> bool:
        """Appends a record on no condition; see ``PlatformLog``."""
        spared = self._circuit(topic).spare(is_write=True)
        return not spared and await self._log.put(topic, record)

    def _circuit(self, topic: str) -> _Circuit:
        """Returns what is known of the log for one topic."""
        circuit = self._circuits.get(topic)
        if circuit is None:
            circuit = _Circuit(
                topic, self._settings, self._journal, self._clock
            )
            self._circuits[topic] = circuit
        return circuit
