"""Order and admission of requests where capacity is insufficient.

A request that would wait in vain is refused at once, and its caller goes
before newer ones when it returns. A request that was admitted and becomes late
gets the same share of grants, so that almost none waits in vain.
"""

import collections
from collections.abc import Collection
import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_request import fair_share
from bridgecross_request import grant_rates
from bridgecross_request import return_times
from bridgecross_request import tier_turns

_Kind = grant_rates.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadSettings:
    """How slots are allocated while requests wait for them."""

    # The share of grants for which callers that return after a refusal go
    # before first attempts of their tier. With more than half, first attempts
    # would be refused only because of the retries that refusals cause.
    returning_share_ratio: float = 0.5
    # The part of all grants, within that share, for those of them that will be
    # answered late. All of it by default, since a second refusal leaves them
    # nothing; less gives more answers in time and more callers without any.
    late_returning_share_ratio: float = 0.5
    # The share of grants of each tier that waits.
    tier_min_share_ratio: float = 0.1
    # The time over which rates of grants are measured: as long as callers
    # wait, so that an estimate is about the time of the wait.
    rate_window_s: float = 1.0
    # The part of its time that a first attempt may be expected to wait. The
    # rest is for work that takes longer than the mean.
    wait_max_ratio: float = 0.9


@dataclasses.dataclass(slots=True)
class Claim:
    """What decides on the order of a request."""

    priority: int
    # The times after which the answer is late, and worthless.
    target_s: float
    deadline_s: float
    kind: grant_rates.Kind
    # After this time an answer is likely to be late.
    late_from_s: float = math.inf


