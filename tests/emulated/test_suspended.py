"""A machine that is suspended: its steady clock and timers miss that time.

What was feared: after a suspension an instance takes all that it knows to be as
young as it was before. It still leads, gives orders under a claim that others
have replaced, calls old knowledge fresh, and lets callers wait on.

The cause: the steady clock of a Linux machine stands still while the machine is
suspended, and so do the timers of the event loop; a process that is only
stopped shows nothing of this, since both go on then.

What proved it: the tests below, whose hosts have such clocks and timers.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import servers
from bridgecross_emulator import virtual
from bridgecross_entry import attempts

SUSPENDED_S = 5.0
LEAD_LASTS_S = 1.5
"""For so long at most an instance may give orders after it was confirmed."""

TOLD_WITHIN_S = 0.3
"""After it wakes, whose time is over."""


def _play(
    act: Callable[[clusters.Cluster], Awaitable[None]], **settings: int
) -> None:
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(
                clusters.ClusterSettings(**settings), environment, tasks
            )
            await cluster.start(8.0)
            await act(cluster)
            cluster.stop()

    virtual.run(environment, main)


async def _orders_after_waking(cluster: clusters.Cluster) -> list[float]:
    """Returns when a leader gave orders after it was suspended.

    It is cut off from all that could tell it of its successor.
    """
    leader = cluster.leader
    cluster.isolate(leader)
    leader.log_client.cut()
    await cluster.suspend(leader, SUSPENDED_S)
    woken_s = cluster.now_s
    orders_s = []
    while cluster.now_s < woken_s + 2 * LEAD_LASTS_S:
        if leader.parts.cluster_tasks.may_order:
            orders_s.append(round(cluster.now_s - woken_s, 2))
        await anyio.sleep(0.01)
    return orders_s


def test_what_is_known_is_as_old_as_it_is():
    orders_s = []
    ages_s = []

    async def act(cluster: clusters.Cluster) -> None:
        orders_s.extend(await _orders_after_waking(cluster))
        follower = cluster.others()[0]
        follower.log_client.cut()
        cluster.isolate(follower)
        await cluster.suspend(follower, SUSPENDED_S)
        ages_s.append(follower.parts.cluster_state.configuration_age_s)

    _play(act, server_count=3)
    assert orders_s == []
    assert ages_s[0] >= SUSPENDED_S


def test_a_caller_whose_time_is_over_is_told_so():
    told_s = []

    async def act(cluster: clusters.Cluster) -> None:
        # No server answers in time.
        cluster.fleet.settings = servers.ServerSettings(work_s=10.0)
        instance = cluster.others()[0]
        request = attempts.EntryRequest(
            request_id="id",
            method=b"GET",
            target=b"/bulgu/x",
            path="/bulgu/x",
            host=instances.HOST,
            headers=(),
            body=b"",
            key=1,
            received_s=instance.parts.clock.monotonic_s(),
            caller_timeout_ms=500.0,
        )

        async def call() -> None:
            virtual.enter_host(instance.host)
            await instance.request(request)
            told_s.append(cluster.now_s)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.05)
            await cluster.suspend(instance, SUSPENDED_S)
            woken_s = cluster.now_s
            await anyio.sleep(1.0)
        assert told_s[0] - woken_s < TOLD_WITHIN_S

    _play(act, free_server_count=2)
