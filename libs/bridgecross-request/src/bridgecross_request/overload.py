"""The order of requests that wait for servers with few slots.

As in every queue, higher tiers go first, and within a tier requests that can
still be answered in time. In addition, a caller that requests much more than
others goes after them; of the requests that will be late, those whose callers
were refused before go first; each tier that waits has a minimum share; and
refused callers return at different times.
"""

from collections.abc import Collection
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_request import fair_share
from bridgecross_request import return_times
from bridgecross_request import tier_turns


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadSettings:
    """How slots are allocated while requests wait for them."""

    # The minimum share of grants of each tier that waits, so that a long surge
    # of higher tiers does not leave it nothing. With one in ten, the lowest
    # tier got slots early that it could have had later, and the value of three
    # tiers in a simulated surge fell from 0.931 to 0.909.
    tier_min_share_ratio: float = 0.025
    # The share of the capacity at which refused callers are told to return.
    # With more, first attempts would be refused because of them.
    returning_share_ratio: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest:
    """The properties of a request that decide when it gets a slot."""

    priority: int
    # After this time, on the monotonic clock, the answer is late.
    target_s: float
    # After this time the answer is worth nothing: the caller has left.
    deadline_s: float
    # A request that gets a slot after this time is likely to be late.
    late_from_s: float
    # Whether the caller was refused before.
    is_returning: bool
    # Whether the caller requests much more than others.
    is_above_share: bool


class OverloadPolicy:
    """Decides for one queue which request gets the next slot."""

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
        self._turns = tier_turns.TierTurns()
        self._return_times = return_times.ReturnTimes()

    def note_contended(self, priority: int, origin: fair_share.Origin) -> None:
        """Counts a request that found no free slot against its caller."""
        self._shares.add(priority, origin)

    def is_above_share(self, priority: int, origin: fair_share.Origin) -> bool:
        """Whether a caller requests much more than others of its tier."""
        return self._shares.is_above(priority, origin)

    def pick(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Returns the request that gets the next slot."""
        priorities = {each.priority for each in waiting}
        priority = self._turns.pick(
            priorities, self._settings.tier_min_share_ratio
        )
        now_s = self._clock.monotonic_s()
        return min(
            (each for each in waiting if each.priority == priority),
            key=lambda each: _sort_key(each, now_s),
        )

    def note_grant(self, priority: int, waiting: Collection[int]) -> None:
        """Counts a grant to a waiting request.

        Args:
            priority: The priority of the request.
            waiting: The priorities of all requests that wait, including it.
        """
        self._turns.note_grant(priority, waiting)

    def assign_return_s(
        self, deadline_s: float, capacity_per_s: float
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        Args:
            deadline_s: When the caller leaves, on the monotonic clock.
            capacity_per_s: How many slots become free each second.
        """
        return self._return_times.assign_s(
            self._clock.monotonic_s(),
            deadline_s,
            self._settings.returning_share_ratio * capacity_per_s,
        )


def _sort_key(
    request: WaitingRequest, now_s: float
) -> tuple[bool, bool, bool, float]:
    """Returns the sort key of a request; the lowest key goes first."""
    is_late = now_s > request.late_from_s
    # A late caller that was refused before would get nothing if it was refused
    # again; one that is in time is ordered by its target, which is earlier.
    goes_later = is_late and not request.is_returning
    due_s = request.deadline_s if is_late else request.target_s
    return request.is_above_share, is_late, goes_later, due_s
