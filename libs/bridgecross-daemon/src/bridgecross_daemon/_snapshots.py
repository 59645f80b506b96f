"""Appends snapshots of the control state before its records expire."""

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
    """When a snapshot is due; either limit is sufficient."""

    # The number of records since the last snapshot.
    records: int
    # The seconds since this instance last started to append one.
    interval_s: int


class SnapshotWriter:
    """The task that appends snapshots.

    A snapshot depends only on the records before it, so it does no harm if
    another instance appends one as well.
    """

    def __init__(
        self,
        settings: SnapshotSettings,
        state: control.ControlState,
        appender: appenders.Appender,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the writer; the first interval starts now."""
        self._settings = settings
        self._state = state
        self._appender = appender
        self._clock = clock
        self._last_started_s = clock.monotonic_s()

    async def run(self, is_responsible: Callable[[], bool]) -> None:
        """Appends snapshots when they are due, until cancelled.

        Args:
            is_responsible: Whether this instance should append them now.
        """
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            if is_responsible() and self._is_due():
                await self._append_snapshot()

    def _is_due(self) -> bool:
        """Returns whether enough records or time have passed."""
        if self._state.awaits_snapshot or self._state.settings.version is None:
            return False
        newest = self._state.next_offset - 1
        record_count = newest - max(self._state.snapshot_as_of, 0)
        age_s = self._clock.monotonic_s() - self._last_started_s
        return (
            record_count >= self._settings.records
            or age_s >= self._settings.interval_s
        )

    async def _append_snapshot(self) -> None:
        """Appends all chunks of a snapshot.

        It stops at the first chunk that fails, because readers ignore an
        incomplete snapshot.
        """
        self._last_started_s = self._clock.monotonic_s()
        snapshot = self._state.to_snapshot()
        snapshot_id = log_records.new_record_id()
        for chunk in snapshots.split_snapshot(snapshot, snapshot_id):
            outcome = await self._appender.append(
                snapshots.CHUNK_KIND, snapshots.encode_chunk(chunk)
            )
            if not isinstance(outcome, appenders.Applied):
                loguru.logger.warning("snapshot incomplete: {}", outcome)
                return
        loguru.logger.info(
            "appended a snapshot as of offset {}", snapshot.as_of
        )
