"""Tests of which requests of a connection start, wait or are dropped."""

import types

import entry_support as support
import pytest

from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order

LIMITS = pipeline_order.PipelineLimits(max_count=4, max_bytes=100)


def _make(kinds: str, size_bytes: int = 1):
    """Returns an order of requests: i(dempotent) or w(rite)."""
    idempotent = {}
    order = pipeline_order.PipelineOrder(
        LIMITS, memory_ledger.UNLIMITED, lambda each: idempotent[each]
    )
    for kind in kinds:
        request = pipeline_order.Request(size_bytes=size_bytes)
        idempotent[request] = kind == "i"
        assert order.add(request)
    return order, idempotent


def _started(order) -> str:
    return "".join("s" if r.is_started else "-" for r in order.requests)


@pytest.mark.parametrize(
    ("kinds", "answered_count", "started"),
    [
        pytest.param("iii", 0, "sss", id="lookups while one server is slow"),
        pytest.param("wii", 0, "s--", id="reads of what was just written"),
        pytest.param("iwi", 0, "s--", id="a write behind a slow lookup"),
        pytest.param("iiiiii", 0, "ssss--", id="more lookups than the limit"),
        pytest.param("wii", 1, "ss", id="the write is done"),
        pytest.param("iwi", 1, "s-", id="the lookup is done"),
        pytest.param("iiiiii", 2, "ssss", id="room below the limit"),
    ],
)
def test_what_starts(kinds, answered_count, started):
    """Guards against reads that overtake writes, and needless waits."""
    order, _ = _make(kinds)
    order.take_startable()
    for _ in range(answered_count):
        assert order.finish(order.requests[0], closes=False) == []
        order.remove_first()
    order.take_startable()
    assert _started(order) == started
    assert order.take_startable() == []


def test_the_configuration_at_the_start_decides():
    """Guards against a route that changes while its request waits."""
    order, idempotent = _make("wii")
    order.take_startable()
    idempotent[order.requests[2]] = False
    order.remove_first()
    order.take_startable()
    assert _started(order) == "s-"


def test_a_closing_response_drops_what_follows():
    """Guards against requests that run after the end of their connection."""
    order, _ = _make("iiiw")
    order.take_startable()
    third, fourth = order.requests[2:]
    assert order.finish(order.requests[1], closes=True) == [third, fourth]
    assert not order.add(pipeline_order.Request(size_bytes=1))
    # A dropped request that ends later changes nothing.
    assert order.finish(third, closes=True) == []
    assert len(order.requests) == 2


@pytest.mark.parametrize(
    ("count", "size_bytes", "must_pause"),
    [
        pytest.param(3, 1, False, id="ordinary"),
        pytest.param(4, 1, True, id="a caller that sends without end"),
        pytest.param(2, 50, True, id="large bodies"),
        pytest.param(1, 5_000, False, id="one large body alone"),
    ],
)
def test_reading_pauses_at_the_limits(count, size_bytes, must_pause):
    """Guards against unbounded requests, and one that is never read."""
    assert _make("i" * count, size_bytes)[0].must_pause is must_pause


def test_pauses_are_logged_once_a_second():
    """Guards against a log line for each response of a busy caller."""
    lines = []
    clock = support.ManualClock()
    journal = types.SimpleNamespace(
        decision=lambda event, **fields: lines.append((event, fields["pauses"]))
    )
    monitor = pipeline_monitor.PipelineMonitor(
        metrics.Metrics(), journal, clock
    )
    order, _ = _make("ii")
    for passed_s in (0.0, 0.4, 0.5, 0.2):
        clock.now_s += passed_s
        monitor.note_paused(order, "127.0.0.1")
    assert lines == [("pipeline_paused", 1), ("pipeline_paused", 3)]
