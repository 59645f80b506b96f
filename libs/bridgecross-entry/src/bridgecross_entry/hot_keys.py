"""Frees the owners of keys that draw more than a server can process.

Such a key fills its owner's slots and queue, so that requests for the owner's
other keys are refused with it. A key cannot be split: its owner shall own
nothing else, and be the fastest server.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bridgecross_core import ids
from bridgecross_entry import keymap
from bridgecross_entry import planner


class Isolation(NamedTuple):
    """Moves that leave hot keys alone with their owners."""

    moves: tuple[planner.Move, ...]
    # Whether a hot key itself is among the moved ones.
    moves_key: bool


def plan_isolation(
    ranges: tuple[keymap.KeyRange, ...],
    load: planner.KeyLoad,
    servers: Mapping[ids.ServerId, float],
    settings: planner.PlanSettings,
    *,
    may_move_key: bool,
) -> Isolation:
    """Returns moves that leave each hot key alone with a fast server.

    The hottest key comes first and gets the fastest server. At most a share of
    the servers is set aside this way, since the keys of the others need room.

    Args:
        ranges: The current ranges.
        load: The load of each key.
        servers: The capacity of each server that stays.
        settings: Limits for the moves.
        may_move_key: Whether a hot key itself may move.
    """
    max_count = int(settings.isolated_max_ratio * len(servers))
    hot_keys = load.list_heavier(min(servers.values(), default=0.0))
    hot_keys.sort(key=lambda item: -item[1])
    owners: dict[ids.ServerId, int] = {}
    moves: list[planner.Move] = []
    for key, weight in hot_keys:
        if len(owners) >= max_count:
            break
        holder = next(r for r in ranges if r.first_key <= key <= r.last_key)
        capacity = servers.get(holder.owner)
        if capacity is None or holder.previous_owner:
            continue
        # In the first reports, a few requests look like a high rate.
        error = settings.urgent.min_errors * load.error_of(capacity)
        if weight <= capacity + error:
            continue
        owner = _choose_owner(
            holder.owner, servers, owners, settings, may_move_key=may_move_key
        )
        if owner is None:
            continue
        owners[owner] = key
        if owner != holder.owner:
            moves.append(planner.Move(key, key, owner))
    moves_key = bool(moves)
    moves += _plan_clearing(ranges, load, servers, owners, moves)
    return Isolation(tuple(moves), moves_key)


def _choose_owner(
    current: ids.ServerId,
    servers: Mapping[ids.ServerId, float],
    taken: Mapping[ids.ServerId, int],
    settings: planner.PlanSettings,
    *,
    may_move_key: bool,
) -> ids.ServerId | None:
    """Returns the server that should own a hot key."""
    fastest = max(
        (s for s in servers if s not in taken),
        key=servers.__getitem__,
        default=None,
    )
    if fastest is None:
        return None
    gain_ratio = servers[fastest] / servers[current]
    is_worth_it = gain_ratio >= settings.hot_key_min_gain_ratio
    if current in taken or (is_worth_it and may_move_key):
        return fastest if may_move_key else None
    return current


def _plan_clearing(
    ranges: tuple[keymap.KeyRange, ...],
    load: planner.KeyLoad,
    servers: Mapping[ids.ServerId, float],
    owners: Mapping[ids.ServerId, int],
    moves: list[planner.Move],
) -> tuple[planner.Move, ...]:
    """Returns moves of all other keys off the owners of hot keys."""
    hot_keys = set(owners.values())
    for move in moves:
        ranges = keymap.assign(ranges, *move, -1)
    # Ranges that are being moved stay with a server that is not cleared.
    rest = tuple(
        piece
        for r in ranges
        if r.owner not in owners or not r.previous_owner
        for piece in _cut_out(r, hot_keys if r.owner in owners else set())
    )
    others = {s: c for s, c in servers.items() if s not in owners}
    known = tuple(r for r in rest if r.owner in servers)
    return planner.plan_evacuation(known, load, others)


def _cut_out(
    key_range: keymap.KeyRange, keys: set[int]
) -> list[keymap.KeyRange]:
    """Returns what is left of a range without some keys."""
    pieces = []
    first_key = key_range.first_key
    inside = [k for k in keys if first_key <= k <= key_range.last_key]
    for key in sorted(inside):
        if key > first_key:
            pieces.append(
                key_range._replace(first_key=first_key, last_key=key - 1)
            )
        first_key = key + 1
    if first_key <= key_range.last_key:
        pieces.append(key_range._replace(first_key=first_key))
    return pieces
