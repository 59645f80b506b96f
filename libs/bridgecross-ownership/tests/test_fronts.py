import math

import anyio
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import stamps
from bridgecross_log import records as log_records
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import fronts as front_sets
from bridgecross_ownership import keeper as keeping
from bridgecross_ownership import leases
from bridgecross_ownership import records
from bridgecross_ownership import releases
from bridgecross_timeline import ring as rings

pytestmark = pytest.mark.anyio

SERVICE = ids.ServiceName("rapor")
ME = ids.InstanceId("a")
OTHER = ids.InstanceId("b")
SERVER = ids.ServerId("rapor-1")
SETTINGS = keeping.KeeperSettings(
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


class _OthersAreFrozen:
    """No other instance answers."""

    async def await_release(
        self, front: ids.InstanceId, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        return releases.ReleaseReply([])

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        return instance == ME


class _Bench:
    """A service of one slice, of which rapor-1 is fronted by this instance."""

    def __init__(self) -> None:
        self.cell = cells.Cell(SERVICE)
        self.server = _Server()
        self._append(
            records.CLAIM_KIND,
            records.CLAIMS.encode(
                records.Claim(SERVICE, ids.Term(-1), OTHER, 1)
            ),
        )
        self.append_front(SERVER, ME)
        self.append_front(ids.ServerId("rapor-2"), OTHER)
        self.append_move("rapor-2")
        clock = clocks.SystemClock()
        hybrid = stamps.HybridClock(clock)
        frozen = _OthersAreFrozen()
        self.fronts = front_sets.Fronts(
            SETTINGS,
            keeping.KeeperPorts(
                ME,
                self.cell,
                authorities.Authority(
                    authorities.AuthoritySettings(100), _FreshNews(), clock
                ),
                self.server,
                frozen,
                frozen,
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
            seated=(),
            retired=(),
            reason="",
        )
        self._append(
            records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(assignment)
        )

    def _append(self, kind: str, body: bytes) -> None:
        offset = ids.Offset(self.cell.head + 1)
        envelope = log_records.Envelope(
            f"r{offset}", kind, "w", stamps.Stamp(0, 0), body
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
        keeper = bench.fronts.find(SERVER)
        bench.append_front(SERVER, ME, "c")
        bench.fronts.notify()
        assert await bench.ask_release() == [0], "it knows what is held"
        assert bench.fronts.find(SERVER) is keeper
        tasks.cancel_scope.cancel()
