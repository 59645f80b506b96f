"""A model of the platform's log and of its faults.

``LogModel`` is the log itself. Each instance has a ``LogClient`` of its own
with a pool of connections. The link of a client can be cut, its connections can
become permanently silent, and the log can reject the instance.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TypeVar

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import notifier
from bridgecross_emulator import work as work_lib
from bridgecross_entry import log as logs

_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Latencies of the log, and timeouts of its clients."""

    # From a call's arrival to its answer; an append takes 1 ms of it.
    answer_s: float = 0.004
    append_s: float = 0.001
    # The latency of the link to the log, in each direction.
    link_s: float = 0.0005
    # Whether a call that waits for a record may miss one that is being appended
    # at that moment, so that it is answered only when its wait time is over.
    misses_appends: bool = True
    # How long clients wait for an answer in addition to a call's own wait time,
    # how long for a connection, and how long they keep idle connections. The
    # same as in the platform's client.
    call_timeout_s: float = 0.8
    connect_timeout_s: float = 0.5
    kept_idle_s: float = 1.0


class LogModel:
    """The log: topics, each with an ordered list of records."""

    def __init__(self, settings: LogSettings) -> None:
        """Initializes an empty log."""
        self.settings = settings
        # Topics for which no call is answered.
        self.unavailable_topics: set[str] = set()
        self.is_unavailable = False
        # Called with the topic of each record that an instance appends.
        self.on_appended: Callable[[str], None] = lambda _: None
        self._records: dict[str, list[logs.KeyedRecord]]
        self._records = collections.defaultdict(list)
        self._first: collections.Counter[str] = collections.Counter()
        self._appended: dict[str, notifier.Notifier]
        self._appended = collections.defaultdict(notifier.Notifier)

    def end(self, topic: str) -> int:
        """Returns the offset after the last record."""
        return len(self._records[topic])

    def add(self, topic: str, record: logs.KeyedRecord) -> int:
        """Appends a record; returns its offset."""
        self._records[topic].append(record)
        self._appended[topic].notify()
        return self.end(topic) - 1

    def drop_history(self, topic: str) -> None:
        """Drops the history, but keeps the newest record of each key."""
        self._first[topic] = self.end(topic)

    def newest(self, topic: str) -> logs.Newest:
        """Returns the newest record of each key that has a value."""
        newest = {record.key: record for record in self._records[topic]}
        records = tuple(record for record in newest.values() if record.value)
        return logs.Newest(records, self.end(topic))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> logs.Batch | logs.Forgotten:
        """Returns records from an offset on, waiting for one if need be."""
        if offset < self._first[topic]:
            return logs.Forgotten()
        if offset >= self.end(topic) and wait_s > 0:
            await self._wait_for_record(topic, wait_s)
        records = tuple(self._records[topic][offset:])
        return logs.Batch(records, offset + len(records), self.end(topic))

    async def _wait_for_record(self, topic: str, wait_s: float) -> None:
        """Waits for a new record, at most for the given time."""
        begun = anyio.current_time()
        if self.settings.misses_appends:
            # A record that is appended meanwhile goes unnoticed.
            await anyio.sleep(min(self.settings.append_s, wait_s))
        left_s = begun + wait_s - anyio.current_time()
        await self._appended[topic].wait(max(left_s, 0.0))


class _Connection:
    """A connection that is reused by later calls."""

    def __init__(self) -> None:
        self.is_silent = False
        self.used_s = 0.0


