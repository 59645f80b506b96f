"""Bounds what a connection receives beside the bodies of its requests.

Whatever is no body is bounded by its number of bytes, whichever part it belongs
to: empty lines, a target, names, values, trailers or extensions of chunks.
"""

import dataclasses
import enum

_HEAD_END = b"\r\n\r\n"

PIECE_BYTES = 4_096
"""The size of the pieces in which received bytes are parsed.

One read may contain thousands of lines or of small requests, so the bounds are
checked between pieces.
"""


class Excess(enum.Enum):
    """Why nothing more is read of a request."""

    HEAD = "the head is too large"
    FRAMING = "there are too many bytes beside the body"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a request may have beside its body."""

    # Empty lines, the request line and the header lines. One more byte is
    # refused.
    head_max_bytes: int = 64 * 1024
    # Trailers and whatever else surrounds a body.
    framing_max_bytes: int = 64 * 1024
    # The framing of chunks, by the bytes of the body. A chunk of one byte has
    # five others.
    framing_max_ratio: float = 5.0


class RequestBounds:
    """Counts what has been received of the newest request of a connection."""

    def __init__(self, limits: RequestLimits) -> None:
        """Starts before the first request."""
        self.limits = limits
        # Whether the head of the request is complete, but not the request.
        self.is_in_body = False
        # What has been received of the head, if it is not complete.
        self.head_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        # The end of the last piece of a head.
        self._tail = b""

    @property
    def excess_framing_bytes(self) -> int:
        """The framing of the request beyond that of the smallest chunks."""
        allowed_bytes = self.limits.framing_max_ratio * self._body_bytes
        return max(int(self._framing_bytes - allowed_bytes), 0)

    def take_piece(self, data: bytes, offset: int) -> bytes:
        """Returns the next piece of received bytes, to be parsed at once.

        It ends where a head ends.

        Args:
            data: The received bytes.
            offset: The position of the piece; a byte is left there.
        """
        piece = data[offset : offset + PIECE_BYTES]
        if self.is_in_body:
            return piece
        return piece[: self._find_head_end(piece)]

    def add(self, piece: bytes) -> Excess | None:
        """Counts a piece that is about to be parsed.

        Returns:
            The bound that it exceeds. It must not be parsed then.
        """
        if self.is_in_body:
            self._framing_bytes += len(piece)
            return None
        self.head_bytes += len(piece)
        self._tail = (self._tail + piece)[1 - len(_HEAD_END) :]
        if self.head_bytes > self.limits.head_max_bytes:
            return Excess.HEAD
        return None

    def check_framing(self) -> Excess | None:
        """Returns the bound that the pieces exceed which were parsed."""
        if (
            self.is_in_body
            and self.excess_framing_bytes > self.limits.framing_max_bytes
        ):
            return Excess.FRAMING
        return None

    def begin_body(self) -> None:
        """Records that the head of the request is complete."""
        self.is_in_body = True
        self._tail = b""

    def add_body(self, size_bytes: int) -> None:
        """Records that bytes that were counted belong to the body."""
        self._body_bytes += size_bytes
        self._framing_bytes -= size_bytes

    def end(self) -> None:
        """Records that the request is complete."""
        self.is_in_body = False
        self.head_bytes = self._body_bytes = self._framing_bytes = 0
        self._tail = b""

    def _find_head_end(self, piece: bytes) -> int:
        """Returns the position behind the first empty line of a piece."""
        found = (self._tail + piece).find(_HEAD_END)
        if found < 0:
            return len(piece)
        return found + len(_HEAD_END) - len(self._tail)
