"""Requests at work at an emulated server, while its leases last."""

import asyncio
from collections.abc import Callable
import contextvars
import math
from typing import Any

import anyio

_CLOCK_STEP_S = 1e-6
"""Times that are this close are the same; sums of floats are not exact."""


class Work:
    """One request at work."""

    def __init__(
        self, key: int | None, done_s: float, until_s: float, sure_s: float
    ) -> None:
        """Is at work from now on.

        Args:
            key: The key that it works on; None if there is none.
            done_s: When it is done, if its lease lasts for so long.
            until_s: When the lease ends that it works under.
            sure_s: The same by orders that were taken in time.
        """
        self.key = key
        self.done_s = done_s
        self.until_s = until_s
        self.sure_s = sure_s
        # Set once it works no longer, for whatever reason.
        self.ended = anyio.Event()

    def is_done(self, now_s: float) -> bool:
        """Whether there was time for all of it."""
        return now_s >= self.done_s - _CLOCK_STEP_S

    def is_sure(self, now_s: float) -> bool:
        """Whether it is at work under a lease that was given in time."""
        return not self.ended.is_set() and now_s < self.sure_s - _CLOCK_STEP_S

    def left_s(self, now_s: float) -> float:
        """Returns how long it may go on as things are; 0 if it is over."""
        left_s = min(self.done_s, self.until_s) - now_s
        return left_s if left_s > _CLOCK_STEP_S else 0.0


class Workplace:
    """What is at work at one server."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        """Nothing is.

        Args:
            now_s: Returns the virtual time.
        """
        self._now_s = now_s
        self._present: list[Work] = []

    def begin(
        self,
        key: int | None,
        work_s: float,
        until_s: float = math.inf,
        sure_s: float = math.inf,
    ) -> Work:
        """Begins work, which ends by itself; it belongs to no host."""
        work = Work(key, self._now_s() + work_s, until_s, sure_s)
        self._present.append(work)
        self._end_when_due(work)
        return work

    def _end_when_due(self, work: Work) -> None:
        """Ends work now, or looks again when it may be over."""
        left_s = work.left_s(self._now_s())
        if left_s:
            call_later(left_s, self._end_when_due, work)
        else:
            work.ended.set()

    def on(self, first_key: int, last_key: int) -> list[Work]:
        """Returns what is at work on a range; both ends are inside."""
        self._present = [w for w in self._present if not w.ended.is_set()]
        return [
            w
            for w in self._present
            if w.key is not None and first_key <= w.key <= last_key
        ]

    def prolong(
        self, first_key: int, last_key: int, until_s: float, sure_s: float
    ) -> None:
        """Lets work on a range go on under a renewed lease."""
        for work in self.on(first_key, last_key):
            work.until_s = max(work.until_s, until_s)
            work.sure_s = max(work.sure_s, sure_s)

    def stop(self) -> None:
        """Ends all work at once."""
        for work in self._present:
            work.ended.set()
        self._present = []


def call_later(delay_s: float, act: Callable[..., object], *args: Any) -> None:
    """Does something after a time, on no instance's host."""
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, act, *args, context=contextvars.Context())
