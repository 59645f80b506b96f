"""Chooses which ranges of keys move to which server.

Pure functions of what was measured: the load of each key, and the room of
each server. Keys of servers that are gone or leaving go first; after that
the fewest and smallest pieces that bring the busiest server down.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import keymap


@dataclasses.dataclass(frozen=True, slots=True)
class ReliefLimits:
    """From when on a server is relieved."""

    # It is this much busier than the mean.
    imbalance_ratio: float
    # And this part of its room is taken. Well below half, requests seldom
    # wait for a slot, and a move itself makes some wait.
    busy_ratio: float
    # Servers that take keys are filled to this part of their room, or to the
    # mean if that is more. Filled to the mean alone, each takes little while
    # most are near it, and a hot range needs very many moves.
    fill_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSettings:
    """When keys move."""

    # By the load of the last second, which is off by 20%: only what cannot
    # be chance and would soon make requests wait. At 0.65 of its room a
    # server with 4 slots makes one request in four wait for a slot.
    urgent: ReliefLimits = ReliefLimits(1.7, 0.85, 0.65)
    # By the load of some seconds, which is off by 10%.
    steady: ReliefLimits = ReliefLimits(1.25, 0.4, 0.0)
    # The pause between moves that are not urgent.
    relief_rest_s: float = 0.5
    # Moves in one plan, and this part of the servers if that is more. Each
    # holds requests for its keys for the longest request that runs on them;
    # a hot range of 200 keys among 119 servers needs about 30 to cool down.
    moves_max_count: int = 4
    moves_max_ratio: float = 0.2
    # A single key with more than this part of its owner's room goes to the
    # server with the most room, if that has so many times the owner's.
    hot_key_ratio: float = 0.5
    hot_key_gain_ratio: float = 1.25
    # A hot key stays for this long: room is judged from some seconds, and
    # the first of them are those in which its queue builds up.
    hot_key_rest_s: float = 2.5
    # Pieces whose load is off by no more than this part of what is wanted
    # are equally good; then the one with the fewest keys moves.
    piece_tolerance_ratio: float = 0.3

    def most_moves(self, servers: int) -> int:
        """Returns how many moves one plan may have."""
        return max(self.moves_max_count, int(servers * self.moves_max_ratio))


class Move(NamedTuple):
    """A range that gets another owner."""

    # Both ends are inside.
    first_key: int
    last_key: int
    owner: ids.ServerId


class _Wanted(NamedTuple):
    """The load of a piece that should move."""

    load: float
    # What the next server can take without being busy itself.
    most: float


@dataclasses.dataclass(slots=True)
class _Bin:
    """A server while a plan is made."""

    server_id: ids.ServerId
    # Work that it can do in a second, in the unit of the load.
    room: float
    # Load of the keys that it owns.
    load: float = 0.0

    @property
    def utilization(self) -> float:
        """The part of its room that is taken."""
        return self.load / self.room


class KeyLoad:
    """The load of each key, as prefix sums."""

    def __init__(self, weights: Mapping[int, float]) -> None:
        """Sums up.

        Args:
            weights: The load of keys; keys without any may be left out.
        """
        each = [0.0] * (keymap.LAST_KEY + 1)
        for key, weight in weights.items():
            each[key] = weight
        self._sums = [0.0, *itertools.accumulate(each)]
        self._weights = weights
        # The key with the most load; None if none has any.
        self.hottest_key = max(weights, key=weights.__getitem__, default=None)

    def of(self, first_key: int, last_key: int) -> float:
        """Returns the load of a range; both ends are inside."""
        return self._sums[last_key + 1] - self._sums[first_key]

    def list_heavier(self, load: float) -> list[tuple[int, float]]:
        """Returns the keys with more than a load, each with its own."""
        return [(k, w) for k, w in self._weights.items() if w > load]

    def cut(self, first_key: int, last_key: int, load: float) -> int:
        """Returns the last key of the longest prefix under a load.

        The prefix holds one key at least and leaves one at least, unless the
        range has a single key.
        """
        low, high = first_key, max(first_key, last_key - 1)
        while low < high:
            middle = (low + high + 1) // 2
            if self.of(first_key, middle) <= load:
                low = middle
            else:
                high = middle - 1
        return low


def plan_first(servers: Mapping[ids.ServerId, float]) -> tuple[Move, ...]:
    """Returns moves that divide all keys evenly by the servers' room."""
    total = sum(servers.values())
    moves = []
    done = 0.0
    first_key = keymap.FIRST_KEY
    for server_id, room in servers.items():
        done += room
        last_key = round(done / total * (keymap.LAST_KEY + 1)) - 1
        if last_key >= first_key:
            moves.append(Move(first_key, last_key, server_id))
        first_key = last_key + 1
    return tuple(moves)


