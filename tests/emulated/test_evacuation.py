"""The delay until servers of an evacuated failure domain get no more requests.

The operator's command is part of a configuration; the bound is 5 s from when
the log acknowledged it, for undisturbed instances. Requests without a key stop
as soon as an instance knows of the evacuation. Keys are still served by their
owners while they move, for a part of the bound. The delays are added up in
``docs/design/evacuation-and-warmup.md``.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from bridgecross_emulator import instances
from tests.emulated import crash_scene
from tests.emulated import fault_scenarios

STOPPED_WITHIN_S = 5.0
DOMAIN = "zone-1"
# How long the cluster runs before the evacuation.
RUN_S = (6.0, 6.35, 6.7)
# How long the domain must stay empty after the bound.
EMPTY_S = 9.0


def _find_late(scene, fault_scene, acknowledged_s, until_s):
    """Returns requests sent to the domain too late by undisturbed instances."""
    cluster = scene.cluster
    domain_of = {s.name: s.domain for s in cluster.fleet.servers.values()}
    disturbed_s = {
        each.settings.peer_address: at_s
        for each, at_s in fault_scene.disturbed_s.items()
    }
    late = []
    for run in cluster.fleet.runs:
        if domain_of[run.server] != DOMAIN:
            continue
        last_disturbed_s = disturbed_s.get(run.sender, float("-inf"))
        due_s = max(
            acknowledged_s + STOPPED_WITHIN_S,
            last_disturbed_s + fault_scenarios.UNDISTURBED_AFTER_S,
        )
        if due_s < run.at_s < until_s:
            late.append(run)
    return late


def _simulate(
    scenario: Callable[[crash_scene.Scene], Awaitable[None]],
    run_s: float,
    server_domain_count: int = 3,
) -> crash_scene.Scene:
    """Simulates a cluster with servers in some failure domains."""
    return crash_scene.Simulation(
        server_domain_count=server_domain_count,
        settle_s=run_s,
        requests_per_s=60.0,
    ).run(scenario)


@pytest.mark.parametrize("run_s", RUN_S)
@pytest.mark.parametrize(
    "inject", fault_scenarios.ALL.values(), ids=fault_scenarios.ALL
)
def test_an_evacuated_domain_gets_nothing_after_the_bound(inject, run_s):
    found = []

    async def scenario(scene):
        fault_scene = fault_scenarios.Scene(scene.cluster)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject, fault_scene)
            await anyio.sleep(0.05)
            acknowledged_s = scene.cluster.evacuate(DOMAIN)
            await anyio.sleep(STOPPED_WITHIN_S + EMPTY_S)
            found.extend(
                _find_late(
                    scene, fault_scene, acknowledged_s, scene.cluster.now_s
                )
            )
            tasks.cancel_scope.cancel()

    scene = _simulate(scenario, run_s)
    assert found == []
    assert scene.cluster.fleet.overlaps == []


def test_requests_are_served_while_a_domain_is_evacuated():
    async def scenario(scene):
        await anyio.sleep(2.0)
        scene.cluster.evacuate(DOMAIN)
        await anyio.sleep(8.0)

    scene = _simulate(scenario, 6.0)
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        prefix = f"/{service}/".encode()
        assert scene.served_ratio(8.0, prefix) > 0.99
    assert scene.cluster.fleet.overlaps == []


def test_the_only_domain_of_the_servers_can_be_evacuated():
    """Nothing can be served then, and requests are rejected at once."""

    async def scenario(scene):
        scene.cluster.evacuate("zone-0")
        await anyio.sleep(8.0)
        runs = len(scene.cluster.fleet.runs)
        await anyio.sleep(3.0)
        assert len(scene.cluster.fleet.runs) == runs
        results = [
            t for t in scene.results if t.at_s > scene.cluster.now_s - 3.0
        ]
        assert results
        assert not any(result.is_served for result in results)
        assert {result.outcome.status for result in results} == {503}
        scene.cluster.end_evacuation("zone-0")
        await anyio.sleep(6.0)
        assert scene.served_ratio(scene.cluster.now_s - 1.0, b"/") > 0.95

    _simulate(scenario, 6.0, server_domain_count=1)


def test_two_domains_can_be_evacuated_and_restored_in_turn():
    async def scenario(scene):
        cluster = scene.cluster
        begun_s = cluster.evacuate("zone-0")
        await anyio.sleep(1.0)
        cluster.evacuate("zone-1")
        await anyio.sleep(8.0)
        cluster.end_evacuation("zone-0")
        await anyio.sleep(8.0)
        domain_of = {s.name: s.domain for s in cluster.fleet.servers.values()}
        from_s = begun_s + 1.0 + STOPPED_WITHIN_S
        late = [r for r in cluster.fleet.runs if r.at_s > from_s]
        assert "zone-1" not in {domain_of[r.server] for r in late}
        assert "zone-0" not in {
            domain_of[r.server] for r in late if r.at_s < begun_s + 9.0
        }

    scene = _simulate(scenario, 6.0)
    assert scene.cluster.fleet.overlaps == []
    assert scene.served_ratio(14.0, b"/") > 0.99


def test_an_evacuation_missing_from_the_newest_records_is_over():
    """The log drops older records while instances cannot read it."""

    async def scenario(scene):
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

    _simulate(scenario, 6.0)
