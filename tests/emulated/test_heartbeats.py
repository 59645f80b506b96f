"""The interval between two heartbeats of a leader that is well."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools

import anyio
import pytest
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual

LONGEST_ROUND_S = 0.61
"""The timeout of a call with the longest message, and the loop's iterations."""


class Arrivals:
    """Records when messages of the leader arrive at one follower."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.follower = cluster.others()[0]
        self.at_s: list[float] = []
        self._cluster = cluster
        receiver = self.follower.settings.peer_address
        process = cluster.network.find(receiver)

        async def answer(path, body):
            if path == b"/relay":
                self.at_s.append(cluster.now_s)
            return await process.answer(path, body)

        cluster.network.listen(receiver, answer, process.context)

    def longest_s(self) -> float:
        """Returns the longest time without a message."""
        ends_s = [*self.at_s, self._cluster.now_s]
        return max(b - a for a, b in itertools.pairwise(ends_s))


Act = Callable[[clusters.Cluster, Arrivals], Awaitable[None]]


def _simulate(act: Act, *, instance_count: int = 5, seed: int = 1) -> Arrivals:
    environment = simpy.Environment()

    async def main() -> Arrivals:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(
                clusters.ClusterSettings(
                    instance_count=instance_count, seed=seed
                ),
                environment,
                tasks,
            )
            await cluster.start(6.0)
            arrivals = Arrivals(cluster)
            await act(cluster, arrivals)
            cluster.stop()
        return arrivals

    return virtual.run(environment, main)


async def _nothing(cluster, arrivals):
    await anyio.sleep(5.0)


async def _hang_log_and_stop_instances(cluster, arrivals):
    cluster.leader.log_client.cut()
    await _stop_instances(cluster, arrivals)


async def _stop_instances(cluster, arrivals):
    # They stop one after the other, so that their calls end at other times.
    for each in cluster.others()[1 : 1 + len(cluster.instances) // 3]:
        cluster.pause(each)
        await anyio.sleep(0.1)
    await anyio.sleep(6.0)


# Guards against heartbeats to all that wait for one silent instance.
@pytest.mark.parametrize(
    ("act", "instance_count"),
    [
        (_nothing, 5),
        (_nothing, 74),
        (_stop_instances, 5),
        (_stop_instances, 74),
        (_hang_log_and_stop_instances, 5),
        (_hang_log_and_stop_instances, 195),
    ],
)
def test_silent_instances_delay_no_heartbeats_to_others(act, instance_count):
    arrivals = _simulate(act, instance_count=instance_count)
    assert arrivals.longest_s() <= LONGEST_ROUND_S
