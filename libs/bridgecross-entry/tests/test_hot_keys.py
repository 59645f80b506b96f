import pytest

from bridgecross_core import ids
from bridgecross_entry import few_slots
from bridgecross_entry import hot_keys
from bridgecross_entry import keymap
from bridgecross_entry import planner

SETTINGS = few_slots.make_plan_settings(2)
NAMES = [ids.ServerId(f"s{n}") for n in range(10)]
SIZE = (keymap.LAST_KEY + 1) // 10
RANGES = tuple(
    keymap.KeyRange(
        n * SIZE, keymap.LAST_KEY if n == 9 else (n + 1) * SIZE - 1, name, 1
    )
    for n, name in enumerate(NAMES)
)
HOT = 100
WEIGHTS = dict.fromkeys(range(50, keymap.LAST_KEY, 300), 0.1)


def _plan(weight, speeds, ranges=RANGES, *, may_move_key=True):
    load = planner.KeyLoad(WEIGHTS | {HOT: weight})
    servers = dict.fromkeys(NAMES, 10.0) | speeds
    return hot_keys.plan_isolation(
        ranges, load, servers, SETTINGS, may_move_key=may_move_key
    )


def _owned_by(ranges, moves, owner):
    for move in moves:
        ranges = keymap.assign(ranges, *move, 2)
    return [r[:2] for r in ranges if r.owner == owner]


# Guards against requests for other keys that are refused with those for the hot
# one, at its old or its new owner.
@pytest.mark.parametrize(
    ("speeds", "may_move_key", "owner"),
    [
        pytest.param({NAMES[4]: 20.0}, True, NAMES[4], id="to the fastest"),
        pytest.param({NAMES[4]: 20.0}, False, NAMES[0], id="moved lately"),
        pytest.param({NAMES[4]: 11.0}, True, NAMES[0], id="none is faster"),
    ],
)
def test_a_hot_key_is_left_alone_with_its_owner(speeds, may_move_key, owner):
    isolation = _plan(30.0, speeds, may_move_key=may_move_key)
    assert _owned_by(RANGES, isolation.moves, owner) == [(HOT, HOT)]
    assert isolation.moves_key is (owner != NAMES[0])
    ranges = RANGES
    for move in isolation.moves:
        ranges = keymap.assign(ranges, *move, 2)
    ranges = tuple(r._replace(previous_owner=keymap.NO_SERVER) for r in ranges)
    again = _plan(30.0, speeds, ranges, may_move_key=may_move_key)
    assert not again.moves


# Guards against moves that relieve nobody.
@pytest.mark.parametrize("weight", [3.0, 9.9])
def test_a_key_within_its_owners_capacity_isolates_nothing(weight):
    assert not _plan(weight, {NAMES[4]: 20.0}).moves
