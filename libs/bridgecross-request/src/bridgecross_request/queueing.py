"""A priority queue for the slots of a backend server.

A higher tier never waits behind a lower one. Within a tier, requests that can
still be answered by their target time go first. Those that cannot get the
slots that are left over, because a late answer is worth less to the caller
than one in time, but more than none. So a backlog does not make new requests
late.

With ``QueueSettings.overload``, the order of waiting requests and the times at
which refused callers return are those of ``overload.OverloadPolicy`` instead.
"""

import asyncio
import collections
import dataclasses
import math
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_request import fair_share
from bridgecross_request import overload as overload_lib

_SMOOTHING_FACTOR = 0.1

_QUEUE_FULL = "the queue of the tier is full"
_CANNOT_MEET = "the deadline cannot be met"
_HAS_PASSED = "the deadline has passed"

LATE_WAIT_RATIO = 0.75
"""How long a late request may wait, as a share of its remaining time.

Each retry waits again behind the same backlog, so most of the time is better
spent in one queue. The rest is left for running the request.
"""


@dataclasses.dataclass(frozen=True)
class QueueSettings:
    """How a server's slots are allocated."""

    # Requests that the server runs at the same time.
    slots: int
    # The share of grants that goes to the lowest waiting tier.
    starvation_share_ratio: float
    # Slots for requests whose answers will be late in any case. A value below
    # one means one slot for that share of the time, with pauses in between.
    late_slots: float
    # The estimate of how long a slot is held, until one was released.
    first_guess_s: float
    # How slots are allocated while requests wait for them; None for queues
    # whose servers have enough slots for a simpler order.
    overload: overload_lib.OverloadSettings | None = None


@dataclasses.dataclass(frozen=True)
class QueueTier:
    """The priority and the queue limit of one tier."""

    # The tier's name.
    name: str
    # The priority; 1 is served first.
    priority: int
    # The most requests of the tier that may wait.
    limit: int


class Deadlines(NamedTuple):
    """The times by which an answer is wanted, on the monotonic clock."""

    # After this time the answer is late: it is worth less to the caller.
    target_s: float
    # After this time the answer is worth nothing: the caller has left.
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Granted:
    """A slot was granted; the holder must release it."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """No slot was granted, and the request has left the queue."""

    # Why no slot was granted.
    reason: str
    # How long the caller should wait before it tries again.
    retry_after_ms: int


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that waits for a slot."""

    tier: QueueTier
    deadlines: Deadlines
    granted: anyio.Event
    # What is known of the caller.
    origin: fair_share.Origin = fair_share.UNKNOWN


class _MovingAverage:
    """A moving average that starts with an estimate."""

    def __init__(self, guess_s: float) -> None:
        """Counts the estimate as the first observation."""
        self.value_s = guess_s
        self._count = 1

    def add(self, value_s: float) -> None:
        """Adds an observation; the first few have a higher weight."""
        self._count += 1
        weight = max(_SMOOTHING_FACTOR, 1.0 / self._count)
        self.value_s += weight * (value_s - self.value_s)


