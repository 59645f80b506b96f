"""Requests that run on an emulated server while its leases last."""

import asyncio
from collections.abc import Callable
import contextvars
import math
from typing import Any

import anyio

_CLOCK_STEP_S = 1e-6
"""Times within this distance count as equal, because of rounding errors."""


class Work:
    """One running request."""

    def __init__(
        self,
        key: int | None,
        done_s: float,
        until_s: float,
        timely_until_s: float,
    ) -> None:
        """Starts the request.

        Args:
            key: The key of the request; None if it has none.
            done_s: When the request is complete, if its lease lasts that long.
            until_s: When the lease ends under which it runs.
            timely_until_s: When the lease ends, counting only orders that
                were carried out in time.
        """
        self.key = key
        self.done_s = done_s
        self.until_s = until_s
        self.timely_until_s = timely_until_s
        # Set once the request has stopped running, for whatever reason.
        self.ended = anyio.Event()

    def is_done(self, now_s: float) -> bool:
        """Whether the request has had enough time to complete."""
        return now_s >= self.done_s - _CLOCK_STEP_S

    def has_timely_lease(self, now_s: float) -> bool:
        """Whether it runs under a lease that was granted in time."""
        return (
            not self.ended.is_set()
            and now_s < self.timely_until_s - _CLOCK_STEP_S
        )

    def left_s(self, now_s: float) -> float:
        """Returns for how long it may still run; 0 if it has to end."""
        left_s = min(self.done_s, self.until_s) - now_s
        return left_s if left_s > _CLOCK_STEP_S else 0.0


class WorkSet:
    """The requests that are running on one server."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        """Initializes an empty set.

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
        timely_until_s: float = math.inf,
    ) -> Work:
        """Starts work that ends by itself, also while hosts are paused."""
        work = Work(key, self._now_s() + work_s, until_s, timely_until_s)
        self._present.append(work)
        self._end_when_due(work)
        return work

    def _end_when_due(self, work: Work) -> None:
        """Ends work that is due, or checks again when it may be due."""
        left_s = work.left_s(self._now_s())
        if left_s:
            call_later(left_s, self._end_when_due, work)
        else:
            work.ended.set()

    def on(self, first_key: int, last_key: int) -> list[Work]:
        """Returns the work on a range of keys, including both ends."""
        self._present = [w for w in self._present if not w.ended.is_set()]
        return [
            w
            for w in self._present
            if w.key is not None and first_key <= w.key <= last_key
        ]

    def extend_leases(
        self,
        first_key: int,
        last_key: int,
        until_s: float,
        timely_until_s: float,
    ) -> None:
        """Extends the lease of the work on a range of keys."""
        for work in self.on(first_key, last_key):
            work.until_s = max(work.until_s, until_s)
            work.timely_until_s = max(work.timely_until_s, timely_until_s)

    def stop(self) -> None:
        """Ends all work at once."""
        for work in self._present:
            work.ended.set()
        self._present = []


def call_later(delay_s: float, act: Callable[..., object], *args: Any) -> None:
    """Calls a function after a delay, independent of any host."""
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, act, *args, context=contextvars.Context())
