"""Counts the bytes that an instance holds for its callers and peers."""

import enum
from typing import Protocol


class Purpose(enum.Enum):
    """What bytes are held for."""

    BODY = "body"
    ANSWER = "answer"
    PIPELINE = "pipeline"
    FORWARD = "forward"


class Ledger(Protocol):
    """Grants and counts bytes of memory."""

    def try_reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserves bytes if there is room; returns whether it did."""

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Releases reserved bytes."""


class _Unlimited:
    """A ``Ledger`` without a limit."""

    def try_reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserves bytes."""
        del purpose, size_bytes
        return True

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Releases bytes."""
        del purpose, size_bytes


UNLIMITED: Ledger = _Unlimited()
"""The ledger of an instance whose settings state no memory limit."""
