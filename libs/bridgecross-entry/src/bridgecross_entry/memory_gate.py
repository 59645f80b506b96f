"""Reserves memory for single requests, and reports refusals."""

from collections.abc import Iterator
import contextlib

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_reservation
from bridgecross_entry import metrics as metrics_lib

_LOG_INTERVAL_S = 1.0
"""The shortest time between two log lines about refusals."""


class MemoryGate:
    """Admits requests as far as the ledger has room for their bodies."""

    def __init__(
        self,
        ledger: memory_ledger.MemoryLedger,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Creates a gate that has refused nothing."""
        self._ledger = ledger
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._unlogged_count = 0
        self._logged_s = -_LOG_INTERVAL_S
        self._last_reason = ""

    def reserve_body(self) -> memory_reservation.BodyReservation:
        """Returns an empty reservation for a caller's request.

        At most two copies exist at a time: the received pieces and the joined
        body, and later the body and the message to the server.
        """
        return memory_reservation.BodyReservation(
            self._ledger, memory_ledger.Purpose.BODY, 2
        )

    def reserve_forward(self) -> memory_reservation.BodyReservation:
        """Returns an empty reservation for a request of another instance.

        The message is held until its answer is written, next to the decoded
        body and the message to the server.
        """
        return memory_reservation.BodyReservation(
            self._ledger, memory_ledger.Purpose.FORWARD, 3
        )

    @contextlib.contextmanager
    def count_answer(
        self, purpose: memory_ledger.Purpose, size_bytes: int
    ) -> Iterator[None]:
        """Counts an answer while it is written, beyond the limit if need be.

        It exists already, so refusing it would release nothing.
        """
        self._ledger.reserve(purpose, size_bytes)
        try:
            yield
        finally:
            self._ledger.release(purpose, size_bytes)

    def note_refusal(self, kind: str, reason: str) -> None:
        """Counts a refusal, and logs it unless there was a line just now.

        Args:
            kind: The label in the metrics.
            reason: What did not fit.
        """
        self._metrics.memory_refusals.inc({"reason": kind})
        self._unlogged_count += 1
        self._last_reason = reason
        self.log_refusals()

    def log_refusals(self) -> None:
        """Logs the refusals since the last line, once that is long ago."""
        now_s = self._clock.monotonic_s()
        if not self._unlogged_count or now_s < self._logged_s + _LOG_INTERVAL_S:
            return
        self._journal.decision(
            "memory_refused",
            count=self._unlogged_count,
            reason=self._last_reason,
            used_bytes=self._ledger.total_bytes,
            limit_bytes=self._ledger.limit_bytes,
        )
        self._unlogged_count = 0
        self._logged_s = now_s


async def read_body(
    scope: listener.Scope,
    receive: listener.Receive,
    max_bytes: int,
    reservation: memory_reservation.BodyReservation,
) -> bytes | None:
    """Returns the body of a request; None if the caller disconnected.

    A body whose size is stated is read only if there is room for all of it.

    Args:
        scope: The request, which may state the size of its body.
        receive: Returns the next message of the caller.
        max_bytes: The maximum size of the body.
        reservation: Grows with the body.

    Raises:
        ValueError: The body is larger than allowed.
        NoMemoryError: There is no room for it.
    """
    declared_bytes = listener.declared_body_bytes(scope)
    if declared_bytes > max_bytes:
        raise ValueError(f"the body has more than {max_bytes} bytes")
    reservation.grow(declared_bytes)
    return await listener.read_body(receive, max_bytes, reservation.grow)