class OverloadPolicy:
    """Decides for one queue which request is admitted and which is next."""

    def __init__(
        self,
        settings: OverloadSettings,
        shares: fair_share.CallerShares,
        clock: clocks.Clock,
    ) -> None:
        """Starts without grants.

        Args:
            settings: How slots are allocated.
            shares: Counts the requests of callers; queues may share it.
            clock: Measures all times.
        """
        self._settings = settings
        self._shares = shares
        self._clock = clock
        self._rates = grant_rates.GrantRates(settings.rate_window_s, clock)
        self._turns = tier_turns.TierTurns()
        self._return_times = return_times.ReturnTimes()
        # Grants for which returning callers may go first, and those of them
        # that may go to callers that will be answered late.
        self._returning_credit = 1.0
        self._late_credit = 1.0

    def classify(
        self, priority: int, origin: fair_share.Origin, *, late: bool
    ) -> grant_rates.Kind:
        """Returns the kind of a request."""
        if self._shares.is_above(priority, origin):
            return _Kind.ABOVE_SHARE
        if origin.is_returning:
            return _Kind.RETURNING_LATE if late else _Kind.RETURNING
        return _Kind.LATE if late else _Kind.IN_TIME

    def note_contended(self, priority: int, origin: fair_share.Origin) -> None:
        """Counts a request that found no free slot against its caller."""
        self._shares.add(priority, origin)

    def note_grant(self, priority: int, kind: grant_rates.Kind) -> None:
        """Counts a grant of any kind."""
        self._rates.add(priority, kind)

    def meets_target(
        self, claim: Claim, wait_s: float, hold_s: float, now_s: float
    ) -> bool:
        """Whether a request is answered in time after an expected wait."""
        wait_max_s = claim.target_s - hold_s - now_s
        return wait_s <= self._settings.wait_max_ratio * wait_max_s

    def estimate_wait_s(
        self,
        claim: Claim,
        waiting: Collection[Claim],
        capacity_per_s: float,
    ) -> float:
        """Returns how long a new request would wait; infinite if for ever.

        Args:
            claim: The request.
            waiting: The requests that wait already.
            capacity_per_s: The rate at which slots become free.
        """
        higher = sum(each.priority < claim.priority for each in waiting)
        own = [each for each in waiting if each.priority == claim.priority]
        ahead = self._count_ahead(claim, own)
        overtaking_per_s = self._rates.kinds_per_s(
            claim.priority, _OVERTAKING[claim.kind]
        )
        higher_per_s = self._rates.higher_per_s(claim.priority)
        # Requests that arrive later and go first take their part of the rate.
        wait_s = _divide(
            higher + ahead + 1,
            capacity_per_s - higher_per_s - overtaking_per_s,
        )
        if claim.kind is _Kind.RETURNING_LATE:
            same = sum(each.kind is claim.kind for each in own)
            ratio = self._settings.late_returning_share_ratio
            share_per_s = ratio * (capacity_per_s - higher_per_s)
            wait_s = min(wait_s, _divide(higher + same + 1, share_per_s))
        least_per_s = self._settings.tier_min_share_ratio * capacity_per_s
        return min(wait_s, _divide(ahead + 1, least_per_s - overtaking_per_s))

    def _count_ahead(self, claim: Claim, own: Collection[Claim]) -> float:
        """Returns how many requests of its own tier go before a new one."""
        counts = collections.Counter(each.kind for each in own)
        returning = counts[_Kind.RETURNING]
        in_time = counts[_Kind.IN_TIME]
        late_returning = counts[_Kind.RETURNING_LATE]
        if claim.kind is _Kind.RETURNING:
            ratio = self._settings.returning_share_ratio
            return min((returning + 1) / ratio - 1, returning + in_time)
        if claim.kind is _Kind.IN_TIME:
            ahead = sum(
                each.kind is claim.kind and each.target_s <= claim.target_s
                for each in own
            )
            # Returning callers take turns with first attempts.
            return ahead + min(returning + late_returning, ahead + 1)
        if claim.kind is _Kind.RETURNING_LATE:
            return returning + in_time + late_returning
        if claim.kind is _Kind.LATE:
            return len(own) - counts[_Kind.ABOVE_SHARE]
        return len(own)

    def pick(self, waiting: Collection[Claim]) -> Claim:
        """Returns the request that gets the next slot."""
        self._demote(waiting)
        priorities = {each.priority for each in waiting}
        priority = self._turns.pick(
            priorities, self._settings.tier_min_share_ratio
        )
        return min(
            (each for each in waiting if each.priority == priority),
            key=self._sort_key,
        )

    def _demote(self, waiting: Collection[Claim]) -> None:
        """Reclassifies waiting requests that will be late after all.

        They have waited, so they get the share of returning callers.
        """
        now_s = self._clock.monotonic_s()
        for claim in waiting:
            is_in_time = claim.kind in {_Kind.IN_TIME, _Kind.RETURNING}
            if is_in_time and now_s > claim.late_from_s:
                claim.kind = _Kind.RETURNING_LATE

    def _sort_key(self, claim: Claim) -> tuple[float, float]:
        """Returns the sort key of a request; the lowest key goes first."""
        rank = _RANKS[claim.kind]
        if self._returning_credit >= 1.0:
            # Those that are late already have the least time left.
            if claim.kind is _Kind.RETURNING:
                rank = -1
            elif claim.kind is _Kind.RETURNING_LATE and self._late_credit >= 1:
                rank = -2
        return rank, _due_s(claim)

    def note_picked(self, picked: Claim, waiting: Collection[Claim]) -> None:
        """Counts a grant to a request that waited.

        Args:
            picked: The request that gets the slot.
            waiting: All requests that wait, including it.
        """
        self._turns.note_grant(
            picked.priority, {each.priority for each in waiting}
        )
        settings = self._settings
        returning = self._returning_credit - (picked.kind in _RETURNING)
        late = self._late_credit - (picked.kind is _Kind.RETURNING_LATE)
        self._returning_credit = min(
            max(returning, 0.0) + settings.returning_share_ratio, 1.0
        )
        self._late_credit = min(
            max(late, 0.0) + settings.late_returning_share_ratio, 1.0
        )

    def assign_return_s(
        self, claim: Claim, capacity_per_s: float, now_s: float
    ) -> float:
        """Returns after how many seconds a refused caller should return."""
        left_per_s = max(
            capacity_per_s - self._rates.higher_per_s(claim.priority),
            self._settings.tier_min_share_ratio * capacity_per_s,
        )
        return self._return_times.assign_s(
            now_s,
            claim.deadline_s,
            self._settings.returning_share_ratio * left_per_s,
        )


_RETURNING = (_Kind.RETURNING, _Kind.RETURNING_LATE)

_RANKS = {
    _Kind.IN_TIME: 0,
    _Kind.RETURNING: 1,
    _Kind.RETURNING_LATE: 2,
    _Kind.LATE: 3,
    _Kind.ABOVE_SHARE: 4,
}
"""The order of kinds within a tier, beyond the share of returning callers."""

_OVERTAKING = {
    _Kind.RETURNING: (),
    _Kind.IN_TIME: _RETURNING,
    _Kind.RETURNING_LATE: (_Kind.RETURNING, _Kind.IN_TIME),
    _Kind.LATE: (*_RETURNING, _Kind.IN_TIME),
    _Kind.ABOVE_SHARE: (*_RETURNING, _Kind.IN_TIME, _Kind.LATE),
}
"""The kinds of which newer requests go before a waiting one."""


def _due_s(claim: Claim) -> float:
    """Returns the time by which requests of one kind are ordered."""
    return claim.target_s if claim.kind is _Kind.IN_TIME else claim.deadline_s


def _divide(count: float, rate_per_s: float) -> float:
    """Returns how long a number of grants takes; infinite without any."""
    return count / rate_per_s if rate_per_s > 0 else math.inf
