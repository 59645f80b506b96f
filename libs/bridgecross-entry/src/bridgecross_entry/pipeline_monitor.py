"""Counts and logs what happens to pipelined requests."""

from typing import Any

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import pipeline_order

_LOG_INTERVAL_S = 1.0
"""The minimum time between two log lines about paused connections."""

Order = pipeline_order.PipelineOrder[Any]


class PipelineMonitor:
    """Observes the pipelined connections of one listener."""

    def __init__(
        self,
        metrics: metrics_lib.ClientMetrics,
        journal: journals.DecisionLog,
        clock: clocks.Clock,
    ) -> None:
        """Creates a monitor that observes no connection yet."""
        self._metrics = metrics
        self._journal = journal
        self._clock = clock
        self._orders: set[Order] = set()
        self._logged_s = float("-inf")
        self._unlogged_count = 0

    @property
    def unanswered_count(self) -> int:
        """The requests of pipelined connections without a written response."""
        return sum(len(order.requests) for order in self._orders)

    @property
    def paused_count(self) -> int:
        """The connections whose reading is paused."""
        return sum(order.is_paused for order in self._orders)

    def watch(self, order: Order) -> None:
        """Observes a connection that has become pipelined."""
        self._orders.add(order)

    def unwatch(self, order: Order) -> None:
        """Stops observing a connection."""
        self._orders.discard(order)

    def note_read(self, *, is_started: bool) -> None:
        """Counts a request that was read before an earlier one's response."""
        self._count("started" if is_started else "waited", 1)

    def note_cancelled(self, count: int) -> None:
        """Counts requests whose responses will not be written."""
        if count:
            self._count("cancelled", count)

    def note_paused(self, order: Order, caller: str) -> None:
        """Counts a pause in reading a connection, and logs it if due.

        Args:
            order: The requests of the connection.
            caller: The address of the caller.
        """
        self._unlogged_count += 1
        now_s = self._clock.monotonic_s()
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        self._journal.decision(
            "pipeline_paused",
            caller=caller,
            requests=len(order.requests),
            size_bytes=sum(each.size_bytes for each in order.requests),
            held_bytes=sum(each.held_bytes for each in order.requests),
            pauses=self._unlogged_count,
        )
        self._logged_s = now_s
        self._unlogged_count = 0

    def _count(self, result: str, count: int) -> None:
        """Adds to the number of pipelined requests with a result."""
        self._metrics.pipelined_requests.add({"result": result}, count)
