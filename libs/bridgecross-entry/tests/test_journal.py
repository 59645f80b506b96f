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


def _make_journal(writer, clock, settings=None):
    settings = settings or journal.JournalSettings()
    return journal.Journal("entry-1", settings, clock, writer)


def _read(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_a_line_is_a_json_object(pipe):
    reader, writer = pipe
    _make_journal(writer, support.ManualClock()).decision("x", a="{b}", c=None)
    (line,) = _read(reader)
    assert (line["instance"], line["event"], line["a"]) == (
        "entry-1",
        "x",
        "{b}",
    )


def test_volume_is_limited_and_dropped_lines_are_counted(pipe):
    reader, writer = pipe
    clock = support.ManualClock()
    log_journal = _make_journal(
        writer, clock, journal.JournalSettings(routine_lines_per_s=5)
    )
    for _ in range(100):
        log_journal.routine("request")
    clock.now_s += 1
    log_journal.routine("request")
    lines = _read(reader)
    assert len(lines) == 6
    assert lines[-1]["dropped"] == 95


def test_stalled_reader_does_not_block_the_writer(pipe):
    reader, writer = pipe
    clock = support.ManualClock()
    log_journal = _make_journal(
        writer, clock, journal.JournalSettings(lifecycle_lines_per_s=1e9)
    )
    for number in range(5_000):
        log_journal.lifecycle("busy", number=number, text="x" * 100)
    assert log_journal.dropped_count > 1_000
    assert _read_all(reader)
    log_journal.lifecycle("after")
    lines = []
    for _ in range(4):
        lines += _read_all(reader)
        log_journal.flush()
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
    complete_lines = text[: text.rindex(b"\n")] if b"\n" in text else b""
    return [
        json.loads(x) for x in complete_lines.split(b"\n") if x.startswith(b"{")
    ]
