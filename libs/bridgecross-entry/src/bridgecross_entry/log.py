"""The interface to the platform's log.

In a topic that is compacted by key, the newest record of each key is kept
forever, so no snapshots and no retention handling are needed: a follower starts
from the newest records and reads on from there.
"""

from collections.abc import Callable
import dataclasses
from typing import NamedTuple
from typing import Protocol


class KeyedRecord(NamedTuple):
    """The newest value of a key."""

    key: str
    # Empty if the key has been removed.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key of a topic."""

    records: tuple[KeyedRecord, ...]
    # The offset to read on from. Changes after it may already be included.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records from an offset on, in order."""

    records: tuple[KeyedRecord, ...]
    # The offset after the last of the records.
    next_offset: int
    # The end of the topic; if it is beyond ``next_offset`` there are more
    # records.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """The log no longer stores records from that offset on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The log did not answer, or rejected the call."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record was appended."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was appended: the topic does not end at the expected offset."""

    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The record may have been appended, or may still be appended later."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, as ``MaySend`` no longer allowed it."""


AppendResult = Appended | Conflict | Uncertain | Unreachable | Withheld
"""The result of a conditional append."""

MaySend = Callable[[], bool]
"""Whether a record may still be sent: called once there is a connection, and
nothing is awaited between the call and the first byte."""


def always() -> bool:
    """A ``MaySend`` that allows everything."""
    return True


class PlatformLog(Protocol):
    """The calls of the platform's log that an instance uses."""

    async def read_newest(self, topic: str) -> Newest | Unreachable:
        """Returns the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_ms: float
    ) -> Batch | Forgotten | Unreachable:
        """Returns records from an offset on, and waits if there are none."""

    async def append(
        self,
        topic: str,
        record: KeyedRecord,
        expected_end: int,
        may_send: MaySend = always,
    ) -> AppendResult:
        """Appends a record if the topic still ends at the expected offset."""

    async def put(self, topic: str, record: KeyedRecord) -> bool:
        """Appends a record unconditionally; returns whether it was appended."""
