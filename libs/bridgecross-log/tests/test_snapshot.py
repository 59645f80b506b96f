import pytest

from bridgecross_core import ids
from bridgecross_log import snapshot


def _split(size: int) -> list[snapshot.SnapshotChunk]:
    data = bytes(i % 251 for i in range(size))
    return snapshot.split_snapshot(snapshot.Snapshot(ids.Offset(7), data), "a")


@pytest.mark.parametrize(
    "size", [0, 1, snapshot.CHUNK_BYTES, snapshot.CHUNK_BYTES * 2 + 1]
)
def test_a_split_snapshot_can_be_reassembled(size):
    assembler = snapshot.Assembler()
    results = [assembler.add(chunk) for chunk in _split(size)]
    assert results[-1] is not None
    assert results[-1].as_of == 7
    assert len(results[-1].data) == size
    assert results[:-1] == [None] * (len(results) - 1)


def test_a_snapshot_with_a_corrupted_chunk_is_dropped():
    assembler = snapshot.Assembler()
    first, last = _split(snapshot.CHUNK_BYTES + 1)
    corrupted = first._replace(data=b"x" + first.data[1:])
    assert assembler.add(corrupted) is None
    assert assembler.add(last) is None


def test_chunks_of_different_snapshots_are_not_combined():
    assembler = snapshot.Assembler()
    first, last = _split(snapshot.CHUNK_BYTES + 1)
    assert assembler.add(first) is None
    assert assembler.add(last._replace(snapshot_id="b")) is None
