import hypothesis
from hypothesis import strategies as st

from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records as log_records
from bridgecross_ownership import cell as cells
from bridgecross_ownership import records

SERVICE = ids.ServiceName("rapor")
SLICES = 4


def _claim(supersedes: int, coordinator: str) -> records.Claim:
    return records.Claim(
        SERVICE,
        ids.Term(supersedes),
        ids.InstanceId(coordinator),
        SLICES,
    )


def _assignment(
    term: int,
    base: int,
    moves: dict[str, tuple[int, ...]],
    *,
    settled: tuple[int, ...] = (),
    queue_owners: dict[str, str] | None = None,
    backup: str = "",
    accepted_queue_owners: tuple[str, ...] = (),
    retired: tuple[str, ...] = (),
) -> records.Assignment:
    return records.Assignment(
        service=SERVICE,
        term=ids.Term(term),
        base=ids.Offset(base),
        moves=tuple(
            records.ServerSlices(
                ids.ServerId(server), tuple(map(ids.SliceIndex, slices))
            )
            for server, slices in moves.items()
        ),
        queue_owners=tuple(
            records.ServerQueueOwner(
                ids.ServerId(s), ids.InstanceId(f), (), ids.ServerId(backup)
            )
            for s, f in (queue_owners or {}).items()
        ),
        settled=tuple(map(ids.SliceIndex, settled)),
        accepted_queue_owners=tuple(map(ids.ServerId, accepted_queue_owners)),
        retired=tuple(map(ids.ServerId, retired)),
        reason="",
    )


def _record(
    offset: int, value: records.Claim | records.Assignment
) -> log_records.LogRecord:
    if isinstance(value, records.Claim):
        kind, body = records.CLAIM_KIND, records.CLAIMS.encode(value)
    else:
        kind, body = records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(value)
    envelope = log_records.Envelope(
        f"r{offset}", kind, "w", hybrid_clock.Timestamp(0, 0), body
    )
    return log_records.LogRecord(ids.Offset(offset), envelope)


def _apply(
    cell: cells.Cell, offset: int, value: records.Claim | records.Assignment
) -> appender.Verdict:
    return cell.apply(_record(offset, value))


def _claimed() -> cells.Cell:
    cell = cells.Cell(SERVICE)
    assert isinstance(_apply(cell, 0, _claim(-1, "a")), appender.Applied)
    return cell


def test_of_two_claims_at_once_the_second_is_void():
    cell = _claimed()
    assert isinstance(_apply(cell, 1, _claim(0, "b")), appender.Applied)
    assert isinstance(_apply(cell, 2, _claim(0, "c")), appender.Void)
    assert cell.coordinator == "b"


def test_a_coordinator_that_was_replaced_changes_nothing():
    cell = _claimed()
    _apply(cell, 1, _claim(0, "b"))
    late = _assignment(0, 0, {"s1": (0, 1)})
    assert isinstance(_apply(cell, 2, late), appender.Void)
    assert cell.list_holders() == set()


def test_a_second_copy_of_an_assignment_is_void():
    cell = _claimed()
    assignment = _assignment(0, 0, {"s1": (0,)})
    assert isinstance(_apply(cell, 1, assignment), appender.Applied)
    assert isinstance(_apply(cell, 2, assignment), appender.Void)
    assert cell.slices[0].token == 1


def test_earlier_owners_are_kept_until_settled():
    cell = _claimed()
    _apply(cell, 1, _assignment(0, 0, {"s1": (0,)}))
    _apply(cell, 2, _assignment(0, 1, {"s2": (0,)}))
    _apply(cell, 3, _assignment(0, 2, {"s3": (0,)}))
    assert cell.slices[0] == cells.SliceState(
        ids.ServerId("s3"),
        ids.Token(3),
        (ids.ServerId("s1"), ids.ServerId("s2")),
    )
    retire = _assignment(0, 3, {}, retired=("s1",))
    assert isinstance(_apply(cell, 4, retire), appender.Void)
    settle = _assignment(0, 3, {}, settled=(0,))
    assert isinstance(_apply(cell, 5, settle), appender.Applied)
    assert cell.slices[0].prior == ()
    retire_now = _assignment(0, 5, {}, retired=("s1",))
    assert isinstance(_apply(cell, 6, retire_now), appender.Applied)


