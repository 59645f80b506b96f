"""A request that ends every server that runs it, at the first entrance.

As at the other entrance: it came again under another id, and its key had
another owner each time, since nothing was remembered but ids.
"""

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


async def _keep_calling(
    house: houses.House, told: list[outcomes.Outcome]
) -> None:
    """Sends the request again and again, through any of the instances."""
    rng = random.Random(1)
    number = 0
    while True:
        number += 1
        node = rng.choice(house.list_running())
        request = requests.Request(
            request_id=f"deadly-{number}",
            service=houses.SERVICE,
            key="deadly",
            caller="mufettis-demir",
            tier="inspector",
            method="PUT",
            target=TARGET,
            headers=(),
            body=b"",
            deadline_s=node.entry.now_s() + houses.DEADLINE_S,
            idempotency_key="",
        )
        told.append(await node.entry.handle(request))
        await anyio.sleep(0.25)


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
def test_a_request_that_ends_its_servers_ends_three_and_no_more(checks):
    loguru.logger.remove()
    environment = simpy.Environment()
    told: list[outcomes.Outcome] = []
    ends_s: list[float] = []
    runs_s: list[float] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            house = houses.House(environment, tasks, checks=checks)
            await house.start()
            for server in house.servers.values():
                server.deadly.add(TARGET)
            tasks.start_soon(_keep_calling, house, told)
            await anyio.sleep(40.0)
            for server in house.servers.values():
                ends_s.extend(server.ends_s)
                runs_s.extend(server.deadly_runs_s)
            assert house.list_violations() == []
            assert await house.is_served()
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)
    assert len(ends_s) == 3
    known_s = sorted(ends_s)[2] + KNOWN_WITHIN_S
    assert [run_s for run_s in runs_s if run_s > known_s] == []
    assert isinstance(told[-1], outcomes.NotRun)
