"""The slots of a backend server, given out in order of priority.

A higher tier never waits behind a lower one. Within a tier those go first who
can still be answered within their target; who cannot be waits for room that
they leave, as an answer that comes late is worth less to its caller but more
than none. So a backlog makes nobody late who comes anew.
"""

import asyncio
import collections
import dataclasses
import math
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks

_SMOOTHING = 0.1

LATE_WAIT_RATIO = 0.75
"""How long a request may wait that will be late, as a part of its time left.

Each later attempt waits anew behind the same backlog, so most of the time is
better spent in one queue; what is left is for its run.
"""


@dataclasses.dataclass(frozen=True)
class QueueSettings:
    """How a server's slots are given out."""

    # Requests that the server runs at the same time.
    slots: int
    # The share of grants that goes to the lowest waiting tier.
    starvation_share_ratio: float
    # Slots that requests may take whose answers will be late in any case. With
    # less than one they take turns with pauses, one slot for that part of the
    # time.
    late_slots: float
    # How long a slot is taken to be held before one has been given back.
    first_guess_s: float


@dataclasses.dataclass(frozen=True)
class QueueTier:
    """How one tier stands in a queue."""

    # The tier's name.
    name: str
    # 1 is served first.
    priority: int
    # Requests of the tier that may wait.
    limit: int


