"""Computes the fewest moves that restore service and balance.

The plan depends only on the coordinator's view. It gives a usable owner to
every slice that has none, moves slices off overloaded servers within the churn
budget, and gives a live queue owner to every server.
"""

from collections.abc import Iterable
import enum
import heapq
from typing import NamedTuple

from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_ownership import cell as cells
from bridgecross_ownership import records

_IDLE_WEIGHT_RATIO = 0.1
_MIN_IDLE_WEIGHT = 1.0
_WITNESS_COUNT = 2


class Eligibility(enum.Enum):
    """Whether a server may own slices."""

    USABLE = "usable"
    """The server serves, and may get more slices."""

    HELD = "held"
    """The server keeps its slices but gets no more, such as while suspected."""

    UNUSABLE = "unusable"
    """The server is lost or leaving: all its slices move to others."""


class PlannerSettings(NamedTuple):
    """The balance target and the budget of moves for it.

    ``imbalance_target_ratio`` is the highest accepted load of a server over the
    mean. ``balance_moves`` is the most slices that a plan moves for balance.
    """

    imbalance_target_ratio: float
    balance_moves: int


class UnfitQueueOwner(NamedTuple):
    """An instance that cannot reach a server, so it may not own its queue."""

    server: ids.ServerId
    instance: ids.InstanceId


class PlannerView(NamedTuple):
    """The coordinator's view of the service.

    ``domains`` are the failure domains of servers and instances by name.
    ``loads`` are requests per second by slice; slices without load may be
    missing. ``handed_over`` are slices that a backup serves for their owner.
    """

    cell: cells.Cell
    servers: dict[ids.ServerId, Eligibility]
    instances: list[ids.InstanceId]
    domains: dict[str, str]
    loads: dict[ids.SliceIndex, float]
    unfit_queue_owners: set[UnfitQueueOwner]
    handed_over: set[ids.SliceIndex]


class Plan(NamedTuple):
    """The changes that should be made.

    ``restored`` moves are for slices without a usable owner, ``balanced`` ones
    for balance.
    """

    moves: dict[ids.SliceIndex, ids.ServerId]
    queue_owners: list[records.ServerQueueOwner]
    retired: list[ids.ServerId]
    restored: int
    balanced: int

    @property
    def is_empty(self) -> bool:
        """Whether nothing should change."""
        return not (self.moves or self.queue_owners or self.retired)


