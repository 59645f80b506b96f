"""Reserves memory for single requests, and reports refusals."""

from collections.abc import Iterator
import contextlib
from types import TracebackType
from typing import Self

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib

_LOG_INTERVAL_S = 1.0
"""The shortest time between two log lines about refusals."""

RETRY_AFTER_MS = 1_000
"""When a refused request may come again: by then, most of the requests that
hold memory now are answered."""


class NoMemoryError(Exception):
    """There is no room for the body of a request."""


class BodyHold:
    """The memory that is reserved for the body of one request.

    Used as a context manager, which releases the memory at its end.
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
            copies_count: How many copies of the body are held at a time.
        """
        self._ledger = ledger
        self._purpose = purpose
        self._copies_count = copies_count
        self._held_bytes = 0

    def __enter__(self) -> Self:
        """Returns this hold."""
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
        """Reserves what a body needs that has at least this size.

        The reservation is made anew for the whole size: the ledger must not
        take a large body that arrives in pieces for many small ones.

        Raises:
            NoMemoryError: There is no room; what was reserved stays so.
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

    def hold_body(self) -> BodyHold:
        """Returns the hold of a caller's request.

        At most two copies exist at a time: the received pieces and the joined
        body, and later the body and the message to the server.
        """
        return BodyHold(self._ledger, memory_ledger.Purpose.BODY, 2)

    def hold_forward(self) -> BodyHold:
        """Returns the hold of a request that another instance forwards.

        The message is held until its answer is written, next to the decoded
        body and the message to the server.
        """
        return BodyHold(self._ledger, memory_ledger.Purpose.FORWARD, 3)

    @contextlib.contextmanager
    def hold_answer(
        self, purpose: memory_ledger.Purpose, size_bytes: int
    ) -> Iterator[None]:
        """Counts an answer; it exists, so it cannot be refused any more."""
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
    hold: BodyHold,
) -> bytes | None:
    """Returns the body of a request; None if the caller disconnected.

    A body whose size is stated is read only if there is room for all of it.

    Raises:
        ValueError: The body is larger than allowed.
        NoMemoryError: There is no room for it.
    """
    declared_bytes = listener.declared_body_bytes(scope)
    if declared_bytes > max_bytes:
        raise ValueError(f"the body has more than {max_bytes} bytes")
    hold.grow(declared_bytes)
    return await listener.read_body(receive, max_bytes, hold.grow)
