import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal
from bridgecross_entry import notices

LEAVING = attempts.Notice(is_leaving=True)
SERVER = support.make_server("a")


class Lines(journal.Journal):
    """A journal that keeps the decisions."""

    def __init__(self) -> None:
        self.written: list[tuple[str, dict[str, object]]] = []

    def decision(self, event: str, **fields: object) -> None:
        self.written.append((event, fields))

    def events(self):
        return [event for event, _ in self.written]


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def lines():
    return Lines()


@pytest.fixture
def heard(clock, lines):
    return notices.Notices(lines, clock)


def test_that_a_run_leaves_is_told_once(heard, lines):
    for _ in range(3):
        heard.hear(SERVER, LEAVING)
    assert lines.events() == ["server_says_leaving"]
    assert heard.leaving_count == 1


def test_each_rest_is_told_once_and_ends(heard, lines, clock):
    heard.hear(SERVER, attempts.Notice(rest_s=3.0))
    clock.now_s += 1.0
    heard.hear(SERVER, attempts.Notice(rest_s=3.0))
    assert lines.events() == ["server_asks_rest"]
    assert lines.written[0][1]["rest_s"] == 3.0
    assert heard.rest_left_s(SERVER.server_id) >= 3.0
    clock.now_s += 5.0
    assert heard.rest_left_s(SERVER.server_id) == 0.0
    assert heard.resting_count == 0
    heard.hear(SERVER, attempts.Notice(rest_s=3.0))
    assert lines.events() == ["server_asks_rest"] * 2


def test_a_shorter_rest_ends_no_longer_one(heard):
    heard.hear(SERVER, attempts.Notice(rest_s=3.0))
    heard.hear(SERVER, attempts.Notice(rest_s=0.5))
    assert heard.rest_left_s(SERVER.server_id) >= 3.0


def test_what_makes_no_sense_is_told_and_changes_nothing(heard, lines):
    for _ in range(3):
        heard.hear(SERVER, attempts.Notice(problem="no time"))
    assert lines.events() == ["notice_unreadable"]
    assert not heard.leaving_count
    assert not heard.rest_left_s(SERVER.server_id)


def test_what_is_remembered_is_bounded(heard, monkeypatch):
    monkeypatch.setattr(notices, "_RUNS_MAX_COUNT", 10)
    for number in range(50):
        server = support.make_server(f"s{number}")
        heard.hear(server, attempts.Notice(is_leaving=True, rest_s=0.001))
    assert heard.leaving_count == 10
    assert len(heard._rest_until_s) == 10
    assert ids.ServerId("s49") in heard._leaving_told_s
