import pytest

from bridgecross_core import ids
from bridgecross_log import snapshot


def _cut(size: int) -> list[snapshot.SnapshotChunk]:
    data = bytes(i % 251 for i in range(size))
    return snapshot.cut_snapshot(snapshot.Snapshot(ids.Offset(7), data), "a")


@pytest.mark.parametrize(
    "size", [0, 1, snapshot.CHUNK_BYTES, snapshot.CHUNK_BYTES * 2 + 1]
)
def test_what_is_cut_can_be_put_together(size):
    assembler = snapshot.Assembler()
    whole = [assembler.add(chunk) for chunk in _cut(size)]
    assert whole[-1] is not None
    assert whole[-1].as_of == 7
    assert len(whole[-1].data) == size
    assert whole[:-1] == [None] * (len(whole) - 1)


def test_a_damaged_chunk_spoils_the_snapshot():
    assembler = snapshot.Assembler()
    first, last = _cut(snapshot.CHUNK_BYTES + 1)
    damaged = first._replace(data=b"x" + first.data[1:])
    assert assembler.add(damaged) is None
    assert assembler.add(last) is None


def test_chunks_of_two_snapshots_do_not_mix():
    assembler = snapshot.Assembler()
    first, last = _cut(snapshot.CHUNK_BYTES + 1)
    assert assembler.add(first) is None
    assert assembler.add(last._replace(snapshot_id="b")) is None