class _Balance:
    """The total slice weight of each usable server while a plan is made."""

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        total = sum(view.loads.values())
        count = max(len(view.cell.slices), 1)
        # A slice without load has a small weight too, so that idle slices are
        # spread as well, and so that a few requests do not cause moves.
        self._idle_weight = max(
            total / count * _IDLE_WEIGHT_RATIO, _MIN_IDLE_WEIGHT
        )
        self.usable = [
            server
            for server, eligibility in sorted(view.servers.items())
            if eligibility is Eligibility.USABLE
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
    """Returns the changes that should be made.

    Args:
        view: The coordinator's view.
        settings: The balance target and the budget of moves for balance alone.
    """
    balance = _Balance(view)
    moves = _assign_orphans(view, balance)
    restored = len(moves)
    if balance.usable:
        moves |= _rebalance(view, settings, balance, moves)
    return Plan(
        moves=moves,
        queue_owners=_QueueOwnerAssigner(view).plan(),
        retired=_list_retired(view),
        restored=restored,
        balanced=len(moves) - restored,
    )


def _assign_orphans(
    view: PlannerView, balance: _Balance
) -> dict[ids.SliceIndex, ids.ServerId]:
    """Assigns slices without a usable owner to the least loaded servers."""
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
    """Yields the slices that need an owner.

    They have none, their owner is lost or leaving, or a backup serves them.
    """
    kept_servers = {
        server
        for server, eligibility in view.servers.items()
        if eligibility is not Eligibility.UNUSABLE
    }
    for index, state in enumerate(view.cell.slices):
        if state.server not in kept_servers or index in view.handed_over:
            yield ids.SliceIndex(index)


def _rebalance(
    view: PlannerView,
    settings: PlannerSettings,
    balance: _Balance,
    moved: dict[ids.SliceIndex, ids.ServerId],
) -> dict[ids.SliceIndex, ids.ServerId]:
    """Moves the best fitting slices from the most to the least loaded server.

    It continues until no server is above the target, and none is as far below
    the mean. So a server that returns without slices gets its share.
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
            and _can_move_at_once(view.cell, index)
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


def _can_move_at_once(cell: cells.Cell, index: ids.SliceIndex) -> bool:
    """Returns whether the owner could release a slice at once.

    It could not while an earlier owner may hold the slice, or while the server
    or its backup may obey an earlier queue owner. Moves for balance do not wait
    for that.
    """
    state = cell.slices[index]
    queue_owner = cell.queue_owners.get(state.server)
    if state.prior or queue_owner is None:
        return False
    backup_queue_owner = cell.queue_owners.get(queue_owner.backup)
    return not queue_owner.earlier and not (
        backup_queue_owner and backup_queue_owner.earlier
    )


class _QueueOwnerAssigner:
    """Chooses queue owners, witnesses and backups while a plan is made.

    A queue owner is in another failure domain than its server, and its
    witnesses are in other domains than the queue owner, as far as there are
    enough instances. The loss of one domain then affects neither a server
    together with its queue owner, nor a queue owner together with its
    witnesses.
    """

    def __init__(self, view: PlannerView) -> None:
        self._view = view
        self._needed = sorted(set(view.servers) | view.cell.list_holders())
        count = max(len(view.instances), 1)
        self._limit = -(-len(self._needed) // count)
        self._counts = dict.fromkeys(view.instances, 0)
        self._usable = sorted(
            server
            for server, eligibility in view.servers.items()
            if eligibility is Eligibility.USABLE
        )
        self._usable_set = set(self._usable)

    def plan(self) -> list[records.ServerQueueOwner]:
        """Returns the servers whose queue owner, witnesses or backup change."""
        if not self._view.instances:
            return []
        queue_owners = self._keep_queue_owners()
        for server in self._needed:
            if server not in queue_owners:
                queue_owners[server] = self._choose_queue_owner(server)
        wanted = [
            records.ServerQueueOwner(
                server,
                queue_owner,
                self._choose_witnesses(server, queue_owner),
                self._choose_backup(server),
            )
            for server, queue_owner in queue_owners.items()
        ]
        return [change for change in wanted if self._is_change(change)]

    def _keep_queue_owners(self) -> dict[ids.ServerId, ids.InstanceId]:
        """Returns the servers whose queue owner stays, if fit and with room."""
        kept = {}
        for server in self._needed:
            state = self._view.cell.queue_owners.get(server)
            if state is None or state.instance not in self._counts:
                continue
            unfit = (
                UnfitQueueOwner(server, state.instance)
                in self._view.unfit_queue_owners
            )
            if not unfit and self._counts[state.instance] < self._limit:
                self._counts[state.instance] += 1
                kept[server] = state.instance
        return kept

    def _choose_queue_owner(self, server: ids.ServerId) -> ids.InstanceId:
        """Returns the best instance with room as a server's queue owner."""
        ranked = self._rank(server)
        fit = [
            instance
            for instance in ranked
            if UnfitQueueOwner(server, instance)
            not in self._view.unfit_queue_owners
        ] or ranked
        with_room = [i for i in fit if self._counts[i] < self._limit] or fit
        separate = [
            i for i in with_room if self._is_in_other_domain(i, server)
        ] or with_room
        self._counts[separate[0]] += 1
        return separate[0]

    def _choose_witnesses(
        self, server: ids.ServerId, queue_owner: ids.InstanceId
    ) -> tuple[ids.InstanceId, ...]:
        """Returns a queue owner's witnesses; current ones that live stay."""
        state = self._view.cell.queue_owners.get(server)
        kept = [
            witness
            for witness in (state.witnesses if state else ())
            if witness in self._counts and witness != queue_owner
        ]
        if len(kept) >= _WITNESS_COUNT:
            return tuple(sorted(kept[:_WITNESS_COUNT]))
        others = [
            instance
            for instance in self._rank(f"witness of {server}")
            if instance != queue_owner and instance not in kept
        ]
        others.sort(key=lambda i: not self._is_in_other_domain(i, queue_owner))
        chosen = [*kept, *others][:_WITNESS_COUNT]
        return tuple(sorted(chosen))

    def _choose_backup(self, server: ids.ServerId) -> ids.ServerId:
        """Returns a usable server to serve for one lost while the log is down.

        The present backup stays while it is usable. The search for a new one
        starts at a position in the list that is given by the server's hash, so
        that a plan does not compare every pair of servers.
        """
        state = self._view.cell.queue_owners.get(server)
        if state is not None and (
            state.backup in self._usable_set or not self._usable
        ):
            return state.backup
        start = hashing.hash_key(f"heir of {server}")
        count = len(self._usable)
        fallback = cells.NO_SERVER
        for step in range(count):
            other = self._usable[(start + step) % count]
            if other == server:
                continue
            if self._is_in_other_domain(other, server):
                return other
            fallback = fallback or other
        return fallback

    def _rank(self, subject: str) -> list[ids.InstanceId]:
        """Ranks the instances for a subject by rendezvous hashing."""
        names = hashing.rank_by_rendezvous(subject, self._view.instances)
        return [ids.InstanceId(name) for name in names]

    def _is_in_other_domain(self, left: str, right: str) -> bool:
        """Returns whether two names are in different failure domains."""
        domains = self._view.domains
        return domains.get(left) != domains.get(right)

    def _is_change(self, wanted: records.ServerQueueOwner) -> bool:
        """Returns whether an entry differs from the log."""
        state = self._view.cell.queue_owners.get(wanted.server)
        if state is None:
            return True
        return (state.instance, state.witnesses, state.backup) != (
            wanted.instance,
            wanted.witnesses,
            wanted.backup,
        )


def _list_retired(view: PlannerView) -> list[ids.ServerId]:
    """Returns the servers that are no longer listed and hold no slice."""
    needed = set(view.servers) | view.cell.list_holders()
    return sorted(set(view.cell.queue_owners) - needed)