def plan_evacuation(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> tuple[Move, ...]:
    """Returns moves that give every key a server that stays.

    Args:
        ranges: The present ranges.
        load: The load of each key.
        servers: The room of each server that stays.
    """
    bins = _fill(ranges, load, servers)
    if not bins:
        return ()
    orphans = [r for r in ranges if r.owner not in servers]
    orphans.sort(key=lambda r: -load.of(r.first_key, r.last_key))
    moves = []
    for orphan in _split_large(orphans, load, bins):
        weight = load.of(orphan.first_key, orphan.last_key)
        # Keys without load count a little, so that they spread as well.
        weight += 1e-6 * orphan.size
        best = min(bins, key=lambda b: (b.load + weight) / b.room)
        best.load += weight
        moves.append(Move(orphan.first_key, orphan.last_key, best.server_id))
    return tuple(moves)


def plan_relief(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
    settings: PlanSettings,
    limits: ReliefLimits,
) -> tuple[Move, ...]:
    """Returns moves that relieve the busiest servers.

    Ranges whose last move is still under way are left alone.

    Args:
        ranges: The present ranges.
        load: The load of each key.
        servers: The room of each server that stays.
        settings: How keys move.
        limits: From when on a server is relieved.
    """
    bins = _fill(ranges, load, servers)
    if len(bins) < 2:  # noqa: PLR2004 (one server cannot be relieved)
        return ()
    load_sum = sum(b.load for b in bins) - _unservable(ranges, load, servers)
    mean = load_sum / sum(b.room for b in bins)
    limit = max(mean * limits.imbalance_ratio, limits.busy_ratio)
    level = max(mean, limits.fill_ratio)
    moves: list[Move] = []
    # Servers that may still be relieved. One that cannot be, as it holds a
    # single key that draws too much, does not keep the next from it.
    relievable = list(bins)
    while relievable and len(moves) < settings.most_moves(len(bins)):
        busiest = max(relievable, key=lambda b: b.utilization)
        idlest = min(bins, key=lambda b: b.utilization)
        if busiest.utilization <= limit:
            break
        excess = (busiest.utilization - level) * busiest.room
        space = (level - idlest.utilization) * idlest.room
        most = (limits.busy_ratio - idlest.utilization) * idlest.room
        wanted = _Wanted(min(excess, space), most)
        piece = _choose_piece(ranges, load, busiest, wanted, settings)
        if piece is None:
            relievable.remove(busiest)
            continue
        weight = load.of(*piece)
        if (idlest.load + weight) / idlest.room >= busiest.utilization:
            relievable.remove(busiest)
            continue
        busiest.load -= weight
        idlest.load += weight
        moves.append(Move(*piece, idlest.server_id))
        ranges = keymap.assign(ranges, *piece, idlest.server_id, -1)
    return tuple(moves)


def plan_hot_key(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
    settings: PlanSettings,
) -> Move | None:
    """Returns the move of a single hot key to the server with most room.

    One key cannot be split; the other keys of that server go elsewhere when
    it is relieved in turn.
    """
    key = load.hottest_key
    if key is None:
        return None
    holder = next(r for r in ranges if r.first_key <= key <= r.last_key)
    room = servers.get(holder.owner)
    if room is None or holder.prior_owner:
        return None
    if load.of(key, key) <= settings.hot_key_ratio * room:
        return None
    roomiest = max(servers, key=servers.__getitem__)
    if servers[roomiest] < settings.hot_key_gain_ratio * room:
        return None
    return Move(key, key, roomiest)


def _fill(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> list[_Bin]:
    """Returns the servers that stay with the load that they have."""
    bins = {s: _Bin(s, room) for s, room in servers.items()}
    for key_range in ranges:
        owner = bins.get(key_range.owner)
        if owner is not None:
            owner.load += load.of(key_range.first_key, key_range.last_key)
            owner.load += 1e-6 * key_range.size
    return list(bins.values())


def _unservable(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    servers: Mapping[ids.ServerId, float],
) -> float:
    """Returns what single keys draw beyond the room of their owners.

    No move makes anybody serve it, so it says nothing of how busy servers
    should be. Counted in the mean, one key with five times what its owner can
    do would hide that others have twice their share.
    """
    excess = 0.0
    least_room = min(servers.values())
    for key, weight in load.list_heavier(least_room):
        holder = next(r for r in ranges if r.first_key <= key <= r.last_key)
        excess += max(weight - servers.get(holder.owner, weight), 0.0)
    return excess


def _split_large(
    orphans: list[keymap.KeyRange], load: KeyLoad, bins: list[_Bin]
) -> list[keymap.KeyRange]:
    """Returns ranges with those cut that one server should not take whole."""
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
    wanted: _Wanted,
    settings: PlanSettings,
) -> tuple[int, int] | None:
    """Returns the keys of a server that come closest to a load.

    If all pieces carry more, as single keys may, the one that carries least.
    A key that would make the next server as busy stays where it is: each move
    interrupts it, and nothing is won.
    """
    best: tuple[int, int] | None = None
    best_rank = (True, float("inf"), 0)
    tolerance = settings.piece_tolerance_ratio * wanted.load
    for piece in _list_pieces(ranges, load, busiest, wanted.load):
        weight = load.of(*piece)
        too_much = weight > wanted.load + tolerance
        if weight <= 0 or (too_much and weight > wanted.most):
            continue
        gap = abs(wanted.load - weight)
        rank = (too_much, gap if gap > tolerance else 0.0, piece[1] - piece[0])
        if rank < best_rank:
            best, best_rank = piece, rank
    return best


def _list_pieces(
    ranges: tuple[keymap.KeyRange, ...],
    load: KeyLoad,
    busiest: _Bin,
    wanted: float,
) -> Iterator[tuple[int, int]]:
    """Yields ranges of a server, and ends of them that carry a load."""
    for key_range in ranges:
        if key_range.owner != busiest.server_id or key_range.prior_owner:
            continue
        first, last = key_range.first_key, key_range.last_key
        yield first, last
        weight = load.of(first, last)
        if weight > wanted and first < last:
            yield first, load.cut(first, last, wanted)
            yield load.cut(first, last, weight - wanted) + 1, last
