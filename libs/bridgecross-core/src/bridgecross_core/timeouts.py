"""A timeout that lets the event loop read received data before it expires.

After a process was suspended or its event loop was blocked, its timers are due
and its sockets readable at the same time. ``uvloop`` runs the timers first, so
an ordinary timeout would drop an answer that arrived in time.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import math

import anyio
import anyio.lowlevel

from bridgecross_core import clock as clocks

_CLOCK_CHECK_INTERVAL_S = 0.25
"""How often a long wait checks the clock. The loop's timers stop while the
machine is suspended, so a single timer could fire arbitrarily late."""

_MIN_TIMER_DELAY_S = 0.001
"""``uvloop`` rounds the delays of timers to whole milliseconds."""

_GRACE_ITERATIONS = 8
"""Iterations of the event loop between the deadline and the cancellation.

Each iteration polls all sockets without blocking. An answer takes two: one to
read it, and one in which the waiting task receives it; the others are for
answers that pass through queues and events. An idle iteration takes some 10 us.
"""


@contextlib.contextmanager
def move_on_after(
    delay_s: float, clock: clocks.Clock
) -> Iterator[anyio.CancelScope]:
    """Cancels its block after a timeout, like ``anyio.move_on_after``.

    Args:
        delay_s: The timeout in seconds; may be infinite.
        clock: The clock that measures the timeout.

    Yields:
        The scope; ``cancelled_caught`` tells whether the block was cancelled.
    """
    scope = anyio.CancelScope()
    timer = _Timer(scope, clock, delay_s)
    timer.start()
    try:
        with scope:
            yield scope
    finally:
        timer.stop()


async def handle_pending_input() -> None:
    """Lets other tasks handle what has arrived at the sockets so far."""
    for _ in range(_GRACE_ITERATIONS):
        await anyio.lowlevel.checkpoint()


class _Timer:
    """Cancels a scope some iterations of the event loop after a deadline."""

    def __init__(
        self, scope: anyio.CancelScope, clock: clocks.Clock, delay_s: float
    ) -> None:
        """Sets the deadline; ``start`` starts the timer."""
        self._scope = scope
        self._clock = clock
        self._deadline_s = clock.monotonic_s() + delay_s
        self._loop = asyncio.get_running_loop()
        self._iterations_left = _GRACE_ITERATIONS
        self._handle: asyncio.Handle | None = None

    def start(self) -> None:
        """Starts the timer, unless the timeout is infinite."""
        if math.isfinite(self._deadline_s):
            self._check_deadline()

    def _check_deadline(self) -> None:
        """Schedules the next check, or begins to cancel after the deadline."""
        left_s = self._deadline_s - self._clock.monotonic_s()
        if left_s <= 0:
            self._count_down()
            return
        delay_s = max(min(left_s, _CLOCK_CHECK_INTERVAL_S), _MIN_TIMER_DELAY_S)
        self._handle = self._loop.call_later(delay_s, self._check_deadline)

    def stop(self) -> None:
        """Stops the timer, so that the scope is no longer cancelled."""
        if self._handle is not None:
            self._handle.cancel()

    def _count_down(self) -> None:
        """Lets one loop iteration pass; cancels the scope after the last."""
        if not self._iterations_left:
            self._scope.cancel()
            return
        self._iterations_left -= 1
        self._handle = self._loop.call_soon(self._count_down)
