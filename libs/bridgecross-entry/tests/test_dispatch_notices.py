"""What becomes of requests once servers have said how they are."""

import dataclasses

import anyio
import entry_support as support
import pytest
import test_dispatch as scenes

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_entry import permit_client
from bridgecross_entry import permits

pytestmark = pytest.mark.anyio

A, B = support.make_server("a"), support.make_server("b")
LEAVING = attempts.Notice(is_leaving=True)
# A bound that is soon over.
SOON = dataclasses.replace(support.BOUNDS, drain_ms=40)


async def _never(timeout_s):
    raise AssertionError("it waited")


def _tell(scene, notice, told):
    for each in told:
        scene.registry.notices.record(each, notice)


async def test_others_are_taken_before_one_that_says_it_leaves():
    backends = scenes.Backends(*[scenes.OK] * 4)
    scene = scenes.Scene(backends)
    _tell(scene, LEAVING, [A])
    for _ in range(4):
        await scene.ask()
    assert backends.sent == ["b"] * 4


async def test_one_that_says_it_leaves_is_used_for_a_while_if_need_be():
    backends = scenes.Backends(scenes.OK, scenes.OK)
    scene = scenes.Scene(backends)
    _tell(scene, LEAVING, [A, B])
    assert await scene.ask() is scenes.OK


@pytest.mark.parametrize(
    "keyed", [pytest.param(True, id="keyed"), pytest.param(False, id="any")]
)
async def test_nothing_goes_to_one_that_said_long_ago_that_it_leaves(keyed):
    backends = scenes.Backends(scenes.OK)
    scene = scenes.Scene(backends, keyed=keyed, bounds=SOON)
    scene.put_map(1, scenes._owned_by("a"))
    _tell(scene, LEAVING, [A, B])
    await anyio.sleep(SOON.drain_ms / 1_000)
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert backends.sent == []


# Guards against: a caller waits, and comes back thrice within half a second,
# for a key whose owner leaves and which cannot move before the log is back.
async def test_a_key_whose_owner_has_left_is_refused_at_once():
    scene = scenes.Scene(scenes.Backends(), keyed=True, bounds=SOON)
    scene.put_map(1, scenes._owned_by("a"))
    _tell(scene, LEAVING, [A])
    await anyio.sleep(SOON.drain_ms / 1_000)
    scene.table.changed.wait = _never
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.retry_after_ms == 1_000


async def test_a_request_that_waited_for_room_is_not_sent_after_the_bound():
    backends = scenes.Backends(None, scenes.OK)
    scene = scenes.Scene(backends, keyed=True, bounds=SOON)
    scene.put_map(1, scenes._owned_by("a"))
    queue = scene.registry.get(A.server_id).queue
    queue.settings = dataclasses.replace(queue.settings, slots=1)
    waited = []
    async with anyio.create_task_group() as tasks:

        async def wait():
            waited.append(await scene.ask())

        tasks.start_soon(lambda: scene.ask(caller_timeout_ms=100.0))
        await anyio.sleep(0.01)
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        _tell(scene, LEAVING, [A])
    assert backends.sent == ["a"]
    assert isinstance(waited[0], outcomes.NotRun)


REST_S = 3.0
REST = attempts.Notice(backoff_s=REST_S)


class Full(scenes.Backends):
    """Some servers are full, and may ask for rest; the others answer."""

    def __init__(self, **rests_s: float) -> None:
        super().__init__()
        self.rests_s = rests_s
        self.hear = None

    async def send(self, server, request, remaining_ms, may_send):
        rest_s = self.rests_s.get(server.name)
        self.script = [scenes.OK if rest_s is None else scenes.SHED]
        result = await super().send(server, request, remaining_ms, may_send)
        if rest_s is not None and result is scenes.SHED:
            self.hear(server, attempts.Notice(backoff_s=rest_s))
        return result


def _make_full(*, keyed=False, **rests_s: float):
    backends = Full(**rests_s)
    scene = scenes.Scene(backends, keyed=keyed)
    scene.put_map(1, scenes._owned_by("a"))
    backends.hear = scene.registry.notices.record
    return backends, scene


def _check_refused(outcome, rest_s):
    """Checks that a caller is told to come back soon after the rest."""
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert rest_s - 0.5 < outcome.retry_after_ms / 1_000 < rest_s + 0.5


# Guards against: a full server that asked for 3 s of rest got up to 15 more
# requests of the same instance in that time, four in a row for one caller.
async def test_the_owner_of_a_key_is_left_alone_for_as_long_as_it_asked():
    backends, scene = _make_full(keyed=True, a=REST_S)
    for _ in range(5):
        _check_refused(await scene.ask(), REST_S)
    assert backends.sent == ["a"]


async def test_others_are_tried_while_one_rests():
    backends, scene = _make_full(a=REST_S)
    for _ in range(6):
        assert await scene.ask() is scenes.OK
    assert backends.sent.count("a") <= 1


