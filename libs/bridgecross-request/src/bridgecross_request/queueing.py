"""The slots of a backend server, given out in order of priority.

All requests to a server pass through its front, so one queue sees them all:
slots are never overrun and a higher tier never waits behind a lower one.
"""

import collections
import dataclasses
import heapq
import itertools
import math

import anyio

from bridgecross_core import clock as clocks

_SMOOTHING = 0.1
_FIRST_GUESS_S = 0.01


@dataclasses.dataclass(frozen=True)
class QueueSettings:
    """How a server's slots are given out."""

    # Requests that the server runs at the same time.
    slots: int
    # The share of grants that goes to the lowest waiting tier.
    starvation_share_ratio: float


@dataclasses.dataclass(frozen=True)
class TierPlace:
    """How one tier stands in a queue."""

    # The tier's name.
    name: str
    # 1 is served first.
    priority: int
    # Requests of the tier that may wait.
    limit: int


@dataclasses.dataclass(frozen=True)
class Granted:
    """A slot was given; the holder must release it."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """No slot was given, and none will be."""

    # Why.
    reason: str
    # When to come back.
    retry_after_ms: int


@dataclasses.dataclass(order=True)
class _Waiter:
    """A request that waits for a slot."""

    priority: int
    number: int
    tier: str = dataclasses.field(compare=False)
    granted: anyio.Event = dataclasses.field(compare=False)


class TierQueue:
    """The queue in front of one backend server."""

    def __init__(self, settings: QueueSettings, clock: clocks.Clock) -> None:
        """Has all slots free.

        Args:
            settings: How slots are given out, replaced as they change.
            clock: For the estimate of waiting times.
        """
        self.settings = settings
        self.served: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._busy = 0
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._grants = 0
        self._service_s = _FIRST_GUESS_S

    @property
    def busy(self) -> int:
        """The slots that are given out."""
        return self._busy

    def estimate_wait_s(self, priority: int) -> float:
        """Returns how long a new request of a priority would wait."""
        ahead = sum(1 for w in self._waiters if w.priority <= priority)
        if self._busy < self.settings.slots:
            return 0.0
        return (ahead + 1) * self._service_s / self.settings.slots

    async def acquire(
        self, place: TierPlace, deadline_s: float
    ) -> Granted | Refused:
        """Waits for a slot.

        A request that cannot get a slot before its deadline is refused at
        once rather than held.

        Args:
            place: How the request's tier stands in the queue.
            deadline_s: The monotonic time by which the answer is due.
        """
        if self._busy < self.settings.slots:
            self._grant(place.name)
            return Granted()
        wait_s = self.estimate_wait_s(place.priority)
        if self.waiting[place.name] >= place.limit:
            return self._refuse("the queue of the tier is full", wait_s)
        left_s = deadline_s - self._clock.monotonic_s()
        if wait_s + self._service_s > left_s:
            return self._refuse("the deadline cannot be met", wait_s)
        return await self._wait(place, left_s)

    def release(self, held_s: float) -> None:
        """Gives a slot back.

        Args:
            held_s: How long it was held, for the estimate.
        """
        self._busy -= 1
        self._service_s += _SMOOTHING * (held_s - self._service_s)
        self._grant_next()

    async def _wait(self, place: TierPlace, left_s: float) -> Granted | Refused:
        """Waits in the queue until a slot is given or time runs out."""
        waiter = _Waiter(
            place.priority, next(self._numbers), place.name, anyio.Event()
        )
        heapq.heappush(self._waiters, waiter)
        self.waiting[place.name] += 1
        try:
            with anyio.move_on_after(left_s):
                await waiter.granted.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        if waiter.granted.is_set():
            return Granted()
        self._abandon(waiter)
        return self._refuse("the deadline has passed", self._service_s)

    def _abandon(self, waiter: _Waiter) -> None:
        """Takes a waiter out; a slot that it was just given goes on."""
        if waiter.granted.is_set():
            self._busy -= 1
            self._grant_next()
            return
        self.waiting[waiter.tier] -= 1
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)

    def _grant(self, tier: str) -> None:
        """Counts a slot as given."""
        self._busy += 1
        self._grants += 1
        self.served[tier] += 1

    def _grant_next(self) -> None:
        """Gives free slots to those that wait."""
        while self._waiters and self._busy < self.settings.slots:
            waiter = self._pick()
            self.waiting[waiter.tier] -= 1
            self._grant(waiter.tier)
            waiter.granted.set()

    def _pick(self) -> _Waiter:
        """Takes the next waiter: by priority, but sometimes the lowest."""
        ratio = self.settings.starvation_share_ratio
        if ratio and self._grants % math.ceil(1 / ratio) == 0:
            lowest = max(w.priority for w in self._waiters)
            waiter = min(w for w in self._waiters if w.priority == lowest)
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            return waiter
        return heapq.heappop(self._waiters)

    def _refuse(self, reason: str, wait_s: float) -> Refused:
        """Returns a refusal with the time after which to come back."""
        return Refused(reason, max(int(wait_s * 1_000), 1))
