"""Measures the control state by the number of slices.

The benchmarks cover applying records, looking up owners, planning, and
snapshots.
"""

import gc
import tracemalloc

from benchmarks import rows
from bridgecross_core import hashing
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_daemon import control
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_log import snapshot as snapshots
from bridgecross_ownership import cell as cells
from bridgecross_ownership import planner
from bridgecross_ownership import records
from bridgecross_timeline import ring as rings

SERVICE = ids.ServiceName("rapor")
SIZES = ((78, 1_200), (260, 4_000), (780, 12_000), (780, 120_000))
_LOOK_UP_COUNT = 20_000
_PLANNED_SIZES = SIZES[:3]


class _StoppedClock:
    """A clock that always returns 0."""

    def wall_s(self) -> float:
        """Returns 0."""
        return 0.0

    def monotonic_s(self) -> float:
        """Returns 0."""
        return 0.0


def run() -> list[rows.Row]:
    """Measures all sizes."""
    found: list[rows.Row] = []
    for servers, slices in SIZES:
        size = f"{servers} servers, {slices} slices"
        state = _build_state(servers, slices)
        found += _measure_fold(size, servers, slices)
        found += _measure_look_up(size, state)
        found += _measure_snapshot(size, state)
    for servers, slices in _PLANNED_SIZES:
        size = f"{servers} servers, {slices} slices"
        found += _measure_plan(size, _build_state(servers, slices), servers)
    return found


def make_records(servers: int, slices: int) -> list[log_service.StoredRecord]:
    """Returns the records of a claim and of an assignment of all slices."""
    claim = records.Claim(
        SERVICE, ids.Term(-1), ids.InstanceId("entry-1"), slices
    )
    moves = tuple(
        records.ServerSlices(
            _server_id(number),
            tuple(map(ids.SliceIndex, range(number, slices, servers))),
        )
        for number in range(servers)
    )
    queue_owners = tuple(
        records.ServerQueueOwner(
            _server_id(n),
            ids.InstanceId(f"entry-{n % 11}"),
            (
                ids.InstanceId(f"entry-{(n + 1) % 11}"),
                ids.InstanceId(f"entry-{(n + 2) % 11}"),
            ),
            _server_id((n + 1) % servers),
        )
        for n in range(servers)
    )
    assignment = records.Assignment(
        service=SERVICE,
        term=ids.Term(0),
        base=ids.Offset(0),
        moves=moves,
        queue_owners=queue_owners,
        settled=(),
        accepted_queue_owners=(),
        retired=(),
        reason="first",
    )
    return [
        _make_record(0, records.CLAIM_KIND, records.CLAIMS.encode(claim)),
        _make_record(
            1, records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(assignment)
        ),
    ]


def _make_record(
    offset: int, kind: str, body: bytes
) -> log_service.StoredRecord:
    """Returns a record as stored by the log."""
    envelope = log_records.Envelope(
        f"r{offset}", kind, "entry-1", hybrid_clock.Timestamp(0, 0), body
    )
    return log_service.StoredRecord(
        ids.Offset(offset), log_records.encode_envelope(envelope)
    )


def _server_id(number: int) -> ids.ServerId:
    """Returns the id of a server."""
    return ids.ServerId(f"rapor-{number}")


def _make_empty_state() -> control.ControlState:
    """Returns an empty state."""
    clock = hybrid_clock.HybridClock(_StoppedClock())
    return control.ControlState(rings.Ring(rings.RingSettings("b"), clock))


def _build_state(servers: int, slices: int) -> control.ControlState:
    """Returns the state after the assignment of all slices."""
    state = _make_empty_state()
    for record in make_records(servers, slices):
        state.apply(record)
    return state


def _measure_fold(size: str, servers: int, slices: int) -> list[rows.Row]:
    """Measures the time to apply records, and the size of state and log."""
    stored = make_records(servers, slices)

    def fold() -> None:
        state = _make_empty_state()
        for record in stored:
            state.apply(record)

    whole_s = rows.measure_cpu_s(fold)
    gc.collect()
    tracemalloc.start()
    state = _build_state(servers, slices)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    move_s = rows.measure_cpu_s(lambda: _apply_moves(state, 200)) / 200
    log_bytes = sum(len(record.data) for record in stored)
    return [
        rows.Row("fold", size, "fold all slices", whole_s * 1e3, "ms"),
        rows.Row("fold", size, "a slice", whole_s * 1e6 / slices, "us"),
        rows.Row("fold", size, "fold a record of one move", move_s * 1e6, "us"),
        rows.Row("fold", size, "state a slice", held_bytes / slices, "bytes"),
        rows.Row("fold", size, "log a slice", log_bytes / slices, "bytes"),
    ]


