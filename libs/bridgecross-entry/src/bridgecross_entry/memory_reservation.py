"""Reserves memory for a body whose size is not known before it has arrived."""

from types import TracebackType
from typing import Self

from bridgecross_entry import memory_ledger


class NoMemoryError(Exception):
    """There is no room for a body."""


class BodyReservation:
    """The memory that is reserved for one body.

    A context manager that releases the memory at its end.
    """

    def __init__(
        self,
        ledger: memory_ledger.Ledger,
        purpose: memory_ledger.Purpose,
        copies_count: int,
    ) -> None:
        """Reserves nothing yet.

        Args:
            ledger: Grants memory.
            purpose: What the body is held for.
            copies_count: The maximum number of copies of the body that exist
                at a time.
        """
        self._ledger = ledger
        self._purpose = purpose
        self._copies_count = copies_count
        self._held_bytes = 0

    def __enter__(self) -> Self:
        """Returns this reservation."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Releases what is reserved."""
        self._ledger.release(self._purpose, self._held_bytes)
        self._held_bytes = 0

    def grow(self, body_bytes: int) -> None:
        """Enlarges the reservation for a body of at least this size.

        The whole size is reserved anew: the ledger must not take a large body
        that arrives in pieces for many small ones.

        Args:
            body_bytes: The size of one copy of the body.

        Raises:
            NoMemoryError: There is no room; the reservation is unchanged.
        """
        wanted_bytes = body_bytes * self._copies_count
        if 0 < wanted_bytes <= self._held_bytes:
            return
        self._ledger.release(self._purpose, self._held_bytes)
        if self._ledger.try_reserve(self._purpose, wanted_bytes):
            self._held_bytes = wanted_bytes
            return
        self._ledger.reserve(self._purpose, self._held_bytes)
        raise NoMemoryError(f"no memory for a body of {body_bytes} bytes")
