import dataclasses
import random

import entry_support as support
import planning_support as planning
import pytest

from bridgecross_core import ids
from bridgecross_entry import few_slots
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import load_view
from bridgecross_entry import planner
from bridgecross_entry import servers

RAPOR = ids.ServiceName("rapor")


# Guards against thresholds at which most requests wait.
@pytest.mark.parametrize(
    ("slots", "wait_ratio", "utilization"),
    [(1, 0.25, 0.25), (2, 0.25, 0.4215), (2, 0.5, 0.6404), (6, 0.25, 0.642)],
)
def test_the_utilization_follows_from_the_slots(slots, wait_ratio, utilization):
    found = few_slots.find_utilization(slots, wait_ratio)
    assert found == pytest.approx(utilization, abs=0.01)
    # With two slots the Erlang C formula is 2 u^2 / (1 + u).
    assert few_slots.compute_wait_ratio(2, found) == pytest.approx(
        2 * found**2 / (1 + found)
    )


# Guards against another behaviour of services with more slots.
@pytest.mark.parametrize(
    ("slots", "applies"), [(1, True), (2, True), (3, False), (4, False)]
)
def test_only_services_with_few_slots_get_other_settings(slots, applies):
    clock = support.ManualClock()
    registry = servers.ServerRegistry(
        servers.ServerSettings(),
        support.BOUNDS,
        support.make_journal(clock),
        clock,
    )
    listed = planning.make_server("a", slots)
    registry.put(listed)
    view = load_view.LoadView(load_view.LoadSettings())
    usual = planner.PlanSettings()
    chosen = few_slots.choose(usual, registry, RAPOR, view, [listed])
    assert (chosen is not usual) is applies
    assert (view.settings != load_view.LoadSettings()) is applies
    if applies:
        assert chosen == few_slots.make_plan_settings(slots)


def _make_scene(settings, seed=1):
    rates = planning.clustered_rates(random.Random(seed), 325.0)
    return planning.Scene(rates, *settings, seed=seed)


def _shift_load(scene):
    scene.rates = planning.with_share(scene.rates, range(3_000, 3_200), 0.45)


# Guards against servers that stay overloaded while half of them are idle, and
# against churn by the random error of small counts.
def test_load_spreads_faster_with_fewer_moves():
    usual = _make_scene(planning.USUAL, seed=2)
    few = _make_scene(planning.FEW_SLOTS, seed=2)
    excess = {}
    for name, scene in (("usual", usual), ("few", few)):
        scene.run(1.0)
        excess[name, "start"] = scene.run(2.0)[0]
        scene.run(6.0)
        _shift_load(scene)
        scene.run(1.0)
        excess[name, "shift"] = scene.run(3.0)[0]
        scene.run(4.0)
    assert excess["few", "start"] < 0.9 * excess["usual", "start"]
    assert excess["few", "shift"] < 0.9 * excess["usual", "shift"]
    assert few.moves_count < 0.85 * usual.moves_count
    assert few.largest_plan > usual.largest_plan


# Guards against a hot key with which its owner's other keys are refused.
def test_a_key_beyond_its_owner_is_alone_on_a_fast_server():
    scene = _make_scene(planning.FEW_SLOTS)
    scene.run(8.0)
    scene.rates = planning.with_share(scene.rates, range(50_000, 50_001), 0.3)
    scene.run(3.0)
    owner = scene.holder_of(50_000)
    owned = [r for r in scene.ranges if r.owner == owner]
    assert [r[:2] for r in owned] == [(50_000, 50_000)]
    assert scene.true_capacities[owner] == max(scene.true_capacities.values())
    assert scene.excess_ratio() < 0.01


# Guards against a new leader that moves keys back and forth while it knows
# little, or that does not see an overload which began after the loss.
def test_a_new_leader_plans_with_what_the_next_reports_tell():
    scene = _make_scene(planning.FEW_SLOTS)
    scene.run(8.0)
    scene.start_leader()
    scene.moves_count = 0
    scene.run(2.0)
    assert scene.excess_ratio() < 0.03
    assert scene.moves_count < 40
    _shift_load(scene)
    scene.run(5.0)
    assert scene.excess_ratio() < 0.03
    estimated = scene.capacities()
    true = scene.true_capacities
    fast = [estimated[s] for s in estimated if true[s] == 20.0]
    slow = [estimated[s] for s in estimated if true[s] == 8.75]
    assert sum(fast) / len(fast) > 1.4 * sum(slow) / len(slow)


# Guards against churn without bound: the load moves elsewhere again and again.
def test_no_minute_has_more_moves_than_the_budget_allows():
    settings, load_settings = planning.FEW_SLOTS
    limited = dataclasses.replace(
        settings, moved_per_min_ratio=0.1, move_min_key_count=1
    )
    scene = _make_scene((limited, load_settings))
    for _ in range(6):
        scene.run(2.0)
        first_key = scene.chance.randrange(60_000)
        keys = range(first_key, first_key + 4_000, 10)
        scene.rates = planning.with_share(scene.rates, keys, 0.6)
    limit = 0.1 * (keymap.LAST_KEY + 1)
    assert 0.3 * limit < scene.moved_keys <= limit


# Guards against servers that few answers make look extreme.
@pytest.mark.parametrize(
    ("count", "busy_s", "least", "most"),
    [(1, 0.02, 0.9, 1.2), (1, 1.6, 0.45, 1.0), (60, 6.0, 1.4, 1.6)],
)
def test_a_server_known_by_few_answers_is_not_extreme(
    count, busy_s, least, most
):
    known = planning.make_server("known", 2)
    other = planning.make_server("other", 2)
    view = load_view.LoadView(few_slots.LOAD_SETTINGS)
    view.advance([known, other], 0.0)
    answers = (
        load.ServerCount(known.server_id, 400, 64.0),
        load.ServerCount(other.server_id, count, busy_s),
    )
    view.add_report((), answers)
    view.advance([known, other], 40.0)
    capacities = view.capacities([known, other])
    ratio = capacities[other.server_id] / capacities[known.server_id]
    assert least < ratio < most
