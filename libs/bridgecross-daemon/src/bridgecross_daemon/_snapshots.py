"""Appends snapshots of the control state before retention cuts it."""

from collections.abc import Callable
import dataclasses

import anyio
import loguru

from bridgecross_core import clock as clocks
from bridgecross_daemon import control
from bridgecross_log import appender as appenders
from bridgecross_log import records as log_records
from bridgecross_log import snapshot as snapshots

_CHECK_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class SnapshotSettings:
    """When a snapshot is due."""

    # Records since the last one.
    records: int
    # Seconds since the last one.
    interval_s: int


class SnapshotWriter:
    """The task that appends snapshots.

    A snapshot is a function of the log's prefix, so a second one by another
    instance does no harm.
    """

    def __init__(
        self,
        settings: SnapshotSettings,
        state: control.ControlState,
        appender: appenders.Appender,
        clock: clocks.Clock,
    ) -> None:
        """Has taken none yet."""
        self._settings = settings
        self._state = state
        self._appender = appender
        self._clock = clock
        self._taken_at_s = clock.monotonic_s()

    async def run(self, is_mine: Callable[[], bool]) -> None:
        """Appends snapshots when they are due, until it is cancelled.

        Args:
            is_mine: Whether this instance is the one to take them.
        """
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            if is_mine() and self._is_due():
                await self._take()

    def _is_due(self) -> bool:
        """Returns whether enough records or time have passed."""
        if self._state.awaits_snapshot or self._state.settings.version is None:
            return False
        newest = self._state.next_offset - 1
        behind = newest - max(self._state.snapshot_as_of, 0)
        age_s = self._clock.monotonic_s() - self._taken_at_s
        return (
            behind >= self._settings.records
            or age_s >= self._settings.interval_s
        )

    async def _take(self) -> None:
        """Appends all chunks of a snapshot; a lost one spoils it."""
        self._taken_at_s = self._clock.monotonic_s()
        whole = self._state.to_snapshot()
        snapshot_id = log_records.new_record_id()
        for chunk in snapshots.split_snapshot(whole, snapshot_id):
            outcome = await self._appender.append(
                snapshots.CHUNK_KIND, snapshots.encode_chunk(chunk)
            )
            if not isinstance(outcome, appenders.Applied):
                loguru.logger.warning("snapshot not whole: {}", outcome)
                return
        loguru.logger.info("snapshot as of {}", whole.as_of)
