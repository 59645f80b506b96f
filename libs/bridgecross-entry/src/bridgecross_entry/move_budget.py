"""Bounds how many keys are moved per minute to balance load.

Half of the keys allowed in a minute may be moved at once; the other half
accrues evenly, so that no minute has more moves than allowed.
"""

import math

from bridgecross_entry import keymap
from bridgecross_entry import planner

_PERIOD_S = 60.0


class MoveBudget:
    """A token bucket of keys that may be moved."""

    def __init__(self) -> None:
        """Starts with a full bucket; the settings are passed to each call."""
        self._spent_key_count = 0.0
        self._updated_s: float | None = None

    def select(
        self,
        settings: planner.PlanSettings,
        moves: tuple[planner.Move, ...],
        now_s: float,
    ) -> tuple[planner.Move, ...]:
        """Returns the moves that fit, in order; spends nothing.

        A move that does not fit does not keep smaller ones after it back.
        """
        left_key_count = self.left_key_count(settings, now_s)
        selected = []
        for move in moves:
            cost_key_count = _count_cost(settings, move)
            if cost_key_count <= left_key_count:
                left_key_count -= cost_key_count
                selected.append(move)
        return tuple(selected)

    def spend(
        self,
        settings: planner.PlanSettings,
        moves: tuple[planner.Move, ...],
        now_s: float,
    ) -> None:
        """Counts moves that were made."""
        self._accrue(settings, now_s)
        self._spent_key_count += sum(
            _count_cost(settings, move) for move in moves
        )

    def left_key_count(
        self, settings: planner.PlanSettings, now_s: float
    ) -> float:
        """Returns how many keys may be moved now."""
        self._accrue(settings, now_s)
        return _count_bucket(settings) - self._spent_key_count

    def used_ratio(self, settings: planner.PlanSettings, now_s: float) -> float:
        """Returns the share of the bucket that is used up."""
        return 1.0 - self.left_key_count(settings, now_s) / _count_bucket(
            settings
        )

    def _accrue(self, settings: planner.PlanSettings, now_s: float) -> None:
        """Returns to the bucket what accrued since the last update."""
        if math.isinf(settings.moved_per_min_ratio):
            self._spent_key_count = 0.0
        elif self._updated_s is not None:
            accrued_ratio = (now_s - self._updated_s) / _PERIOD_S
            accrued_key_count = accrued_ratio * _count_bucket(settings)
            self._spent_key_count = max(
                self._spent_key_count - accrued_key_count, 0.0
            )
        self._updated_s = now_s


def _count_bucket(settings: planner.PlanSettings) -> float:
    """Returns the size of the bucket, which is also accrued each minute."""
    return settings.moved_per_min_ratio * (keymap.LAST_KEY + 1) / 2


def _count_cost(settings: planner.PlanSettings, move: planner.Move) -> int:
    """Returns how many keys a move counts as."""
    return max(move.last_key - move.first_key + 1, settings.move_min_key_count)
