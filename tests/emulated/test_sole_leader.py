"""Leaders that consider themselves alone while the list of instances grows."""

import anyio
import pytest
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual

_SETTLE_S = 6.0
_WATCHED_S = 12.0
_CHECK_INTERVAL_S = 0.05


def _names_alone(cluster) -> list[str]:
    """Returns the instances that consider themselves alone."""
    return [
        each.settings.name
        for each in cluster.instances
        if each.parts.cluster_tasks._leadership.sole_term is not None
    ]


def _part(cluster, staying) -> None:
    """Cuts some instances off from the log and from all others."""
    for each in staying:
        each.log_client.cut()
        for other in cluster.instances:
            if other not in staying:
                own = each.settings.peer_address
                address = other.settings.peer_address
                cluster.network.cut(own, address)
                cluster.network.cut(address, own)


def _find_two_alone(staying_count, all_count, joining_count) -> list[str]:
    """Parts a leader with some followers from instances that join."""
    environment = simpy.Environment()

    async def main() -> list[str]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(all_count)
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(_SETTLE_S)
            followers = cluster.others()[: staying_count - 1]
            staying = [cluster.leader, *followers]
            joining = [
                cluster._make(all_count + n) for n in range(joining_count)
            ]
            cluster.instances += joining
            _part(cluster, staying)
            for each in joining:
                tasks.start_soon(each.run)
            found: list[str] = []
            while len(found) < 2 and cluster.now_s < _SETTLE_S + _WATCHED_S:
                found = _names_alone(cluster)
                await anyio.sleep(_CHECK_INTERVAL_S)
            cluster.stop()
        return found if len(found) > 1 else []

    return virtual.run(environment, main)


# Guards against majorities of an old and of a longer list that do not meet.
@pytest.mark.parametrize(
    ("staying_count", "all_count", "joining_count"),
    [(2, 3, 2), (3, 5, 2), (3, 3, 4)],
)
def test_two_leaders_are_never_alone_while_instances_join(
    staying_count, all_count, joining_count
):
    assert _find_two_alone(staying_count, all_count, joining_count) == []
