"""Assembles what limits the memory of a process, if its settings state it."""

from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_entry import journal as journals
from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import send_buffers


class MemoryLimits(NamedTuple):
    """The parts that limit memory."""

    # Counts the memory in use.
    ledger: memory_ledger.Ledger
    # Admits bodies; None without a limit.
    gate: memory_gate.MemoryGate | None = None
    # Watches callers that do not read; None without a limit.
    buffers: send_buffers.SendBuffers | None = None

    def sweep(self) -> None:
        """Logs refusals that have not been logged yet."""
        if self.gate is not None:
            self.gate.log_refusals()


def make(
    memory_mb: float,
    journal: journals.Journal,
    metrics: metrics_lib.Metrics,
    clock: clocks.Clock,
) -> MemoryLimits:
    """Returns the parts that keep a process within its memory limit.

    Args:
        memory_mb: The limit of the process, in 10^6 bytes; 0 if there is none.
        journal: Logs refusals and closed connections.
        metrics: Counts them.
        clock: The time source.
    """
    if not memory_mb:
        return MemoryLimits(memory_ledger.UNLIMITED)
    ledger = memory_ledger.MemoryLedger(
        memory_ledger.LedgerSettings(), memory_mb
    )
    return MemoryLimits(
        ledger,
        memory_gate.MemoryGate(ledger, journal, metrics, clock),
        send_buffers.SendBuffers(
            send_buffers.SendBufferSettings(), ledger, journal, metrics, clock
        ),
    )


def refresh_metrics(limits: MemoryLimits, metrics: metrics_lib.Metrics) -> None:
    """Updates the gauges of memory, which are set only if there is a limit."""
    ledger = limits.ledger
    if not isinstance(ledger, memory_ledger.MemoryLedger):
        return
    metrics.memory.set({"what": "limit"}, ledger.limit_bytes)
    for purpose in memory_ledger.Purpose:
        labels = {"what": purpose.value}
        metrics.memory.set(labels, ledger.used_bytes(purpose))
