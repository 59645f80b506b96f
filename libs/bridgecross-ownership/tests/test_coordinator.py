import dataclasses
import math

import anyio
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import appender as appenders
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import coordinator as coordinators
from bridgecross_ownership import lease_manager
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_ownership import records
from bridgecross_ownership import reports
from bridgecross_timeline import ring as rings

pytestmark = pytest.mark.anyio

SERVICE = ids.ServiceName("rapor")
ME = ids.InstanceId("a")
QUEUE_OWNERS = {"rapor-1": "b", "rapor-2": "c"}
SETTINGS = coordinators.CoordinatorSettings(
    slice_count=4,
    heartbeat_interval_ms=5,
    heartbeat_misses=2_000,
    imbalance_target_ratio=4.0,
    churn_budget_slices_per_min=0,
    eviction_limit_ratio=0.5,
)


class _CurrentLogView:
    """A view of the log that is always up to date."""

    fresh_at_s = math.inf
    awaits_snapshot = False


class _CellLog:
    """A log whose only reader is one cell."""

    def __init__(self, cell: cells.Cell) -> None:
        self.appender: appenders.Appender | None = None
        self._cell = cell

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        envelope = log_records.decode_envelope(data)
        offset = ids.Offset(self._cell.head + 1)
        verdict = self._cell.apply(log_records.LogRecord(offset, envelope))
        assert self.appender is not None
        self.appender.report(envelope.record_id, verdict)
        return offset

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> log_service.ReadBatch:
        raise log_service.LogUnavailableError("not in this test")


class _Peers:
    """Peers that have all been silent for a given time; none is leaving."""

    def __init__(self, silent_s: float = 0.0) -> None:
        self._silent_s = silent_s

    def silent_s(self, instance: ids.InstanceId) -> float:
        return self._silent_s

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        return False


def _cell_after_a_second_move() -> cells.Cell:
    """Slice 0 moved to rapor-1 with token 1, then to rapor-2 with token 2."""
    cell = cells.Cell(SERVICE)
    owners = ("rapor-2", "rapor-1", "rapor-1", "rapor-2")
    slices = [
        cells.SliceState(ids.ServerId(owner), ids.Token(1), ())
        for owner in owners
    ]
    slices[0] = slices[0]._replace(
        token=ids.Token(2), prior=(ids.ServerId("rapor-1"),)
    )
    queue_owners = {
        ids.ServerId(server): cells.QueueOwnerState(
            ids.InstanceId(queue_owner), ids.Token(1), (), cells.NO_SERVER, ()
        )
        for server, queue_owner in QUEUE_OWNERS.items()
    }
    cell.restore(
        cells.CellSnapshot(
            SERVICE, ids.Term(0), ME, ids.Offset(2), slices, queue_owners
        )
    )
    return cell


def _list_members() -> memberships.Membership:
    membership = memberships.Membership()
    roles = dict.fromkeys("abc", memberships.Role.ENTRY)
    roles |= dict.fromkeys(QUEUE_OWNERS, memberships.Role.BACKEND)
    membership.replace(
        [
            memberships.Listing(
                name,
                role,
                SERVICE if role is memberships.Role.BACKEND else "",
                f"hall-{name}",
                name,
                memberships.ListedState.LIVE,
            )
            for name, role in roles.items()
        ]
    )
    return membership


def _slice_0(token: int) -> list[leases.SliceGrant]:
    return [leases.SliceGrant(ids.SliceIndex(0), ids.Token(token))]


def _report(server: str, **about: list) -> reports.ServiceReport:
    server_report = reports.ServerReport(
        ids.ServerId(server), lease_manager.ServerHealth.UP, ids.Token(1)
    )
    lists = {"settled": [], "handed_over": [], "loads": []} | about
    return reports.ServiceReport(SERVICE, [server_report], **lists)


async def _coordinate(
    cell: cells.Cell, registry: reports.ReportRegistry
) -> None:
    """Runs the coordinator for 0.1 s without further reports."""
    coordinator = _make_coordinator(cell, registry)
    with anyio.move_on_after(0.1):
        await coordinator.run()


def _make_coordinator(
    cell: cells.Cell,
    registry: reports.ReportRegistry,
    settings: coordinators.CoordinatorSettings = SETTINGS,
    peers: _Peers | None = None,
    log: _CellLog | None = None,
    process: "_StalledProcess | None" = None,
) -> coordinators.Coordinator:
    clock = process or clocks.SystemClock()
    hybrid = hybrid_clock.HybridClock(clock)
    log = log or _CellLog(cell)
    log.appender = appenders.Appender(
        appenders.AppenderSettings("s", ME), log, hybrid
    )
    return coordinators.Coordinator(
        settings,
        coordinators.CoordinatorPorts(
            ME,
            cell,
            log.appender,
            authorities.Authority(
                authorities.AuthoritySettings(1_000),
                process or _CurrentLogView(),
                clock,
            ),
            _list_members(),
            registry,
            peers or _Peers(),
            clock,
            rings.Ring(rings.RingSettings("t"), hybrid),
        ),
    )


