"""What keeps the connections of one listener within their limits."""

from bridgecross_entry import client_monitor
from bridgecross_entry import head_memory
from bridgecross_entry import memory_ledger
from bridgecross_entry import model
from bridgecross_entry import request_bounds

_HEAD_SLACK_BYTES = 4 * 1024
"""Added to the configured limit: it is not defined whether that counts the
request line, and what separates lines."""


class ClientGuard:
    """The limits of a listener, which a configuration may change."""

    def __init__(
        self,
        ledger: memory_ledger.Ledger = memory_ledger.UNLIMITED,
        monitor: client_monitor.ClientMonitor | None = None,
    ) -> None:
        """Starts with the default limits.

        Args:
            ledger: Grants the memory for heads.
            monitor: Counts and logs what exceeds the limits.
        """
        self.request_limits = request_bounds.RequestLimits()
        self._ledger = ledger
        self._monitor = monitor

    def configure(self, configuration: model.Configuration) -> None:
        """Applies the configured limits to requests that begin later."""
        max_bytes = configuration.limits.max_header_bytes + _HEAD_SLACK_BYTES
        self.request_limits = request_bounds.RequestLimits(
            head_max_bytes=max_bytes, framing_max_bytes=max_bytes
        )

    def reserve_head(self) -> head_memory.HeadReservation:
        """Returns an empty reservation for the head of a request."""
        return head_memory.HeadReservation(
            head_memory.HeadMemorySettings(), self._ledger
        )

    def note(self, fault: client_monitor.Fault, client: str) -> None:
        """Counts and logs a fault of a client, given by its address."""
        if self._monitor is not None:
            self._monitor.note(fault, client)
