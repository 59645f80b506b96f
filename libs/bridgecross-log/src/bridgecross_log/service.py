"""The narrow interface of a log service, and its errors."""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids


class StoredRecord(NamedTuple):
    """A record as the log keeps it."""

    offset: ids.Offset
    data: bytes


class ReadBatch(NamedTuple):
    """What one read of a stream gave.

    ``next_offset`` is where the stream ended when the log answered, so the
    reader has caught up if it has applied everything below it.
    """

    records: list[StoredRecord]
    first_offset: ids.Offset
    next_offset: ids.Offset


class LogError(Exception):
    """The log service did not do what was asked."""


class LogUnavailableError(LogError):
    """The log could not be read; try again later."""


class AppendRefusedError(LogError):
    """The record was certainly not appended."""


class AppendFateUnknownError(LogError):
    """The record may or may not have been appended."""


class OffsetExpiredError(LogError):
    """The log no longer keeps the offset that was asked for."""

    def __init__(self, first_offset: ids.Offset) -> None:
        """Keeps the lowest offset that can still be read."""
        self.first_offset = first_offset
        super().__init__(f"records below offset {first_offset} have expired")


class LogService(Protocol):
    """An append-only log with offsets, in named streams."""

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record and returns its offset.

        Raises:
            AppendRefusedError: The record was certainly not appended.
            AppendFateUnknownError: The record may have been appended.
        """

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> ReadBatch:
        """Returns the records from an offset on, waiting for the first.

        Args:
            stream: The stream's name.
            from_offset: The lowest offset wanted.
            wait_ms: How long the log may wait if there is no record yet.

        Raises:
            LogUnavailableError: The log did not answer.
            OffsetExpiredError: Retention has removed the offset.
        """
