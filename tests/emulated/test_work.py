"""Emulated servers work, give back and take late as real ones do."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math

import anyio
import simpy

from bridgecross_core import ids
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import servers as servers_lib
from bridgecross_emulator import virtual
from bridgecross_entry import attempts
from bridgecross_entry import model

_LEASE_S = 2.5
_SENDER = model.Address("10.1.0.1", 7_620)


class _Bench:
    """Two servers, and one instance's way to them."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.orders = servers_lib.EmulatedLeaseClient(cluster.fleet, _SENDER)
        self.servers = list(cluster.fleet.servers.values())
        self.listed = [
            model.BackendServer(
                ids.ServerId(s.name),
                ids.ServiceName(s.service),
                s.address,
                s.domain,
                4,
                leaving=False,
                warmup_left_ms=0.0,
                name=s.name,
                started_ms=s.started_ms,
            )
            for s in self.servers
        ]

    async def grant(self, number: int, token: int) -> attempts.GrantResult:
        """Gives the first keys to a server."""
        return await self.orders.grant(
            self.listed[number],
            0,
            99,
            token,
            1_000 * _LEASE_S,
            "",
            lambda: True,
        )

    async def release(self, token: int) -> attempts.ReleaseResult:
        """Takes them back from the first one."""
        return await self.orders.release(
            self.listed[0], 0, 99, token, lambda: True
        )

    def begin_work(self, work_s: float) -> None:
        """Lets the first server work on one of them."""
        held = self.servers[0].find(5)
        assert held is not None
        self.servers[0].work.begin(5, work_s, held.until_s, held.timely_until_s)


def _play(act: Callable[[_Bench], Awaitable[None]]) -> None:
    """Plays a cluster without instances."""
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(
                instance_count=0, server_count=2
            )
            await act(_Bench(clusters.Cluster(settings, environment, tasks)))

    virtual.run(environment, main)


def test_a_release_is_answered_once_what_ran_has_ended():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        begun_s = bench.cluster.now_s
        assert isinstance(await bench.release(2), attempts.Released)
        assert 0.29 < bench.cluster.now_s - begun_s < 0.31

    _play(act)


def test_a_second_release_is_answered_while_the_first_waits():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        begun_s = bench.cluster.now_s
        with anyio.move_on_after(0.1):
            await bench.release(2)
        assert isinstance(await bench.release(2), attempts.Released)
        assert bench.cluster.now_s - begun_s < 0.11

    _play(act)


def test_a_release_ends_new_work_at_once():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await bench.release(2)
        assert not bench.servers[0].holds(5)

    _play(act)


def test_work_ends_with_its_lease():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(10.0)
        begun_s = bench.cluster.now_s
        await bench.release(2)
        assert 2.4 < bench.cluster.now_s - begun_s < 2.6

    _play(act)


def test_work_goes_on_under_a_renewed_lease():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(4.0)
        begun_s = bench.cluster.now_s
        await anyio.sleep(2.0)
        await bench.grant(0, 1)
        await bench.release(2)
        assert 3.9 < bench.cluster.now_s - begun_s < 4.1

    _play(act)


def test_the_answer_to_a_release_is_lost_with_its_run():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        async with anyio.create_task_group() as tasks:

            async def crash() -> None:
                await anyio.sleep(0.1)
                bench.servers[0].crash()

            tasks.start_soon(crash)
            assert isinstance(await bench.release(2), attempts.NoReply)

    _play(act)


async def _give_up(order: Awaitable[object]) -> None:
    """Waits for an order for as long as its giver does."""
    with anyio.move_on_after(0.5):
        await order


def test_a_late_grant_counts_from_its_arrival():
    async def act(bench):
        bench.servers[0].order_faults = servers_lib.OrderFaults(grant_ratio=1.0)
        begun_s = bench.cluster.now_s
        await _give_up(bench.grant(0, 1))
        assert not bench.servers[0].holds(5)
        await anyio.sleep(1.6)
        held = bench.servers[0].find(5)
        assert 2.4 < held.until_s - begun_s < 2.6
        assert held.timely_until_s == -math.inf

    _play(act)


def test_a_late_release_is_carried_out_without_an_answer():
    async def act(bench):
        await bench.grant(0, 1)
        bench.servers[0].order_faults = servers_lib.OrderFaults(
            release_ratio=1.0
        )
        await _give_up(bench.release(2))
        assert bench.servers[0].holds(5)
        await anyio.sleep(1.6)
        assert not bench.servers[0].holds(5)

    _play(act)


def test_a_late_order_does_not_outlive_the_run_that_it_came_to():
    async def act(bench):
        bench.servers[0].order_faults = servers_lib.OrderFaults(grant_ratio=1.0)
        await _give_up(bench.grant(0, 1))
        bench.servers[0].crash()
        bench.servers[0].start()
        await anyio.sleep(1.6)
        assert not bench.servers[0].holds(5)

    _play(act)


def test_some_orders_are_late():
    async def act(bench):
        bench.servers[0].order_faults = servers_lib.OrderFaults(grant_ratio=0.5)
        taken = 0
        for token in range(20):
            with contextlib.suppress(TimeoutError), anyio.fail_after(0.1):
                await bench.grant(0, token)
                taken += 1
        assert 5 <= taken <= 15

    _play(act)


def test_a_key_given_on_while_its_last_holder_works_is_seen():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await bench.release(2)
        await bench.grant(1, 2)
        seen = bench.cluster.fleet.premature
        assert [(p.server, p.other, p.key) for p in seen] == [("i-1", "i-0", 5)]
        assert bench.cluster.fleet.overlaps == []

    _play(act)


def test_a_key_given_on_once_its_last_holder_rests_is_no_fault():
    async def act(bench):
        await bench.grant(0, 1)
        bench.begin_work(0.3)
        await bench.release(2)
        await bench.grant(1, 2)
        assert bench.cluster.fleet.premature == []

    _play(act)


def test_work_under_an_order_that_was_taken_late_does_not_count():
    async def act(bench):
        bench.servers[0].order_faults = servers_lib.OrderFaults(grant_ratio=1.0)
        await _give_up(bench.grant(0, 1))
        await anyio.sleep(1.6)
        bench.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await bench.release(2)
        await bench.grant(1, 2)
        assert bench.cluster.fleet.premature == []

    _play(act)


def test_an_order_that_was_held_up_in_transit_does_not_count():
    async def act(bench):
        network = bench.cluster.network
        await bench.grant(0, 1)
        network.cut(_SENDER, bench.servers[1].address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.grant, 1, 2)
            await anyio.sleep(1.0)
            network.heal()
        assert bench.servers[1].holds(5)
        assert bench.cluster.fleet.overlaps == []

    _play(act)


def test_a_service_without_keys_is_not_bound_by_leases():
    async def act(bench):
        cluster = bench.cluster
        address = model.Address("10.3.0.9", 8_609)
        cluster.fleet.add("f-9", instances.FREE_SERVICE, address)
        work = cluster.fleet.servers[address].work.begin(None, 5.0)
        begun_s = cluster.now_s
        await work.ended.wait()
        assert 4.9 < cluster.now_s - begun_s < 5.1

    _play(act)
