"""Fills servers step by step.

The capacity of a server that was idle is known from few answers, and its caches
hold nothing of the keys that it gets. So it gets its share in several steps.
"""

import collections
from collections.abc import Mapping

from bridgecross_core import ids
from bridgecross_entry import planner


class FillSteps:
    """Tracks the load that servers were given lately."""

    def __init__(self) -> None:
        """Starts without any load given."""
        # When load was given to which server, oldest first.
        self._given: collections.deque[tuple[float, ids.ServerId, float]]
        self._given = collections.deque()

    def rooms(
        self,
        settings: planner.PlanSettings,
        capacities: Mapping[ids.ServerId, float],
        now_s: float,
    ) -> dict[ids.ServerId, float]:
        """Returns the load that each server may be given now."""
        while self._given and now_s - self._given[0][0] >= settings.fill_step_s:
            self._given.popleft()
        rooms = {s: settings.fill_step_ratio * c for s, c in capacities.items()}
        for _, server_id, load in self._given:
            if server_id in rooms:
                rooms[server_id] -= load
        return rooms

    def note_given(
        self, server_id: ids.ServerId, load: float, now_s: float
    ) -> None:
        """Counts load that a server was given."""
        self._given.append((now_s, server_id, load))
