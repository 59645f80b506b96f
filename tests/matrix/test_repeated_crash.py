"""A request that ends every server that runs it, at the first entrance.

As at the other entrance: it came again under another id, and its key had
another owner each time, since nothing was remembered but ids; and it came from
many callers, each of whose requests was taken for another one.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio
import loguru
import pytest
import simpy

from bridgecross_core import outcomes
from bridgecross_emulator import virtual
from bridgecross_request import requests
from tests.matrix import house as houses

KNOWN_WITHIN_S = 0.3
TARGET = "/v1/rapor/deadly"
POPULAR = "/v1/rapor/popular"

Told = list[outcomes.Outcome]


def _name_one(number: int) -> str:
    return "mufettis-demir"


def _name_many(number: int) -> str:
    return f"mufettis-{number // 2}"


async def _keep_calling(
    house: houses.House,
    told: Told,
    name_caller: Callable[[int], str],
    target: str = TARGET,
    gap_s: float = 0.25,
) -> None:
    """Sends the request again and again, through any of the instances."""
    rng = random.Random(1)
    number = 0
    while True:
        number += 1
        node = rng.choice(house.list_running())
        request = requests.Request(
            request_id=f"{target}-{number}",
            service=houses.SERVICE,
            key="deadly",
            caller=name_caller(number),
            tier="inspector",
            method="PUT",
            target=target,
            headers=(),
            body=b"",
            deadline_s=node.entry.now_s() + houses.DEADLINE_S,
            idempotency_key="",
        )
        told.append(await node.entry.handle(request))
        await anyio.sleep(gap_s)


def _play(
    act: Callable[[houses.House], Awaitable[None]], *, checks: bool
) -> None:
    """Plays a house until an act is over."""
    loguru.logger.remove()
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            house = houses.House(environment, tasks, checks=checks)
            await house.start()
            await act(house)
            assert house.list_violations() == []
            assert await house.is_served()
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)


@pytest.mark.parametrize(
    "name_caller",
    [
        pytest.param(_name_one, id="one caller"),
        pytest.param(_name_many, id="many callers"),
    ],
)
@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
def test_a_request_that_ends_its_servers_ends_three_and_no_more(
    checks, name_caller
):
    told: Told = []
    ends_s: list[float] = []
    runs_s: list[float] = []

    async def act(house: houses.House) -> None:
        for server in house.servers.values():
            server.deadly.add(TARGET)
        with anyio.move_on_after(40.0):
            await _keep_calling(house, told, name_caller)
        for server in house.servers.values():
            ends_s.extend(server.ends_s)
            runs_s.extend(server.deadly_runs_s)

    _play(act, checks=checks)
    assert len(ends_s) == 3
    known_s = sorted(ends_s)[2] + KNOWN_WITHIN_S
    assert [run_s for run_s in runs_s if run_s > known_s] == []
    assert isinstance(told[-1], outcomes.NotRun)


async def _crash_all(house: houses.House) -> None:
    """Four times, at moments at which most servers have work."""
    for number in range(4):
        for server in house.servers.values():
            server.crash()
        await anyio.sleep(8.0 + 0.0031 * number)


@pytest.mark.parametrize("fails", [False, True], ids=["answered", "errors"])
def test_a_target_of_many_callers_is_never_refused(fails):
    told: Told = []

    async def act(house: houses.House) -> None:
        for server in house.servers.values():
            server.service_s = 0.05
            if fails:
                server.failing.add(POPULAR)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(
                    _keep_calling, house, told, _name_many, POPULAR, 0.005
                )
            await anyio.sleep(2.0)
            await _crash_all(house)
            tasks.cancel_scope.cancel()

    _play(act, checks=True)
    assert not any(
        "ended while they ran it" in getattr(each, "reason", "")
        for each in told
    )
    assert all(isinstance(each, outcomes.Answered) for each in told[-40:])
