"""What keeps the connections of one listener within their limits."""

import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_entry import client_monitor
from bridgecross_entry import connection_limits
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
        connections: connection_limits.ConnectionLimiter,
        ledger: memory_ledger.Ledger = memory_ledger.UNLIMITED,
        monitor: client_monitor.ClientMonitor | None = None,
    ) -> None:
        """Starts with the default limits.

        Args:
            connections: Decides which connections are closed.
            ledger: Grants the memory for heads.
            monitor: Counts and logs what exceeds the limits.
        """
        self.request_limits = request_bounds.RequestLimits()
        self.connections = connections
        self._ledger = ledger
        self._monitor = monitor

    def configure(self, configuration: model.Configuration) -> None:
        """Applies the configured limits to requests that begin later.

        A body that has not come by the longest timeout of all routes cannot be
        served any more.
        """
        limits = configuration.limits
        timeouts_ms = [route.timeout_ms for route in configuration.routes]
        max_bytes = limits.max_header_bytes + _HEAD_SLACK_BYTES
        self.request_limits = request_bounds.RequestLimits(
            head_max_bytes=max_bytes, framing_max_bytes=max_bytes
        )
        self.connections.limits = dataclasses.replace(
            self.connections.limits,
            head_timeout_s=limits.header_timeout_ms / 1_000,
            body_timeout_s=max(timeouts_ms, default=math.inf) / 1_000,
            idle_timeout_s=limits.idle_timeout_ms / 1_000,
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


def make_default() -> ClientGuard:
    """Returns a guard that limits single requests only."""
    limiter = connection_limits.ConnectionLimiter(clocks.SystemClock())
    return ClientGuard(limiter)
