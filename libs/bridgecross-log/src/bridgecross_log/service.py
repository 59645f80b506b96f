"""The interface of a log service, and its errors."""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids


class StoredRecord(NamedTuple):
    """A record as stored by the log."""

    offset: ids.Offset
    data: bytes


class ReadBatch(NamedTuple):
    """The result of one read of a stream.

    ``first_offset`` is the lowest offset that the log retains. ``next_offset``
    is the end of the stream when the log answered: a reader that has applied
    all records below it has caught up.
    """

    records: list[StoredRecord]
    first_offset: ids.Offset
    next_offset: ids.Offset


class LogError(Exception):
    """A call of the log service failed."""


class LogUnavailableError(LogError):
    """The log could not be read; a retry may succeed."""


class AppendRefusedError(LogError):
    """The record was certainly not appended."""


class AppendOutcomeUnknownError(LogError):
    """The record may or may not have been appended."""


class OffsetExpiredError(LogError):
    """The log no longer retains the requested offset."""

    def __init__(self, first_offset: ids.Offset) -> None:
        """Stores the lowest offset that can still be read."""
        self.first_offset = first_offset
        super().__init__(f"records below offset {first_offset} have expired")


class LogService(Protocol):
    """An append-only log of named streams, whose records have offsets."""

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record and returns its offset.

        Raises:
            AppendRefusedError: The record was certainly not appended.
            AppendOutcomeUnknownError: The record may have been appended.
        """

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> ReadBatch:
        """Returns records from an offset on; waits if there are none yet.

        Args:
            stream: The stream's name.
            from_offset: The lowest offset to return.
            wait_ms: How long the log may wait if there is no record yet.

        Raises:
            LogUnavailableError: The log did not answer.
            OffsetExpiredError: Retention has removed the offset.
        """
