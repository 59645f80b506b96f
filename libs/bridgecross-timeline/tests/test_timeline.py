import dataclasses
import typing

import pytest

from bridgecross_core import clock
from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_timeline import events
from bridgecross_timeline import render
from bridgecross_timeline import ring

DETAILS = typing.get_args(events.Detail)


def _make_detail(detail_type):
    values = {
        field.name: "<x>" if field.type is str else 7
        for field in dataclasses.fields(detail_type)
    }
    return detail_type(**values)


@pytest.mark.parametrize("detail_type", DETAILS)
def test_every_event_is_the_same_after_it_was_sent(detail_type):
    event = events.Event(
        hybrid_clock.Timestamp(5, 1), "entry-1", _make_detail(detail_type)
    )
    wire_codec = codec.Codec(events.WireEvent)
    sent = wire_codec.decode(wire_codec.encode(events.to_wire(event)))
    assert events.from_wire(sent) == event
    assert event.kind in events.KINDS


def test_a_full_ring_drops_its_oldest_events():
    settings = ring.RingSettings("entry-1", capacity=3)
    buffer = ring.Ring(settings, hybrid_clock.HybridClock(clock.SystemClock()))
    for number in range(5):
        buffer.add(events.DrainBegan(number))
    details = [event.detail for event in buffer.list_events()]
    assert details == [events.DrainBegan(n) for n in (2, 3, 4)]


def test_lanes_are_merged_in_causal_order_and_rendered():
    lanes = [
        [
            events.Event(
                hybrid_clock.Timestamp(t, 0), name, _make_detail(DETAILS[t % 3])
            )
        ]
        for t, name in ((3, "entry-1"), (1, "entry-2"), (2, "<entry-3>"))
    ]
    timeline = render.merge(lanes)
    assert [event.stamp.wall_us for event in timeline] == [1, 2, 3]
    assert len(render.render_text(timeline).splitlines()) == 3
    page = render.render_html(timeline)
    assert page.count("<circle") == 3
    assert "<entry-3>" not in page
    assert "&lt;entry-3&gt;" in page
    assert render.render_html([]).startswith("<!doctype html>")
