"""A poison request that one caller sends repeatedly.

Guards against forgetting the outcome of a request together with its id. One
caller sent a request under a new id each time, to any instance. Nine servers
crashed in twelve seconds, each 40 ms after it began to run the request;
meanwhile up to a tenth of a service was not served. An id names one attempt of
a caller, and nothing else identified the request, so each arrival counted as
new and went to a healthy server.
"""

import anyio

from bridgecross_core import outcomes
from bridgecross_emulator import instances
from tests.emulated import crash_scene

KNOWN_WITHIN_S = 0.3
"""How long after the third crash the request may still reach servers."""

SERVICES = (instances.SERVICE, instances.FREE_SERVICE)


async def _send_poison_repeatedly(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.poison_targets.add(scene.poison_target)
    async with anyio.create_task_group() as callers:
        callers.start_soon(scene.send_harmless)
        callers.start_soon(
            scene.send_repeatedly,
            scene.poison_target,
            0.25,
            crash_scene.POISON_KEY,
        )
        await anyio.sleep(30.0)
        callers.cancel_scope.cancel()


def _simulate(service: str) -> crash_scene.Scene:
    return crash_scene.Simulation(service).run(_send_poison_repeatedly)


def test_a_poison_request_crashes_three_servers_and_no_more():
    for service in SERVICES:
        scene = _simulate(service)
        ends_s = scene.cluster.fleet.ends_s
        assert len(ends_s) == 3
        late = [
            run_s
            for run_s in scene.run_times_s(scene.poison_target)
            if run_s > ends_s[2] + KNOWN_WITHIN_S
        ]
        assert late == []
        last = [t for t in scene.results if t.target == scene.poison_target][-1]
        assert isinstance(last.outcome, outcomes.NotRun)


def test_other_requests_are_served_meanwhile():
    for service in SERVICES:
        scene = _simulate(service)
        third_s = scene.cluster.fleet.ends_s[2]
        prefix = f"/{service}/harmless".encode()
        # By then the lease has expired and the crashed server has restarted.
        assert scene.served_ratio(third_s + 6.0, prefix) >= 0.99
