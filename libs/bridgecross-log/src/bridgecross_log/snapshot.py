"""Splits states into checksummed chunks and reassembles them.

Retention removes old records, so the state folded from them is appended as a
snapshot before that. A snapshot may exceed the maximum size of a record, so it
is split into chunks; a reader uses it only if all chunks are present and the
checksum of the whole is correct.
"""

from typing import NamedTuple

import xxhash

from bridgecross_core import codec
from bridgecross_core import ids

CHUNK_KIND = "snapshot-chunk"
"""The kind of the records that contain chunks."""

CHUNK_BYTES = 65_536
"""The maximum size of a chunk's data."""


class SnapshotChunk(NamedTuple):
    """One chunk of a snapshot.

    ``as_of`` is the offset of the last record included in the state.
    ``checksum`` is the 64-bit XXH3 hash of the whole state.
    """

    snapshot_id: str
    as_of: ids.Offset
    part: int
    parts: int
    checksum: int
    data: bytes


class Snapshot(NamedTuple):
    """A whole state and the offset of the last record included in it."""

    as_of: ids.Offset
    data: bytes


_CHUNKS = codec.Codec(SnapshotChunk)


def encode_chunk(chunk: SnapshotChunk) -> bytes:
    """Returns the body of a record that contains the chunk."""
    return _CHUNKS.encode(chunk)


def decode_chunk(body: bytes) -> SnapshotChunk:
    """Returns the chunk in a record's body.

    Raises:
        codec.CodecError: The body is corrupted.
    """
    return _CHUNKS.decode(body)


def split_snapshot(snapshot: Snapshot, snapshot_id: str) -> list[SnapshotChunk]:
    """Splits a snapshot into chunks of at most ``CHUNK_BYTES``."""
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
    """Reassembles snapshots from their chunks, one snapshot at a time."""

    def __init__(self) -> None:
        """Initializes the assembler without chunks."""
        self._snapshot_id = ""
        self._parts: dict[int, bytes] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Adds a chunk; returns the snapshot if it is now complete.

        A chunk of another snapshot discards the previous chunks. A complete
        snapshot with a wrong checksum is dropped; the next one replaces it.
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
