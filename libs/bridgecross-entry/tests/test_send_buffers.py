"""Tests which callers are taken for slow readers."""

import entry_support as support
import pytest

from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import send_buffers

ANSWER = memory_ledger.Purpose.ANSWER
# Callers may take 8 s for 128,000 bytes.
SETTINGS = send_buffers.SendBufferSettings()


class Caller:
    """A connection whose caller reads what a test says."""

    peer = "127.0.0.1"

    def __init__(self, unsent_bytes: int) -> None:
        self.unsent = unsent_bytes
        self.acknowledged = 0
        self.is_aborted = False

    def read(self, size_bytes: float) -> None:
        self.acknowledged += int(size_bytes)
        self.unsent = max(self.unsent - int(size_bytes), 0)

    def unsent_bytes(self) -> int:
        return self.unsent

    def acknowledged_bytes(self) -> int:
        return self.acknowledged

    def abort(self) -> None:
        self.is_aborted = True


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def ledger():
    return memory_ledger.MemoryLedger(memory_ledger.LedgerSettings(), 160)


@pytest.fixture
def buffers(ledger, clock):
    return send_buffers.SendBuffers(
        SETTINGS, ledger, support.make_journal(clock), metrics.Metrics(), clock
    )


@pytest.mark.parametrize(
    ("unsent_bytes", "read_per_s", "other_bytes", "closed_after_s"),
    [
        pytest.param(1, 0, 0, 8.0, id="reads nothing"),
        pytest.param(1, 0, 60_000_000, 2.5, id="nothing, memory is short"),
        pytest.param(50_000_000, 15_000, 0, 8.0, id="reads too slowly"),
        pytest.param(120_000, 16_000, 0, None, id="a slow link"),
        pytest.param(2_000_000, 16_000, 0, None, id="large, a slow link"),
        pytest.param(
            2_000_000, 16_000, 60_000_000, 8.0, id="large, memory is short"
        ),
        pytest.param(
            120_000, 16_000, 60_000_000, None, id="ordinary, memory is short"
        ),
    ],
)
def test_which_callers_are_slow(
    buffers,
    ledger,
    clock,
    unsent_bytes,
    read_per_s,
    other_bytes,
    closed_after_s,
):
    caller = Caller(unsent_bytes)
    ledger.reserve(ANSWER, other_bytes)
    started_s = clock.now_s
    while clock.now_s < started_s + 150.0 and not caller.is_aborted:
        buffers.check([caller])
        counted_bytes = 0 if caller.is_aborted else caller.unsent
        assert ledger.used_bytes(ANSWER) == counted_bytes + other_bytes
        clock.now_s += SETTINGS.interval_s
        caller.read(read_per_s * SETTINGS.interval_s)
    closed_s = clock.now_s - SETTINGS.interval_s - started_s
    assert (closed_s if caller.is_aborted else None) == closed_after_s
    buffers.forget(caller)
    assert ledger.used_bytes(ANSWER) == other_bytes


def test_a_caller_is_not_slow_because_this_process_was_suspended(
    buffers, clock
):
    caller = Caller(1_000)
    buffers.check([caller])
    clock.now_s += 60.0
    buffers.check([caller])
    assert not caller.is_aborted


def test_a_buffer_that_was_empty_in_between_starts_anew(buffers, clock):
    caller = Caller(1_000)
    for _ in range(100):
        buffers.check([caller])
        clock.now_s += SETTINGS.interval_s
        caller.unsent = 1_000 - caller.unsent
    assert not caller.is_aborted