async def test_a_report_of_an_earlier_move_settles_no_later_one():
    """The report is of token 1, and the slice moved to token 2."""
    cell = _cell_after_a_second_move()
    registry = reports.ReportRegistry(clocks.SystemClock())
    registry.add(ids.InstanceId("b"), _report("rapor-1", settled=_slice_0(1)))
    registry.add(ids.InstanceId("c"), _report("rapor-2"))
    await _coordinate(cell, registry)
    assert cell.slices[0].prior == ("rapor-1",)


async def test_a_takeover_of_an_earlier_token_moves_nothing():
    cell = _cell_after_a_second_move()
    registry = reports.ReportRegistry(clocks.SystemClock())
    registry.add(
        ids.InstanceId("b"), _report("rapor-1", handed_over=_slice_0(1))
    )
    registry.add(ids.InstanceId("c"), _report("rapor-2"))
    await _coordinate(cell, registry)
    assert (cell.slices[0].server, cell.slices[0].token) == ("rapor-2", 2)


async def test_a_report_of_the_newest_token_counts():
    cell = _cell_after_a_second_move()
    registry = reports.ReportRegistry(clocks.SystemClock())
    registry.add(ids.InstanceId("b"), _report("rapor-1"))
    registry.add(ids.InstanceId("c"), _report("rapor-2", settled=_slice_0(2)))
    await _coordinate(cell, registry)
    assert cell.slices[0].prior == ()
    registry.add(
        ids.InstanceId("c"), _report("rapor-2", handed_over=_slice_0(2))
    )
    await _coordinate(cell, registry)
    assert cell.slices[0].token > 2, "the log assigns the slice again"


QUICK = dataclasses.replace(SETTINGS, heartbeat_misses=40)
"""Settings by which an instance that is silent for 0.2 s counts as lost."""


def _apply_claim(cell: cells.Cell, instance: str) -> None:
    """Applies a claim that makes another instance the coordinator."""
    claim = records.Claim(SERVICE, cell.term, ids.InstanceId(instance), 4)
    offset = ids.Offset(cell.head + 1)
    envelope = log_records.Envelope(
        f"r{offset}",
        records.CLAIM_KIND,
        instance,
        hybrid_clock.Timestamp(0, 0),
        records.CLAIMS.encode(claim),
    )
    cell.apply(log_records.LogRecord(offset, envelope))
    assert cell.coordinator == instance


