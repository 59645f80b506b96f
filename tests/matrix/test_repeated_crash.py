"""Requests that crash every server that runs them, in ``bridgecross_daemon``.

As in ``bridgecross_entry``, the tests guard against two failures: a request was
not recognized when it came again under another id, and its key had another
owner each time, because only ids were recorded; and a request from many callers
was treated as a different request for each caller.
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
from tests.matrix import cluster as clusters

DETECTION_TIME_S = 0.3
TARGET = "/v1/rapor/deadly"
POPULAR = "/v1/rapor/popular"

Outcomes = list[outcomes.Outcome]


def _name_single_caller(number: int) -> str:
    return "mufettis-demir"


def _name_many_callers(number: int) -> str:
    return f"mufettis-{number // 2}"


async def _keep_calling(
    cluster: clusters.Cluster,
    received: Outcomes,
    name_caller: Callable[[int], str],
    target: str = TARGET,
    gap_s: float = 0.25,
) -> None:
    """Sends a request repeatedly through random instances until cancelled."""
    rng = random.Random(1)
    number = 0
    while True:
        number += 1
        node = rng.choice(cluster.list_ready())
        request = requests.Request(
            request_id=f"{target}-{number}",
            service=clusters.SERVICE,
            key="deadly",
            caller=name_caller(number),
            tier="inspector",
            method="PUT",
            target=target,
            headers=(),
            body=b"",
            deadline_s=node.entry.now_s() + clusters.DEADLINE_S,
            idempotency_key="",
        )
        received.append(await node.entry.handle(request))
        await anyio.sleep(gap_s)


def _simulate(
    act: Callable[[clusters.Cluster], Awaitable[None]], *, checks: bool
) -> None:
    """Simulates a cluster during an act and checks it afterwards."""
    loguru.logger.remove()
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(environment, tasks, checks=checks)
            await cluster.start()
            await act(cluster)
            assert cluster.list_violations() == []
            assert await cluster.is_served()
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)


@pytest.mark.parametrize(
    "name_caller",
    [
        pytest.param(_name_single_caller, id="one caller"),
        pytest.param(_name_many_callers, id="many callers"),
    ],
)
@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
def test_a_request_that_crashes_servers_crashes_only_three(checks, name_caller):
    received: Outcomes = []
    crash_times_s: list[float] = []
    run_times_s: list[float] = []

    async def act(cluster: clusters.Cluster) -> None:
        for server in cluster.servers.values():
            server.deadly.add(TARGET)
        with anyio.move_on_after(40.0):
            await _keep_calling(cluster, received, name_caller)
        for server in cluster.servers.values():
            crash_times_s.extend(server.crash_times_s)
            run_times_s.extend(server.deadly_run_times_s)

    _simulate(act, checks=checks)
    assert len(crash_times_s) == 3
    detected_s = sorted(crash_times_s)[2] + DETECTION_TIME_S
    assert [run_s for run_s in run_times_s if run_s > detected_s] == []
    assert isinstance(received[-1], outcomes.NotRun)


async def _crash_all(cluster: clusters.Cluster) -> None:
    """Crashes all servers four times, while most have requests."""
    for number in range(4):
        for server in cluster.servers.values():
            server.crash()
        await anyio.sleep(8.0 + 0.0031 * number)


@pytest.mark.parametrize("fails", [False, True], ids=["answered", "errors"])
def test_a_target_of_many_callers_is_never_refused(fails):
    received: Outcomes = []

    async def act(cluster: clusters.Cluster) -> None:
        for server in cluster.servers.values():
            server.service_s = 0.05
            if fails:
                server.failing.add(POPULAR)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(
                    _keep_calling,
                    cluster,
                    received,
                    _name_many_callers,
                    POPULAR,
                    0.005,
                )
            await anyio.sleep(2.0)
            await _crash_all(cluster)
            tasks.cancel_scope.cancel()

    _simulate(act, checks=True)
    assert not any(
        "ended while they ran it" in getattr(outcome, "reason", "")
        for outcome in received
    )
    assert all(
        isinstance(outcome, outcomes.Answered) for outcome in received[-40:]
    )
