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


def _state() -> control.ControlState:
    stamped = hybrid_clock.HybridClock(clock.SystemClock())
    return control.ControlState(ring.Ring(ring.RingSettings("t"), stamped))


def _store(offset: int, kind: str, body: bytes) -> service.StoredRecord:
    envelope = records.Envelope(
        f"r{offset}", kind, "w", hybrid_clock.Timestamp(0, 0), body
    )
    return service.StoredRecord(
        ids.Offset(offset), records.encode_envelope(envelope)
    )


def _change(offset: int, base: int) -> service.StoredRecord:
    change = versions.SettingsChange(
        ids.Offset(base), "ayse", "", codec.to_json(DOCUMENT).encode()
    )
    return _store(offset, versions.CHANGE_KIND, versions.encode_change(change))


def _claim(offset: int, supersedes: int) -> service.StoredRecord:
    claim = ownership.Claim(RAPOR, ids.Term(supersedes), ids.InstanceId("a"), 4)
    return _store(offset, ownership.CLAIM_KIND, ownership.CLAIMS.encode(claim))


def _snapshot(state: control.ControlState, offset: int):
    whole = state.to_snapshot()
    return [
        _store(offset + i, snapshot.CHUNK_KIND, snapshot.encode_chunk(chunk))
        for i, chunk in enumerate(snapshot.split_snapshot(whole, "s"))
    ]


def test_records_that_cannot_be_read_are_findings_and_change_nothing():
    state = _state()
    state.apply(_change(0, -1))
    state.apply(service.StoredRecord(ids.Offset(1), b"\xc1 not ours"))
    state.apply(_store(2, "a-kind-of-tomorrow", b""))
    state.apply(_claim(3, -1))
    assert [r.offset for r in state.unreadable] == [1, 2]
    assert state.settings.offset == 0
    assert state.find_cell(RAPOR).term == 3


def test_a_reader_resumes_from_a_snapshot_after_a_retention_cut():
    whole = _state()
    stream = [_change(0, -1), _claim(1, -1)]
    for record in stream:
        whole.apply(record)
    stream += _snapshot(whole, 2)
    stream.append(_claim(len(stream), 1))
    late = _state()
    late.restart(ids.Offset(2))
    assert late.awaits_snapshot
    for record in stream[2:]:
        late.apply(record)
    for record in stream[2:]:
        whole.apply(record)
    assert not late.awaits_snapshot
    assert late.settings.offset == whole.settings.offset == 0
    assert (
        late.find_cell(RAPOR).to_snapshot()
        == whole.find_cell(RAPOR).to_snapshot()
    )


def test_without_a_whole_snapshot_a_reader_waits():
    whole = _state()
    whole.apply(_change(0, -1))
    late = _state()
    late.restart(ids.Offset(5))
    late.apply(_claim(5, -1))
    for record in _snapshot(whole, 6):
        late.apply(record)
    assert late.awaits_snapshot, "the snapshot does not reach offset 5"
    assert late.settings.house is None


def test_a_peers_snapshot_never_takes_a_reader_back():
    old = _state()
    old.apply(_change(0, -1))
    kept = old.to_snapshot()
    old.apply(_change(1, 0))
    old.adopt(kept)
    assert old.settings.offset == 1
    fresh = _state()
    fresh.adopt(old.to_snapshot())
    assert (fresh.settings.offset, fresh.next_offset) == (1, 2)
