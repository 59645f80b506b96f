"""Where the time comes from, so that tests can bring their own."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic_s(self) -> float:
        """Returns seconds that never run backwards; for leases."""

    def wall_s(self) -> float:
        """Returns seconds since 1970; for people and for logs only."""


class SystemClock:
    """The clock of the machine."""

    def monotonic_s(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Returns the machine's wall clock in seconds since 1970."""
        return time.time()
