"""The platform's log as the product sees it.

Topics that are compacted by key keep the newest record of each key for good,
so they replace snapshots and retention work: a follower starts from the
newest records and reads on from there.
"""

import dataclasses
from typing import NamedTuple
from typing import Protocol


class KeyedRecord(NamedTuple):
    """The newest value of a key."""

    key: str
    # Empty if the key was removed.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key of a topic."""

    records: tuple[KeyedRecord, ...]
    # The offset to read on from; later changes may already be in.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records from an offset on, in order."""

    records: tuple[KeyedRecord, ...]
    # The offset after the last of the records.
    next_offset: int
    # Where the topic ended; there are more records if that is further on.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """The log no longer keeps records from that offset on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The log did not answer, or turned the call away."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record is in the log."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was appended: the topic does not end where it was expected."""

    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The record may be in the log, or come to be in it later."""

    reason: str


class PlatformLog(Protocol):
    """The calls of the platform's log that the product uses."""

    async def read_newest(self, topic: str) -> Newest | Unreachable:
        """Returns the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_ms: float
    ) -> Batch | Forgotten | Unreachable:
        """Returns records from an offset on, waiting for one if need be."""

    async def append(
        self, topic: str, record: KeyedRecord, expected_end: int
    ) -> Appended | Conflict | Uncertain | Unreachable:
        """Appends a record if the topic still ends at an offset."""

    async def put(self, topic: str, record: KeyedRecord) -> bool:
        """Appends a record whatever came before; returns whether it is in."""
