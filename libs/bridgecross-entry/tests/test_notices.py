import dataclasses

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal
from bridgecross_entry import notices
from bridgecross_entry import servers

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
    return notices.Notices(
        notices.NoticeSettings(), support.BOUNDS, lines, clock
    )


def test_that_a_run_leaves_is_told_once(heard, lines):
    for _ in range(3):
        heard.record(SERVER, LEAVING)
    assert lines.events() == ["server_says_leaving"]
    assert heard.leaving_count == 1


def test_each_rest_is_told_once_and_ends(heard, lines, clock):
    heard.record(SERVER, attempts.Notice(backoff_s=3.0))
    clock.now_s += 1.0
    heard.record(SERVER, attempts.Notice(backoff_s=3.0))
    assert lines.events() == ["server_asks_rest"]
    assert lines.written[0][1]["rest_s"] == 3.0
    assert heard.backoff_left_s(SERVER.server_id) >= 3.0
    clock.now_s += 5.0
    assert heard.backoff_left_s(SERVER.server_id) == 0.0
    assert heard.backoff_count == 0
    heard.record(SERVER, attempts.Notice(backoff_s=3.0))
    assert lines.events() == ["server_asks_rest"] * 2


def test_a_shorter_rest_ends_no_longer_one(heard):
    heard.record(SERVER, attempts.Notice(backoff_s=3.0))
    heard.record(SERVER, attempts.Notice(backoff_s=0.5))
    assert heard.backoff_left_s(SERVER.server_id) >= 3.0


def test_what_makes_no_sense_is_told_and_changes_nothing(heard, lines):
    for _ in range(3):
        heard.record(SERVER, attempts.Notice(problem="no time"))
    assert lines.events() == ["notice_unreadable"]
    assert not heard.leaving_count
    assert not heard.backoff_left_s(SERVER.server_id)


def test_what_is_remembered_is_bounded(heard, monkeypatch):
    monkeypatch.setattr(notices, "_RUNS_MAX_COUNT", 10)
    for number in range(50):
        server = support.make_server(f"s{number}")
        heard.record(server, attempts.Notice(is_leaving=True, backoff_s=0.001))
    assert heard.leaving_count == 10
    assert len(heard._backoff_until_s) == 10
    assert ids.ServerId("s49") in heard._leaving_since_s


DRAIN_S = support.BOUNDS.drain_ms / 1_000


@pytest.fixture
def registry(clock, lines):
    made = servers.ServerRegistry(
        servers.ServerSettings(), support.BOUNDS, lines, clock
    )
    made.put(SERVER)
    return made


def _say_it_stays(registry):
    registry.put(SERVER)


def _say_it_stays_anew(registry):
    registry.put(dataclasses.replace(SERVER, slots=9))


def _go_and_return(registry):
    registry.remove(SERVER.server_id, log_was_unavailable=False)
    registry.put(SERVER)


def _lapse_and_return(registry):
    registry.remove(SERVER.server_id, log_was_unavailable=True)
    registry.put(SERVER)


def _change_service(registry):
    registry.put(dataclasses.replace(SERVER, service=ids.ServiceName("bulgu")))
    registry.put(SERVER)


def _say_it_again(registry):
    registry.notices.record(SERVER, LEAVING)


def _be_heard_without_it(registry):
    registry.notices.record(SERVER, attempts.Notice())


@pytest.mark.parametrize(
    "happen",
    [
        pytest.param(lambda registry: None, id="nothing"),
        pytest.param(_say_it_stays, id="its entry says that it stays"),
        pytest.param(_say_it_stays_anew, id="a newer entry says so"),
        pytest.param(_go_and_return, id="it returns to the list"),
        pytest.param(_lapse_and_return, id="its entry lapses and returns"),
        pytest.param(_change_service, id="it is rebuilt"),
        pytest.param(_say_it_again, id="it says so again"),
        pytest.param(_be_heard_without_it, id="an answer says nothing"),
    ],
)
def test_the_first_word_of_a_run_that_leaves_stands(registry, clock, happen):
    registry.notices.record(SERVER, LEAVING)
    clock.now_s += 0.9
    happen(registry)
    server = registry.get(SERVER.server_id)
    assert not registry.is_staying(server, clock.now_s)
    assert registry.may_use(server, clock.now_s)
    clock.now_s += DRAIN_S - 0.9 - 0.1
    assert not registry.may_use(server, clock.now_s)
    assert not registry.is_staying(server, clock.now_s)


def test_the_word_outlasts_that_its_server_is_forgotten(registry, clock):
    registry.notices.record(SERVER, LEAVING)
    registry.remove(SERVER.server_id, log_was_unavailable=False)
    clock.now_s += 60
    registry.drop_stale()
    assert registry.get(SERVER.server_id) is None
    registry.put(SERVER)
    server = registry.get(SERVER.server_id)
    assert not registry.may_use(server, clock.now_s)


def test_what_the_list_says_first_counts_first(registry, clock):
    registry.put(dataclasses.replace(SERVER, leaving=True))
    clock.now_s += 0.5
    registry.notices.record(SERVER, LEAVING)
    server = registry.get(SERVER.server_id)
    list_use_s = DRAIN_S * registry.settings.drain_use_ratio
    assert not registry.may_use(server, clock.now_s + list_use_s - 0.4)


def test_another_run_of_its_name_is_free_of_the_word(registry, clock):
    first = support.make_server("b", started_ms=1)
    following = support.make_server("b", started_ms=2)
    registry.put(first)
    registry.notices.record(first, LEAVING)
    clock.now_s += 60
    registry.put(following)
    server = registry.get(following.server_id)
    assert registry.is_staying(server, clock.now_s)
    assert registry.may_use(server, clock.now_s)


def test_whoever_waits_for_servers_to_change_is_woken(registry):
    count = registry.changed.count
    registry.notices.record(SERVER, LEAVING)
    assert registry.changed.count == count + 1
