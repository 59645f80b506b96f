"""Requests that were merely at work where servers ended are served as before.

A popular request is always at work somewhere. When servers end for reasons of
their own, it is among what was at work there each time, just as a request that
ends servers would be. It is told from that by its answers.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from bridgecross_emulator import instances
from tests.emulated import crash_scene

SERVED_LEAST = 0.95
"""What bystanders are to be served of, once the servers are back."""

POPULAR_KEY = 26_851


async def _crash_where_it_is(scene: crash_scene.Scene) -> None:
    """Six times, the server that has run the popular request last."""
    for _ in range(6):
        newest = [
            run.server
            for run in scene.house.fleet.runs
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
    house = scene.house
    for number, name in enumerate(_names(scene)):
        killed = house.instances[number % len(house.instances)]
        killed.kill()
        _crash(scene, name)
        await anyio.sleep(1.0)
        house.restart(killed)
        await anyio.sleep(2.0)


async def _crash_beside_a_cut(scene: crash_scene.Scene) -> None:
    """Who is cut off hears of ends and answers only afterwards."""
    house = scene.house
    house.isolate(house.others()[0])
    for name in _names(scene)[:4]:
        _crash(scene, name)
        await anyio.sleep(1.5)
    house.network.heal()


def popular(scene: crash_scene.Scene) -> bytes:
    """Returns what the popular request asks for."""
    return f"/{scene.service}/popular".encode()


def _names(scene: crash_scene.Scene) -> list[str]:
    fleet = scene.house.fleet
    return [
        s.name for s in fleet.servers.values() if s.service == scene.service
    ]


def _crash(scene: crash_scene.Scene, name: str) -> None:
    fleet = scene.house.fleet
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
            scene.calm_s = scene.house.now_s + 4.0
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
        line for line in scene.house.lines if line.event == "poison_refused"
    ]
    assert refused == []
    assert scene.served_ratio(scene.calm_s, popular(scene)) >= SERVED_LEAST
    assert not any(
        "ended while they ran it" in getattr(told.outcome, "reason", "")
        for told in scene.told
    )
