"""Plans which ranges of keys move to which server.

These are pure functions of the measured load of each key and the capacity of
each server. Keys of lost or leaving servers move first; after that, the fewest
and smallest pieces that relieve the busiest server.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import keymap


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceLimits:
    """Thresholds above which a server is relieved of load."""

    # Its utilization exceeds the mean by this factor.
    imbalance_ratio: float
    # And its utilization exceeds this. Well below one half, requests seldom
    # wait for a slot, whereas a move itself makes some of them wait.
    busy_ratio: float
    # Servers that receive keys are filled up to this utilization, or to the
    # mean if that is higher. If they were filled only to the mean, each would
    # receive little while most are near it, and a hot range would need very
    # many moves.
    fill_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSettings:
    """Thresholds and limits for moving keys."""

    # For the load of the last second, which has an error of 20%: reacts only to
    # what cannot be chance and would soon make requests wait. At a utilization
    # of 0.65, a server with 4 slots makes one request in four wait for a slot.
    urgent: RebalanceLimits = RebalanceLimits(1.7, 0.85, 0.65)
    # For the load of several seconds, which has an error of 10%.
    steady: RebalanceLimits = RebalanceLimits(1.25, 0.4, 0.0)
    # The pause between moves that are not urgent.
    rebalance_interval_s: float = 0.5
    # The number of moves in one plan, or this share of the servers if that is
    # more. Each move delays requests for its keys until the longest request
    # running on them has ended; a hot range of 200 keys among 119 servers needs
    # about 30 moves to be spread out.
    moves_max_count: int = 4
    moves_max_ratio: float = 0.2
    # A single key that draws more than this share of its owner's capacity moves
    # to the server with the most capacity, if that has at least so many times
    # the capacity of the owner.
    hot_key_ratio: float = 0.5
    hot_key_min_gain_ratio: float = 1.25
    # The least time between moves of hot keys: capacity is estimated over
    # several seconds, and in the first of them the key's queue builds up.
    hot_key_interval_s: float = 2.5
    # Pieces whose load differs from the wanted load by no more than this share
    # of it are considered equal; the one with the fewest keys moves.
    piece_tolerance_ratio: float = 0.3

    def max_moves(self, servers: int) -> int:
        """Returns the largest number of moves in one plan."""
        return max(self.moves_max_count, int(servers * self.moves_max_ratio))


class Move(NamedTuple):
    """A range of keys and its new owner."""

    # Both ends are inclusive.
    first_key: int
    last_key: int
    owner: ids.ServerId


class _TargetLoad(NamedTuple):
    """The load that a moved piece should have."""

    load: float
    # The most that the receiving server can take without being overloaded.
    max_load: float


@dataclasses.dataclass(slots=True)
class _Bin:
    """A server and its planned load."""

    server_id: ids.ServerId
    # The work that it can do per second, in the unit of the load.
    capacity: float
    # The load of the keys that it owns.
    load: float = 0.0

    @property
    def utilization(self) -> float:
        """The ratio of load to capacity."""
        return self.load / self.capacity


class KeyLoad:
    """The load of each key, stored as prefix sums."""

    def __init__(self, weights: Mapping[int, float]) -> None:
        """Computes the prefix sums.

        Args:
            weights: The load by key; keys without load may be omitted.
        """
        each = [0.0] * (keymap.LAST_KEY + 1)
        for key, weight in weights.items():
            each[key] = weight
        self._sums = [0.0, *itertools.accumulate(each)]
        self._weights = weights
        # The key with the highest load; None if no key has any.
        self.hottest_key = max(weights, key=weights.__getitem__, default=None)

    def of(self, first_key: int, last_key: int) -> float:
        """Returns the load of a range; both ends are inclusive."""
        return self._sums[last_key + 1] - self._sums[first_key]

    def list_heavier(self, load: float) -> list[tuple[int, float]]:
        """Returns the keys whose load exceeds a limit, with their loads."""
        return [(k, w) for k, w in self._weights.items() if w > load]

    def cut(self, first_key: int, last_key: int, load: float) -> int:
        """Returns the last key of the longest prefix within a load.

        The prefix contains at least one key and leaves at least one, unless
        the range has a single key.
        """
        low, high = first_key, max(first_key, last_key - 1)
        while low < high:
            middle = (low + high + 1) // 2
            if self.of(first_key, middle) <= load:
                low = middle
            else:
                high = middle - 1
        return low


def plan_initial(servers: Mapping[ids.ServerId, float]) -> tuple[Move, ...]:
    """Returns moves that divide all keys in proportion to capacity."""
    total = sum(servers.values())
    moves = []
    assigned = 0.0
    first_key = keymap.FIRST_KEY
    for server_id, capacity in servers.items():
        assigned += capacity
        last_key = round(assigned / total * (keymap.LAST_KEY + 1)) - 1
        if last_key >= first_key:
            moves.append(Move(first_key, last_key, server_id))
        first_key = last_key + 1
    return tuple(moves)


def plan_evacuation(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> tuple[Move, ...]:
    """Returns moves that assign all keys to servers that stay.

    Args:
        ranges: The current ranges.
        load: The load of each key.
        servers: The capacity of each server that stays.
    """
    bins = _make_bins(ranges, load, servers)
    if not bins:
        return ()
    orphans = [r for r in ranges if r.owner not in servers]
    orphans.sort(key=lambda r: -load.of(r.first_key, r.last_key))
    moves = []
    for orphan in _split_large(orphans, load, bins):
        weight = load.of(orphan.first_key, orphan.last_key)
        # Keys without load get a small weight, so that they spread as well.
        weight += 1e-6 * orphan.size
        best = min(bins, key=lambda b: (b.load + weight) / b.capacity)
        best.load += weight
        moves.append(Move(orphan.first_key, orphan.last_key, best.server_id))
    return tuple(moves)


def plan_rebalancing(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
    settings: PlanSettings,
    limits: RebalanceLimits,
) -> tuple[Move, ...]:
    """Returns moves that relieve the busiest servers.

    Ranges whose last move is still in progress are not moved.

    Args:
        ranges: The current ranges.
        load: The load of each key.
        servers: The capacity of each server that stays.
        settings: Limits for the moves.
        limits: Thresholds above which a server is relieved.
    """
    bins = _make_bins(ranges, load, servers)
    if len(bins) < 2:  # noqa: PLR2004 (one server cannot be relieved)
        return ()
    load_sum = sum(b.load for b in bins) - _unservable_load(
        ranges, load, servers
    )
    mean = load_sum / sum(b.capacity for b in bins)
    busy_limit = max(mean * limits.imbalance_ratio, limits.busy_ratio)
    level = max(mean, limits.fill_ratio)
    moves: list[Move] = []
    # Servers that may still be relieved. One that cannot be, because a single
    # key draws too much, must not prevent relieving the next one.
    relievable = list(bins)
    while relievable and len(moves) < settings.max_moves(len(bins)):
        busiest = max(relievable, key=lambda b: b.utilization)
        least_busy = min(bins, key=lambda b: b.utilization)
        if busiest.utilization <= busy_limit:
            break
        excess = (busiest.utilization - level) * busiest.capacity
        headroom = (level - least_busy.utilization) * least_busy.capacity
        max_load = (
            limits.busy_ratio - least_busy.utilization
        ) * least_busy.capacity
        target_load = _TargetLoad(min(excess, headroom), max_load)
        piece = _choose_piece(ranges, load, busiest, target_load, settings)
        if piece is None:
            relievable.remove(busiest)
            continue
        weight = load.of(*piece)
        if (
            least_busy.load + weight
        ) / least_busy.capacity >= busiest.utilization:
            relievable.remove(busiest)
            continue
        busiest.load -= weight
        least_busy.load += weight
        moves.append(Move(*piece, least_busy.server_id))
        ranges = keymap.assign(ranges, *piece, least_busy.server_id, -1)
    return tuple(moves)


def plan_hot_key(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
    settings: PlanSettings,
) -> Move | None:
    """Returns the move of a single hot key to the server with most capacity.

    A single key cannot be split. The other keys of that server move away when
    it is relieved in turn.
    """
    key = load.hottest_key
    if key is None:
        return None
    holder = next(r for r in ranges if r.first_key <= key <= r.last_key)
    capacity = servers.get(holder.owner)
    if capacity is None or holder.previous_owner:
        return None
    if load.of(key, key) <= settings.hot_key_ratio * capacity:
        return None
    largest = max(servers, key=servers.__getitem__)
    if servers[largest] < settings.hot_key_min_gain_ratio * capacity:
        return None
    return Move(key, key, largest)


def _make_bins(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> list[_Bin]:
    """Returns the servers that stay, with their current load."""
    bins = {s: _Bin(s, capacity) for s, capacity in servers.items()}
    for key_range in ranges:
        owner = bins.get(key_range.owner)
        if owner is not None:
            owner.load += load.of(key_range.first_key, key_range.last_key)
            owner.load += 1e-6 * key_range.size
    return list(bins.values())


def _unservable_load(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> float:
    """Returns the load of single keys beyond the capacity of their owners.

    No move can make it servable, so it must not count in the mean utilization:
    one key with five times the capacity of its owner would hide that other
    servers have twice their share.
    """
    excess = 0.0
    smallest_capacity = min(servers.values())
    for key, weight in load.list_heavier(smallest_capacity):
        holder = next(r for r in ranges if r.first_key <= key <= r.last_key)
        excess += max(weight - servers.get(holder.owner, weight), 0.0)
    return excess


def _split_large(
    orphans: list[keymap.KeyRange], load: KeyLoad, bins: list[_Bin]
) -> list[keymap.KeyRange]:
    """Splits ranges that are too large for a single server."""
    total = sum(b.load for b in bins) + sum(
        load.of(r.first_key, r.last_key) for r in orphans
    )
    piece_load = total / max(len(bins), 1) / 3
    piece_size = keymap.LAST_KEY // max(2 * len(bins), 1) + 1
    pieces = []
    for orphan in orphans:
        rest = orphan
        while True:
            weight = load.of(rest.first_key, rest.last_key)
            if weight <= piece_load and rest.size <= piece_size:
                break
            if rest.size == 1:
                break
            cut = load.cut(rest.first_key, rest.last_key, piece_load)
            cut = min(cut, rest.first_key + piece_size - 1)
            pieces.append(rest._replace(last_key=cut))
            rest = rest._replace(first_key=cut + 1)
        pieces.append(rest)
    return pieces


def _choose_piece(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    busiest: _Bin,
    target_load: _TargetLoad,
    settings: PlanSettings,
) -> tuple[int, int] | None:
    """Returns the piece of a server's ranges that comes closest to a load.

    If all pieces have more, as single keys may, returns the one with the least.
    A key that would overload the receiving server just as much stays: each move
    interrupts its requests without any gain.
    """
    best: tuple[int, int] | None = None
    best_rank = (True, float("inf"), 0)
    tolerance = settings.piece_tolerance_ratio * target_load.load
    for piece in _list_pieces(ranges, load, busiest, target_load.load):
        weight = load.of(*piece)
        too_much = weight > target_load.load + tolerance
        if weight <= 0 or (too_much and weight > target_load.max_load):
            continue
        gap = abs(target_load.load - weight)
        rank = (too_much, gap if gap > tolerance else 0.0, piece[1] - piece[0])
        if rank < best_rank:
            best, best_rank = piece, rank
    return best


def _list_pieces(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    busiest: _Bin,
    target_load: float,
) -> Iterator[tuple[int, int]]:
    """Yields a server's ranges, and prefixes and suffixes with a load."""
    for key_range in ranges:
        if key_range.owner != busiest.server_id or key_range.previous_owner:
            continue
        first, last = key_range.first_key, key_range.last_key
        yield first, last
        weight = load.of(first, last)
        if weight > target_load and first < last:
            yield first, load.cut(first, last, target_load)
            yield load.cut(first, last, weight - target_load) + 1, last
