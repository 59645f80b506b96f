"""Emulated servers run work, release keys and take late orders as real ones."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math

import anyio
import simpy

from bridgecross_core import ids
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import server_clients
from bridgecross_emulator import servers as servers_lib
from bridgecross_emulator import virtual
from bridgecross_entry import attempts
from bridgecross_entry import model

_LEASE_S = 2.5
_SENDER = model.Address("10.1.0.1", 7_620)


class _Fixture:
    """Two servers, and the lease client of one instance."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.orders = server_clients.EmulatedLeaseClient(cluster.fleet, _SENDER)
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
        """Grants the first range of keys to a server."""
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
        """Releases the range at the first server."""
        return await self.orders.release(
            self.listed[0], 0, 99, token, lambda: True
        )

    def begin_work(self, work_s: float) -> None:
        """Starts work on a key of the range at the first server."""
        held = self.servers[0].find(5)
        assert held is not None
        self.servers[0].work.begin(5, work_s, held.until_s, held.timely_until_s)


def _simulate(scenario: Callable[[_Fixture], Awaitable[None]]) -> None:
    """Simulates a cluster without instances."""
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(
                instance_count=0, server_count=2
            )
            await scenario(
                _Fixture(clusters.Cluster(settings, environment, tasks))
            )

    virtual.run(environment, main)


def test_a_release_is_answered_once_running_work_has_ended():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        begun_s = fixture.cluster.now_s
        assert isinstance(await fixture.release(2), attempts.Released)
        assert 0.29 < fixture.cluster.now_s - begun_s < 0.31

    _simulate(scenario)


def test_a_second_release_is_answered_while_the_first_waits():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        begun_s = fixture.cluster.now_s
        with anyio.move_on_after(0.1):
            await fixture.release(2)
        assert isinstance(await fixture.release(2), attempts.Released)
        assert fixture.cluster.now_s - begun_s < 0.11

    _simulate(scenario)


def test_a_release_stops_new_work_at_once():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await fixture.release(2)
        assert not fixture.servers[0].holds(5)

    _simulate(scenario)


def test_work_ends_with_its_lease():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(10.0)
        begun_s = fixture.cluster.now_s
        await fixture.release(2)
        assert 2.4 < fixture.cluster.now_s - begun_s < 2.6

    _simulate(scenario)


def test_work_goes_on_under_a_renewed_lease():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(4.0)
        begun_s = fixture.cluster.now_s
        await anyio.sleep(2.0)
        await fixture.grant(0, 1)
        await fixture.release(2)
        assert 3.9 < fixture.cluster.now_s - begun_s < 4.1

    _simulate(scenario)


def test_the_answer_to_a_release_is_lost_with_its_run():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        async with anyio.create_task_group() as tasks:

            async def crash() -> None:
                await anyio.sleep(0.1)
                fixture.servers[0].crash()

            tasks.start_soon(crash)
            assert isinstance(await fixture.release(2), attempts.NoReply)

    _simulate(scenario)


async def _give_up(order: Awaitable[object]) -> None:
    """Waits for an order as long as its sender does, then gives up."""
    with anyio.move_on_after(0.5):
        await order


def test_a_late_grant_counts_from_its_arrival():
    async def scenario(fixture):
        fixture.servers[0].order_faults = servers_lib.OrderFaults(
            grant_ratio=1.0
        )
        begun_s = fixture.cluster.now_s
        await _give_up(fixture.grant(0, 1))
        assert not fixture.servers[0].holds(5)
        await anyio.sleep(1.6)
        held = fixture.servers[0].find(5)
        assert 2.4 < held.until_s - begun_s < 2.6
        assert held.timely_until_s == -math.inf

    _simulate(scenario)


def test_a_late_release_is_carried_out_without_an_answer():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.servers[0].order_faults = servers_lib.OrderFaults(
            release_ratio=1.0
        )
        await _give_up(fixture.release(2))
        assert fixture.servers[0].holds(5)
        await anyio.sleep(1.6)
        assert not fixture.servers[0].holds(5)

    _simulate(scenario)


def test_a_late_order_is_lost_when_its_server_restarts():
    async def scenario(fixture):
        fixture.servers[0].order_faults = servers_lib.OrderFaults(
            grant_ratio=1.0
        )
        await _give_up(fixture.grant(0, 1))
        fixture.servers[0].crash()
        fixture.servers[0].start()
        await anyio.sleep(1.6)
        assert not fixture.servers[0].holds(5)

    _simulate(scenario)


def test_some_orders_are_late():
    async def scenario(fixture):
        fixture.servers[0].order_faults = servers_lib.OrderFaults(
            grant_ratio=0.5
        )
        taken = 0
        for token in range(20):
            with contextlib.suppress(TimeoutError), anyio.fail_after(0.1):
                await fixture.grant(0, token)
                taken += 1
        assert 5 <= taken <= 15

    _simulate(scenario)


def test_a_key_granted_while_its_last_holder_works_is_detected():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await fixture.release(2)
        await fixture.grant(1, 2)
        premature = fixture.cluster.fleet.premature
        assert [(p.server, p.other, p.key) for p in premature] == [
            ("i-1", "i-0", 5)
        ]
        assert fixture.cluster.fleet.overlaps == []

    _simulate(scenario)


def test_a_key_granted_after_its_last_holder_finished_is_no_violation():
    async def scenario(fixture):
        await fixture.grant(0, 1)
        fixture.begin_work(0.3)
        await fixture.release(2)
        await fixture.grant(1, 2)
        assert fixture.cluster.fleet.premature == []

    _simulate(scenario)


def test_work_under_an_order_that_was_taken_late_does_not_count():
    async def scenario(fixture):
        fixture.servers[0].order_faults = servers_lib.OrderFaults(
            grant_ratio=1.0
        )
        await _give_up(fixture.grant(0, 1))
        await anyio.sleep(1.6)
        fixture.begin_work(0.3)
        with anyio.move_on_after(0.1):
            await fixture.release(2)
        await fixture.grant(1, 2)
        assert fixture.cluster.fleet.premature == []

    _simulate(scenario)


def test_an_order_that_was_held_up_in_transit_does_not_count():
    async def scenario(fixture):
        network = fixture.cluster.network
        await fixture.grant(0, 1)
        network.cut(_SENDER, fixture.servers[1].address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.grant, 1, 2)
            await anyio.sleep(1.0)
            network.heal()
        assert fixture.servers[1].holds(5)
        assert fixture.cluster.fleet.overlaps == []

    _simulate(scenario)


def test_a_service_without_keys_is_not_bound_by_leases():
    async def scenario(fixture):
        cluster = fixture.cluster
        address = model.Address("10.3.0.9", 8_609)
        cluster.fleet.add("f-9", instances.FREE_SERVICE, address)
        work = cluster.fleet.servers[address].work.begin(None, 5.0)
        begun_s = cluster.now_s
        await work.ended.wait()
        assert 4.9 < cluster.now_s - begun_s < 5.1

    _simulate(scenario)