def _apply_moves(state: control.ControlState, count: int) -> None:
    """Applies records that move one slice back and forth."""
    cell = state.find_cell(SERVICE)
    for _ in range(count):
        offset = cell.head + 1
        move = records.Assignment(
            service=SERVICE,
            term=cell.term,
            base=cell.head,
            moves=(
                records.ServerSlices(
                    _server_id(offset % 2), (ids.SliceIndex(0),)
                ),
            ),
            queue_owners=(),
            settled=(),
            accepted_queue_owners=(),
            retired=(),
            reason="",
        )
        body = records.ASSIGNMENTS.encode(move)
        state.apply(_make_record(offset, records.ASSIGNMENT_KIND, body))


def _measure_look_up(size: str, state: control.ControlState) -> list[rows.Row]:
    """Measures the look-up from a key to the queue owner of its server."""
    cell = state.find_cell(SERVICE)
    keys = [f"kopru-{number}" for number in range(_LOOK_UP_COUNT)]

    def look_up() -> None:
        for key in keys:
            index = hashing.find_slice(key, len(cell.slices))
            cell.queue_owners.get(cell.slices[index].server)

    spent_s = rows.measure_cpu_s(look_up)
    value = spent_s * 1e6 / _LOOK_UP_COUNT
    return [rows.Row("look-up", size, "key to front", value, "us")]


def _measure_snapshot(size: str, state: control.ControlState) -> list[rows.Row]:
    """Measures the creation, splitting and restoring of a snapshot."""
    whole = state.to_snapshot()
    chunks = snapshots.split_snapshot(whole, "s")
    made_s = rows.measure_cpu_s(
        lambda: snapshots.split_snapshot(state.to_snapshot(), "s")
    )
    cell = state.find_cell(SERVICE)
    cell_snapshot = cell.to_snapshot()
    restored_s = rows.measure_cpu_s(
        lambda: cells.Cell(SERVICE).restore(cell_snapshot)
    )
    return [
        rows.Row("snapshot", size, "bytes", len(whole.data), "bytes"),
        rows.Row("snapshot", size, "records", len(chunks), ""),
        rows.Row("snapshot", size, "make and cut", made_s * 1e3, "ms"),
        rows.Row("snapshot", size, "restore", restored_s * 1e3, "ms"),
    ]


def _measure_plan(
    size: str, state: control.ControlState, servers: int
) -> list[rows.Row]:
    """Measures a plan without changes, and one after the loss of a domain.

    The domain contains one in 7 servers.
    """
    cell = state.find_cell(SERVICE)
    usable = dict.fromkeys(
        (_server_id(n) for n in range(servers)), planner.Eligibility.USABLE
    )
    lost = usable | dict.fromkeys(
        (_server_id(n) for n in range(0, servers, 7)),
        planner.Eligibility.UNUSABLE,
    )
    view = planner.PlannerView(
        cell=cell,
        servers=usable,
        instances=[ids.InstanceId(f"entry-{n}") for n in range(11)],
        domains={},
        loads={
            ids.SliceIndex(n): float(n % 50) for n in range(len(cell.slices))
        },
        unfit_queue_owners=set(),
        handed_over=set(),
    )
    settings = planner.PlannerSettings(1.25, 16)
    idle_s = rows.measure_cpu_s(lambda: planner.plan(view, settings))
    lost_view = view._replace(servers=lost)
    lost_s = rows.measure_cpu_s(lambda: planner.plan(lost_view, settings))
    moved = len(planner.plan(lost_view, settings).moves)
    return [
        rows.Row("plan", size, "nothing lost", idle_s * 1e3, "ms"),
        rows.Row("plan", size, "1 in 7 servers lost", lost_s * 1e3, "ms"),
        rows.Row("plan", size, "slices moved by that", moved, ""),
    ]
