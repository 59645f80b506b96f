"""Reads one stream continuously, in order, and tracks its freshness."""

import dataclasses
import math
from typing import Protocol

import anyio
import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_log import service

_START = ids.Offset(0)


class RecordHandler(Protocol):
    """Processes the records of a stream in order."""

    def apply(self, record: service.StoredRecord) -> None:
        """Processes the next record; must not raise if it is invalid."""

    def restart(self, first_offset: ids.Offset) -> None:
        """Discards all state; the next record is the one at ``first_offset``.

        Called if retention has removed records that were not yet read.
        """


@dataclasses.dataclass(frozen=True)
class FollowerSettings:
    """Settings of a follower."""

    # The stream's name.
    stream: str
    # How long the log may delay its answer if there are no new records.
    wait_ms: int = 400
    # The pause after a failed read.
    retry_ms: int = 100


class Follower:
    """Follows one stream; ``run`` must be started as a task."""

    def __init__(
        self,
        settings: FollowerSettings,
        log: service.LogService,
        handler: RecordHandler,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the follower to start at offset 0."""
        self._settings = settings
        self._log = log
        self._handler = handler
        self._clock = clock
        self._fresh_at_s = -math.inf
        self.next_offset = _START
        self.caught_up = anyio.Event()

    @property
    def fresh_at_s(self) -> float:
        """The monotonic time up to which all records have been applied.

        It is the time at which the read was sent, so it is never too recent.
        Minus infinity before the first complete read.
        """
        return self._fresh_at_s

    def age_s(self) -> float:
        """Returns the age of the applied state in seconds."""
        return self._clock.monotonic_s() - self._fresh_at_s

    def resume_at(self, offset: ids.Offset) -> None:
        """Skips to a higher offset if earlier records came from elsewhere."""
        self.next_offset = max(self.next_offset, offset)

    async def run(self) -> None:
        """Follows the stream until it is cancelled."""
        while True:
            try:
                await self._read_once()
            except service.OffsetExpiredError as expired:
                self._restart(expired.first_offset)
            except service.LogUnavailableError as error:
                loguru.logger.bind(stream=self._settings.stream).debug(
                    "read failed, retrying: {}", error
                )
                await anyio.sleep(self._settings.retry_ms / 1_000)

    async def _read_once(self) -> None:
        """Reads one batch and applies it."""
        sent_at_s = self._clock.monotonic_s()
        batch = await self._log.read(
            self._settings.stream, self.next_offset, self._settings.wait_ms
        )
        for record in batch.records:
            if record.offset < self.next_offset:
                continue
            self._handler.apply(record)
            self.next_offset = ids.Offset(record.offset + 1)
        if self.next_offset >= batch.next_offset:
            self._fresh_at_s = sent_at_s
            self.caught_up.set()

    def _restart(self, first_offset: ids.Offset) -> None:
        """Starts over at the lowest offset that the log retains."""
        loguru.logger.bind(stream=self._settings.stream).info(
            "unread records have expired, restarting at offset {}", first_offset
        )
        self._handler.restart(first_offset)
        self.next_offset = first_offset
