"""A hybrid logical clock, whose timestamps order events causally.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(2014): a timestamp follows the wall clock as closely as causality allows, so
timestamps of different processes can be sorted into one timeline.
"""

from typing import NamedTuple

from bridgecross_core import clock as clocks

_MICROSECONDS = 1_000_000


class Timestamp(NamedTuple):
    """A hybrid timestamp; timestamps compare in causal order."""

    wall_us: int
    logical: int


class HybridClock:
    """Issues the timestamps of one process."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Initializes the clock; it follows the wall clock of ``clock``."""
        self._clock = clock
        self._last = Timestamp(0, 0)

    def tick(self) -> Timestamp:
        """Returns the timestamp of a local event."""
        return self._advance(Timestamp(0, 0))

    def observe(self, received: Timestamp) -> Timestamp:
        """Returns a timestamp later than that of a received message."""
        return self._advance(received)

    def _advance(self, received: Timestamp) -> Timestamp:
        """Advances past the last timestamp and the received one."""
        wall_us = int(self._clock.wall_s() * _MICROSECONDS)
        highest = max(self._last, received)
        if wall_us > highest.wall_us:
            self._last = Timestamp(wall_us, 0)
        else:
            self._last = Timestamp(highest.wall_us, highest.logical + 1)
        return self._last
