"""Tests which reservations the ledger grants, and of the gate before it."""

import entry_support as support
import pytest

from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_limits
from bridgecross_entry import metrics

BODY = memory_ledger.Purpose.BODY
ANSWER = memory_ledger.Purpose.ANSWER
FORWARD = memory_ledger.Purpose.FORWARD
# 1,000 bytes are granted, the last 250 of them to reservations of up to 20.
SETTINGS = memory_ledger.LedgerSettings(
    program_bytes=1_000_000,
    granted_ratio=0.001,
    granted_min_bytes=100,
    small_ratio=0.25,
    small_max_bytes=20,
)


@pytest.mark.parametrize(
    ("held", "purpose", "size_bytes", "granted"),
    [
        pytest.param({}, BODY, 750, True, id="large, all there is for them"),
        pytest.param({}, BODY, 751, False, id="large, too large"),
        pytest.param({BODY: 740}, BODY, 21, False, id="large, no room"),
        pytest.param({BODY: 740}, BODY, 20, True, id="small, reserved room"),
        pytest.param({BODY: 980}, BODY, 20, True, id="small, the last room"),
        pytest.param({BODY: 981}, BODY, 20, False, id="small, no room"),
        pytest.param({ANSWER: 700}, BODY, 60, False, id="answers count"),
        pytest.param({FORWARD: 700}, BODY, 60, False, id="forwards count"),
        pytest.param({BODY: 700}, FORWARD, 60, False, id="bodies count"),
        pytest.param({ANSWER: 1_000}, BODY, 0, True, id="empty, at the limit"),
        pytest.param({ANSWER: 1_001}, BODY, 0, False, id="empty, beyond it"),
    ],
)
def test_which_reservations_are_granted(held, purpose, size_bytes, granted):
    ledger = memory_ledger.MemoryLedger(SETTINGS, 2)
    for held_purpose, held_bytes in held.items():
        ledger.reserve(held_purpose, held_bytes)
    before = ledger.total_bytes
    assert ledger.try_reserve(purpose, size_bytes) == granted
    expected = held.get(purpose, 0) + (size_bytes if granted else 0)
    assert ledger.used_bytes(purpose) == expected
    ledger.release(purpose, size_bytes if granted else 0)
    assert ledger.total_bytes == before


@pytest.mark.parametrize(
    ("memory_mb", "limit_bytes"), [(3, 2_000), (2, 1_000), (0.5, 100)]
)
def test_the_limit_is_what_the_program_leaves(memory_mb, limit_bytes):
    ledger = memory_ledger.MemoryLedger(SETTINGS, memory_mb)
    assert ledger.limit_bytes == limit_bytes


def test_a_large_body_in_small_pieces_gets_no_room_of_small_requests():
    ledger = memory_ledger.MemoryLedger(SETTINGS, 2)
    ledger.reserve(ANSWER, 700)
    with memory_gate.BodyHold(ledger, BODY, 2) as hold:
        for size_bytes in (5, 10, 25):
            hold.grow(size_bytes)
        with pytest.raises(memory_gate.NoMemoryError):
            hold.grow(30)
        assert ledger.used_bytes(BODY) == 50
    assert ledger.used_bytes(BODY) == 0


def test_refusals_are_logged_once_a_second_and_none_is_lost(monkeypatch):
    clock = support.ManualClock()
    journal = support.make_journal(clock)
    lines = []
    monkeypatch.setattr(
        journal, "decision", lambda event, **line: lines.append(line["count"])
    )
    limits = memory_limits.make(200, journal, metrics.Metrics(), clock)
    for _ in range(3):
        limits.gate.note_refusal("body", "no memory")
    limits.sweep()
    assert lines == [1]
    clock.now_s += 1.0
    limits.sweep()
    limits.sweep()
    assert lines == [1, 2]


def test_without_a_limit_nothing_is_watched_or_refused():
    clock = support.ManualClock()
    limits = memory_limits.make(
        0, support.make_journal(clock), metrics.Metrics(), clock
    )
    assert limits == (memory_ledger.UNLIMITED, None, None)
    assert limits.ledger.try_reserve(BODY, 1 << 40)
