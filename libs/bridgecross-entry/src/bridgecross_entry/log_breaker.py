"""A circuit breaker in front of the platform's log.

Every call costs money, including a rejected one. While the log does not answer
for a topic, one call at a time tests whether it does again, and all other calls
for that topic fail at once. Topics fail independently: each has its own
partitions, so one that is unavailable says nothing about another.
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
    """The timing of new attempts."""

    # The pause after the first failure. It is short so that, if a single call
    # was lost, the next one is made well within the drain bound of 2 s.
    first_pause_s: float = 0.3
    # The maximum pause; the pause doubles up to it. Expired entries of the
    # server list return 2 s after the log does, so the log's return must be
    # noticed before that.
    longest_pause_s: float = 1.2


class _Circuit:
    """The circuit breaker of one topic."""

    def __init__(
        self,
        topic: str,
        settings: BreakerSettings,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes a closed breaker, which lets every call pass."""
        self._topic = topic
        self._settings = settings
        self._journal = journal
        self._clock = clock
        # The pause between attempts; 0 while the log answers.
        self._pause_s = 0.0
        self._next_attempt_s = 0.0
        # The number of calls that were rejected.
        self._rejected_count = 0

    def reject_if_open(
        self, *, is_write: bool = False
    ) -> logs.Unreachable | None:
        """Returns an error if the call must not be made, else None.

        Only reads test whether the log is available again: a write without an
        answer proves little, and writes are too rare.
        """
        if not self._pause_s:
            return None
        now_s = self._clock.monotonic_s()
        if is_write or now_s < self._next_attempt_s:
            self._rejected_count += 1
            return logs.Unreachable("the log did not answer recent calls")
        # This call is the test; others are rejected until its answer or the end
        # of the next pause.
        self._next_attempt_s = now_s + self._pause_s
        return None

    async def read(self, call: Awaitable[_Result]) -> _Result:
        """Makes a read call and updates the breaker with its result.

        Writes are rare, and one without an answer proves little about reads.
        """
        was_open = bool(self._pause_s)
        result = await call
        if not isinstance(result, logs.Unreachable):
            self._close()
        elif was_open or not self._pause_s:
            # A failed call that began before the breaker opened proves nothing
            # new.
            self._open(result.reason)
        return result

    def _open(self, reason: str) -> None:
        """Opens the breaker, or doubles its pause."""
        if not self._pause_s:
            self._journal.decision(
                "log_breaker_opened", topic=self._topic, reason=reason
            )
        else:
            # The reason may differ from the one at the first failure.
            self._journal.decision(
                "log_still_away", topic=self._topic, reason=reason
            )
        settings = self._settings
        longer_s = max(2 * self._pause_s, settings.first_pause_s)
        self._pause_s = min(longer_s, settings.longest_pause_s)
        self._next_attempt_s = self._clock.monotonic_s() + self._pause_s

    def _close(self) -> None:
        """Closes the breaker."""
        if self._pause_s:
            self._journal.decision(
                "log_breaker_closed",
                topic=self._topic,
                spared=self._rejected_count,
            )
        self._pause_s = 0.0
        self._rejected_count = 0


class CircuitBreaker:
    """A ``logs.PlatformLog`` that spares topics that do not answer."""

    def __init__(
        self,
        settings: BreakerSettings,
        log: logs.PlatformLog,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes all topics as available.

        Args:
            settings: The timing of new attempts.
            log: The log that calls are passed on to.
            journal: Receives a line when a topic's breaker opens or closes.
            clock: Measures the pauses.
        """
        self._settings = settings
        self._log = log
        self._journal = journal
        self._clock = clock
        self._circuits: dict[str, _Circuit] = {}

    async def read_newest(self, topic: str) -> logs.Newest | logs.Unreachable:
        """Returns the newest record of each key; see ``PlatformLog``."""
        circuit = self._circuit(topic)
        rejected = circuit.reject_if_open()
        if rejected is not None:
            return rejected
        return await circuit.read(self._log.read_newest(topic))

    async def read(
        self, topic: str, offset: int, wait_ms: float
    ) -> logs.Batch | logs.Forgotten | logs.Unreachable:
        """Returns records from an offset on; see ``PlatformLog``."""
        circuit = self._circuit(topic)
        rejected = circuit.reject_if_open()
        if rejected is not None:
            return rejected
        return await circuit.read(self._log.read(topic, offset, wait_ms))

    async def append(
        self,
        topic: str,
        record: logs.KeyedRecord,
        expected_end: int,
        may_send: logs.MaySend = logs.always,
    ) -> logs.AppendResult:
        """Appends a record conditionally; see ``PlatformLog``."""
        rejected = self._circuit(topic).reject_if_open(is_write=True)
        return rejected or await self._log.append(
            topic, record, expected_end, may_send
        )

    async def put(self, topic: str, record: logs.KeyedRecord) -> bool:
        """Appends a record unconditionally; see ``PlatformLog``."""
        rejected = self._circuit(topic).reject_if_open(is_write=True)
        return not rejected and await self._log.put(topic, record)

    def _circuit(self, topic: str) -> _Circuit:
        """Returns the circuit breaker of a topic."""
        circuit = self._circuits.get(topic)
        if circuit is None:
            circuit = _Circuit(
                topic, self._settings, self._journal, self._clock
            )
            self._circuits[topic] = circuit
        return circuit
