"""Requests that were only running where servers crashed are served as before.

A popular request is always running somewhere. When servers crash for other
reasons, it is among the interrupted requests each time, just as a poison
request would be. It is told apart from a poison request by its answers.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio
import pytest

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from tests.emulated import crash_scene

SERVED_LEAST = 0.95
"""The minimum share of innocent requests served once the servers are back."""

RECOVERED_AFTER_S = 5.0
"""Time to recover after the last fault. A lease lasts 2.7 s from the last order
of an earlier leader, which may send orders for 2 s after the next leader is
known."""

POPULAR_KEY = 26_851


async def _crash_last_runner_repeatedly(scene: crash_scene.Scene) -> None:
    """Crashes the server that last ran the popular request, six times."""
    for _ in range(6):
        newest = [
            run.server
            for run in scene.cluster.fleet.runs
            if run.target == popular(scene)
        ][-1]
        _crash(scene, newest)
        await anyio.sleep(4.0)


async def _crash_all(scene: crash_scene.Scene) -> None:
    """Crashes all servers of the service at the same moment, twice."""
    for _ in range(2):
        for name in _names(scene):
            _crash(scene, name)
        await anyio.sleep(10.0)


async def _crash_half(scene: crash_scene.Scene) -> None:
    """Crashes the servers of a failure domain, three times."""
    for _ in range(3):
        for name in _names(scene)[::2]:
            _crash(scene, name)
        await anyio.sleep(8.0)


async def _crash_in_turn(scene: crash_scene.Scene) -> None:
    """Crashes each server once, as a faulty software release does."""
    for name in _names(scene):
        _crash(scene, name)
        await anyio.sleep(1.5)


async def _crash_during_restarts(scene: crash_scene.Scene) -> None:
    """Restarts instances, which then know of no answer to the request."""
    cluster = scene.cluster
    for number, name in enumerate(_names(scene)):
        killed = cluster.instances[number % len(cluster.instances)]
        killed.kill()
        _crash(scene, name)
        await anyio.sleep(1.0)
        cluster.restart(killed)
        await anyio.sleep(2.0)


async def _crash_during_isolation(scene: crash_scene.Scene) -> None:
    """Isolates an instance, which learns of crashes and answers only later."""
    cluster = scene.cluster
    cluster.isolate(cluster.others()[0])
    for name in _names(scene)[:4]:
        _crash(scene, name)
        await anyio.sleep(1.5)
    cluster.network.heal()


def popular(scene: crash_scene.Scene) -> bytes:
    """Returns the target of the popular request."""
    return f"/{scene.service}/popular".encode()


def _names(scene: crash_scene.Scene) -> list[str]:
    fleet = scene.cluster.fleet
    return [
        s.name for s in fleet.servers.values() if s.service == scene.service
    ]


def _crash(scene: crash_scene.Scene, name: str) -> None:
    fleet = scene.cluster.fleet
    found = [s for s in fleet.servers.values() if s.name == name]
    fleet.crash(found[0])


Fault = Callable[[crash_scene.Scene], Awaitable[None]]


def _simulate(service: str, fault: Fault) -> crash_scene.Scene:
    async def scenario(scene: crash_scene.Scene) -> None:
        async with anyio.create_task_group() as callers:
            # Enough callers that several requests are running at any time.
            for _ in range(8):
                callers.start_soon(
                    scene.send_repeatedly, popular(scene), 0.02, POPULAR_KEY
                )
            await anyio.sleep(2.0)
            await fault(scene)
            scene.recovered_s = scene.cluster.now_s + 4.0
            await anyio.sleep(8.0)
            callers.cancel_scope.cancel()

    return crash_scene.Simulation(service).run(scenario)


@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="divided by key"),
        pytest.param(instances.FREE_SERVICE, id="any server"),
    ],
)
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(_crash_last_runner_repeatedly, id="where it is"),
        pytest.param(_crash_all, id="all at once"),
        pytest.param(_crash_half, id="half at once"),
        pytest.param(_crash_in_turn, id="in turn"),
        pytest.param(_crash_during_restarts, id="beside restarts"),
        pytest.param(_crash_during_isolation, id="beside a cut"),
    ],
)
def test_a_popular_request_is_not_refused_for_running_during_crashes(
    service, fault
):
    scene = _simulate(service, fault)
    refused = [
        line for line in scene.cluster.lines if line.event == "poison_refused"
    ]
    assert refused == []
    assert scene.served_ratio(scene.recovered_s, popular(scene)) >= SERVED_LEAST
    assert not any(
        "ended while they ran it" in getattr(result.outcome, "reason", "")
        for result in scene.results
    )


# The same with hundreds of callers, none of which sends more than two requests.

POISON_GAP_S = 0.25


async def _add_poison_request(
    scene: crash_scene.Scene, name: str, key: int | None, for_s: float
) -> None:
    """Sends a poison request from many callers for a while."""
    target = f"/{scene.service}/deadly-{name}".encode()
    scene.cluster.fleet.poison_targets.add(target)
    with anyio.move_on_after(for_s):
        await scene.send_from_many_callers(target, POISON_GAP_S, key)


async def _lose_domains(scene: crash_scene.Scene) -> None:
    """Crashes the servers of one failure domain after the other."""
    for number in range(4):
        domain = clusters.name_domain(number % 2)
        for server in scene.cluster.fleet.servers.values():
            if server.domain == domain and server.service == scene.service:
                scene.cluster.fleet.crash(server)
        await anyio.sleep(6.0)


async def _poison_other_keys(scene: crash_scene.Scene) -> None:
    """Sends three poison requests in turn, for random keys of the service."""
    for number in range(3):
        await _add_poison_request(scene, f"any-{number}", None, 8.0)


async def _poison_same_key(scene: crash_scene.Scene) -> None:
    """Sends three poison requests in turn, for the popular request's key."""
    for number in range(3):
        await _add_poison_request(scene, f"here-{number}", POPULAR_KEY, 8.0)


