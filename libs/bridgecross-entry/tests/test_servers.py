import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import servers

NAME = ids.ServerId("a")


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def book(clock):
    return servers.ServerRegistry(
        servers.ServerSettings(),
        support.BOUNDS,
        support.make_journal(clock),
        clock,
    )


def _server(book: servers.ServerRegistry) -> servers.Server:
    server = book.get(NAME)
    assert server is not None
    return server


def test_a_leaving_server_is_used_only_within_the_bound(book, clock):
    book.put(support.make_server("a"))
    book.put(support.make_server("a", leaving=True))
    server = _server(book)
    assert book.may_use(server, clock.now_s)
    assert not book.is_staying(server, clock.now_s)
    assert not book.may_use(server, clock.now_s + 1.0)


def test_a_leaving_server_in_an_old_list_is_used_for_less_time(book, clock):
    book.put(support.make_server("a"))
    book.previous_list_as_of_s = clock.now_s - 1.4
    book.put(support.make_server("a", leaving=True))
    server = _server(book)
    assert book.may_use(server, clock.now_s + 0.05)
    assert not book.may_use(server, clock.now_s + 0.15)


def test_an_entry_that_expired_during_an_outage_gets_time_to_return(
    book, clock
):
    book.put(support.make_server("a"))
    book.remove(NAME, log_was_unavailable=True)
    assert book.is_staying(_server(book), clock.now_s + 1.9)
    assert not book.is_staying(_server(book), clock.now_s + 2.1)
    book.put(support.make_server("a"))
    assert book.is_staying(_server(book), clock.now_s + 60)


def test_an_ended_run_never_returns(book):
    book.put(support.make_server("a"))
    book.end(NAME, "refused")
    book.put(support.make_server("a"))
    assert book.get(NAME) is None
    assert book.has_ended(NAME)


def test_a_server_off_the_list_is_forgotten_but_has_not_ended(book, clock):
    book.put(support.make_server("a"))
    book.remove(NAME, log_was_unavailable=False)
    clock.now_s += 60
    book.drop_stale()
    assert book.get(NAME) is None
    assert not book.has_ended(NAME)


def test_room_shrinks_when_requests_are_rejected_and_grows_back(book, clock):
    book.put(support.make_server("a"))
    book.set_instances(4)
    server = _server(book)
    most = server.queue.settings.slots
    for _ in range(10):
        clock.now_s += 1
        server.shrink_room(clock.now_s)
    assert server.queue.settings.slots == 1
    for _ in range(1_000):
        server.grow_room()
    assert server.queue.settings.slots == most


def test_a_server_without_room_for_one_is_paused_for_longer(book, clock):
    book.put(support.make_server("a"))
    server = _server(book)
    pauses = []
    for _ in range(12):
        clock.now_s += 10
        server.shrink_room(clock.now_s)
        pauses.append(server.paused_until_s - clock.now_s)
    assert pauses[0] < 0
    assert 2.0 <= pauses[-1] <= 6.0
    for _ in range(20):
        server.grow_room()
    clock.now_s += 10
    for _ in range(10):
        server.shrink_room(clock.now_s)
    assert server.paused_until_s - clock.now_s < 0.2


def test_failures_raise_the_cost_of_a_server(book, clock):
    for name in ("a", "b"):
        book.put(support.make_server(name))
    failing, healthy = _server(book), book.get(ids.ServerId("b"))
    for _ in range(10):
        failing.note_answer(0.01, failed=True)
        healthy.note_answer(0.1, failed=False)
    cost = [s.cost_s("hall-1", clock.now_s) for s in (failing, healthy)]
    assert cost[0] > 2 * cost[1]


def test_a_server_that_refuses_is_paused_but_has_not_ended(book, clock):
    book.put(support.make_server("a"))
    server = _server(book)
    server.note_refused(clock.now_s)
    assert server.paused_until_s >= clock.now_s + 1.0
    assert not book.has_ended(NAME)
    assert book.get(NAME) is server


@pytest.mark.parametrize(
    ("instances", "late_slots"),
    [
        pytest.param(4, 1.2, id="a share of one slot"),
        pytest.param(12, 0.4, id="a share of a third"),
        pytest.param(78, 0.3, id="among many, few are there at a time"),
    ],
)
def test_late_requests_get_a_part_of_the_even_share(
    book, instances, late_slots
):
    """Also if servers are listed before the number of instances is known."""
    book.put(support.make_server("a"))
    server = _server(book)
    book.set_instances(instances)
    assert server.queue.settings.late_slots == pytest.approx(late_slots)
    room = book.room_count(server.listed.service)
    assert room.late == pytest.approx(late_slots)
