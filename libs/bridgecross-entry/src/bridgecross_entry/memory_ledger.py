"""Counts the bytes that an instance holds for its callers and peers."""

import dataclasses
import enum
from typing import Protocol

_MEGABYTE = 1_000_000

RETRY_AFTER_MS = 1_000
"""When a refused request may be repeated: by then, most of the requests that
hold memory now are answered."""


class Purpose(enum.Enum):
    """What bytes are held for."""

    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    PIPELINE = "pipeline"
    FORWARD = "forward"
    RECEIVING = "receiving"


class Ledger(Protocol):
    """Grants and counts bytes of memory."""

    def try_reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserves bytes if there is room; returns whether it did."""

    def reserve(self, purpose: Purpose, size_bytes: int) -> None:
        """Counts bytes that are held already, beyond the limit if need be."""

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Releases reserved bytes."""


class _Unlimited:
    """A ``Ledger`` without a limit."""

    def try_reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserves bytes."""
        del purpose, size_bytes
        return True

    def reserve(self, purpose: Purpose, size_bytes: int) -> None:
        """Counts bytes."""
        del purpose, size_bytes

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Releases bytes."""
        del purpose, size_bytes


UNLIMITED: Ledger = _Unlimited()
"""The ledger of an instance whose settings state no memory limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSettings:
    """How the memory of a process is divided."""

    # What the interpreter, the program and its knowledge of the cluster need.
    program_bytes: int = 80 * _MEGABYTE
    # The share of the remaining memory that the ledger grants. The other part
    # is for what it does not count: connections, small answers that are still
    # being received, and memory that the allocator keeps.
    granted_ratio: float = 0.6
    # What the ledger grants at least, for a limit that leaves almost nothing.
    granted_min_bytes: int = 8 * _MEGABYTE
    # The share of the granted memory that only small reservations may use, so
    # that large bodies do not keep out the other requests.
    small_ratio: float = 0.25
    # The largest small reservation: a body of 16 KiB, held twice.
    small_max_bytes: int = 2 * 16 * 1024


class MemoryLedger:
    """A ``Ledger`` with a limit."""

    def __init__(self, settings: LedgerSettings, memory_mb: float) -> None:
        """Creates a ledger without reservations.

        Args:
            settings: How the memory is divided.
            memory_mb: The memory that the process may use, in 10^6 bytes.
        """
        self._settings = settings
        rest_bytes = memory_mb * _MEGABYTE - settings.program_bytes
        # The bytes that the ledger grants.
        self.limit_bytes = max(
            int(rest_bytes * settings.granted_ratio), settings.granted_min_bytes
        )
        self._large_limit_bytes = int(
            self.limit_bytes * (1 - settings.small_ratio)
        )
        self._used_bytes = dict.fromkeys(Purpose, 0)
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """The bytes that are reserved."""
        return self._total_bytes

    @property
    def is_short(self) -> bool:
        """Whether there is no room for large reservations."""
        return self._total_bytes >= self._large_limit_bytes

    def used_bytes(self, purpose: Purpose) -> int:
        """Returns the bytes that are reserved for a purpose."""
        return self._used_bytes[purpose]

    def try_reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserves bytes if there is room; returns whether it did.

        A reservation of 0 bytes also fails while the limit is exceeded, since
        the request would need memory for its answer.
        """
        is_small = size_bytes <= self._settings.small_max_bytes
        limit_bytes = self.limit_bytes if is_small else self._large_limit_bytes
        if self._total_bytes + size_bytes > limit_bytes:
            return False
        self.reserve(purpose, size_bytes)
        return True

    def reserve(self, purpose: Purpose, size_bytes: int) -> None:
        """Counts bytes that are held already, beyond the limit if need be."""
        self._used_bytes[purpose] += size_bytes
        self._total_bytes += size_bytes

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Releases reserved bytes."""
        self._used_bytes[purpose] -= size_bytes
        self._total_bytes -= size_bytes
