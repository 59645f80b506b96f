"""Tests which reservations the ledger and the gate before it grant."""

import entry_support as support
import pytest

from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_limits
from bridgecross_entry import memory_reservation
from bridgecross_entry import metrics

BODY = memory_ledger.Purpose.BODY
ANSWER = memory_ledger.Purpose.ANSWER
FORWARD = memory_ledger.Purpose.FORWARD
# 1,000 bytes are granted, the last 250 of them to reservations of up to 20.
SETTINGS = memory_ledger.LedgerSettings(1_000_000, 0.001, 100, 0.25, 20)


@pytest.mark.parametrize(
    ("held_for", "held_bytes", "purpose", "size_bytes", "granted"),
    [
        (BODY, 0, BODY, 750, True),  # Large: all there is for them.
        (BODY, 0, BODY, 751, False),
        (BODY, 740, BODY, 21, False),
        (BODY, 740, BODY, 20, True),  # Small: there is room of its own.
        (BODY, 980, BODY, 20, True),
        (BODY, 981, BODY, 20, False),
        (ANSWER, 700, BODY, 60, False),  # All purposes count together.
        (FORWARD, 700, BODY, 60, False),
        (BODY, 700, FORWARD, 60, False),
        (ANSWER, 1_000, BODY, 0, True),  # Empty: until the limit is exceeded.
        (ANSWER, 1_001, BODY, 0, False),
    ],
)
def test_which_reservations_are_granted(
    held_for, held_bytes, purpose, size_bytes, granted
):
    """Guards against large bodies that take the memory of small requests."""
    ledger = memory_ledger.MemoryLedger(SETTINGS, 2)
    ledger.reserve(held_for, held_bytes)
    before_bytes = ledger.used_bytes(purpose)
    assert ledger.try_reserve(purpose, size_bytes) == granted
    got_bytes = size_bytes if granted else 0
    assert ledger.used_bytes(purpose) == before_bytes + got_bytes
    ledger.release(purpose, got_bytes)
    assert ledger.total_bytes == held_bytes


def test_the_limit_is_what_the_program_leaves():
    """Guards against a process that ends because it exceeds its limit."""
    for memory_mb, limit_bytes in ((3, 2_000), (2, 1_000), (0.5, 100)):
        ledger = memory_ledger.MemoryLedger(SETTINGS, memory_mb)
        assert ledger.limit_bytes == limit_bytes


def test_a_large_body_in_small_pieces_gets_no_room_of_small_requests():
    """Guards against chunked uploads that keep out small requests."""
    ledger = memory_ledger.MemoryLedger(SETTINGS, 2)
    ledger.reserve(ANSWER, 700)
    with memory_reservation.BodyReservation(ledger, BODY, 2) as reservation:
        for size_bytes in (5, 10, 25):
            reservation.grow(size_bytes)
        with pytest.raises(memory_reservation.NoMemoryError):
            reservation.grow(30)
        assert ledger.used_bytes(BODY) == 50
    assert ledger.used_bytes(BODY) == 0


def test_refusals_are_logged_once_a_second_and_none_is_lost(monkeypatch):
    """Guards against a log line for each refusal, and uncounted refusals."""
    clock = support.ManualClock()
    journal = support.make_journal(clock)
    counts = []
    count = lambda _, **line: counts.append(line["count"])  # noqa: E731
    monkeypatch.setattr(journal, "decision", count)
    limits = memory_limits.make(200, journal, metrics.Metrics(), clock)
    for _ in range(3):
        limits.gate.note_refusal("body", "no memory")
    limits.sweep()
    assert counts == [1]
    clock.now_s += 1.0
    limits.sweep()
    limits.sweep()
    assert counts == [1, 2]


def test_without_a_limit_nothing_is_watched_or_refused():
    """Guards against a change for processes without a memory limit."""
    clock = support.ManualClock()
    journal = support.make_journal(clock)
    limits = memory_limits.make(0, journal, metrics.Metrics(), clock)
    assert limits == (memory_ledger.UNLIMITED, None, None)
    assert limits.ledger.try_reserve(BODY, 1 << 40)
