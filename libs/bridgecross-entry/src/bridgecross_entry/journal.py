"""Structured logs: one JSON object a line on standard output.

Volume is bounded by a budget a second for each severity; what goes beyond it
is counted and told in the next line that gets through. Writing never waits:
when the reader of standard output falls behind, lines are dropped, counted
and told the same way.
"""

import dataclasses
import enum
import os
import sys
from typing import Any

import loguru
import msgspec

from bridgecross_core import clock as clocks


class Level(enum.Enum):
    """How a line is budgeted."""

    ROUTINE = "routine"
    """A request that went well; one in many tells enough."""

    DECISION = "decision"
    """A request that did not go straight, or a change of belief."""

    LIFECYCLE = "lifecycle"
    """Start, stop, reload, and dependencies lost and regained."""


@dataclasses.dataclass(frozen=True, slots=True)
class JournalSettings:
    """How much may be written."""

    # Lines a second of each level. A line is about 300 bytes and costs about
    # 40 us, so all three together stay under 3% of a core.
    routine_lines_per_s: float = 20.0
    decision_lines_per_s: float = 200.0
    lifecycle_lines_per_s: float = 500.0
    # Bytes that wait for a slow reader before lines are dropped.
    backlog_bytes: int = 65_536


class _Allowance:
    """Lets a number of lines through each second."""

    def __init__(self, lines_per_s: float) -> None:
        """Starts with one second's worth."""
        self._lines_per_s = lines_per_s
        self._left = lines_per_s
        self._filled_s = 0.0
        self.dropped_count = 0

    def take(self, now_s: float) -> bool:
        """Returns whether a line may be written now."""
        earned = (now_s - self._filled_s) * self._lines_per_s
        self._left = min(self._left + earned, self._lines_per_s)
        self._filled_s = now_s
        if self._left < 1:
            self.dropped_count += 1
            return False
        self._left -= 1
        return True


class _Output:
    """Writes to a file descriptor without ever waiting."""

    def __init__(self, descriptor: int, backlog_bytes: int) -> None:
        """Makes the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._backlog_bytes = backlog_bytes
        self._waiting = bytearray()
        self.dropped_count = 0

    def write(self, line: str) -> None:
        """Writes a line, or keeps it for later, or counts it as dropped."""
        if len(self._waiting) > self._backlog_bytes:
            self.flush()
        if len(self._waiting) > self._backlog_bytes:
            self.dropped_count += 1
            return
        self._waiting += line.encode()
        self.flush()

    def flush(self) -> None:
        """Writes as much as the reader takes."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and nobody is left to be told.
            self.dropped_count += 1
            self._waiting.clear()
            return
        del self._waiting[:written]


class Journal:
    """The logs of one process."""

    def __init__(
        self,
        instance: str,
        settings: JournalSettings,
        clock: clocks.Clock,
        descriptor: int | None = None,
    ) -> None:
        """Takes over ``loguru``'s output.

        Args:
            instance: The name that stands in each line.
            settings: How much may be written.
            clock: For times and allowances.
            descriptor: Where to write; standard output if left out.
        """
        self._instance = instance
        self._clock = clock
        self._allowances = {
            Level.ROUTINE: _Allowance(settings.routine_lines_per_s),
            Level.DECISION: _Allowance(settings.decision_lines_per_s),
            Level.LIFECYCLE: _Allowance(settings.lifecycle_lines_per_s),
        }
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._output = _Output(descriptor, settings.backlog_bytes)
        loguru.logger.remove()
        loguru.logger.add(self._output.write, format="{message}", catch=False)

    @property
    def dropped_count(self) -> int:
        """Lines that were not written, for any reason."""
        allowances = self._allowances.values()
        beyond = sum(allowance.dropped_count for allowance in allowances)
        return beyond + self._output.dropped_count

    def flush(self) -> None:
        """Writes what waited for a slow reader, as far as it goes."""
        self._output.flush()

    def routine(self, event: str, **fields: Any) -> None:
        """Writes of a request that went well."""
        self._write(Level.ROUTINE, event, fields)

    def decision(self, event: str, **fields: Any) -> None:
        """Writes of a decision or a change of belief."""
        self._write(Level.DECISION, event, fields)

    def lifecycle(self, event: str, **fields: Any) -> None:
        """Writes of a start, a stop, a reload or a dependency."""
        self._write(Level.LIFECYCLE, event, fields)

    def _write(self, level: Level, event: str, fields: dict[str, Any]) -> None:
        """Writes one line if the level's allowance has room."""
        now_s = self._clock.monotonic_s()
        if not self._allowances[level].take(now_s):
            return
        line = {
            "at_s": round(self._clock.wall_s(), 4),
            "up_s": round(now_s, 4),
            "instance": self._instance,
            "event": event,
            **fields,
        }
        if self.dropped_count:
            line["dropped"] = self.dropped_count
        text = msgspec.json.encode(line, enc_hook=str).decode()
        loguru.logger.opt(raw=True).info("{}\n", text)
