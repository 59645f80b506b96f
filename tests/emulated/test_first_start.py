"""The load on the log when the whole system starts for the first time.

All instances start within a second, no instance leads, and each has to read the
servers, the configuration, the key maps and the other instances. Calls to the
log cost money, and their rate is limited for all instances together; callers
arrive ten seconds later. Twenty instances represent hundreds, because each of
them behaves the same.
"""

import anyio
import pytest
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual

_COUNT = 20
_READY_WITHIN_S = 4.0


def _simulate(*, is_first_start: bool, trouble=None) -> tuple[float, float]:
    """Returns the log calls per instance, and when all were ready, in s."""
    environment = simpy.Environment()

    async def main() -> tuple[float, float]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(
                _COUNT, server_count=6, is_first_start=is_first_start
            )
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(settle_s=0.0)
            if trouble is not None:
                tasks.start_soon(trouble, cluster)
            ready_s = float("inf")
            for _ in range(80):
                await anyio.sleep(0.1)
                complete = [
                    i.parts.cluster_state.is_complete for i in cluster.instances
                ]
                if all(complete):
                    ready_s = min(ready_s, cluster.now_s)
            calls = sum(
                each.log_client.call_count for each in cluster.instances
            )
            cluster.stop()
        return calls / _COUNT, ready_s

    return virtual.run(environment, main)


async def _lose_the_log(cluster: clusters.Cluster) -> None:
    cluster.log.is_unavailable = True
    await anyio.sleep(2.0)
    cluster.log.is_unavailable = False


async def _kill_the_leader(cluster: clusters.Cluster) -> None:
    while not [line for line in cluster.lines if line.event == "leads"]:
        await anyio.sleep(0.01)
    leader = cluster.leader
    leader.kill()
    await anyio.sleep(1.0)
    cluster.restart(leader)


def test_most_first_reads_are_left_to_the_leader():
    calls, ready_s = _simulate(is_first_start=True)
    calls_alone, _ = _simulate(is_first_start=False)
    assert calls < calls_alone - 2.5
    assert ready_s < _READY_WITHIN_S


@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param(_lose_the_log, id="the log is away"),
        pytest.param(_kill_the_leader, id="the first leader ends at once"),
    ],
)
def test_all_are_ready_long_before_callers_come(trouble):
    _, ready_s = _simulate(is_first_start=True, trouble=trouble)
    assert ready_s < 7.0
