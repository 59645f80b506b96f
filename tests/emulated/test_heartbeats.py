"""The interval between two heartbeats of a leader that is well."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import math
from unittest import mock

import anyio
import pytest
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual
from bridgecross_entry import peers

LONGEST_ROUND_S = 0.61
"""The timeout of a call with the longest message, and the loop's iterations."""


class Arrivals:
    """Records when messages of the leader arrive at one follower."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.follower = cluster.others()[0]
        self.leader = cluster.leader.settings.name
        # When messages arrived, and the time from which they are recorded.
        self.at_s = [cluster.now_s]
        # Longer messages are not answered.
        self.longest_bytes = math.inf
        # The path of messages that are not answered.
        self.ignored_path = b""
        self._cluster = cluster
        receiver = self.follower.settings.peer_address
        process = cluster.network.find(receiver)

        async def answer(path, body):
            if path == self.ignored_path or len(body) > self.longest_bytes:
                await anyio.sleep_forever()
            if path == b"/relay":
                self.at_s.append(cluster.now_s)
            return await process.answer(path, body)

        cluster.network.listen(receiver, answer, process.context)

    def longest_s(self) -> float:
        """Returns the longest time without a message."""
        ends_s = [*self.at_s, self._cluster.now_s]
        return max(b - a for a, b in itertools.pairwise(ends_s))


_encode_relay = peers.encode_relay


def _pad(relay: peers.Relay) -> bytes:
    """Returns a long encoding, which need not be read."""
    return _encode_relay(relay) + bytes(10_000)


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


# Guards against a pause after one lost heartbeat that outlasts a follower.
@pytest.mark.parametrize("cut_s", [0.2, 0.45, 0.6])
@pytest.mark.parametrize("moment_s", [0.1 * number for number in range(8)])
def test_a_short_cut_delays_heartbeats_by_its_own_length(cut_s, moment_s):
    async def act(cluster, arrivals):
        link = [
            each.settings.peer_address
            for each in (cluster.leader, arrivals.follower)
        ]
        await anyio.sleep(moment_s)
        cluster.network.cut(*link)
        await anyio.sleep(cut_s)
        cluster.network.undo_cut(*link)
        await anyio.sleep(5.0)
        leaders.append(cluster.leader.settings.name)

    leaders: list[str] = []
    arrivals = _simulate(act)
    assert leaders == [arrivals.leader]
    assert arrivals.longest_s() <= 0.41 + cut_s


# Guards against other calls that fail and hold the heartbeats back.
def test_a_failed_call_of_another_kind_delays_no_heartbeat():
    async def act(cluster, arrivals):
        arrivals.ignored_path = b"/map"
        client = cluster.leader.parts.cluster_tasks._peer_client
        address = arrivals.follower.settings.peer_address
        await client.push_map(address, b"")
        await anyio.sleep(3.0)

    assert _simulate(act).longest_s() <= LONGEST_ROUND_S


# Guards against a message too long for a link that holds the heartbeats back.
def test_a_failed_catch_up_delays_no_heartbeat():
    async def act(cluster, arrivals):
        arrivals.longest_bytes = 4_000
        leading = cluster.leader.parts.cluster_tasks
        address = arrivals.follower.settings.peer_address
        with mock.patch.object(peers, "encode_relay", _pad):
            cluster.run_in_background(
                leading._relayer._catch_up, address, leading._leadership.claim
            )
            await anyio.sleep(0.0)
        await anyio.sleep(3.0)

    assert _simulate(act).longest_s() <= LONGEST_ROUND_S
