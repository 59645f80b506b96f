"""The log is unreachable for single instances, but not for the others."""

import anyio
import loguru
import pytest
import simpy

from bridgecross_emulator import virtual
from tests.matrix import cluster as clusters

# The users' limit for the time from the publication of a version until it is
# in force.
_IN_FORCE_TIMEOUT_S = 4.0


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
def test_an_instance_that_owns_no_queue_follows_the_settings(checks):
    loguru.logger.remove()
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(environment, tasks, checks=checks)
            await cluster.start()
            await anyio.sleep(2.0)
            queue_owners = {
                cluster.find_queue_owner(s).link.name for s in cluster.servers
            }
            idle = [
                n
                for n in cluster.nodes.values()
                if n.link.name not in queue_owners
            ]
            assert idle, "there are more instances than servers"
            for node in idle:
                node.link.log = False
            await anyio.sleep(5.0)
            version = await cluster.publish(cluster.published[-1], slots=5)
            await anyio.sleep(_IN_FORCE_TIMEOUT_S)
            in_force = {n.link.name: n.state.settings.offset for n in idle}
            assert in_force == dict.fromkeys(in_force, version)
            assert await cluster.is_served()
            assert cluster.list_violations() == []
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)