async def _poison_frequently(scene: crash_scene.Scene) -> None:
    """Sends a poison request so often that no owner of the key can answer."""
    target = f"/{scene.service}/deadly-often".encode()
    scene.cluster.fleet.poison_targets.add(target)
    with anyio.move_on_after(8.0):
        await scene.send_from_many_callers(target, 0.01, POPULAR_KEY)


async def _poison_two_targets(scene: crash_scene.Scene) -> None:
    """Sends two poison requests at the same time."""
    async with anyio.create_task_group() as tasks:
        for name in ("one", "two"):
            tasks.start_soon(
                _add_poison_request, scene, name, POPULAR_KEY, 12.0
            )


async def _poison_while_domains_are_lost(scene: crash_scene.Scene) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            _add_poison_request, scene, "beside", POPULAR_KEY, 12.0
        )
        await _lose_domains(scene)


async def _owner_moves(scene: crash_scene.Scene) -> None:
    """Crashes owners whose successors are late to take over: no answers."""
    for server in scene.cluster.fleet.servers.values():
        server.takes_late = True
    for _ in range(4):
        await _crash_last_runner(scene)
        await anyio.sleep(4.0)
    for server in scene.cluster.fleet.servers.values():
        server.takes_late = False


async def _crash_last_runner(scene: crash_scene.Scene) -> None:
    """Crashes the server that last ran the popular request."""
    newest = [
        run.server
        for run in scene.cluster.fleet.runs
        if run.target == popular(scene)
    ][-1]
    _crash(scene, newest)


async def _fail_and_crash(scene: crash_scene.Scene) -> None:
    """Makes every answer to the popular request an error."""
    scene.cluster.fleet.failing.add(popular(scene))
    await _crash_last_runner_repeatedly(scene)


async def _fail_and_crash_in_turn(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.failing.add(popular(scene))
    await _crash_in_turn(scene)


async def _fail_with_poison(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.failing.add(popular(scene))
    await _poison_same_key(scene)


class Crowd(NamedTuple):
    """A popular request of hundreds of callers, and the fault injected."""

    fault: Fault
    # How long the popular request is answered before the fault.
    known_for_s: float = 2.0
    gap_s: float = 0.01


CROWDS = {
    "failure domains lost": Crowd(_lose_domains),
    "crashes where it is": Crowd(_crash_last_runner_repeatedly),
    "all crash at once": Crowd(_crash_all),
    "crashes in turn": Crowd(_crash_in_turn),
    "crashes beside restarts": Crowd(_crash_during_restarts),
    "crashes beside a cut": Crowd(_crash_during_isolation),
    "a deadly one elsewhere": Crowd(_poison_other_keys),
    "a deadly one at its key": Crowd(_poison_same_key),
    "a deadly one, both new": Crowd(_poison_same_key, known_for_s=0.0),
    "a deadly one often": Crowd(_poison_frequently),
    "two deadly ones": Crowd(_poison_two_targets),
    "a deadly one, domains lost": Crowd(_poison_while_domains_are_lost),
    "its owner moves": Crowd(_owner_moves),
    "only errors": Crowd(_fail_and_crash),
    "only errors, in turn": Crowd(_fail_and_crash_in_turn),
    "only errors, a deadly one": Crowd(_fail_with_poison),
    "asked for seldom, a deadly one": Crowd(_poison_same_key, gap_s=0.3),
}


def _simulate_crowd(service: str, crowd: Crowd) -> crash_scene.Scene:
    async def scenario(scene: crash_scene.Scene) -> None:
        async with anyio.create_task_group() as callers:
            callers.start_soon(
                scene.send_from_many_callers,
                popular(scene),
                crowd.gap_s,
                POPULAR_KEY,
            )
            await anyio.sleep(crowd.known_for_s)
            await crowd.fault(scene)
            scene.recovered_s = scene.cluster.now_s + RECOVERED_AFTER_S
            await anyio.sleep(8.0)
            callers.cancel_scope.cancel()

    return crash_scene.Simulation(service, server_domain_count=2).run(scenario)


@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="divided by key"),
        pytest.param(instances.FREE_SERVICE, id="any server"),
    ],
)
@pytest.mark.parametrize("crowd", CROWDS.values(), ids=CROWDS)
def test_a_target_of_many_callers_is_never_refused(service, crowd):
    scene = _simulate_crowd(service, crowd)
    refused = [
        result
        for result in scene.results
        if result.target == popular(scene)
        and "ended while they ran it" in getattr(result.outcome, "reason", "")
    ]
    assert refused == []
    assert scene.served_ratio(scene.recovered_s, popular(scene)) >= SERVED_LEAST
