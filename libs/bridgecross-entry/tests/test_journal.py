import json
import os

import entry_support as support
import pytest

from bridgecross_entry import journal


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _journal(writer, clock, settings=None):
    settings = settings or journal.JournalSettings()
    return journal.Journal("entry-1", settings, clock, writer)


def _read(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_a_line_is_a_json_object(pipe):
    reader, writer = pipe
    _journal(writer, support.ManualClock()).decision("x", a="{b}", c=None)
    (line,) = _read(reader)
    assert (line["instance"], line["event"], line["a"]) == (
        "entry-1",
        "x",
        "{b}",
    )


def test_volume_is_bounded_and_what_is_dropped_is_told(pipe):
    reader, writer = pipe
    clock = support.ManualClock()
    written = _journal(
        writer, clock, journal.JournalSettings(routine_lines_per_s=5)
    )
    for _ in range(100):
        written.routine("request")
    clock.now_s += 1
    written.routine("request")
    lines = _read(reader)
    assert len(lines) == 6
    assert lines[-1]["dropped"] == 95


def test_a_reader_that_stops_holds_nothing_up(pipe):
    reader, writer = pipe
    clock = support.ManualClock()
    written = _journal(
        writer, clock, journal.JournalSettings(lifecycle_lines_per_s=1e9)
    )
    for number in range(5_000):
        written.lifecycle("busy", number=number, text="x" * 100)
    assert written.dropped_count > 1_000
    assert _read_all(reader)
    written.lifecycle("after")
    lines = []
    for _ in range(4):
        lines += _read_all(reader)
        written.flush()
    assert lines[-1]["event"] == "after"


def _read_all(reader):
    os.set_blocking(reader, False)
    text = b""
    while True:
        try:
            piece = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        text += piece
    whole = text[: text.rindex(b"\n")] if b"\n" in text else b""
    return [json.loads(x) for x in whole.split(b"\n") if x.startswith(b"{")]
