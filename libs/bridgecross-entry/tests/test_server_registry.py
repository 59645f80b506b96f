import dataclasses

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import server_registry
from bridgecross_entry import servers

NAME = ids.ServerId("a")


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def registry(clock):
    return server_registry.ServerRegistry(
        servers.ServerSettings(),
        support.BOUNDS,
        support.make_journal(clock),
        clock,
    )


def _server(registry: server_registry.ServerRegistry) -> servers.Server:
    server = registry.get(NAME)
    assert server is not None
    return server


def test_limits_of_servers_that_are_gone_are_not_counted(registry):
    for name in "ab":
        server = support.make_server(name, port=ord(name))
        registry.put(server)
        registry.notices.record(server, attempts.Notice(limit_per_s=1.0))
    assert registry.limited_count == 2
    registry.end(NAME, "it has crashed")
    assert registry.limited_count == 1


def test_a_leaving_server_is_used_only_within_the_bound(registry, clock):
    registry.put(support.make_server("a"))
    registry.put(support.make_server("a", leaving=True))
    server = _server(registry)
    assert registry.may_use(server, clock.now_s)
    assert not registry.is_staying(server, clock.now_s)
    assert not registry.may_use(server, clock.now_s + 1.0)


def test_a_leaving_server_in_an_old_list_is_used_for_less_time(registry, clock):
    registry.put(support.make_server("a"))
    registry.previous_list_as_of_s = clock.now_s - 1.4
    registry.put(support.make_server("a", leaving=True))
    server = _server(registry)
    assert registry.may_use(server, clock.now_s + 0.05)
    assert not registry.may_use(server, clock.now_s + 0.15)


def test_an_entry_that_expired_during_an_outage_gets_time_to_return(
    registry, clock
):
    registry.put(support.make_server("a"))
    registry.remove(NAME, log_was_unavailable=True)
    assert registry.is_staying(_server(registry), clock.now_s + 1.9)
    assert not registry.is_staying(_server(registry), clock.now_s + 2.1)
    registry.put(support.make_server("a"))
    assert registry.is_staying(_server(registry), clock.now_s + 60)


def test_an_ended_run_never_returns(registry):
    registry.put(support.make_server("a"))
    registry.end(NAME, "refused")
    registry.put(support.make_server("a"))
    assert registry.get(NAME) is None
    assert registry.has_ended(NAME)


def test_a_server_off_the_list_is_forgotten_but_has_not_ended(registry, clock):
    registry.put(support.make_server("a"))
    registry.remove(NAME, log_was_unavailable=False)
    clock.now_s += 60
    registry.drop_stale()
    assert registry.get(NAME) is None
    assert not registry.has_ended(NAME)


def test_concurrency_falls_when_requests_are_rejected_and_rises_again(
    registry, clock
):
    registry.put(support.make_server("a"))
    registry.set_instances(4)
    server = _server(registry)
    most = server.queue.settings.slots
    for _ in range(10):
        clock.now_s += 1
        server.lower_concurrency(clock.now_s)
    assert server.queue.settings.slots == 1
    for _ in range(1_000):
        server.raise_concurrency()
    assert server.queue.settings.slots == most


def test_a_server_that_rejects_a_single_request_is_paused_for_longer(
    registry, clock
):
    registry.put(support.make_server("a"))
    server = _server(registry)
    pauses = []
    for _ in range(12):
        clock.now_s += 10
        server.lower_concurrency(clock.now_s)
        pauses.append(server.paused_until_s - clock.now_s)
    assert pauses[0] < 0
    assert 2.0 <= pauses[-1] <= 6.0
    for _ in range(20):
        server.raise_concurrency()
    clock.now_s += 10
    for _ in range(10):
        server.lower_concurrency(clock.now_s)
    assert server.paused_until_s - clock.now_s < 0.2


def test_failures_raise_the_cost_of_a_server(registry, clock):
    for name in ("a", "b"):
        registry.put(support.make_server(name))
    failing, healthy = _server(registry), registry.get(ids.ServerId("b"))
    for _ in range(10):
        failing.note_answer(0.01, failed=True)
        healthy.note_answer(0.1, failed=False)
    cost = [s.cost_s("hall-1", clock.now_s) for s in (failing, healthy)]
    assert cost[0] > 2 * cost[1]


def test_a_server_that_refuses_is_paused_but_has_not_ended(registry, clock):
    registry.put(support.make_server("a"))
    server = _server(registry)
    server.note_refused(clock.now_s)
    assert server.paused_until_s >= clock.now_s + 1.0
    assert not registry.has_ended(NAME)
    assert registry.get(NAME) is server


@pytest.mark.parametrize(
    ("instances", "late_slots"),
    [
        pytest.param(4, 1.2, id="a share of one slot"),
        pytest.param(12, 0.4, id="a share of a third"),
        pytest.param(78, 0.3, id="among many, few are there at a time"),
    ],
)
def test_late_requests_get_a_part_of_the_even_share(
    registry, instances, late_slots
):
    """Also if servers are listed before the number of instances is known."""
    registry.put(support.make_server("a"))
    server = _server(registry)
    registry.set_instances(instances)
    assert server.queue.settings.late_slots == pytest.approx(late_slots)
    limit = registry.concurrency_limit(server.listed.service)
    assert limit.late == pytest.approx(late_slots)


@pytest.mark.parametrize(
    ("slots", "expected"),
    [
        ([], False),
        ([2, 2], True),
        ([1, 2], True),
        ([2, 3], False),
        ([4, 4], False),
    ],
)
def test_a_service_has_few_slots_by_the_mean_of_its_servers(
    registry, slots, expected
):
    """Guards against new limits at services whose servers have more slots."""
    for index, count in enumerate(slots):
        listed = support.make_server(f"s{index}")
        registry.put(dataclasses.replace(listed, slots=count))
    assert registry.has_few_slots(ids.ServiceName("rapor")) is expected


def test_slots_that_change_and_servers_that_end_are_counted(registry):
    """Guards against a sum of slots that drifts from the known servers."""
    service = ids.ServiceName("rapor")
    listed = [
        dataclasses.replace(support.make_server(f"s{i}", port=i), slots=slots)
        for i, slots in enumerate((2, 4), 1)
    ]
    for each in listed:
        registry.put(each)
    queues = [server.queue for server in registry.of_service(service)]
    assert not registry.has_few_slots(service)
    registry.put(dataclasses.replace(listed[1], slots=1))
    assert registry.has_few_slots(service)
    assert all(queue.settings.overload for queue in queues)
    registry.put(listed[1])
    assert not registry.has_few_slots(service)
    assert not any(queue.settings.overload for queue in queues)
    registry.end(listed[1].server_id, "it has crashed")
    assert registry.has_few_slots(service)
    registry.end(listed[0].server_id, "it has crashed")
    assert not registry.has_few_slots(service)


def test_many_servers_that_join_at_once_are_looked_at_once_each(registry):
    """Guards against time that grows with the square of the servers."""
    looked_at = []
    of_service = registry.of_service

    def count(service):
        servers_of_service = list(of_service(service))
        looked_at.extend(servers_of_service)
        return servers_of_service

    registry.of_service = count
    for number in range(1, 301):
        listed = support.make_server(f"s{number}", port=number)
        registry.put(dataclasses.replace(listed, slots=2))
    assert len(looked_at) <= 300
