"""A limit for a wait that reads what has arrived before it gives up.

A process that stood still, or was busy for long, finds its timers due and its
sockets full at the same moment. ``uvloop`` then runs the timers first: a wait
that they cut loses an answer that came in time.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import math

import anyio

from bridgecross_core import clock as clocks

_STEP_S = 0.25
"""How often a long wait looks at the clock: the loop's timers stand still while
the machine is suspended, so one may come too late by any time."""

_TIMER_STEP_S = 0.001
"""``uvloop`` counts timers in whole milliseconds, and rounds."""

_TURNS_COUNT = 8
"""Turns of the loop between a limit and the end of the wait.

Each turn reads all sockets without waiting. An answer takes two: one to read
it, one in which the task that waits takes it; the rest is for what passes it on
through queues and events. A turn with nothing to do takes some 10 us.
"""


@contextlib.contextmanager
def move_on_after(
    delay_s: float, clock: clocks.Clock
) -> Iterator[anyio.CancelScope]:
    """Cancels its block after a time, as ``anyio.move_on_after`` does.

    Args:
        delay_s: The longest wait, in seconds; may be infinite.
        clock: By which it is counted.

    Yields:
        The scope; its ``cancelled_caught`` tells whether the block was cut.
    """
    scope = anyio.CancelScope()
    timer = _Timer(scope, clock, delay_s)
    timer.start()
    try:
        with scope:
            yield scope
    finally:
        timer.stop()


class _Timer:
    """Cancels a scope some turns of the loop after a time."""

    def __init__(
        self, scope: anyio.CancelScope, clock: clocks.Clock, delay_s: float
    ) -> None:
        """Does not run yet."""
        self._scope = scope
        self._clock = clock
        self._until_s = clock.monotonic_s() + delay_s
        self._loop = asyncio.get_running_loop()
        self._left_count = _TURNS_COUNT
        self._handle: asyncio.Handle | None = None

    def start(self) -> None:
        """Begins to count, unless there is no limit."""
        if math.isfinite(self._until_s):
            self._step()

    def _step(self) -> None:
        """Waits for a part of the time that is left, if any is."""
        left_s = self._until_s - self._clock.monotonic_s()
        if left_s <= 0:
            self._turn()
            return
        delay_s = max(min(left_s, _STEP_S), _TIMER_STEP_S)
        self._handle = self._loop.call_later(delay_s, self._step)

    def stop(self) -> None:
        """Cancels nothing any more."""
        if self._handle is not None:
            self._handle.cancel()

    def _turn(self) -> None:
        """Lets one turn pass; cancels after the last."""
        if not self._left_count:
            self._scope.cancel()
            return
        self._left_count -= 1
        self._handle = self._loop.call_soon(self._turn)
