import dataclasses

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal
from bridgecross_entry import notices
from bridgecross_entry import server_registry
from bridgecross_entry import servers

LEAVING = attempts.Notice(is_leaving=True)
SERVER = support.make_server("a")


class RecordingJournal(journal.Journal):
    """A journal that records decisions."""

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
def journal_lines():
    return RecordingJournal()


@pytest.fixture
def reports(clock, journal_lines):
    return notices.Notices(
        notices.NoticeSettings(), support.BOUNDS, journal_lines, clock
    )


def test_leaving_run_is_logged_once(reports, journal_lines):
    for _ in range(3):
        reports.record(SERVER, LEAVING)
    assert journal_lines.events() == ["server_says_leaving"]
    assert reports.leaving_count == 1


def test_each_backoff_is_logged_once_and_ends(reports, journal_lines, clock):
    reports.record(SERVER, attempts.Notice(backoff_s=3.0))
    clock.now_s += 1.0
    reports.record(SERVER, attempts.Notice(backoff_s=3.0))
    assert journal_lines.events() == ["server_asks_rest"]
    assert journal_lines.written[0][1]["rest_s"] == 3.0
    assert reports.backoff_left_s(SERVER.server_id) >= 3.0
    clock.now_s += 5.0
    assert reports.backoff_left_s(SERVER.server_id) == 0.0
    assert reports.backoff_count == 0
    reports.record(SERVER, attempts.Notice(backoff_s=3.0))
    assert journal_lines.events() == ["server_asks_rest"] * 2


def test_shorter_backoff_does_not_end_a_longer_one(reports):
    reports.record(SERVER, attempts.Notice(backoff_s=3.0))
    reports.record(SERVER, attempts.Notice(backoff_s=0.5))
    assert reports.backoff_left_s(SERVER.server_id) >= 3.0


def test_invalid_report_is_logged_and_ignored(reports, journal_lines):
    for _ in range(3):
        reports.record(SERVER, attempts.Notice(problem="no time"))
    assert journal_lines.events() == ["notice_unreadable"]
    assert not reports.leaving_count
    assert not reports.backoff_left_s(SERVER.server_id)


def test_number_of_stored_runs_is_limited(reports, monkeypatch):
    monkeypatch.setattr(notices, "_RUNS_MAX_COUNT", 10)
    for number in range(50):
        server = support.make_server(f"s{number}")
        reports.record(
            server, attempts.Notice(is_leaving=True, backoff_s=0.001)
        )
    assert reports.leaving_count == 10
    assert len(reports._backoff_until_s) == 10
    assert ids.ServerId("s49") in reports._leaving_since_s


DRAIN_S = support.BOUNDS.drain_ms / 1_000


@pytest.fixture
def registry(clock, journal_lines):
    made = server_registry.ServerRegistry(
        servers.ServerSettings(), support.BOUNDS, journal_lines, clock
    )
    made.put(SERVER)
    return made


def _list_as_staying(registry):
    registry.put(SERVER)


def _list_changed_as_staying(registry):
    registry.put(dataclasses.replace(SERVER, slots=9))


def _remove_and_return(registry):
    registry.remove(SERVER.server_id, log_was_unavailable=False)
    registry.put(SERVER)


def _lapse_and_return(registry):
    registry.remove(SERVER.server_id, log_was_unavailable=True)
    registry.put(SERVER)


def _change_service(registry):
    registry.put(dataclasses.replace(SERVER, service=ids.ServiceName("bulgu")))
    registry.put(SERVER)


def _report_leaving_again(registry):
    registry.notices.record(SERVER, LEAVING)


def _report_nothing(registry):
    registry.notices.record(SERVER, attempts.Notice())


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(lambda registry: None, id="nothing"),
        pytest.param(_list_as_staying, id="its entry says that it stays"),
        pytest.param(_list_changed_as_staying, id="a newer entry says so"),
        pytest.param(_remove_and_return, id="it returns to the list"),
        pytest.param(_lapse_and_return, id="its entry lapses and returns"),
        pytest.param(_change_service, id="it is rebuilt"),
        pytest.param(_report_leaving_again, id="it says so again"),
        pytest.param(_report_nothing, id="an answer says nothing"),
    ],
)
def test_first_leaving_report_of_a_run_persists(registry, clock, event):
    registry.notices.record(SERVER, LEAVING)
    clock.now_s += 0.9
    event(registry)
    server = registry.get(SERVER.server_id)
    assert not registry.is_staying(server, clock.now_s)
    assert registry.may_use(server, clock.now_s)
    clock.now_s += DRAIN_S - 0.9 - 0.1
    assert not registry.may_use(server, clock.now_s)
    assert not registry.is_staying(server, clock.now_s)


def test_leaving_report_outlives_the_entry_of_its_server(registry, clock):
    registry.notices.record(SERVER, LEAVING)
    registry.remove(SERVER.server_id, log_was_unavailable=False)
    clock.now_s += 60
    registry.drop_stale()
    assert registry.get(SERVER.server_id) is None
    registry.put(SERVER)
    server = registry.get(SERVER.server_id)
    assert not registry.may_use(server, clock.now_s)


def test_earlier_announcement_in_the_list_takes_precedence(registry, clock):
    registry.put(dataclasses.replace(SERVER, leaving=True))
    clock.now_s += 0.5
    registry.notices.record(SERVER, LEAVING)
    server = registry.get(SERVER.server_id)
    list_use_s = DRAIN_S * registry.settings.drain_use_ratio
    assert not registry.may_use(server, clock.now_s + list_use_s - 0.4)


def test_leaving_report_does_not_affect_the_next_run(registry, clock):
    first = support.make_server("b", started_ms=1)
    following = support.make_server("b", started_ms=2)
    registry.put(first)
    registry.notices.record(first, LEAVING)
    clock.now_s += 60
    registry.put(following)
    server = registry.get(following.server_id)
    assert registry.is_staying(server, clock.now_s)
    assert registry.may_use(server, clock.now_s)


def test_leaving_report_notifies_waiting_tasks(registry):
    count = registry.changed.count
    registry.notices.record(SERVER, LEAVING)
    assert registry.changed.count == count + 1


def test_unknown_header_is_logged_once_a_service(reports, journal_lines):
    header = attempts.UnknownHeader("server-mood", "low")
    for name in ("a", "b", "a"):
        reports.record(
            support.make_server(name),
            attempts.Notice(unknown_headers=(header,)),
        )
    assert journal_lines.events() == ["server_header_unknown"]
    assert journal_lines.written[0][1]["header"] == "server-mood"
    assert reports.unknown_header_count == 1


def test_unknown_headers_do_not_fill_the_log(reports, journal_lines):
    for number in range(1_000):
        header = attempts.UnknownHeader(f"x-{number}", "")
        reports.record(SERVER, attempts.Notice(unknown_headers=(header,)))
    assert len(journal_lines.written) == 200