class LogClient:
    """A ``logs.PlatformLog``: one instance's client of the log."""

    def __init__(self, model: LogModel, clock: clocks.Clock) -> None:
        """Initializes the client without connections.

        Args:
            model: The log.
            clock: The instance's clock.
        """
        # Whether the link is cut; bytes in transit wait until it is healed.
        self.is_cut = False
        # Whether the log rejects all calls of this instance, and the topics for
        # which it rejects them.
        self.rejected = False
        self.rejected_topics: set[str] = set()
        # The factor by which answers take longer.
        self.slow_ratio = 1.0
        # The delay with which the log carries out this instance's appends. They
        # get no answer then. None if there is no such fault.
        self.append_delay_s: float | None = None
        self.call_count = 0
        self._model = model
        self._clock = clock
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._healed = notifier.Notifier()

    def cut(self) -> None:
        """Cuts the link in both directions."""
        self.is_cut = True

    def heal(self) -> None:
        """Heals the link, and delivers the bytes that were held up."""
        self.is_cut = False
        self._healed.notify()

    def silence(self) -> None:
        """Makes all open connections permanently silent; new ones work."""
        for connection in [*self._idle, *self._busy]:
            connection.is_silent = True

    async def read_newest(self, topic: str) -> logs.Newest | logs.Unreachable:
        """Returns the newest record of each key."""

        async def work() -> logs.Newest:
            return self._model.newest(topic)

        return await self._call(topic, work)

    async def read(
        self, topic: str, offset: int, wait_ms: float
    ) -> logs.Batch | logs.Forgotten | logs.Unreachable:
        """Returns records from an offset on, waiting for one if need be."""
        wait_s = wait_ms / 1_000

        async def work() -> logs.Batch | logs.Forgotten:
            return await self._model.read(topic, offset, wait_s)

        return await self._call(topic, work, wait_s)

    async def append(
        self,
        topic: str,
        record: logs.KeyedRecord,
        expected_end: int,
        may_send: logs.MaySend = logs.always,
    ) -> logs.AppendResult:
        """Appends a record if the topic still ends at an offset."""

        def work() -> logs.Appended | logs.Conflict:
            end = self._model.end(topic)
            if end != expected_end:
                return logs.Conflict(end)
            offset = self._model.add(topic, record)
            self._model.on_appended(topic)
            return logs.Appended(offset)

        was_withheld = False

        def may_still_send() -> bool:
            nonlocal was_withheld
            was_withheld = not may_send()
            return not was_withheld

        result = await self._call(
            topic, self._delay(work), may_send=may_still_send
        )
        if was_withheld:
            return logs.Withheld()
        if isinstance(result, logs.Unreachable):
            return logs.Uncertain(result.reason)
        return result

    async def put(self, topic: str, record: logs.KeyedRecord) -> bool:
        """Appends a record unconditionally; returns whether it was appended."""

        def work() -> bool:
            self._model.add(topic, record)
            return True

        return await self._call(topic, self._delay(work)) is True

    def _delay(
        self, work: Callable[[], _Result]
    ) -> Callable[[], Awaitable[_Result]]:
        """Wraps a change of the log, to apply ``append_delay_s`` to it."""

        async def delayed() -> _Result:
            late_s = self.append_delay_s
            if late_s is None:
                return work()
            # The change is made whether or not the caller is still waiting.
            work_lib.call_later(late_s, work)
            await anyio.sleep_forever()
            raise AssertionError

        return delayed

    async def _call(
        self,
        topic: str,
        work: Callable[[], Awaitable[_Result]],
        wait_s: float = 0.0,
        may_send: logs.MaySend = logs.always,
    ) -> _Result | logs.Unreachable:
        """Makes one call, in the same way as the platform's client."""
        self.call_count += 1
        settings = self._model.settings
        connection = self._take_idle()
        if connection is None:
            if not await self._connects():
                return logs.Unreachable("connecting took too long")
            connection = _Connection()
        if not may_send():
            self._keep(connection)
            return logs.Unreachable("withheld")
        self._busy.add(connection)
        result: _Result | logs.Unreachable
        result = logs.Unreachable("no answer in time")
        try:
            with anyio.move_on_after(wait_s + settings.call_timeout_s) as scope:
                result = await self._exchange(topic, connection, work)
        finally:
            self._busy.discard(connection)
        if scope.cancelled_caught:
            # Idle connections may have become silent as well.
            self._idle.clear()
            return result
        self._keep(connection)
        return result

    def _keep(self, connection: _Connection) -> None:
        """Keeps a connection for later calls."""
        connection.used_s = self._clock.monotonic_s()
        self._idle.append(connection)

    def _take_idle(self) -> _Connection | None:
        """Returns an idle connection that has not expired; None if none is."""
        oldest_s = self._clock.monotonic_s() - self._model.settings.kept_idle_s
        while self._idle:
            connection = self._idle.pop()
            if connection.used_s > oldest_s:
                return connection
        return None

    async def _connects(self) -> bool:
        """Whether a connection can be opened; a lost SYN is not sent again."""
        settings = self._model.settings
        if self.is_cut:
            await anyio.sleep(settings.connect_timeout_s)
            return False
        await anyio.sleep(2 * settings.link_s)
        return True

    async def _exchange(
        self,
        topic: str,
        connection: _Connection,
        work: Callable[[], Awaitable[_Result]],
    ) -> _Result | logs.Unreachable:
        """Sends a call to the log, and returns its answer."""
        settings = self._model.settings
        await self._cross(connection)
        if (
            self._model.is_unavailable
            or topic in self._model.unavailable_topics
        ):
            await anyio.sleep_forever()
        if self.rejected or topic in self.rejected_topics:
            result: _Result | logs.Unreachable = logs.Unreachable("turned away")
        else:
            result = await work()
        await anyio.sleep(settings.answer_s * self.slow_ratio)
        await self._cross(connection)
        return result

    async def _cross(self, connection: _Connection) -> None:
        """Waits until bytes have crossed the link in one direction."""
        await anyio.sleep(self._model.settings.link_s)
        if connection.is_silent:
            await anyio.sleep_forever()
        while self.is_cut:
            await self._healed.wait(60)
