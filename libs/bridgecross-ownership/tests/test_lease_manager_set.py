import dataclasses
import math

import anyio
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import records as log_records
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import lease_manager
from bridgecross_ownership import lease_manager_set
from bridgecross_ownership import leases
from bridgecross_ownership import records
from bridgecross_ownership import releases
from bridgecross_timeline import ring as rings

pytestmark = pytest.mark.anyio

SERVICE = ids.ServiceName("rapor")
ME = ids.InstanceId("a")
OTHER = ids.InstanceId("b")
SERVER = ids.ServerId("rapor-1")
SETTINGS = lease_manager.LeaseManagerSettings(
    checks_fences=True,
    lease_ms=200,
    renew_interval_ms=10,
    renew_misses=3,
    max_deadline_ms=2_000,
    clock_drift_ratio=0.01,
)


class _CurrentLogView:
    """A view of the log that is always up to date."""

    fresh_at_s = math.inf
    awaits_snapshot = False


class _Server:
    """A server that accepts every lease until it becomes unreachable."""

    def __init__(self) -> None:
        self.unreachable = False
        self.accepted = 0

    async def exchange(
        self, server: ids.ServerId, request: leases.LeaseRequest
    ) -> leases.LeaseReply:
        if self.unreachable:
            raise leases.ServerUnreachableError("cut off")
        self.accepted += 1
        echo = leases.ClockEcho("run", 1.0)
        return leases.LeaseReply(True, "", echo, request.grants, False)


