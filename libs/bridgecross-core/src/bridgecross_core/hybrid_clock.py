"""A hybrid logical clock: stamps that order events causally.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(2014): a stamp follows the wall clock as closely as causality allows, so
stamps of different processes can be sorted into one time line.
"""

from typing import NamedTuple

from bridgecross_core import clock as clocks

_MICROSECONDS = 1_000_000


class Timestamp(NamedTuple):
    """A point on the time line; stamps compare in causal order."""

    wall_us: int
    logical: int


class HybridClock:
    """Gives the stamps of one process."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Starts at the wall clock's time."""
        self._clock = clock
        self._last = Timestamp(0, 0)

    def tick(self) -> Timestamp:
        """Returns the stamp of an event in this process."""
        return self._advance(Timestamp(0, 0))

    def observe(self, received: Timestamp) -> Timestamp:
        """Returns a stamp later than one that came with a message."""
        return self._advance(received)

    def _advance(self, received: Timestamp) -> Timestamp:
        """Moves past the last stamp, the received one and the wall clock."""
        wall_us = int(self._clock.wall_s() * _MICROSECONDS)
        highest = max(self._last, received)
        if wall_us > highest.wall_us:
            self._last = Timestamp(wall_us, 0)
        else:
            self._last = Timestamp(highest.wall_us, highest.logical + 1)
        return self._last
