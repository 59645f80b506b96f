"""The clock interface, which tests replace, and the system clock."""

from collections.abc import Callable
import time
from typing import Protocol

_MONOTONIC_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The clock for ages and leases. It must count the time during which the
machine is suspended: otherwise data that others have replaced meanwhile would
still appear fresh, and leases that have expired would appear valid."""


class Clock(Protocol):
    """A source of time."""

    def monotonic_s(self) -> float:
        """Returns monotonic seconds, for ages and leases.

        They include the time during which the machine is suspended.
        """

    def wall_s(self) -> float:
        """Returns seconds since 1970; for display and logs only."""


class SystemClock:
    """The machine's clock."""

    def __init__(
        self, read: Callable[[int], float] = time.clock_gettime
    ) -> None:
        """Initializes the clock.

        Args:
            read: Returns the time of the system clock with a given id, in
                seconds.
        """
        self._read = read

    def monotonic_s(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return self._read(_MONOTONIC_CLOCK_ID)

    def wall_s(self) -> float:
        """Returns the machine's wall clock in seconds since 1970."""
        return self._read(time.CLOCK_REALTIME)
