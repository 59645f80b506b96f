import pathlib

from bridgecross_core import clock
from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_daemon import control
from bridgecross_log import records
from bridgecross_log import service
from bridgecross_log import snapshot
from bridgecross_ownership import records as ownership
from bridgecross_settings import check
from bridgecross_settings import versions
from bridgecross_timeline import ring

SAMPLE = pathlib.Path(__file__).parents[3] / "settings" / "karatas.jsonc"
DOCUMENT = check.check_text(SAMPLE.read_text(encoding="utf-8"), "k").document
RAPOR = ids.ServiceName("rapor")


def _make_state() -> control.ControlState:
    stamped = hybrid_clock.HybridClock(clock.SystemClock())
    return control.ControlState(ring.Ring(ring.RingSettings("t"), stamped))


def _make_record(offset: int, kind: str, body: bytes) -> service.StoredRecord:
    envelope = records.Envelope(
        f"r{offset}", kind, "w", hybrid_clock.Timestamp(0, 0), body
    )
    return service.StoredRecord(
        ids.Offset(offset), records.encode_envelope(envelope)
    )


def _make_change(offset: int, base: int) -> service.StoredRecord:
    change = versions.SettingsChange(
        ids.Offset(base), "ayse", "", codec.to_json(DOCUMENT).encode()
    )
    return _make_record(
        offset, versions.CHANGE_KIND, versions.encode_change(change)
    )


def _make_claim(offset: int, supersedes: int) -> service.StoredRecord:
    claim = ownership.Claim(RAPOR, ids.Term(supersedes), ids.InstanceId("a"), 4)
    return _make_record(
        offset, ownership.CLAIM_KIND, ownership.CLAIMS.encode(claim)
    )


def _make_chunks(state: control.ControlState, offset: int):
    taken = state.to_snapshot()
    return [
        _make_record(
            offset + i, snapshot.CHUNK_KIND, snapshot.encode_chunk(chunk)
        )
        for i, chunk in enumerate(snapshot.split_snapshot(taken, "s"))
    ]


def test_invalid_records_are_reported_and_change_nothing():
    state = _make_state()
    state.apply(_make_change(0, -1))
    state.apply(service.StoredRecord(ids.Offset(1), b"\xc1 not ours"))
    state.apply(_make_record(2, "a-kind-of-tomorrow", b""))
    state.apply(_make_claim(3, -1))
    assert [r.offset for r in state.invalid_records] == [1, 2]
    assert state.settings.offset == 0
    assert state.find_cell(RAPOR).term == 3


def test_a_reader_resumes_from_a_snapshot_after_records_expired():
    complete = _make_state()
    stream = [_make_change(0, -1), _make_claim(1, -1)]
    for record in stream:
        complete.apply(record)
    stream += _make_chunks(complete, 2)
    stream.append(_make_claim(len(stream), 1))
    late = _make_state()
    late.restart(ids.Offset(2))
    assert late.awaits_snapshot
    for record in stream[2:]:
        late.apply(record)
    for record in stream[2:]:
        complete.apply(record)
    assert not late.awaits_snapshot
    assert late.settings.offset == complete.settings.offset == 0
    assert (
        late.find_cell(RAPOR).to_snapshot()
        == complete.find_cell(RAPOR).to_snapshot()
    )


def test_a_reader_waits_for_a_snapshot_that_covers_the_gap():
    complete = _make_state()
    complete.apply(_make_change(0, -1))
    late = _make_state()
    late.restart(ids.Offset(5))
    late.apply(_make_claim(5, -1))
    for record in _make_chunks(complete, 6):
        late.apply(record)
    assert late.awaits_snapshot, "the snapshot does not reach offset 5"
    assert late.settings.house is None


def test_an_older_snapshot_of_a_peer_is_ignored():
    old = _make_state()
    old.apply(_make_change(0, -1))
    older = old.to_snapshot()
    old.apply(_make_change(1, 0))
    old.restore_from_peer(older)
    assert old.settings.offset == 1
    fresh = _make_state()
    fresh.restore_from_peer(old.to_snapshot())
    assert (fresh.settings.offset, fresh.next_offset) == (1, 2)
