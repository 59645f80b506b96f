"""The fewest moves that restore service and balance.

The planner is a function of what the coordinator knows. It first gives a
usable owner to every slice that has none, then a live front to every server,
and last moves slices off overloaded servers within the churn budget.
"""

from collections.abc import Iterable
import enum
import heapq
from typing import NamedTuple

from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_ownership import cell as cells
from bridgecross_ownership import records

_IDLE_SHARE = 0.1
_LEAST_WEIGHT = 1.0


class Standing(enum.Enum):
    """Whether a server may own slices."""

    USABLE = "usable"
    """It serves, and may get more slices."""

    HELD = "held"
    """It keeps what it has but gets nothing more, such as while suspected."""

    UNUSABLE = "unusable"
    """It is lost or leaving: every slice moves off it."""


class PlannerSettings(NamedTuple):
    """How balance is weighed against churn."""

    imbalance_target_ratio: float
    balance_moves: int


class PlannerView(NamedTuple):
    """What the coordinator knows.

    ``loads`` are requests a second by slice; slices without load may be
    missing. ``unfit_fronts`` are pairs in which the instance cannot reach the
    server, so that another should try.
    """

    cell: cells.Cell
    servers: dict[ids.ServerId, Standing]
    instances: list[ids.InstanceId]
    loads: dict[ids.SliceIndex, float]
    unfit_fronts: set[records.ServerFront]


class Plan(NamedTuple):
    """What should change. ``reason`` is for people."""

    moves: dict[ids.SliceIndex, ids.ServerId]
    fronts: dict[ids.ServerId, ids.InstanceId]
    retired: list[ids.ServerId]
    restored: int
    balanced: int

    @property
    def is_empty(self) -> bool:
        """Whether nothing should change."""
        return not (self.moves or self.fronts or self.retired)


class _Balance:
    """The weight that each usable server carries while a plan is made."""

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        total = sum(view.loads.values())
        count = max(len(view.cell.slices), 1)
        # A slice without load still weighs something, so that idle slices
        # spread as well, and so that a few requests are no reason to move.
        self._idle_weight = max(total / count * _IDLE_SHARE, _LEAST_WEIGHT)
        self.usable = [
            server
            for server, standing in sorted(view.servers.items())
            if standing is Standing.USABLE
        ]
        self.weights = {
            server: sum(
                self.weigh(index) for index in view.cell.list_slices_of(server)
            )
            for server in self.usable
        }

    def weigh(self, index: ids.SliceIndex) -> float:
        """Returns the weight of a slice."""
        return self._view.loads.get(index, 0.0) + self._idle_weight

    def mean(self) -> float:
        """Returns the mean weight of the usable servers."""
        return sum(self.weights.values()) / len(self.weights)


def plan(view: PlannerView, settings: PlannerSettings) -> Plan:
    """Returns what should change.

    Args:
        view: What the coordinator knows.
        settings: The target and the budget of moves for balance alone.
    """
    balance = _Balance(view)
    moves = _restore(view, balance)
    restored = len(moves)
    if balance.usable:
        moves |= _rebalance(view, settings, balance, moves)
    fronts = _plan_fronts(view)
    return Plan(
        moves=moves,
        fronts=fronts,
        retired=_list_retired(view),
        restored=restored,
        balanced=len(moves) - restored,
    )


def _restore(
    view: PlannerView, balance: _Balance
) -> dict[ids.SliceIndex, ids.ServerId]:
    """Gives slices without a usable owner to the least loaded servers."""
    if not balance.usable:
        return {}
    heap = [(weight, server) for server, weight in balance.weights.items()]
    heapq.heapify(heap)
    moves = {}
    for index in _list_orphans(view):
        weight, server = heapq.heappop(heap)
        weight += balance.weigh(index)
        heapq.heappush(heap, (weight, server))
        balance.weights[server] = weight
        moves[index] = server
    return moves


def _list_orphans(view: PlannerView) -> Iterable[ids.SliceIndex]:
    """Yields the slices whose owner is none, lost or leaving."""
    keeping = {
        server
        for server, standing in view.servers.items()
        if standing is not Standing.UNUSABLE
    }
    for index, state in enumerate(view.cell.slices):
        if state.server not in keeping:
            yield ids.SliceIndex(index)


def _rebalance(
    view: PlannerView,
    settings: PlannerSettings,
    balance: _Balance,
    moved: dict[ids.SliceIndex, ids.ServerId],
) -> dict[ids.SliceIndex, ids.ServerId]:
    """Moves the best fitting slices from the most to the least loaded.

    It goes on until no server is above the target and none is as far below
    the mean, so that a server that returns empty gets its share.
    """
    moves: dict[ids.SliceIndex, ids.ServerId] = {}
    weights = balance.weights
    mean = balance.mean()
    highest = mean * settings.imbalance_target_ratio
    lowest = mean * (2 - settings.imbalance_target_ratio)
    while len(moves) < settings.balance_moves:
        heaviest = max(weights, key=lambda s: (weights[s], s))
        lightest = min(weights, key=lambda s: (weights[s], s))
        if weights[heaviest] <= highest and weights[lightest] >= lowest:
            break
        gap = weights[heaviest] - weights[lightest]
        candidates = [
            index
            for index in view.cell.list_slices_of(heaviest)
            if index not in moved
            and index not in moves
            and not view.cell.slices[index].prior
            and 0 < balance.weigh(index) < gap
        ]
        if not candidates:
            break
        best = min(
            candidates, key=lambda i: (abs(balance.weigh(i) - gap / 2), i)
        )
        moves[best] = lightest
        weights[heaviest] -= balance.weigh(best)
        weights[lightest] += balance.weigh(best)
    return moves


def _plan_fronts(
    view: PlannerView,
) -> dict[ids.ServerId, ids.InstanceId]:
    """Gives each server a live front, evenly, with the fewest changes."""
    if not view.instances:
        return {}
    needed = set(view.servers) | view.cell.list_holders()
    limit = -(-len(needed) // len(view.instances))
    counts = dict.fromkeys(view.instances, 0)
    homeless = []
    for server in sorted(needed):
        state = view.cell.fronts.get(server)
        front = state.front if state else None
        unfit = records.ServerFront(server, front or cells.NO_INSTANCE)
        is_fit = front in counts and unfit not in view.unfit_fronts
        if front is not None and is_fit and counts[front] < limit:
            counts[front] += 1
        else:
            homeless.append(server)
    chosen = {
        server: _choose_front(server, view, counts, limit)
        for server in homeless
    }
    return {
        server: front
        for server, front in chosen.items()
        if server not in view.cell.fronts
        or view.cell.fronts[server].front != front
    }


def _choose_front(
    server: ids.ServerId,
    view: PlannerView,
    counts: dict[ids.InstanceId, int],
    limit: int,
) -> ids.InstanceId:
    """Returns the best ranked instance that has room for a server."""
    ranked = hashing.rank_by_rendezvous(server, view.instances)
    instances = [ids.InstanceId(name) for name in ranked]
    fit = [
        instance
        for instance in instances
        if records.ServerFront(server, instance) not in view.unfit_fronts
    ] or instances
    chosen = next((i for i in fit if counts[i] < limit), fit[0])
    counts[chosen] += 1
    return chosen


def _list_retired(view: PlannerView) -> list[ids.ServerId]:
    """Returns servers that are listed no more and hold nothing."""
    needed = set(view.servers) | view.cell.list_holders()
    return sorted(set(view.cell.fronts) - needed)