async def test_a_coordinator_is_not_silent_before_it_has_claimed():
    """Three live instances claimed a service from one another for 7 s.

    A coordinator that is lost, or taken for lost on a busy machine, is replaced
    by another instance. A third instance had last heard from the new one when
    that was a coordinator before, seconds ago, because heartbeats are sent to
    coordinators only. So the new coordinator counted as silent at once, and was
    replaced in turn. In a run beside other work, the log had terms 23, 32, 40,
    58, 64, 70, 74, 81, 85, 95 and 100 within 3 s. Each term gave servers other
    queue owners, and callers got no answers.
    """
    cell = _cell_after_a_second_move()
    coordinator = _make_coordinator(
        cell, reports.ReportRegistry(clocks.SystemClock()), QUICK, _Peers(5.0)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(coordinator.run)
        await anyio.sleep(3 * QUICK.silence_s)
        for other in ("c", "b", "c", "b"):
            _apply_claim(cell, other)
            await anyio.sleep(0.1)
            assert cell.coordinator == other
        with anyio.fail_after(2.0):
            while cell.coordinator != ME:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_a_coordinator_that_stays_silent_is_replaced_in_time():
    cell = _cell_after_a_second_move()
    coordinator = _make_coordinator(
        cell, reports.ReportRegistry(clocks.SystemClock()), QUICK, _Peers(5.0)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(coordinator.run)
        await anyio.sleep(3 * QUICK.silence_s)
        _apply_claim(cell, "b")
        rank = coordinator._rank_candidates().index(ME)
        begun_s = anyio.current_time()
        with anyio.fail_after(2.0):
            while cell.coordinator != ME:
                await anyio.sleep(0.005)
        tasks.cancel_scope.cancel()
    took_s = anyio.current_time() - begun_s
    assert QUICK.silence_s <= took_s < (rank + 1) * QUICK.silence_s + 0.5


class _OvertakenLog(_CellLog):
    """A log from which a claim is read together with a later one."""

    def __init__(self, cell: cells.Cell, later: str) -> None:
        super().__init__(cell)
        self._later = later

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        offset = await super().append(stream, data)
        if self._cell.coordinator == ME:
            _apply_claim(self._cell, self._later)
        return offset


# Guards against an instance that moves slices in the term of a later claim.
async def test_an_overtaken_claim_moves_nothing():
    cell = _cell_after_a_second_move()
    _apply_claim(cell, "b")
    registry = reports.ReportRegistry(clocks.SystemClock())
    registry.add(ids.InstanceId("b"), _report("rapor-1"))
    registry.add(
        ids.InstanceId("c"), _report("rapor-2", handed_over=_slice_0(2))
    )
    coordinator = _make_coordinator(
        cell, registry, log=_OvertakenLog(cell, "c")
    )
    await coordinator._claim()
    assert (cell.coordinator, cell.term) == ("c", cell.head)
    assert cell.slices[0].token == 2


STALLED = dataclasses.replace(SETTINGS, heartbeat_misses=400)
"""Settings by which an instance that is silent for 2 s counts as lost."""


class _StalledProcess:
    """A clock that stands still but for stalls, and the peers of its process.

    What peers sent during a stall is taken in after the next check.
    """

    awaits_snapshot = False

    def __init__(self, registry: reports.ReportRegistry | None = None) -> None:
        self.now_s = 1_000.0
        self.registry = registry or reports.ReportRegistry(self)
        # The checks of the coordinator since the last stall.
        self.checks_count = 0
        # The length of a stall in the middle of the next check.
        self.next_stall_s = 0.0
        self._contact_s = self.now_s

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s

    def stall(self, for_s: float, *, is_in_check: bool) -> None:
        if is_in_check:
            self.next_stall_s = for_s
        else:
            self.now_s += for_s
        self.checks_count = 0

    @property
    def fresh_at_s(self) -> float:
        """Counts checks, each of which begins with the age of the log."""
        self.checks_count += 1
        if self.checks_count > 1:
            self.take_in()
        self.now_s += self.next_stall_s
        self.next_stall_s = 0.0
        return math.inf

    def take_in(self) -> None:
        self._contact_s = self.now_s
        self.registry.add(ids.InstanceId("b"), _report("rapor-1"))
        self.registry.add(ids.InstanceId("c"), _report("rapor-2"))

    def silent_s(self, instance: ids.InstanceId) -> float:
        return self.now_s - self._contact_s

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        return False


async def _stall_repeatedly(
    cell: cells.Cell,
    process: _StalledProcess,
    *stalls_s: float,
    is_in_check: bool,
) -> list[dict[ids.ServerId, cells.QueueOwnerState]]:
    """Runs a coordinator in a process that stalls between some checks.

    Returns:
        The queue owners before each stall, and at the end.
    """
    queue_owners = []
    coordinator = _make_coordinator(
        cell, process.registry, STALLED, process, process=process
    )
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(coordinator.run)
            for stall_s in stalls_s:
                while process.checks_count < 4:
                    await anyio.sleep(0.001)
                queue_owners.append(dict(cell.queue_owners))
                process.stall(stall_s, is_in_check=is_in_check)
            while process.checks_count < 4:
                await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
    return [*queue_owners, dict(cell.queue_owners)]


# Guards against a claim by a process that mistook its stall for silence.
@pytest.mark.parametrize("is_in_check", [False, True])
@pytest.mark.parametrize("stall_s", [2.0, 2.5, 100.0])
async def test_a_stalled_instance_does_not_claim(stall_s, is_in_check):
    cell = _cell_after_a_second_move()
    _apply_claim(cell, "b")
    term = cell.term
    # The first stalls let the term become old enough.
    stalls_s = [*[0.4] * 10, stall_s, stall_s]
    await _stall_repeatedly(
        cell, _StalledProcess(), *stalls_s, is_in_check=is_in_check
    )
    assert (cell.coordinator, cell.term) == ("b", term)


# Guards against a coordinator that replaces all queue owners after its stall.
@pytest.mark.parametrize("is_in_check", [False, True])
@pytest.mark.parametrize("stall_s", [2.5, 100.0])
async def test_a_stalled_coordinator_keeps_the_queue_owners(
    stall_s, is_in_check
):
    cell = _cell_after_a_second_move()
    process = _StalledProcess()
    process.take_in()
    stalls_s = [*[0.4] * 10, stall_s, stall_s]
    queue_owners = await _stall_repeatedly(
        cell, process, *stalls_s, is_in_check=is_in_check
    )
    assert queue_owners[-1] == queue_owners[-2] == queue_owners[-3]


async def test_an_instance_that_is_always_late_replaces_a_lost_coordinator():
    cell = _cell_after_a_second_move()
    _apply_claim(cell, "b")
    process = _StalledProcess()
    process.take_in = lambda: None
    await _stall_repeatedly(cell, process, *[0.6] * 60, is_in_check=False)
    assert cell.coordinator == ME
