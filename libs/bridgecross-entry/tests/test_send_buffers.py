"""Tests which callers are taken for slow readers."""

import entry_support as support
import pytest

from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import send_buffers

ANSWER = memory_ledger.Purpose.ANSWER
# Callers may take 8 s for 128,000 bytes.
SETTINGS = send_buffers.SendBufferSettings()
# Leaves room for small reservations only.
SHORT_BYTES = 40_000_000


class Caller:
    """A connection whose caller reads what a test says."""

    peer = "127.0.0.1"

    def __init__(self, unsent: int) -> None:
        self.unsent = unsent
        self.acknowledged = 0
        self.is_aborted = False

    def unsent_bytes(self):
        return self.unsent

    def acknowledged_bytes(self):
        return self.acknowledged

    def abort(self):
        self.is_aborted = True


def _make(clock, other_bytes=0):
    ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerSettings(), 160)
    ledger.reserve(ANSWER, other_bytes)
    journal = support.make_journal(clock)
    return ledger, send_buffers.SendBuffers(
        SETTINGS, ledger, journal, metrics.Metrics(), clock
    )


@pytest.mark.parametrize(
    ("unsent_bytes", "read_per_s", "other_bytes", "closed_after_s"),
    [
        (1, 0, 0, 8.0),  # It reads nothing.
        (1, 0, SHORT_BYTES, 2.5),
        (20_000_000, 15_000, 0, 8.0),  # It reads too slowly.
        (120_000, 16_000, 0, None),  # A slow link.
        (120_000, 16_000, SHORT_BYTES, None),
        (2_000_000, 16_000, 0, None),  # A large response on a slow link.
        (2_000_000, 16_000, SHORT_BYTES, 8.0),
    ],
)
def test_which_callers_are_slow(
    unsent_bytes, read_per_s, other_bytes, closed_after_s
):
    """Guards against memory held for callers that do not read."""
    clock = support.ManualClock()
    ledger, buffers = _make(clock, other_bytes)
    caller = Caller(unsent_bytes)
    started_s = clock.now_s
    buffers.check([caller])
    while caller.unsent and not caller.is_aborted:
        assert ledger.used_bytes(ANSWER) == caller.unsent + other_bytes
        clock.now_s += SETTINGS.interval_s
        read_bytes = int(read_per_s * SETTINGS.interval_s)
        caller.acknowledged += read_bytes
        caller.unsent = max(caller.unsent - read_bytes, 0)
        buffers.check([caller])
    waited_s = clock.now_s - started_s
    assert (waited_s if caller.is_aborted else None) == closed_after_s
    assert ledger.used_bytes(ANSWER) == other_bytes


def test_a_caller_is_not_slow_because_this_process_was_suspended():
    """Guards against closed connections after a pause of this process."""
    clock = support.ManualClock()
    _, buffers = _make(clock)
    caller = Caller(1_000)
    buffers.check([caller])
    clock.now_s += 60.0
    buffers.check([caller])
    assert not caller.is_aborted