async def test_all_that_rest_are_left_alone_for_the_shortest_rest():
    backends, scene = _make_full(a=REST_S, b=2.0)
    for _ in range(4):
        _check_refused(await scene.ask(), 2.0)
    assert sorted(backends.sent) == ["a", "b"]


@pytest.mark.parametrize(
    "keyed", [pytest.param(True, id="keyed"), pytest.param(False, id="any")]
)
async def test_a_server_is_used_again_after_its_rest(keyed):
    backends, scene = _make_full(keyed=keyed)
    _tell(scene, attempts.Notice(backoff_s=0.05), [A, B])
    assert isinstance(await scene.ask(), outcomes.NotRun)
    await anyio.sleep(0.1)
    assert await scene.ask() is scenes.OK
    assert len(backends.sent) == 1


async def test_a_request_that_waited_is_not_sent_to_one_that_rests_by_then():
    backends = scenes.Backends(None, scenes.OK)
    scene = scenes.Scene(backends, keyed=True)
    scene.put_map(1, scenes._owned_by("a"))
    queue = scene.registry.get(A.server_id).queue
    queue.settings = dataclasses.replace(queue.settings, slots=1)
    waited = []
    async with anyio.create_task_group() as tasks:

        async def wait():
            waited.append(await scene.ask())

        tasks.start_soon(lambda: scene.ask(caller_timeout_ms=100.0))
        await anyio.sleep(0.01)
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        _tell(scene, REST, [A])
    assert backends.sent == ["a"]
    _check_refused(waited[0], REST_S)


async def test_a_failure_that_was_answered_is_told_while_all_rest():
    backends = scenes.Backends(scenes.FAILED)
    scene = scenes.Scene(backends)

    async def send(server, request, remaining_ms, may_send):
        _tell(scene, REST, [A, B])
        return scenes.FAILED

    backends.send = send
    assert await scene.ask() is scenes.FAILED


class Permits:
    """A ``PermitClient`` that gives permits for one server."""

    def __init__(self, name: str) -> None:
        self.permit = permit_client.Permit(
            ids.ServerId(name), "t", model.Address("127.0.0.1", 9)
        )
        self.asked = []
        self.returned = []

    def is_used(self, service):
        return True

    async def obtain(self, wanted):
        self.asked.append(wanted)
        return self.permit

    def return_permit(self, permit, held_s, ending, pace_ratio=0.0):
        self.returned.append(ending)


async def test_a_permit_for_one_that_rests_is_given_back_unused():
    backends, scene = _make_full()
    scene.dispatcher._permits = Permits("a")
    _tell(scene, REST, [A])
    assert await scene.ask() is scenes.OK
    assert backends.sent == ["b"]
    assert scene.dispatcher._permits.returned == [permits.Outcome.UNUSED]


@pytest.mark.parametrize(
    ("keyed", "told"),
    [
        pytest.param(True, [A], id="the owner of the key"),
        pytest.param(False, [A, B], id="all"),
    ],
)
async def test_no_permit_is_asked_for_while_all_rest(keyed, told):
    backends, scene = _make_full(keyed=keyed)
    scene.dispatcher._permits = Permits("a")
    _tell(scene, REST, told)
    _check_refused(await scene.ask(), REST_S)
    assert scene.dispatcher._permits.asked == []
    assert backends.sent == []


async def test_who_asks_for_a_permit_names_those_that_rest():
    _, scene = _make_full()
    scene.dispatcher._permits = Permits("b")
    _tell(scene, REST, [A])
    assert await scene.ask() is scenes.OK
    assert set(scene.dispatcher._permits.asked[0].tried) == {"a"}


# Guards against: one caller's request went four times in a row to the only
# server that could take it, within 4 ms, each time turned away as full.
@pytest.mark.parametrize("keyed", [True, False])
async def test_a_request_does_not_go_again_to_the_only_one_that_is_full(keyed):
    backends = scenes.Backends(*[scenes.SHED] * 4)
    scene = scenes.Scene(backends, keyed=keyed)
    scene.put_map(1, scenes._owned_by("a"))
    scene.registry.end(B.server_id, "gone")
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.retry_after_ms > 0
    assert backends.sent == ["a"]


async def test_a_full_server_is_not_tried_twice_in_a_row():
    backends = scenes.Backends(*[scenes.SHED] * 4)
    scene = scenes.Scene(backends)
    await scene.ask()
    assert len(backends.sent) == 4
    assert all(
        first != second
        for first, second in zip(backends.sent, backends.sent[1:], strict=False)
    )


async def test_a_request_that_its_owner_shed_follows_its_key():
    backends = scenes.Backends(scenes.SHED, scenes.OK)
    scene = scenes.Scene(backends, keyed=True)
    scene.put_map(1, scenes._owned_by("a"))
    send = backends.send

    async def send_and_move(server, request, remaining_ms, may_send):
        result = await send(server, request, remaining_ms, may_send)
        scene.put_map(2, scenes._owned_by("b", 2))
        return result

    backends.send = send_and_move
    assert await scene.ask() is scenes.OK
    assert backends.sent == ["a", "b"]
