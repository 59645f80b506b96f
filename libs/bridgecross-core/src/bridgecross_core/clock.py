"""Where the time comes from, so that tests can bring their own."""

from collections.abc import Callable
import time
from typing import Protocol

_COUNTS_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The clock for ages and leases: one that stood still while the machine was
suspended would call things young that others have long replaced."""


class Clock(Protocol):
    """A source of time."""

    def monotonic_s(self) -> float:
        """Returns seconds that never run backwards; for leases.

        They go on while the machine is suspended.
        """

    def wall_s(self) -> float:
        """Returns seconds since 1970; for people and for logs only."""


class SystemClock:
    """The clock of the machine."""

    def __init__(
        self, read: Callable[[int], float] = time.clock_gettime
    ) -> None:
        """Reads nothing yet.

        Args:
            read: Returns what the machine's clock of an id shows, in seconds.
        """
        self._read = read

    def monotonic_s(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return self._read(_COUNTS_SUSPENSION)

    def wall_s(self) -> float:
        """Returns the machine's wall clock in seconds since 1970."""
        return self._read(time.CLOCK_REALTIME)