class Deadlines(NamedTuple):
    """When an answer is wanted, on the monotonic clock."""

    # An answer is worth less after this.
    target_s: float
    # And nothing after this: the caller has left.
    deadline_s: float


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


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that waits for a slot."""

    place: QueueTier
    due: Deadlines
    granted: anyio.Event


class _Average:
    """A moving average that begins with a guess."""

    def __init__(self, guess_s: float) -> None:
        """Counts the guess as one observation."""
        self.value_s = guess_s
        self._count = 1

    def add(self, value_s: float) -> None:
        """Adds an observation; the first few count for more."""
        self._count += 1
        weight = max(_SMOOTHING, 1.0 / self._count)
        self.value_s += weight * (value_s - self.value_s)


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
        self._grants = 0
        # From when on a late request may have a slot again.
        self._late_from_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._service = _Average(settings.first_guess_s)
        # The same for each tier, by name: what one needs says little of
        # another whose requests are of another kind.
        self._tiers: dict[str, _Average] = {}

    @property
    def busy(self) -> int:
        """The slots that are given out."""
        return self._busy

    def estimate_wait_s(self, priority: int) -> float:
        """Returns how long a new request of a priority would wait.

        Those ahead of it that will be late in any case do not count.
        """
        if self._busy < self.settings.slots:
            return 0.0
        now_s = self._clock.monotonic_s()
        ahead = sum(
            w.place.priority <= priority and not self._is_late(w, now_s)
            for w in self._waiters
        )
        return self._wait_behind_s(ahead)

    async def acquire(
        self, place: QueueTier, due: Deadlines
    ) -> Granted | Refused:
        """Waits for a slot.

        A request that will hardly get a slot before its deadline is refused at
        once rather than held.

        Args:
            place: How the request's tier stands in the queue.
            due: When the answer is wanted.
        """
        now_s = self._clock.monotonic_s()
        waiter = _Waiter(place, due, anyio.Event())
        if self._has_room(late=self._is_late(waiter, now_s)):
            self.take(place)
            return Granted()
        wait_s = self.estimate_wait_s(place.priority)
        if self.waiting[place.name] >= place.limit:
            return self._refuse("the queue of the tier is full", wait_s)
        if now_s + wait_s + self._needs_s(place) > due.target_s:
            wait_s = self._estimate_late_wait_s(place.priority)
            if wait_s > self._patience_s(waiter, now_s):
                return self._refuse("the deadline cannot be met", wait_s)
        return await self._wait(waiter)

    def try_acquire(self, place: QueueTier, due: Deadlines) -> bool:
        """Takes a slot if there is one at this moment; returns whether so."""
        waiter = _Waiter(place, due, anyio.Event())
        is_late = self._is_late(waiter, self._clock.monotonic_s())
        if not self._has_room(late=is_late):
            return False
        self.take(place)
        return True

    def take(self, place: QueueTier) -> None:
        """Takes a slot, also one beyond those that there are.

        The holder must release it.
        """
        self._busy += 1
        self._grants += 1
        self.served[place.name] += 1

    def _has_room(self, *, late: bool) -> bool:
        """Whether there is a slot for a request that comes now."""
        settings = self.settings
        if not late:
            return self._busy < settings.slots
        if self._clock.monotonic_s() < self._late_from_s:
            return False
        return self._busy < max(settings.late_slots, 1.0)

    def release(self, held_s: float, place: QueueTier) -> None:
        """Gives a slot back.

        Args:
            held_s: How long it was held, for the estimate.
            place: The tier of the request that held it.
        """
        self._busy -= 1
        self._pause_late(held_s)
        self._service.add(held_s)
        guess_s = self.settings.first_guess_s
        self._tiers.setdefault(place.name, _Average(guess_s)).add(held_s)
        self._grant_next()
        self._wake_late()

    async def _wait(self, waiter: _Waiter) -> Granted | Refused:
        """Waits in the queue until a slot is given or time runs out."""
        place = waiter.place
        self._waiters.append(waiter)
        self.waiting[place.name] += 1
        self._wake_late()
        now_s = self._clock.monotonic_s()
        try:
            with anyio.move_on_after(self._patience_s(waiter, now_s)):
                await waiter.granted.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        if waiter.granted.is_set():
            return Granted()
        self._abandon(waiter)
        return self._refuse("the deadline has passed", self._needs_s(place))

    def _pause_late(self, held_s: float) -> None:
        """Keeps late requests off for a while if they share a slot."""
        share = self.settings.late_slots
        if share < 1.0:
            pause_s = held_s * (1.0 / share - 1.0)
            self._late_from_s = self._clock.monotonic_s() + pause_s

    def _wake_late(self) -> None:
        """Sees to it that the pause of late requests ends for who waits."""
        pause_s = self._late_from_s - self._clock.monotonic_s()
        if self._timer is None and pause_s > 0 and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._end_pause)

    def _end_pause(self) -> None:
        """Gives free slots to those that waited for the end of a pause."""
        self._timer = None
        self._grant_next()
        self._wake_late()

    def _needs_s(self, place: QueueTier) -> float:
        """Returns how long a request of a tier holds a slot, on average."""
        return self._tiers.get(place.name, self._service).value_s

    def _is_late(self, waiter: _Waiter, now_s: float) -> bool:
        """Whether a request that gets a slot now will likely be late."""
        return now_s + self._needs_s(waiter.place) > waiter.due.target_s

    def _wait_behind_s(self, ahead: int) -> float:
        """Returns how long a request waits behind others."""
        return (ahead + 1) * self._service.value_s / self.settings.slots

    def _estimate_late_wait_s(self, priority: int) -> float:
        """Returns how long a new request that will be late would wait."""
        ahead = sum(w.place.priority <= priority for w in self._waiters)
        return (ahead + 1) * self._service.value_s / self.settings.late_slots

    def _patience_s(self, waiter: _Waiter, now_s: float) -> float:
        """Returns how long a request may wait."""
        until_s = now_s + self._needs_s(waiter.place)
        to_target_s = waiter.due.target_s - until_s
        to_deadline_s = waiter.due.deadline_s - until_s
        return max(to_target_s, LATE_WAIT_RATIO * to_deadline_s)

    def _abandon(self, waiter: _Waiter) -> None:
        """Takes a waiter out; a slot that it was just given goes on."""
        if waiter.granted.is_set():
            self._busy -= 1
            self._grant_next()
            return
        self.waiting[waiter.place.name] -= 1
        self._waiters.remove(waiter)

    def _grant_next(self) -> None:
        """Gives free slots to those that wait."""
        while self._waiters and self._busy < self.settings.slots:
            waiter = self._pick()
            if not self._may_go(waiter):
                return
            self._waiters.remove(waiter)
            self.waiting[waiter.place.name] -= 1
            self.take(waiter.place)
            waiter.granted.set()

    def _may_go(self, waiter: _Waiter) -> bool:
        """Whether the first in the order gets the free slot.

        One that is late keeps clear of slots that others will want at once. It
        takes any, though, rather than see a lower tier take it.
        """
        now_s = self._clock.monotonic_s()
        if self._has_room(late=self._is_late(waiter, now_s)):
            return True
        return any(not self._is_late(w, now_s) for w in self._waiters)

    def _pick(self) -> _Waiter:
        """Returns the next waiter: by priority, but sometimes the lowest."""
        ratio = self.settings.starvation_share_ratio
        turn = self._waiters
        if ratio and self._grants % math.ceil(1 / ratio) == 0:
            lowest = max(w.place.priority for w in self._waiters)
            turn = [w for w in turn if w.place.priority == lowest]
        now_s = self._clock.monotonic_s()
        return min(turn, key=lambda w: self._rank(w, now_s))

    def _rank(self, waiter: _Waiter, now_s: float) -> tuple[int, bool, float]:
        """Returns the place of a waiter in the order; the least goes first."""
        late = self._is_late(waiter, now_s)
        by = waiter.due.deadline_s if late else waiter.due.target_s
        return waiter.place.priority, late, by

    def _refuse(self, reason: str, wait_s: float) -> Refused:
        """Returns a refusal with the time after which to come back."""
        return Refused(reason, max(int(wait_s * 1_000), 1))
