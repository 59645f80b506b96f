"""A request that ends every server that runs it, and comes again and again.

What was seen: one caller's request came under a new id each time, at any
instance. Nine servers ended under it in twelve seconds, each 40 ms after it had
begun to run the request; meanwhile up to a tenth of a service was not served.

How it came about: an id names one attempt of a caller, and nothing else told
one request from another. To the router each arrival was a new request, which
goes to a server that is sound; the one before had ended, so it was another.

The cause: what became of a request was forgotten with its id.

What proved it: in the logs of a played day the ends follow the arrivals of one
caller's request, seconds apart, at whatever server owned its key by then; and
the test below, in which nothing else is wrong.
"""

import anyio

from bridgecross_core import outcomes
from bridgecross_emulator import instances
from tests.emulated import crash_scene

KNOWN_WITHIN_S = 0.3
"""How long after the third end the request may still reach servers."""

SERVICES = (instances.SERVICE, instances.FREE_SERVICE)


async def _keep_ending_servers(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.poison_targets.add(scene.deadly)
    async with anyio.create_task_group() as callers:
        callers.start_soon(scene.serve_others)
        callers.start_soon(
            scene.keep_calling, scene.deadly, 0.25, crash_scene.DEADLY_KEY
        )
        await anyio.sleep(30.0)
        callers.cancel_scope.cancel()


def _play_repeated_crash(service: str) -> crash_scene.Scene:
    return crash_scene.Play(service).run(_keep_ending_servers)


def test_a_request_that_ends_its_servers_ends_three_and_no_more():
    for service in SERVICES:
        scene = _play_repeated_crash(service)
        ends_s = scene.cluster.fleet.ends_s
        assert len(ends_s) == 3
        late = [
            run_s
            for run_s in scene.run_times_s(scene.deadly)
            if run_s > ends_s[2] + KNOWN_WITHIN_S
        ]
        assert late == []
        last = [t for t in scene.told if t.target == scene.deadly][-1]
        assert isinstance(last.outcome, outcomes.NotRun)


def test_others_are_served_beside_it():
    for service in SERVICES:
        scene = _play_repeated_crash(service)
        third_s = scene.cluster.fleet.ends_s[2]
        prefix = f"/{service}/harmless".encode()
        # A lease is waited out, and the server is back, before all is well.
        assert scene.served_ratio(third_s + 6.0, prefix) >= 0.99
