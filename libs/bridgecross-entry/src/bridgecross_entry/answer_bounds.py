"""Bounds what an exchange receives, and what all of them hold together.

A faulty peer may send bytes without end, in any part of an answer: a name, a
value, headers, trailers, a reason, a chunk's extension, interim answers,
answers to other requests, or bodies. So whatever is no body is bounded by its
number of bytes, whichever part it belongs to.
"""

import dataclasses
import enum
from types import TracebackType
from typing import Self

from bridgecross_entry import journal as journals
from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_reservation
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model


class Excess(enum.Enum):
    """Why an exchange receives nothing more."""

    FRAMING = "the answer has too many bytes beside its body"
    BODY = "the answer is too large"
    MEMORY = "there is no memory for the answer"


@dataclasses.dataclass(frozen=True, slots=True)
class BoundSettings:
    """What an exchange may receive until its answer is complete."""

    # The sum of all bodies: an answer to an earlier request may come first.
    body_max_bytes: int = 64 * 1024 * 1024
    # Heads, trailers and whatever else is no body, besides the lengths of
    # chunks.
    framing_max_bytes: int = 64 * 1024
    # The lengths of chunks, by the bytes of bodies: a chunk has 6 bytes and
    # more beside it. Parsing many tiny ones keeps the processor busy.
    framing_max_ratio: float = 0.25
    # A body is counted by the ledger once it is longer.
    uncounted_max_bytes: int = 16 * 1024


SMALL = BoundSettings(body_max_bytes=1024 * 1024)
"""For answers between instances that have a few kilobytes at most."""


class AnswerMemory:
    """Counts what all exchanges hold, and tells of those that were ended."""

    def __init__(
        self,
        ledger: memory_ledger.Ledger,
        journal: journals.Journal | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        """Starts without exchanges.

        Args:
            ledger: Grants memory.
            journal: Logs each exchange that was ended.
            metrics: Counts them by reason.
        """
        self._ledger = ledger
        self._journal = journal
        self._metrics = metrics

    def reserve(self) -> memory_reservation.BodyReservation:
        """Returns an empty reservation for the bodies of an exchange.

        The body as received and the one of the answer exist at the same time.
        """
        return memory_reservation.BodyReservation(
            self._ledger, memory_ledger.Purpose.RECEIVING, 2
        )

    def note_excess(
        self, address: model.Address, excess: Excess, received_bytes: int
    ) -> None:
        """Logs and counts an exchange that receives nothing more."""
        if self._journal is not None:
            self._journal.decision(
                "answer_broken_off",
                address=str(address),
                reason=excess.value,
                received_bytes=received_bytes,
            )
        if self._metrics is not None:
            self._metrics.answers_broken_off.inc(
                {"reason": excess.name.lower()}
            )


UNCOUNTED = AnswerMemory(memory_ledger.UNLIMITED)
"""For exchanges that are few, or whose answers are small by their bounds."""


class ReceivedBytes:
    """The bytes that one exchange has received.

    A context manager that releases the memory of the bodies at its end.
    """

    def __init__(
        self,
        settings: BoundSettings,
        memory: AnswerMemory,
        address: model.Address,
    ) -> None:
        """Starts without any bytes.

        Args:
            settings: The bounds.
            memory: Counts the bodies.
            address: Where the answer comes from.
        """
        self._settings = settings
        self._memory = memory
        self._address = address
        self._reservation = memory.reserve()
        self._total_bytes = 0
        self._body_bytes = 0
        self._excess: Excess | None = None

    def __enter__(self) -> Self:
        """Returns this object."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Releases what is reserved."""
        self._reservation.__exit__(kind, error, traceback)

    def add_body(self, size_bytes: int) -> Excess | None:
        """Counts a piece of a body; returns which bound it exceeds."""
        self._body_bytes += size_bytes
        if self._body_bytes > self._settings.body_max_bytes:
            return self._note(Excess.BODY)
        if self._body_bytes > self._settings.uncounted_max_bytes:
            try:
                self._reservation.grow(self._body_bytes)
            except memory_reservation.NoMemoryError:
                return self._note(Excess.MEMORY)
        return None

    def add_parsed(self, size_bytes: int) -> Excess | None:
        """Counts bytes whose bodies are counted; returns which is exceeded."""
        self._total_bytes += size_bytes
        settings = self._settings
        framing_bytes = self._total_bytes - self._body_bytes
        chunks_bytes = settings.framing_max_ratio * self._body_bytes
        if framing_bytes > settings.framing_max_bytes + chunks_bytes:
            return self._note(Excess.FRAMING)
        return None

    def _note(self, excess: Excess) -> Excess:
        """Logs and counts the first bound that is exceeded."""
        if self._excess is None:
            self._excess = excess
            received_bytes = max(self._total_bytes, self._body_bytes)
            self._memory.note_excess(self._address, excess, received_bytes)
        return self._excess
