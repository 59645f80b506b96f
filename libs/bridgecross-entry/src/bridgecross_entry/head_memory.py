"""Counts the memory that the heads of requests take.

A line of four bytes becomes several objects, so that a head may take fifty
times its size.
"""

import dataclasses

from bridgecross_entry import memory_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class HeadMemorySettings:
    """What a head takes."""

    # A name and a value, their pair as it is received and as it is sent on,
    # and their places in lists and in a table.
    line_bytes: int = 256
    # Heads that take no more than this are counted, but never refused.
    never_refused_bytes: int = 8 * 1024


class HeadReservation:
    """The memory that is counted for the head of one request."""

    def __init__(
        self, settings: HeadMemorySettings, ledger: memory_ledger.Ledger
    ) -> None:
        """Counts nothing yet."""
        self._settings = settings
        self._ledger = ledger
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The memory that is counted."""
        return self._held_bytes

    def grow(self, size_bytes: int, lines_count: int) -> bool:
        """Counts a head as far as it has been received.

        Args:
            size_bytes: The size of what has been received.
            lines_count: The number of its lines.

        Returns:
            Whether there is room for it. If not, what was counted stays so.
        """
        wanted_bytes = size_bytes + lines_count * self._settings.line_bytes
        if wanted_bytes <= self._held_bytes:
            return True
        purpose = memory_ledger.Purpose.HEAD
        self._ledger.release(purpose, self._held_bytes)
        if wanted_bytes <= self._settings.never_refused_bytes:
            self._ledger.reserve(purpose, wanted_bytes)
        elif not self._ledger.try_reserve(purpose, wanted_bytes):
            self._ledger.reserve(purpose, self._held_bytes)
            return False
        self._held_bytes = wanted_bytes
        return True

    def release(self) -> None:
        """Releases what is counted."""
        self._ledger.release(memory_ledger.Purpose.HEAD, self._held_bytes)
        self._held_bytes = 0
