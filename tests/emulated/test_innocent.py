"""Requests that were merely at work where servers ended are served as before.

A popular request is always at work somewhere. When servers end for reasons of
their own, it is among what was at work there each time, just as a request that
ends servers would be. It is told from that by its answers.
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
"""What bystanders are to be served of, once the servers are back."""

CALM_AFTER_S = 5.0
"""After the last harm: a lease runs 2.7 s on from the last order of an earlier
leader, who may order for 2 s after the next one is known."""

POPULAR_KEY = 26_851


async def _crash_where_it_is(scene: crash_scene.Scene) -> None:
    """Six times, the server that has run the popular request last."""
    for _ in range(6):
        newest = [
            run.server
            for run in scene.cluster.fleet.runs
            if run.target == popular(scene)
        ][-1]
        _crash(scene, newest)
        await anyio.sleep(4.0)


async def _crash_all(scene: crash_scene.Scene) -> None:
    """All servers of the service at the same moment, twice."""
    for _ in range(2):
        for name in _names(scene):
            _crash(scene, name)
        await anyio.sleep(10.0)


async def _crash_half(scene: crash_scene.Scene) -> None:
    """A failure domain, three times."""
    for _ in range(3):
        for name in _names(scene)[::2]:
            _crash(scene, name)
        await anyio.sleep(8.0)


async def _crash_in_turn(scene: crash_scene.Scene) -> None:
    """Each server once, as in a release that goes wrong."""
    for name in _names(scene):
        _crash(scene, name)
        await anyio.sleep(1.5)


async def _crash_beside_restarts(scene: crash_scene.Scene) -> None:
    """Instances that start anew have seen none of its answers."""
    cluster = scene.cluster
    for number, name in enumerate(_names(scene)):
        killed = cluster.instances[number % len(cluster.instances)]
        killed.kill()
        _crash(scene, name)
        await anyio.sleep(1.0)
        cluster.restart(killed)
        await anyio.sleep(2.0)


async def _crash_beside_a_cut(scene: crash_scene.Scene) -> None:
    """Who is cut off hears of ends and answers only afterwards."""
    cluster = scene.cluster
    cluster.isolate(cluster.others()[0])
    for name in _names(scene)[:4]:
        _crash(scene, name)
        await anyio.sleep(1.5)
    cluster.network.heal()


def popular(scene: crash_scene.Scene) -> bytes:
    """Returns what the popular request asks for."""
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


Harm = Callable[[crash_scene.Scene], Awaitable[None]]


def _play(service: str, harm: Harm) -> crash_scene.Scene:
    async def act(scene: crash_scene.Scene) -> None:
        async with anyio.create_task_group() as callers:
            # Enough of them that several are at work at every moment.
            for _ in range(8):
                callers.start_soon(
                    scene.keep_calling, popular(scene), 0.02, POPULAR_KEY
                )
            await anyio.sleep(2.0)
            await harm(scene)
            scene.calm_s = scene.cluster.now_s + 4.0
            await anyio.sleep(8.0)
            callers.cancel_scope.cancel()

    return crash_scene.Play(service).run(act)


@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="divided by key"),
        pytest.param(instances.FREE_SERVICE, id="any server"),
    ],
)
@pytest.mark.parametrize(
    "harm",
    [
        pytest.param(_crash_where_it_is, id="where it is"),
        pytest.param(_crash_all, id="all at once"),
        pytest.param(_crash_half, id="half at once"),
        pytest.param(_crash_in_turn, id="in turn"),
        pytest.param(_crash_beside_restarts, id="beside restarts"),
        pytest.param(_crash_beside_a_cut, id="beside a cut"),
    ],
)
def test_a_popular_request_is_never_refused_for_being_at_work(service, harm):
    scene = _play(service, harm)
    refused = [
        line for line in scene.cluster.lines if line.event == "poison_refused"
    ]
    assert refused == []
    assert scene.served_ratio(scene.calm_s, popular(scene)) >= SERVED_LEAST
    assert not any(
        "ended while they ran it" in getattr(told.outcome, "reason", "")
        for told in scene.told
    )


# The same with hundreds of callers, of which none comes more than twice.

DEADLY_GAP_S = 0.25


async def _add_poison_request(
    scene: crash_scene.Scene, name: str, key: int | None, for_s: float
) -> None:
    """Lets callers ask for a request that ends servers."""
    target = f"/{scene.service}/deadly-{name}".encode()
    scene.cluster.fleet.poison_targets.add(target)
    with anyio.move_on_after(for_s):
        await scene.ask_from_everywhere(target, DEADLY_GAP_S, key)


async def _lose_domains(scene: crash_scene.Scene) -> None:
    """One failure domain after the other."""
    for number in range(4):
        domain = clusters.name_domain(number % 2)
        for server in scene.cluster.fleet.servers.values():
            if server.domain == domain and server.service == scene.service:
                scene.cluster.fleet.crash(server)
        await anyio.sleep(6.0)


async def _deadly_elsewhere(scene: crash_scene.Scene) -> None:
    """One for other keys of the same service, and then others."""
    for number in range(3):
        await _add_poison_request(scene, f"any-{number}", None, 8.0)


async def _deadly_at_its_key(scene: crash_scene.Scene) -> None:
    """One that is at work wherever the popular one is, and then others."""
    for number in range(3):
        await _add_poison_request(scene, f"here-{number}", POPULAR_KEY, 8.0)


async def _deadly_often(scene: crash_scene.Scene) -> None:
    """One that comes so often that no owner of the key lives to answer."""
    target = f"/{scene.service}/deadly-often".encode()
    scene.cluster.fleet.poison_targets.add(target)
    with anyio.move_on_after(8.0):
        await scene.ask_from_everywhere(target, 0.01, POPULAR_KEY)


async def _deadly_twins(scene: crash_scene.Scene) -> None:
    """Two at the same time."""
    async with anyio.create_task_group() as tasks:
        for name in ("one", "two"):
            tasks.start_soon(
                _add_poison_request, scene, name, POPULAR_KEY, 12.0
            )


async def _deadly_while_domains_are_lost(scene: crash_scene.Scene) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            _add_poison_request, scene, "beside", POPULAR_KEY, 12.0
        )
        await _lose_domains(scene)


async def _owner_moves(scene: crash_scene.Scene) -> None:
    """No answer comes for seconds, each time that its owner ends."""
    for server in scene.cluster.fleet.servers.values():
        server.takes_late = True
    for _ in range(4):
        await _crash_where_it_is_now(scene)
        await anyio.sleep(4.0)
    for server in scene.cluster.fleet.servers.values():
        server.takes_late = False


async def _crash_where_it_is_now(scene: crash_scene.Scene) -> None:
    """The server that has run the popular request last."""
    newest = [
        run.server
        for run in scene.cluster.fleet.runs
        if run.target == popular(scene)
    ][-1]
    _crash(scene, newest)


async def _fail_and_crash(scene: crash_scene.Scene) -> None:
    """All its answers are errors."""
    scene.cluster.fleet.failing.add(popular(scene))
    await _crash_where_it_is(scene)


async def _fail_and_crash_in_turn(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.failing.add(popular(scene))
    await _crash_in_turn(scene)


async def _fail_beside_deadly(scene: crash_scene.Scene) -> None:
    scene.cluster.fleet.failing.add(popular(scene))
    await _deadly_at_its_key(scene)


class Crowd(NamedTuple):
    """How hundreds of callers ask for the same, and what happens."""

    harm: Harm
    # The popular request has been answered for so long before it begins.
    known_for_s: float = 2.0
    gap_s: float = 0.01


CROWDS = {
    "failure domains lost": Crowd(_lose_domains),
    "crashes where it is": Crowd(_crash_where_it_is),
    "all crash at once": Crowd(_crash_all),
    "crashes in turn": Crowd(_crash_in_turn),
    "crashes beside restarts": Crowd(_crash_beside_restarts),
    "crashes beside a cut": Crowd(_crash_beside_a_cut),
    "a deadly one elsewhere": Crowd(_deadly_elsewhere),
    "a deadly one at its key": Crowd(_deadly_at_its_key),
    "a deadly one, both new": Crowd(_deadly_at_its_key, known_for_s=0.0),
    "a deadly one often": Crowd(_deadly_often),
    "two deadly ones": Crowd(_deadly_twins),
    "a deadly one, domains lost": Crowd(_deadly_while_domains_are_lost),
    "its owner moves": Crowd(_owner_moves),
    "only errors": Crowd(_fail_and_crash),
    "only errors, in turn": Crowd(_fail_and_crash_in_turn),
    "only errors, a deadly one": Crowd(_fail_beside_deadly),
    "asked for seldom, a deadly one": Crowd(_deadly_at_its_key, gap_s=0.3),
}


def _play_crowd(service: str, crowd: Crowd) -> crash_scene.Scene:
    async def act(scene: crash_scene.Scene) -> None:
        async with anyio.create_task_group() as callers:
            callers.start_soon(
                scene.ask_from_everywhere,
                popular(scene),
                crowd.gap_s,
                POPULAR_KEY,
            )
            await anyio.sleep(crowd.known_for_s)
            await crowd.harm(scene)
            scene.calm_s = scene.cluster.now_s + CALM_AFTER_S
            await anyio.sleep(8.0)
            callers.cancel_scope.cancel()

    return crash_scene.Play(service, server_domain_count=2).run(act)


@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="divided by key"),
        pytest.param(instances.FREE_SERVICE, id="any server"),
    ],
)
@pytest.mark.parametrize("crowd", CROWDS.values(), ids=CROWDS)
def test_a_target_of_many_callers_is_never_refused(service, crowd):
    scene = _play_crowd(service, crowd)
    refused = [
        told
        for told in scene.told
        if told.target == popular(scene)
        and "ended while they ran it" in getattr(told.outcome, "reason", "")
    ]
    assert refused == []
    assert scene.served_ratio(scene.calm_s, popular(scene)) >= SERVED_LEAST
