"""The part of the retries of all instances that each may use."""

import math

import anyio
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual

COUNT = 5


# Guards against restarted instances that each take the whole slack of all.
def test_an_instance_uses_its_slack_once_it_knows_the_others():
    environment = simpy.Environment()

    async def main() -> list[float]:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(
                clusters.ClusterSettings(instance_count=COUNT),
                environment,
                tasks,
            )
            await cluster.start()
            counts = [_count(cluster)]
            cluster.instances[0].kill()
            cluster.restart(cluster.instances[0])
            counts.append(_count(cluster))
            await anyio.sleep(3.0)
            counts.append(_count(cluster))
            cluster.stop()
        return counts

    assert virtual.run(environment, main) == [COUNT, math.inf, COUNT]


def _count(cluster):
    """Returns among how many instances the first one divides the slack."""
    return cluster.instances[0].parts.dispatcher.count_instances()
