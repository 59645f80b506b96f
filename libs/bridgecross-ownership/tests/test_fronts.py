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
from bridgecross_ownership import fronts as front_sets
from bridgecross_ownership import lease_manager
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


class _FreshNews:
    """A log that is always read."""

    fresh_at_s = math.inf
    awaits_snapshot = False


class _Server:
    """A server that takes every lease until it cannot be reached."""

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
    """Other instances, frozen unless they are said to live."""

    def __init__(self) -> None:
        self.live: set[ids.InstanceId] = {ME}
        # Those that have nothing under way as an earlier front.
        self.done: set[ids.InstanceId] = set()
        self.asked: list[releases.FrontDrainedQuery] = []

    async def await_release(
        self, front: ids.InstanceId, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        return releases.ReleaseReply([])

    async def is_front_drained(
        self, front: ids.InstanceId, query: releases.FrontDrainedQuery
    ) -> bool:
        self.asked.append(query)
        return front in self.done

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        return instance in self.live


class _Bench:
    """A service of one slice, of which rapor-1 is fronted by this instance.

    Before it, another instance was the front, if that is asked for.
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
            self.append_front(SERVER, OTHER)
        self.append_front(SERVER, ME)
        self.append_front(ids.ServerId("rapor-2"), OTHER)
        self.append_move("rapor-2")
        clock = clocks.SystemClock()
        hybrid = hybrid_clock.HybridClock(clock)
        self.others = _Others()
        self.fronts = front_sets.Fronts(
            settings,
            lease_manager.LeaseManagerPorts(
                ME,
                self.cell,
                authorities.Authority(
                    authorities.AuthoritySettings(100), _FreshNews(), clock
                ),
                self.server,
                self.others,
                self.others,
                clock,
                rings.Ring(rings.RingSettings("t"), hybrid),
            ),
        )

    def append_front(
        self, server: ids.ServerId, front: ids.InstanceId, *witnesses: str
    ) -> None:
        named = tuple(map(ids.InstanceId, witnesses))
        change = records.ServerFront(server, front, named, cells.NO_SERVER)
        self._assign(fronts=(change,))

    def append_move(self, server: str) -> None:
        slices = (ids.SliceIndex(0),)
        self._assign(
            moves=(records.ServerSlices(ids.ServerId(server), slices),)
        )

    async def ask_release(self) -> list[ids.SliceIndex]:
        """Asks whether rapor-1 has let go of the slice, for a short while."""
        wanted = leases.SliceGrant(ids.SliceIndex(0), self.cell.slices[0].token)
        query = releases.ReleaseQuery(SERVICE, SERVER, [wanted], self.cell.head)
        with anyio.move_on_after(0.5):
            return (await self.fronts.answer_release(query)).released
        return []

    def _assign(self, *, moves=(), fronts=()) -> None:
        assignment = records.Assignment(
            SERVICE,
            self.cell.term,
            self.cell.head,
            moves=moves,
            fronts=fronts,
            settled=(),
            accepted_fronts=(),
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


async def _run_until_cut_off(bench: _Bench, tasks) -> None:
    """Lets the server take some leases, then cuts it off from this front."""
    tasks.start_soon(bench.fronts.run)
    while bench.server.accepted < 3:
        await anyio.sleep(0.005)
    bench.server.unreachable = True
    await anyio.sleep(0.02)


async def test_a_front_that_missed_another_answers_for_nothing_of_its_time():
    """What it knew of the server is older than what the other granted.

    Neither the other front nor its witness answers, so it may go on.
    """
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        # All of this is read at once: the other front has the server hold
        # the slice, of which this one has never heard.
        bench.append_front(SERVER, OTHER, "c")
        bench.append_move("rapor-1")
        bench.append_move("rapor-2")
        bench.append_front(SERVER, ME)
        bench.fronts.notify()
        assert await bench.ask_release() == []
        tasks.cancel_scope.cancel()


async def test_a_front_with_other_witnesses_goes_on():
    bench = _Bench()
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        manager = bench.fronts.find(SERVER)
        bench.append_front(SERVER, ME, "c")
        bench.fronts.notify()
        assert await bench.ask_release() == [0], "it knows what is held"
        assert bench.fronts.find(SERVER) is manager
        tasks.cancel_scope.cancel()


TRUSTING = dataclasses.replace(
    SETTINGS, checks_fences=False, max_deadline_ms=30_000
)
"""Of a service whose servers take every request, whoever sends it."""


@pytest.mark.parametrize("becomes_done", [True, False])
async def test_an_earlier_front_that_lives_is_asked_what_goes_on(becomes_done):
    """Keys of a lost server were served by nobody for 29 s.

    Its service's servers check no fences, so the requests of an earlier front
    count as under way until the longest deadline of all is over, 30 s.
    The fronts of some servers change while a house starts: cizim-1 had its
    second at 893.7 s, was killed at 895.9 s, and its keys went to cizim-2 at
    898.9 s, but were not served before 925.2 s, 31.5 s after the change. The
    earlier front lived all the time and had nothing under way.
    """
    bench = _Bench(TRUSTING, after_another=True)
    bench.others.live.add(OTHER)
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        assert await bench.ask_release() == []
        if becomes_done:
            bench.others.done.add(OTHER)
        expected = [0] if becomes_done else []
        assert await bench.ask_release() == expected
        tasks.cancel_scope.cancel()
    office = bench.cell.fronts[SERVER].earlier[0]
    assert {query.front_token for query in bench.others.asked} == {office.token}


async def test_an_earlier_front_of_a_server_with_fences_is_not_asked():
    """What goes on there is the server's lease."""
    bench = _Bench(after_another=True)
    bench.others.live.add(OTHER)
    bench.others.done.add(OTHER)
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        assert await bench.ask_release() == [0], "the server holds nothing"
        tasks.cancel_scope.cancel()
    assert bench.others.asked == []


async def _ask_drained(
    bench: _Bench, token: ids.Token, head: ids.Offset
) -> bool:
    query = releases.FrontDrainedQuery(SERVICE, SERVER, token, head)
    return (await bench.fronts.answer_front_drained(query)).is_drained


async def test_an_office_is_over_once_nothing_of_it_can_run():
    bench = _Bench(TRUSTING)
    token = bench.cell.fronts[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        manager = bench.fronts.find(SERVER)
        assert manager is not None
        manager.begin_request(ids.SliceIndex(0))
        manager.begin_request(ids.SliceIndex(0))
        bench.append_front(SERVER, OTHER)
        bench.fronts.notify()
        head = bench.cell.head
        assert not await _ask_drained(bench, token, head), "two are under way"
        manager.end_request(ids.SliceIndex(0), 0.0)
        manager.end_request(ids.SliceIndex(0), anyio.current_time() + 0.3)
        assert not await _ask_drained(bench, token, head), "one may run on"
        await anyio.sleep(0.35)
        assert await _ask_drained(bench, token, head)
        tasks.cancel_scope.cancel()


async def test_an_office_that_was_never_taken_up_is_over_once_it_is_read():
    bench = _Bench(TRUSTING)
    token = bench.cell.fronts[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        unread = ids.Offset(bench.cell.head + 1)
        other = ids.Token(token + 1)
        assert not await _ask_drained(bench, other, unread)
        assert await _ask_drained(bench, other, bench.cell.head)
        assert not await _ask_drained(bench, token, unread), "it is the front"
        tasks.cancel_scope.cancel()


async def test_an_office_that_this_instance_holds_now_is_not_over():
    bench = _Bench(TRUSTING)
    token = bench.cell.fronts[SERVER].token
    async with anyio.create_task_group() as tasks:
        await _run_until_cut_off(bench, tasks)
        assert not await _ask_drained(bench, token, bench.cell.head)
        tasks.cancel_scope.cancel()
