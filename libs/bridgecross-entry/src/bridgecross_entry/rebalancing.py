"""Decides when load is balanced between the servers of a service.

It has no network access: the coordinator passes the ranges and carries the
moves out. What it knows is lost with the leader; see
``docs/design/ownership-with-few-slots.md``.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import fill_steps
from bridgecross_entry import hot_keys
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import load_view
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import move_budget
from bridgecross_entry import planner

_HELD_BACK_LOG_INTERVAL_S = 1.0

_BUSIER = "owner is busier than others"
_HOT_KEY = "key exceeds its owner"


class Plan(NamedTuple):
    """Moves that balance load, and why they are made."""

    moves: tuple[planner.Move, ...] = ()
    reason: str = _BUSIER
    # Whether a single hot key is moved; it is the first move then.
    moves_hot_key: bool = False
    # The load of the keys that were considered.
    load: planner.KeyLoad | None = None


class Rebalancer:
    """Plans moves off overloaded servers."""

    def __init__(
        self,
        service: ids.ServiceName,
        loads: load_view.LoadView,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts with the whole budget.

        Args:
            service: The service whose keys are moved.
            loads: The measured load of the service.
            journal: Records moves that the budget holds back.
            metrics: Shows the use of the budget.
        """
        self._service = service
        self._loads = loads
        self._journal = journal
        self._metrics = metrics
        self._budget = move_budget.MoveBudget()
        self._steps = fill_steps.FillSteps()
        # When a hot key was last moved, and when load was last rebalanced
        # without urgency.
        self._hot_key_moved_s = float("-inf")
        self._rebalanced_s = float("-inf")
        self._held_back_logged_s = float("-inf")

    def plan(
        self,
        ranges: tuple[keymap.KeyRange, ...],
        capacities: Mapping[ids.ServerId, float],
        settings: planner.PlanSettings,
        may_move_now: Callable[[planner.Move], bool],
        now_s: float,
    ) -> Plan:
        """Returns moves that relieve overloaded servers.

        Args:
            ranges: The current ranges.
            capacities: The requests per second that each server can process.
            settings: Thresholds and limits.
            may_move_now: Whether a move could proceed at once.
            now_s: The time, as for the other calls.
        """
        plan = self._plan_all(ranges, capacities, settings, now_s)
        moves = tuple(m for m in plan.moves if may_move_now(m))
        if math.isinf(settings.moved_per_min_ratio):
            return plan._replace(moves=moves)
        selected = self._budget.select(settings, moves, now_s)
        self._metrics.move_budget_used.set(
            {"service": self._service},
            self._budget.used_ratio(settings, now_s),
        )
        if len(selected) < len(moves):
            self._log_held_back(settings, len(moves) - len(selected), now_s)
        moves_hot_key = plan.moves_hot_key and plan.moves[0] in selected
        return plan._replace(moves=selected, moves_hot_key=moves_hot_key)

    def note_made(
        self, plan: Plan, settings: planner.PlanSettings, now_s: float
    ) -> None:
        """Counts the moves of a plan, once they are in the log."""
        if math.isinf(settings.moved_per_min_ratio) or plan.load is None:
            return
        self._budget.spend(settings, plan.moves, now_s)
        if plan.moves_hot_key:
            self._hot_key_moved_s = now_s
        for move in plan.moves:
            load = plan.load.of(move.first_key, move.last_key)
            self._steps.note_given(move.owner, load, now_s)

    def _plan_all(
        self,
        ranges: tuple[keymap.KeyRange, ...],
        capacities: Mapping[ids.ServerId, float],
        settings: planner.PlanSettings,
        now_s: float,
    ) -> Plan:
        """Returns all moves that are wanted now."""
        fast = self._loads.fast_load()
        may_move_key = (
            now_s - self._hot_key_moved_s >= settings.hot_key_interval_s
        )
        if settings.isolated_max_ratio > 0:
            isolation = hot_keys.plan_isolation(
                ranges, fast, capacities, settings, may_move_key=may_move_key
            )
            if isolation.moves:
                return Plan(
                    isolation.moves, _HOT_KEY, isolation.moves_key, fast
                )
        elif may_move_key:
            hot = planner.plan_hot_key(ranges, fast, capacities, settings)
            if hot is not None:
                self._hot_key_moved_s = now_s
                return Plan((hot,))
        rooms = None
        if not math.isinf(settings.fill_step_ratio):
            rooms = self._steps.rooms(settings, capacities, now_s)
        moves = planner.plan_rebalancing(
            ranges, fast, capacities, settings, settings.urgent, rooms
        )
        if moves or now_s - self._rebalanced_s < settings.rebalance_interval_s:
            return Plan(moves, load=fast)
        self._rebalanced_s = now_s
        slow = self._loads.slow_load()
        moves = planner.plan_rebalancing(
            ranges, slow, capacities, settings, settings.steady, rooms
        )
        return Plan(moves, load=slow)

    def _log_held_back(
        self, settings: planner.PlanSettings, count: int, now_s: float
    ) -> None:
        """Logs that the budget holds moves back, at most once a second."""
        self._metrics.moves_held_back.add({"service": self._service}, count)
        if now_s - self._held_back_logged_s < _HELD_BACK_LOG_INTERVAL_S:
            return
        self._held_back_logged_s = now_s
        self._journal.decision(
            "moves_held_back",
            service=self._service,
            moves=count,
            left_keys=round(self._budget.left_key_count(settings, now_s)),
        )