class _Others:
    """Other instances, which are frozen unless they are marked as live."""

    def __init__(self) -> None:
        self.live: set[ids.InstanceId] = {ME}
        # The instances that have drained as an earlier queue owner.
        self.drained: set[ids.InstanceId] = set()
        self.asked: list[releases.QueueOwnerDrainedQuery] = []

    async def await_release(
        self, queue_owner: ids.InstanceId, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        return releases.ReleaseReply([])

    async def is_queue_owner_drained(
        self,
        queue_owner: ids.InstanceId,
        query: releases.QueueOwnerDrainedQuery,
    ) -> bool:
        self.asked.append(query)
        return queue_owner in self.drained

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        return instance in self.live


class _Service:
    """A service of one slice; this instance is the queue owner of rapor-1.

    With ``after_another``, another instance was the queue owner before.
    """

    def __init__(
        self,
        settings: lease_manager.LeaseManagerSettings = SETTINGS,
        *,
        after_another: bool = False,
    ) -> None:
        self.cell = cells.Cell(SERVICE)
        self.server = _Server()
        self._append(
            records.CLAIM_KIND,
            records.CLAIMS.encode(
                records.Claim(SERVICE, ids.Term(-1), OTHER, 1)
            ),
        )
        if after_another:
            self.append_queue_owner(SERVER, OTHER)
        self.append_queue_owner(SERVER, ME)
        self.append_queue_owner(ids.ServerId("rapor-2"), OTHER)
        self.append_move("rapor-2")
        clock = clocks.SystemClock()
        hybrid = hybrid_clock.HybridClock(clock)
        self.others = _Others()
        self.lease_managers = lease_manager_set.LeaseManagerSet(
            settings,
            lease_manager.LeaseManagerPorts(
                ME,
                self.cell,
                authorities.Authority(
                    authorities.AuthoritySettings(100), _CurrentLogView(), clock
                ),
                self.server,
                self.others,
                self.others,
                clock,
                rings.Ring(rings.RingSettings("t"), hybrid),
            ),
        )

    def append_queue_owner(
        self, server: ids.ServerId, queue_owner: ids.InstanceId, *witnesses: str
    ) -> None:
        named = tuple(map(ids.InstanceId, witnesses))
        change = records.ServerQueueOwner(
            server, queue_owner, named, cells.NO_SERVER
        )
        self._assign(queue_owners=(change,))

    def append_move(self, server: str) -> None:
        slices = (ids.SliceIndex(0),)
        self._assign(
            moves=(records.ServerSlices(ids.ServerId(server), slices),)
        )

    async def ask_release(self) -> list[ids.SliceIndex]:
        """Asks for up to 0.5 s whether rapor-1 has released the slice."""
        wanted = leases.SliceGrant(ids.SliceIndex(0), self.cell.slices[0].token)
        query = releases.ReleaseQuery(SERVICE, SERVER, [wanted], self.cell.head)
        with anyio.move_on_after(0.5):
            return (await self.lease_managers.answer_release(query)).released
        return []

    def _assign(self, *, moves=(), queue_owners=()) -> None:
        assignment = records.Assignment(
            SERVICE,
            self.cell.term,
            self.cell.head,
            moves=moves,
            queue_owners=queue_owners,
            settled=(),
            accepted_queue_owners=(),
            retired=(),
            reason="",
        )
        self._append(
            records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(assignment)
        )

    def _append(self, kind: str, body: bytes) -> None:
        offset = ids.Offset(self.cell.head + 1)
        envelope = log_records.Envelope(
            f"r{offset}", kind, "w", hybrid_clock.Timestamp(0, 0), body
        )
        self.cell.apply(log_records.LogRecord(offset, envelope))
        assert self.cell.head == offset


async def _run_until_cut_off(service: _Service, tasks) -> None:
    """Lets the server accept some leases, then makes it unreachable."""
    tasks.start_soon(service.lease_managers.run)
    while service.server.accepted < 3:
        await anyio.sleep(0.005)
    service.server.unreachable = True
    await anyio.sleep(0.02)


async def test_a_queue_owner_that_missed_another_reports_nothing_as_released():
    """This queue owner's view of the server is older than the other's grants.

    Neither the other queue owner nor its witness answers, so that queue owner
    may still act.
    """
    service = _Service()
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        # All these records are read at once. The other queue owner may have
        # granted the slice to the server, which this queue owner does not know
        # of.
        service.append_queue_owner(SERVER, OTHER, "c")
        service.append_move("rapor-1")
        service.append_move("rapor-2")
        service.append_queue_owner(SERVER, ME)
        service.lease_managers.notify()
        assert await service.ask_release() == []
        tasks.cancel_scope.cancel()


async def test_a_queue_owner_with_other_witnesses_continues():
    service = _Service()
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        manager = service.lease_managers.find(SERVER)
        service.append_queue_owner(SERVER, ME, "c")
        service.lease_managers.notify()
        assert await service.ask_release() == [0], (
            "the manager knows what the server holds"
        )
        assert service.lease_managers.find(SERVER) is manager
        tasks.cancel_scope.cancel()


UNFENCED = dataclasses.replace(
    SETTINGS, checks_fences=False, max_deadline_ms=30_000
)
"""The settings of a service whose servers check no fences."""


@pytest.mark.parametrize("drains", [True, False])
async def test_an_earlier_queue_owner_that_is_alive_is_asked_if_it_drained(
    drains,
):
    """The keys of a lost server were not served for 29 s.

    If servers check no fences, the requests of an earlier queue owner count as
    in flight until the longest possible deadline has passed, 30 s. Queue owners
    of some servers change while the instances start: cizim-1 got its second
    queue owner at 893.7 s and was killed at 895.9 s. Its keys went to cizim-2
    at 898.9 s, but were not served before 925.2 s, 31.5 s after the change of
    the queue owner. The earlier queue owner was alive all the time and had no
    request in flight.
    """
    service = _Service(UNFENCED, after_another=True)
    service.others.live.add(OTHER)
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        assert await service.ask_release() == []
        if drains:
            service.others.drained.add(OTHER)
        expected = [0] if drains else []
        assert await service.ask_release() == expected
        tasks.cancel_scope.cancel()
    earlier = service.cell.queue_owners[SERVER].earlier[0]
    assert {query.queue_owner_token for query in service.others.asked} == {
        earlier.token
    }


async def test_an_earlier_queue_owner_of_a_server_with_fences_is_not_asked():
    """Such a server may act until its lease ends, so asking does not help."""
    service = _Service(after_another=True)
    service.others.live.add(OTHER)
    service.others.drained.add(OTHER)
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        assert await service.ask_release() == [0], "the server holds nothing"
        tasks.cancel_scope.cancel()
    assert service.others.asked == []


async def _ask_drained(
    service: _Service, token: ids.Token, head: ids.Offset
) -> bool:
    query = releases.QueueOwnerDrainedQuery(SERVICE, SERVER, token, head)
    return (
        await service.lease_managers.answer_queue_owner_drained(query)
    ).is_drained


async def test_a_queue_owner_has_drained_once_none_of_its_requests_can_run():
    service = _Service(UNFENCED)
    token = service.cell.queue_owners[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        manager = service.lease_managers.find(SERVER)
        assert manager is not None
        manager.begin_request(ids.SliceIndex(0))
        manager.begin_request(ids.SliceIndex(0))
        service.append_queue_owner(SERVER, OTHER)
        service.lease_managers.notify()
        head = service.cell.head
        assert not await _ask_drained(service, token, head), "two are in flight"
        manager.end_request(ids.SliceIndex(0), 0.0)
        manager.end_request(ids.SliceIndex(0), anyio.current_time() + 0.3)
        assert not await _ask_drained(service, token, head), "one may still run"
        await anyio.sleep(0.35)
        assert await _ask_drained(service, token, head)
        tasks.cancel_scope.cancel()


async def test_a_queue_owner_that_never_started_has_drained_once_replaced():
    service = _Service(UNFENCED)
    token = service.cell.queue_owners[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        unread = ids.Offset(service.cell.head + 1)
        other = ids.Token(token + 1)
        assert not await _ask_drained(service, other, unread)
        assert await _ask_drained(service, other, service.cell.head)
        assert not await _ask_drained(service, token, unread), (
            "it is the queue owner"
        )
        tasks.cancel_scope.cancel()


async def test_the_present_queue_owner_has_not_drained():
    service = _Service(UNFENCED)
    token = service.cell.queue_owners[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(service, tasks)
        assert not await _ask_drained(service, token, service.cell.head)
        tasks.cancel_scope.cancel()
