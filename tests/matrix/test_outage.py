"""Failures during an outage of the log: keys stay served by one owner each."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import loguru
import pytest
import simpy

from bridgecross_emulator import virtual
from tests.matrix import cluster as clusters

_SERVED_TIMEOUT_S = 10.0
Scenario = Callable[[clusters.Cluster], Awaitable[None]]


async def _await_served(cluster: clusters.Cluster) -> None:
    with anyio.fail_after(_SERVED_TIMEOUT_S):
        while not await cluster.is_served():
            await anyio.sleep(0.2)


async def _lose_server(cluster: clusters.Cluster) -> None:
    cluster.servers["rapor-1"].lost = True
    await _await_served(cluster)


async def _freeze_server(cluster: clusters.Cluster) -> None:
    cluster.servers["rapor-1"].frozen = True
    await _await_served(cluster)
    cluster.servers["rapor-1"].frozen = False
    await anyio.sleep(5.0)
    await _await_served(cluster)


async def _cut_queue_owner_from_server(cluster: clusters.Cluster) -> None:
    link = cluster.find_queue_owner("rapor-1").link
    link.unreachable = {"rapor-1"}
    await _await_served(cluster)
    link.unreachable = set()
    await anyio.sleep(3.0)


async def _freeze_server_then_lose_its_queue_owner(
    cluster: clusters.Cluster,
) -> None:
    queue_owner = cluster.find_queue_owner("rapor-1")
    cluster.servers["rapor-1"].frozen = True
    await _await_served(cluster)
    queue_owner.link.lost = True
    cluster.servers["rapor-1"].frozen = False
    await anyio.sleep(5.0)


async def _freeze_server_then_pause_its_queue_owner(
    cluster: clusters.Cluster,
) -> None:
    queue_owner = cluster.find_queue_owner("rapor-1")
    cluster.servers["rapor-1"].frozen = True
    await _await_served(cluster)
    queue_owner.link.paused = True
    cluster.servers["rapor-1"].frozen = False
    cluster.log.outage = False
    await anyio.sleep(8.0)
    queue_owner.link.paused = False


async def _lose_server_then_freeze_its_backup(
    cluster: clusters.Cluster,
) -> None:
    cell = cluster.replay_log().find_cell(clusters.SERVICE)
    backup = next(
        f.backup for s, f in cell.queue_owners.items() if s == "rapor-1"
    )
    cluster.servers["rapor-1"].lost = True
    await _await_served(cluster)
    cluster.servers[backup].frozen = True
    await anyio.sleep(5.0)
    cluster.log.outage = False
    await anyio.sleep(5.0)
    cluster.servers[backup].frozen = False


async def _isolate_queue_owner_of_backup_as_the_log_returns(
    cluster: clusters.Cluster,
) -> None:
    cell = cluster.replay_log().find_cell(clusters.SERVICE)
    backup = next(
        f.backup for s, f in cell.queue_owners.items() if s == "rapor-1"
    )
    queue_owner = cluster.find_queue_owner(backup)
    cluster.servers["rapor-1"].frozen = True
    await _await_served(cluster)
    queue_owner.link.log = False
    queue_owner.link.peers = False
    cluster.servers["rapor-1"].frozen = False
    cluster.log.outage = False
    await anyio.sleep(8.0)
    queue_owner.link.log = True
    queue_owner.link.peers = True


async def _lose_queue_owner(cluster: clusters.Cluster) -> None:
    cluster.find_queue_owner("rapor-1").link.lost = True
    await anyio.sleep(5.0)


async def _start_instance(cluster: clusters.Cluster) -> None:
    node = cluster.add_node("entry-5")
    with anyio.fail_after(_SERVED_TIMEOUT_S):
        while node.entry.describe().not_ready:
            await anyio.sleep(0.2)
    await _await_served(cluster)


async def _wait_five_minutes(cluster: clusters.Cluster) -> None:
    await anyio.sleep(300.0)
    await _await_served(cluster)


SCENARIOS: dict[str, Scenario] = {
    "five minutes": _wait_five_minutes,
    "server lost": _lose_server,
    "server frozen and back": _freeze_server,
    "front cut from its server": _cut_queue_owner_from_server,
    "server lost, then its front": _freeze_server_then_lose_its_queue_owner,
    "server lost, its front paused": _freeze_server_then_pause_its_queue_owner,
    "server lost, then its backup": _lose_server_then_freeze_its_backup,
    "backup's front cut off": _isolate_queue_owner_of_backup_as_the_log_returns,
    "front lost": _lose_queue_owner,
    "instance started": _start_instance,
}


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_outage(scenario, checks):
    loguru.logger.remove()
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(environment, tasks, checks=checks)
            await cluster.start()
            await anyio.sleep(2.0)
            cluster.log.outage = True
            await anyio.sleep(3.0)
            await SCENARIOS[scenario](cluster)
            cluster.log.outage = False
            with anyio.move_on_after(60):
                while not await cluster.is_served():
                    await anyio.sleep(0.5)
            await anyio.sleep(3.0)
            assert await cluster.is_served()
            assert cluster.list_violations() == []
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)
