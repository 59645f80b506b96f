"""Suspended machines, whose monotonic clock and timers miss that time.

Guards against an instance that treats its state after a suspension as if no
time had passed: it would still lead, give orders under a claim that others have
replaced, use stale data as fresh, and let callers wait. On Linux the monotonic
clock stops while the machine is suspended, and so do the timers of the event
loop. A stopped process does not show this, since both continue then. The hosts
in these tests have such clocks and timers.
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
LEADERSHIP_S = 1.5
"""How long at most an instance may give orders after its confirmation."""

ANSWERED_WITHIN_S = 0.3
"""How soon after the resume a caller past its deadline must be answered."""


def _simulate(
    scenario: Callable[[clusters.Cluster], Awaitable[None]], **settings: int
) -> None:
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(
                clusters.ClusterSettings(**settings), environment, tasks
            )
            await cluster.start(8.0)
            await scenario(cluster)
            cluster.stop()

    virtual.run(environment, main)


async def _list_orders_after_resume(cluster: clusters.Cluster) -> list[float]:
    """Returns the times at which a leader gave orders after its suspension.

    The leader is isolated, so that it cannot learn of its successor.
    """
    leader = cluster.leader
    cluster.isolate(leader)
    leader.log_client.cut()
    await cluster.suspend(leader, SUSPENDED_S)
    resumed_s = cluster.now_s
    orders_s = []
    while cluster.now_s < resumed_s + 2 * LEADERSHIP_S:
        if leader.parts.cluster_tasks.may_order:
            orders_s.append(round(cluster.now_s - resumed_s, 2))
        await anyio.sleep(0.01)
    return orders_s


def test_a_suspension_counts_towards_the_age_of_state():
    orders_s = []
    ages_s = []

    async def scenario(cluster: clusters.Cluster) -> None:
        orders_s.extend(await _list_orders_after_resume(cluster))
        follower = cluster.others()[0]
        follower.log_client.cut()
        cluster.isolate(follower)
        await cluster.suspend(follower, SUSPENDED_S)
        ages_s.append(follower.parts.cluster_state.configuration_age_s)

    _simulate(scenario, server_count=3)
    assert orders_s == []
    assert ages_s[0] >= SUSPENDED_S


def test_a_caller_past_its_deadline_is_answered():
    answered_s = []

    async def scenario(cluster: clusters.Cluster) -> None:
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
            answered_s.append(cluster.now_s)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.05)
            await cluster.suspend(instance, SUSPENDED_S)
            resumed_s = cluster.now_s
            await anyio.sleep(1.0)
        assert answered_s[0] - resumed_s < ANSWERED_WITHIN_S

    _simulate(scenario, free_server_count=2)
