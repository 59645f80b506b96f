"""When the servers of an evacuated failure domain get nothing any more.

The operator's word comes by the way of a configuration; the bound is 5 s from
when the log took it, for instances in touch. Requests without a key stop as
soon as an instance knows; keys go on being served by their owners while they
move, for a part of the bound. How the times add up is worked out in
``docs/design/evacuation-and-warmup.md``.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from bridgecross_emulator import instances
from tests.emulated import crash_scene
from tests.emulated import fault_scenarios

IN_FORCE_WITHIN_S = 5.0
DOMAIN = "zone-1"
# Before a change, the cluster has run for as long.
RUN_S = (6.0, 6.35, 6.7)
# After an evacuation the domain stays empty for so long.
EMPTY_S = 9.0


def _find_late(scene, trouble, taken_s, until_s):
    """Returns requests that instances in touch sent to the domain too late."""
    cluster = scene.cluster
    domain_of = {s.name: s.domain for s in cluster.fleet.servers.values()}
    disturbed_s = {
        each.settings.peer_address: at_s
        for each, at_s in trouble.disturbed_s.items()
    }
    late = []
    for run in cluster.fleet.runs:
        if domain_of[run.server] != DOMAIN:
            continue
        touched_s = disturbed_s.get(run.sender, float("-inf"))
        due_s = max(
            taken_s + IN_FORCE_WITHIN_S,
            touched_s + fault_scenarios.UNDISTURBED_AFTER_S,
        )
        if due_s < run.at_s < until_s:
            late.append(run)
    return late


def _play(
    act: Callable[[crash_scene.Scene], Awaitable[None]],
    run_s: float,
    server_domain_count: int = 3,
) -> crash_scene.Scene:
    """Plays a cluster with servers in some failure domains."""
    return crash_scene.Simulation(
        server_domain_count=server_domain_count,
        settle_s=run_s,
        requests_per_s=60.0,
    ).run(act)


@pytest.mark.parametrize("run_s", RUN_S)
@pytest.mark.parametrize(
    "happen", fault_scenarios.ALL.values(), ids=fault_scenarios.ALL
)
def test_an_evacuated_domain_gets_nothing_after_the_bound(happen, run_s):
    found = []

    async def act(scene):
        trouble = fault_scenarios.Scene(scene.cluster)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(happen, trouble)
            await anyio.sleep(0.05)
            taken_s = scene.cluster.evacuate(DOMAIN)
            await anyio.sleep(IN_FORCE_WITHIN_S + EMPTY_S)
            found.extend(
                _find_late(scene, trouble, taken_s, scene.cluster.now_s)
            )
            tasks.cancel_scope.cancel()

    scene = _play(act, run_s)
    assert found == []
    assert scene.cluster.fleet.overlaps == []


def test_the_rest_is_served_while_a_domain_is_emptied():
    async def act(scene):
        await anyio.sleep(2.0)
        scene.cluster.evacuate(DOMAIN)
        await anyio.sleep(8.0)

    scene = _play(act, 6.0)
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        prefix = f"/{service}/".encode()
        assert scene.served_ratio(8.0, prefix) > 0.99
    assert scene.cluster.fleet.overlaps == []


def test_the_only_domain_of_the_servers_can_be_evacuated():
    """Nothing can be served then, and callers are told so at once."""

    async def act(scene):
        scene.cluster.evacuate("zone-0")
        await anyio.sleep(8.0)
        runs = len(scene.cluster.fleet.runs)
        await anyio.sleep(3.0)
        assert len(scene.cluster.fleet.runs) == runs
        results = [
            t for t in scene.results if t.at_s > scene.cluster.now_s - 3.0
        ]
        assert results
        assert not any(t.is_served for t in results)
        assert {t.outcome.status for t in results} == {503}
        scene.cluster.end_evacuation("zone-0")
        await anyio.sleep(6.0)
        assert scene.served_ratio(scene.cluster.now_s - 1.0, b"/") > 0.95

    _play(act, 6.0, server_domain_count=1)


def test_two_domains_can_be_evacuated_and_taken_back_in_turn():
    async def act(scene):
        cluster = scene.cluster
        begun_s = cluster.evacuate("zone-0")
        await anyio.sleep(1.0)
        cluster.evacuate("zone-1")
        await anyio.sleep(8.0)
        cluster.end_evacuation("zone-0")
        await anyio.sleep(8.0)
        domain_of = {s.name: s.domain for s in cluster.fleet.servers.values()}
        from_s = begun_s + 1.0 + IN_FORCE_WITHIN_S
        late = [r for r in cluster.fleet.runs if r.at_s > from_s]
        assert "zone-1" not in {domain_of[r.server] for r in late}
        assert "zone-0" not in {
            domain_of[r.server] for r in late if r.at_s < begun_s + 9.0
        }

    scene = _play(act, 6.0)
    assert scene.cluster.fleet.overlaps == []
    assert scene.served_ratio(14.0, b"/") > 0.99


def test_a_history_that_was_forgotten_evacuates_nothing_twice():
    """What the newest records do not hold any more is over."""

    async def act(scene):
        cluster = scene.cluster
        cluster.evacuate(DOMAIN)
        await anyio.sleep(3.0)
        cluster.log.is_unavailable = True
        await anyio.sleep(2.0)
        cluster.end_evacuation(DOMAIN)
        cluster.evacuate("zone-2")
        cluster.log.drop_history(instances.CONFIGURATION_TOPIC)
        cluster.log.is_unavailable = False
        await anyio.sleep(9.0)
        domain_of = {s.name: s.domain for s in cluster.fleet.servers.values()}
        free = [
            domain_of[r.server]
            for r in cluster.fleet.runs
            if r.at_s > cluster.now_s - 3.0
            and r.target.startswith(f"/{instances.FREE_SERVICE}/".encode())
        ]
        assert DOMAIN in free
        assert "zone-2" not in free

    _play(act, 6.0)
