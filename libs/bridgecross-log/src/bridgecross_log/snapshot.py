"""States cut into checksummed chunks, and put together again.

Retention removes old records, so the folded state is appended again as a
snapshot before that happens. A snapshot is larger than one record may be,
so it is cut into chunks; a reader uses it only when every chunk is there and
the checksum of the whole is right.
"""

from typing import NamedTuple

import xxhash

from bridgecross_core import codec
from bridgecross_core import ids

CHUNK_KIND = "snapshot-chunk"
"""The kind of a record that holds one chunk."""

CHUNK_BYTES = 65_536
"""The largest share of a snapshot that one record holds."""


class SnapshotChunk(NamedTuple):
    """One part of a snapshot.

    ``as_of`` is the offset of the last record that the state includes.
    ``checksum`` is the 64-bit XXH3 of the whole state.
    """

    snapshot_id: str
    as_of: ids.Offset
    part: int
    parts: int
    checksum: int
    data: bytes


class Snapshot(NamedTuple):
    """A whole state and the offset that it reaches to."""

    as_of: ids.Offset
    data: bytes


_CHUNKS = codec.Codec(SnapshotChunk)


def encode_chunk(chunk: SnapshotChunk) -> bytes:
    """Returns the body of the chunk's record."""
    return _CHUNKS.encode(chunk)


def decode_chunk(body: bytes) -> SnapshotChunk:
    """Returns the chunk in a record's body.

    Raises:
        codec.CodecError: The body is damaged.
    """
    return _CHUNKS.decode(body)


def cut_snapshot(snapshot: Snapshot, snapshot_id: str) -> list[SnapshotChunk]:
    """Cuts a snapshot into chunks of at most ``CHUNK_BYTES``."""
    data = snapshot.data
    checksum = xxhash.xxh3_64_intdigest(data)
    starts = range(0, max(len(data), 1), CHUNK_BYTES)
    return [
        SnapshotChunk(
            snapshot_id=snapshot_id,
            as_of=snapshot.as_of,
            part=index,
            parts=len(starts),
            checksum=checksum,
            data=data[start : start + CHUNK_BYTES],
        )
        for index, start in enumerate(starts)
    ]


class Assembler:
    """Puts the chunks of one snapshot at a time together."""

    def __init__(self) -> None:
        """Has no chunk yet."""
        self._snapshot_id = ""
        self._parts: dict[int, bytes] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Adds a chunk; returns the snapshot if that makes it whole.

        A chunk of another snapshot starts afresh, and a whole with a wrong
        checksum is dropped: the next snapshot will do.
        """
        if chunk.snapshot_id != self._snapshot_id:
            self._snapshot_id = chunk.snapshot_id
            self._parts = {}
        self._parts[chunk.part] = chunk.data
        if len(self._parts) < chunk.parts:
            return None
        data = b"".join(self._parts[index] for index in sorted(self._parts))
        self._parts = {}
        if xxhash.xxh3_64_intdigest(data) != chunk.checksum:
            return None
        return Snapshot(chunk.as_of, data)