class TierQueue:
    """The queue in front of one backend server."""

    def __init__(
        self,
        settings: QueueSettings,
        clock: clocks.Clock,
        shares: fair_share.CallerShares | None = None,
    ) -> None:
        """Starts with all slots free.

        Args:
            settings: How slots are allocated; replaced when settings change.
            clock: The clock that deadlines and pauses are measured by.
            shares: Counts the requests of callers if
                ``QueueSettings.overload`` is set. Queues of one service may
                share it; if omitted, the queue has its own.
        """
        self.settings = settings
        self.served: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._busy = 0
        self._waiters: list[_Waiter] = []
        self._grants = 0
        # The time from which a late request may get a slot again.
        self._late_from_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._service = _MovingAverage(settings.first_guess_s)
        # The same for each tier, by name: the time that one tier needs says
        # little about another whose requests are of another kind.
        self._tiers: dict[str, _MovingAverage] = {}
        self._shares = shares
        self._overload: overload_lib.OverloadPolicy | None = None

    @property
    def busy(self) -> int:
        """The number of slots in use."""
        return self._busy

    def estimate_wait_s(self, priority: int) -> float:
        """Returns how long a new request of a priority would wait.

        Requests ahead of it that will be late in any case do not count.
        """
        if self._busy < self.settings.slots:
            return 0.0
        now_s = self._clock.monotonic_s()
        ahead = sum(
            w.tier.priority <= priority and not self._is_late(w, now_s)
            for w in self._waiters
        )
        return self._estimate_wait_behind_s(ahead)

    async def acquire(
        self,
        tier: QueueTier,
        deadlines: Deadlines,
        origin: fair_share.Origin = fair_share.UNKNOWN,
    ) -> Granted | Refused:
        """Waits for a slot.

        A request that is unlikely to get a slot before its deadline is refused
        at once rather than queued.

        Args:
            tier: The request's tier.
            deadlines: The times by which the answer is wanted.
            origin: What is known of the caller.
        """
        if self.try_acquire(tier, deadlines):
            return Granted()
        now_s = self._clock.monotonic_s()
        waiter = _Waiter(tier, deadlines, anyio.Event(), origin)
        policy = self._find_policy()
        if policy is not None:
            policy.note_contended(tier.priority, origin)
        wait_s = self.estimate_wait_s(tier.priority)
        if self.waiting[tier.name] >= tier.limit:
            return self._refuse(waiter, _QUEUE_FULL, wait_s)
        if now_s + wait_s + self._expected_hold_s(tier) > deadlines.target_s:
            wait_s = self._estimate_late_wait_s(tier.priority)
            if wait_s > self._max_wait_s(waiter, now_s):
                return self._refuse(waiter, _CANNOT_MEET, wait_s)
        return await self._wait(waiter)

    def try_acquire(self, tier: QueueTier, deadlines: Deadlines) -> bool:
        """Takes a slot if one is free now; returns whether it did."""
        waiter = _Waiter(tier, deadlines, anyio.Event())
        is_late = self._is_late(waiter, self._clock.monotonic_s())
        if not self._has_room(late=is_late):
            return False
        self.force_acquire(tier)
        return True

    def force_acquire(self, tier: QueueTier) -> None:
        """Takes a slot without a check, even if that exceeds the slots.

        The holder must release it.
        """
        self._busy += 1
        self._grants += 1
        self.served[tier.name] += 1

    def _has_room(self, *, late: bool) -> bool:
        """Whether a slot is free for a request that arrives now."""
        settings = self.settings
        if not late:
            return self._busy < settings.slots
        if self._clock.monotonic_s() < self._late_from_s:
            return False
        return self._busy < max(settings.late_slots, 1.0)

    def release(self, held_s: float, tier: QueueTier) -> None:
        """Releases a slot and grants it to a waiting request.

        Args:
            held_s: How long the slot was held, for the estimates.
            tier: The tier of the request that held it.
        """
        self._busy -= 1
        self._pause_late(held_s)
        self._service.add(held_s)
        guess_s = self.settings.first_guess_s
        self._tiers.setdefault(tier.name, _MovingAverage(guess_s)).add(held_s)
        self._grant_next()
        self._schedule_pause_end()

    def _find_policy(self) -> overload_lib.OverloadPolicy | None:
        """Returns the policy for overload, if the settings call for one."""
        settings = self.settings.overload
        if settings is None:
            self._overload = None
            return None
        if self._overload is None:
            shares = self._shares or fair_share.CallerShares(
                fair_share.ShareSettings(), self._clock
            )
            self._overload = overload_lib.OverloadPolicy(
                settings, shares, self._clock
            )
        return self._overload

    def _describe(
        self, policy: overload_lib.OverloadPolicy, waiter: _Waiter
    ) -> overload_lib.WaitingRequest:
        """Returns the properties of a waiter that decide on its order."""
        priority = waiter.tier.priority
        return overload_lib.WaitingRequest(
            priority,
            waiter.deadlines.target_s,
            waiter.deadlines.deadline_s,
            waiter.deadlines.target_s - self._expected_hold_s(waiter.tier),
            waiter.origin.is_returning,
            policy.is_above_share(priority, waiter.origin),
        )

    async def _wait(self, waiter: _Waiter) -> Granted | Refused:
        """Waits in the queue until a slot is granted or time runs out."""
        tier = waiter.tier
        self._waiters.append(waiter)
        self.waiting[tier.name] += 1
        self._schedule_pause_end()
        now_s = self._clock.monotonic_s()
        try:
            with anyio.move_on_after(self._max_wait_s(waiter, now_s)):
                await waiter.granted.wait()
        except BaseException:
            self._remove_waiter(waiter)
            raise
        if waiter.granted.is_set():
            return Granted()
        self._remove_waiter(waiter)
        hold_s = self._expected_hold_s(tier)
        return self._refuse(waiter, _HAS_PASSED, hold_s)

    def _pause_late(self, held_s: float) -> None:
        """Starts a pause for late requests if they have less than one slot."""
        share = self.settings.late_slots
        if share < 1.0:
            pause_s = held_s * (1.0 / share - 1.0)
            self._late_from_s = self._clock.monotonic_s() + pause_s

    def _schedule_pause_end(self) -> None:
        """Schedules the end of the late requests' pause if any wait."""
        pause_s = self._late_from_s - self._clock.monotonic_s()
        if self._timer is None and pause_s > 0 and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._end_pause)

    def _end_pause(self) -> None:
        """Grants free slots to requests that waited for the pause to end."""
        self._timer = None
        self._grant_next()
        self._schedule_pause_end()

    def _expected_hold_s(self, tier: QueueTier) -> float:
        """Returns the average time that a request of a tier holds a slot."""
        return self._tiers.get(tier.name, self._service).value_s

    def _is_late(self, waiter: _Waiter, now_s: float) -> bool:
        """Whether a request that gets a slot now is likely to be late."""
        return (
            now_s + self._expected_hold_s(waiter.tier)
            > waiter.deadlines.target_s
        )

    def _estimate_wait_behind_s(self, ahead: int) -> float:
        """Returns how long a request waits behind a number of others."""
        return (ahead + 1) * self._service.value_s / self.settings.slots

    def _estimate_late_wait_s(self, priority: int) -> float:
        """Returns how long a new request that will be late would wait."""
        ahead = sum(w.tier.priority <= priority for w in self._waiters)
        return (ahead + 1) * self._service.value_s / self.settings.late_slots

    def _max_wait_s(self, waiter: _Waiter, now_s: float) -> float:
        """Returns how long a request may stay in the queue."""
        until_s = now_s + self._expected_hold_s(waiter.tier)
        to_target_s = waiter.deadlines.target_s - until_s
        to_deadline_s = waiter.deadlines.deadline_s - until_s
        return max(to_target_s, LATE_WAIT_RATIO * to_deadline_s)

    def _remove_waiter(self, waiter: _Waiter) -> None:
        """Removes a waiter; passes on a slot that it was just granted."""
        if waiter.granted.is_set():
            self._busy -= 1
            self._grant_next()
            return
        self.waiting[waiter.tier.name] -= 1
        self._waiters.remove(waiter)

    def _grant_next(self) -> None:
        """Grants free slots to waiting requests."""
        while self._waiters and self._busy < self.settings.slots:
            waiter = self._pick_next()
            if not self._may_grant(waiter):
                return
            if self._overload is not None:
                self._overload.note_grant(
                    waiter.tier.priority,
                    {each.tier.priority for each in self._waiters},
                )
            self._waiters.remove(waiter)
            self.waiting[waiter.tier.name] -= 1
            self.force_acquire(waiter.tier)
            waiter.granted.set()

    def _may_grant(self, waiter: _Waiter) -> bool:
        """Whether the first waiter in the order may take the free slot.

        A late request leaves free the slots that are kept for requests in
        time. It may take any slot, though, if the slot would otherwise go to
        a lower tier.
        """
        now_s = self._clock.monotonic_s()
        if self._has_room(late=self._is_late(waiter, now_s)):
            return True
        return any(not self._is_late(w, now_s) for w in self._waiters)

    def _pick_next(self) -> _Waiter:
        """Returns the next waiter.

        It has the highest priority, except for the share of grants that goes
        to the lowest waiting tier.
        """
        policy = self._find_policy()
        if policy is not None:
            return self._pick_by(policy)
        ratio = self.settings.starvation_share_ratio
        candidates = self._waiters
        if ratio and self._grants % math.ceil(1 / ratio) == 0:
            lowest = max(w.tier.priority for w in self._waiters)
            candidates = [w for w in candidates if w.tier.priority == lowest]
        now_s = self._clock.monotonic_s()
        return min(candidates, key=lambda w: self._sort_key(w, now_s))

    def _pick_by(self, policy: overload_lib.OverloadPolicy) -> _Waiter:
        """Returns the next waiter by a policy for overload."""
        waiting = [self._describe(policy, each) for each in self._waiters]
        picked = policy.pick(waiting)
        return self._waiters[waiting.index(picked)]

    def _sort_key(
        self, waiter: _Waiter, now_s: float
    ) -> tuple[int, bool, float]:
        """Returns the sort key of a waiter; the lowest key goes first."""
        late = self._is_late(waiter, now_s)
        due_s = (
            waiter.deadlines.deadline_s if late else waiter.deadlines.target_s
        )
        return waiter.tier.priority, late, due_s

    def _refuse(self, waiter: _Waiter, reason: str, wait_s: float) -> Refused:
        """Returns a refusal with the time after which to try again.

        Args:
            waiter: The request.
            reason: Why it is refused.
            wait_s: The time until the caller should try again, unless a
                policy for overload assigns another one.
        """
        policy = self._find_policy()
        if policy is not None:
            wait_s = policy.assign_return_s(
                waiter.deadlines.deadline_s,
                self.settings.slots / self._service.value_s,
            )
        return Refused(reason, max(int(wait_s * 1_000), 1))
