"""Structured logging: one JSON object per line on standard output.

Each level has a limit of lines per second. Lines beyond it are dropped and
counted, and the next line that is written contains the count. Writing never
blocks: if the reader of standard output falls behind, lines are dropped and
counted in the same way.
"""

import dataclasses
import enum
import os
import sys
from typing import Any
from typing import Protocol

import loguru
import msgspec

from bridgecross_core import clock as clocks


class Level(enum.Enum):
    """The level of a line, which determines its rate limit."""

    ROUTINE = "routine"
    """A request without incident; a sample of these is enough."""

    DECISION = "decision"
    """A request with an incident, or a change of what is known."""

    LIFECYCLE = "lifecycle"
    """Start, stop, reload, and dependencies that fail or recover."""


@dataclasses.dataclass(frozen=True, slots=True)
class JournalSettings:
    """Limits of the log's volume."""

    # Lines per second of each level. A line has about 300 bytes and takes about
    # 40 us to write, so all three together stay below 3% of a core.
    routine_lines_per_s: float = 20.0
    decision_lines_per_s: float = 200.0
    lifecycle_lines_per_s: float = 500.0
    # Bytes that are buffered for a slow reader before lines are dropped.
    backlog_bytes: int = 65_536


class _RateLimiter:
    """A token bucket that limits the lines per second."""

    def __init__(self, lines_per_s: float) -> None:
        """Starts with the tokens of one second."""
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._refilled_s = 0.0
        self.dropped_count = 0

    def take(self, now_s: float) -> bool:
        """Takes a token; returns whether a line may be written now."""
        earned = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._tokens + earned, self._lines_per_s)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.dropped_count += 1
            return False
        self._tokens -= 1
        return True


class _NonBlockingWriter:
    """Writes to a file descriptor without blocking."""

    def __init__(self, descriptor: int, backlog_bytes: int) -> None:
        """Makes the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._backlog_bytes = backlog_bytes
        self._buffer = bytearray()
        self.dropped_count = 0

    def write(self, line: str) -> None:
        """Writes a line, buffers it, or counts it as dropped."""
        if len(self._buffer) > self._backlog_bytes:
            self.flush()
        if len(self._buffer) > self._backlog_bytes:
            self.dropped_count += 1
            return
        self._buffer += line.encode()
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error cannot be reported either.
            self.dropped_count += 1
            self._buffer.clear()
            return
        del self._buffer[:written]


class DecisionLog(Protocol):
    """The part of a journal that observers of connections use."""

    def decision(self, event: str, **fields: Any) -> None:
        """Logs a decision, or a change of what is known."""


class Journal:
    """The structured log of one process."""

    def __init__(
        self,
        instance: str,
        settings: JournalSettings,
        clock: clocks.Clock,
        descriptor: int | None = None,
    ) -> None:
        """Replaces the outputs of ``loguru``.

        Args:
            instance: The name of the instance, written in each line.
            settings: Limits of the log's volume.
            clock: The time source for timestamps and rate limits.
            descriptor: The file descriptor to write to; standard output if
                omitted.
        """
        self._instance = instance
        self._clock = clock
        self._limiters = {
            Level.ROUTINE: _RateLimiter(settings.routine_lines_per_s),
            Level.DECISION: _RateLimiter(settings.decision_lines_per_s),
            Level.LIFECYCLE: _RateLimiter(settings.lifecycle_lines_per_s),
        }
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._writer = _NonBlockingWriter(descriptor, settings.backlog_bytes)
        loguru.logger.remove()
        loguru.logger.add(self._writer.write, format="{message}", catch=False)

    @property
    def dropped_count(self) -> int:
        """The number of lines that were dropped for any reason."""
        limiters = self._limiters.values()
        rate_limited = sum(limiter.dropped_count for limiter in limiters)
        return rate_limited + self._writer.dropped_count

    def flush(self) -> None:
        """Writes buffered lines as far as the reader accepts them."""
        self._writer.flush()

    def routine(self, event: str, **fields: Any) -> None:
        """Logs a request without incident."""
        self._write(Level.ROUTINE, event, fields)

    def decision(self, event: str, **fields: Any) -> None:
        """Logs a decision, or a change of what is known."""
        self._write(Level.DECISION, event, fields)

    def lifecycle(self, event: str, **fields: Any) -> None:
        """Logs a start, a stop, a reload or the state of a dependency."""
        self._write(Level.LIFECYCLE, event, fields)

    def _write(self, level: Level, event: str, fields: dict[str, Any]) -> None:
        """Writes one line, unless the level's rate limit is reached."""
        now_s = self._clock.monotonic_s()
        if not self._limiters[level].take(now_s):
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