def test_earlier_queue_owners_are_kept_until_the_newest_is_accepted():
    cell = _claimed()
    server = ids.ServerId("s1")
    _apply(cell, 1, _assignment(0, 0, {}, queue_owners={"s1": "a"}))
    assert cell.queue_owners[server].earlier == ()
    _apply(cell, 2, _assignment(0, 1, {}, queue_owners={"s1": "b"}))
    _apply(cell, 3, _assignment(0, 2, {}, queue_owners={"s1": "c"}))
    earlier = cell.queue_owners[server].earlier
    assert [(e.instance, e.token) for e in earlier] == [("a", 1), ("b", 2)]
    nobody = _assignment(0, 3, {}, accepted_queue_owners=("s9",))
    assert isinstance(_apply(cell, 4, nobody), appender.Void)
    _apply(cell, 5, _assignment(0, 3, {}, accepted_queue_owners=("s1",)))
    assert cell.queue_owners[server].earlier == ()
    assert cell.queue_owners[server].token == 3


def test_the_next_owner_of_a_slice_asks_the_backup_as_well():
    cell = _claimed()
    backup = ids.ServerId("s9")
    queue_owners = {"s1": "a"}
    _apply(
        cell,
        1,
        _assignment(
            0, 0, {"s1": (0, 1)}, queue_owners=queue_owners, backup="s9"
        ),
    )
    _apply(cell, 2, _assignment(0, 1, {"s2": (0,)}))
    assert cell.slices[0].prior == (ids.ServerId("s1"), backup)
    assert cell.slices[1].prior == ()
    same = _assignment(0, 2, {}, queue_owners=queue_owners, backup="s8")
    _apply(cell, 3, same)
    assert cell.slices[1].prior == ()
    _apply(cell, 4, _assignment(0, 3, {}, queue_owners={"s1": "b"}))
    assert cell.slices[1].prior == (ids.ServerId("s8"),)


def test_unknown_slices_and_damaged_bodies_are_void():
    cell = _claimed()
    assert isinstance(
        _apply(cell, 1, _assignment(0, 0, {"s1": (SLICES,)})), appender.Void
    )
    record = _record(2, _claim(0, "b"))
    torn = record._replace(
        envelope=record.envelope._replace(body=record.envelope.body[:-3])
    )
    assert isinstance(cell.apply(torn), appender.Void)
    assert cell.term == 0


_offsets = st.integers(min_value=-1, max_value=12)
_claims = st.builds(_claim, _offsets, st.sampled_from("abc"))
_moves = st.dictionaries(
    st.sampled_from(["s1", "s2", "s3"]),
    st.tuples(st.integers(min_value=0, max_value=SLICES)),
    max_size=2,
)
_assignments = st.builds(
    _assignment,
    _offsets,
    _offsets,
    _moves,
    settled=st.lists(st.integers(0, SLICES - 1), max_size=2).map(tuple),
    queue_owners=st.dictionaries(
        st.sampled_from(["s1", "s2"]), st.sampled_from("ab"), max_size=1
    ),
    accepted_queue_owners=st.lists(
        st.sampled_from(["s1", "s2"]), max_size=1
    ).map(tuple),
    retired=st.lists(st.sampled_from(["s1", "s2"]), max_size=1).map(tuple),
)


@st.composite
def _streams(draw: st.DrawFn) -> list[records.Claim | records.Assignment]:
    """Draws streams in which about half of the records are made to fit."""
    stream: list[records.Claim | records.Assignment] = [_claim(-1, "a")]
    cell = cells.Cell(SERVICE)
    _apply(cell, 0, stream[0])
    for offset in range(1, draw(st.integers(1, 12))):
        value = draw(st.one_of(_claims, _assignments))
        if draw(st.booleans()):
            if isinstance(value, records.Claim):
                value = value._replace(supersedes=cell.term)
            else:
                value = value._replace(term=cell.term, base=cell.head)
        _apply(cell, offset, value)
        stream.append(value)
    return stream


@hypothesis.given(stream=_streams(), cut=st.integers(0, 12))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_every_reader_reaches_the_same_state(stream, cut):
    whole = cells.Cell(SERVICE)
    for offset, value in enumerate(stream):
        _apply(whole, offset, value)
    resumed = cells.Cell(SERVICE)
    for offset, value in enumerate(stream[:cut]):
        _apply(resumed, offset, value)
    copy = cells.Cell(SERVICE)
    copy.restore(resumed.to_snapshot())
    for offset, value in list(enumerate(stream))[cut:]:
        _apply(copy, offset, value)
    assert copy.to_snapshot() == whole.to_snapshot()
    for server in ("s1", "s2", "s3"):
        server_id = ids.ServerId(server)
        assert copy.list_slices_of(server_id) == [
            index
            for index, state in enumerate(whole.slices)
            if state.server == server_id
        ]


@hypothesis.given(stream=_streams())
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_tokens_of_a_slice_never_decrease(stream):
    cell = cells.Cell(SERVICE)
    highest = [ids.NO_TOKEN] * SLICES
    for offset, value in enumerate(stream):
        _apply(cell, offset, value)
        for index, state in enumerate(cell.slices):
            assert state.token >= highest[index]
            assert state.server not in state.prior
            highest[index] = state.token
