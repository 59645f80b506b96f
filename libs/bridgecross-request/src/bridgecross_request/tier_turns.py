"""Decides which waiting tier gets the next slot."""

from collections.abc import Collection


class TierTurns:
    """The highest tier goes first, but each tier that waits gets its turn."""

    def __init__(self) -> None:
        """Starts without waiting tiers."""
        # By priority, the grants to other tiers since the tier began to wait or
        # had a grant.
        self._passed: dict[int, int] = {}

    def pick(self, waiting: Collection[int], min_share_ratio: float) -> int:
        """Returns the priority to serve next.

        Args:
            waiting: The priorities of the waiting requests; not empty.
            min_share_ratio: The minimum share of grants of each waiting tier;
                below 1.
        """
        overdue = [
            priority
            for priority in waiting
            if (self._passed.get(priority, 0) + 1) * min_share_ratio >= 1.0
        ]
        if overdue:
            return max(overdue, key=lambda each: (self._passed[each], each))
        return min(waiting)

    def note_grant(self, granted: int, waiting: Collection[int]) -> None:
        """Counts a grant.

        Args:
            granted: The priority of the request that got the slot.
            waiting: The priorities of the requests that waited for it.
        """
        self._passed = {
            priority: self._passed.get(priority, 0) + 1
            for priority in waiting
            if priority != granted
        }
