"""Counts and logs what clients send or leave out beyond the limits."""

import enum

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib

_LOG_INTERVAL_S = 1.0
"""The shortest time between two log lines."""


class Fault(enum.Enum):
    """What a client did."""

    HEAD_SIZE = "the head is too large"
    FRAMING_SIZE = "there are too many bytes beside the body"
    HEAD_MEMORY = "there is no memory for the head"
    HEAD_TIMEOUT = "the head takes too long"
    BODY_TIMEOUT = "the body takes too long"
    CROWDED = "there are too many connections"


class ClientMonitor:
    """Observes the connections of all listeners of a process."""

    def __init__(
        self,
        journal: journals.DecisionLog,
        metrics: metrics_lib.ClientMetrics,
        clock: clocks.Clock,
    ) -> None:
        """Creates a monitor that has seen nothing."""
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._unlogged_count = 0
        self._logged_s = -_LOG_INTERVAL_S
        self._last_fault = Fault.HEAD_SIZE
        self._last_client = ""

    def note(self, fault: Fault, client: str) -> None:
        """Counts a fault, and logs it unless there was a line just now.

        Args:
            fault: What the client did.
            client: The address of the client.
        """
        self._metrics.client_faults.inc({"reason": fault.name.lower()})
        self._unlogged_count += 1
        self._last_fault = fault
        self._last_client = client
        self.log_faults()

    def log_faults(self) -> None:
        """Logs the faults since the last line, once that is long ago."""
        now_s = self._clock.monotonic_s()
        if not self._unlogged_count or now_s < self._logged_s + _LOG_INTERVAL_S:
            return
        self._journal.decision(
            "client_broken_off",
            count=self._unlogged_count,
            reason=self._last_fault.value,
            client=self._last_client,
        )
        self._unlogged_count = 0
        self._logged_s = now_s
