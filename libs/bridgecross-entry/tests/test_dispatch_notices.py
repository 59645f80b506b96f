"""Dispatch of requests after servers reported that they leave or are full."""

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
# A short drain bound.
SHORT_DRAIN_BOUNDS = dataclasses.replace(support.BOUNDS, drain_ms=40)


async def _never(timeout_s):
    raise AssertionError("the request waited for a change of the key map")


def _report(scene, notice, servers):
    for server in servers:
        scene.registry.notices.record(server, notice)


async def test_other_servers_are_preferred_to_a_leaving_one():
    backends = scenes.Backends(*[scenes.OK] * 4)
    scene = scenes.Scene(backends)
    _report(scene, LEAVING, [A])
    for _ in range(4):
        await scene.ask()
    assert backends.sent == ["b"] * 4


async def test_leaving_server_is_used_for_a_while_if_there_is_no_other():
    backends = scenes.Backends(scenes.OK, scenes.OK)
    scene = scenes.Scene(backends)
    _report(scene, LEAVING, [A, B])
    assert await scene.ask() is scenes.OK


@pytest.mark.parametrize(
    "keyed", [pytest.param(True, id="keyed"), pytest.param(False, id="any")]
)
async def test_nothing_goes_to_a_server_past_its_drain_limit(keyed):
    backends = scenes.Backends(scenes.OK)
    scene = scenes.Scene(backends, keyed=keyed, bounds=SHORT_DRAIN_BOUNDS)
    scene.put_map(1, scenes._owned_by("a"))
    _report(scene, LEAVING, [A, B])
    await anyio.sleep(SHORT_DRAIN_BOUNDS.drain_ms / 1_000)
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert backends.sent == []


# Guards against callers that wait, and retry three times within half a second,
# for a key whose owner leaves and which cannot move while the log is down.
async def test_request_for_a_key_whose_owner_left_is_refused_immediately():
    scene = scenes.Scene(
        scenes.Backends(), keyed=True, bounds=SHORT_DRAIN_BOUNDS
    )
    scene.put_map(1, scenes._owned_by("a"))
    _report(scene, LEAVING, [A])
    await anyio.sleep(SHORT_DRAIN_BOUNDS.drain_ms / 1_000)
    scene.table.changed.wait = _never
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.retry_after_ms == 1_000


async def test_queued_request_is_not_sent_after_the_drain_limit():
    backends = scenes.Backends(None, scenes.OK)
    scene = scenes.Scene(backends, keyed=True, bounds=SHORT_DRAIN_BOUNDS)
    scene.put_map(1, scenes._owned_by("a"))
    queue = scene.registry.get(A.server_id).queue
    queue.settings = dataclasses.replace(queue.settings, slots=1)
    waiter_outcomes = []
    async with anyio.create_task_group() as tasks:

        async def wait():
            waiter_outcomes.append(await scene.ask())

        tasks.start_soon(lambda: scene.ask(caller_timeout_ms=100.0))
        await anyio.sleep(0.01)
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        _report(scene, LEAVING, [A])
    assert backends.sent == ["a"]
    assert isinstance(waiter_outcomes[0], outcomes.NotRun)


BACKOFF_S = 3.0
BACKOFF = attempts.Notice(backoff_s=BACKOFF_S)


class FullBackends(scenes.Backends):
    """Backends of which some are full and ask for a backoff."""

    def __init__(self, **backoffs_s: float) -> None:
        super().__init__()
        self.backoffs_s = backoffs_s
        self.on_notice = None

    async def send(self, server, request, remaining_ms, may_send):
        backoff_s = self.backoffs_s.get(server.name)
        self.script = [scenes.OK if backoff_s is None else scenes.SHED]
        result = await super().send(server, request, remaining_ms, may_send)
        if backoff_s is not None and result is scenes.SHED:
            self.on_notice(server, attempts.Notice(backoff_s=backoff_s))
        return result


def _make_full_scene(*, keyed=False, **backoffs_s: float):
    backends = FullBackends(**backoffs_s)
    scene = scenes.Scene(backends, keyed=keyed)
    scene.put_map(1, scenes._owned_by("a"))
    backends.on_notice = scene.registry.notices.record
    return backends, scene


def _check_refused(outcome, backoff_s):
    """Checks that the Retry-After ends shortly after the backoff."""
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert backoff_s - 0.5 < outcome.retry_after_ms / 1_000 < backoff_s + 0.5


# Guards against a failure in which a full server that asked for a backoff of
# 3 s got up to 15 more requests of the same instance in that time, four in a
# row for one caller.
async def test_no_request_goes_to_an_owner_during_its_backoff():
    backends, scene = _make_full_scene(keyed=True, a=BACKOFF_S)
    for _ in range(5):
        _check_refused(await scene.ask(), BACKOFF_S)
    assert backends.sent == ["a"]


async def test_other_servers_are_used_during_a_backoff():
    backends, scene = _make_full_scene(a=BACKOFF_S)
    for _ in range(6):
        assert await scene.ask() is scenes.OK
    assert backends.sent.count("a") <= 1


async def test_requests_are_refused_until_the_first_backoff_ends():
    backends, scene = _make_full_scene(a=BACKOFF_S, b=2.0)
    for _ in range(4):
        _check_refused(await scene.ask(), 2.0)
    assert sorted(backends.sent) == ["a", "b"]


@pytest.mark.parametrize(
    "keyed", [pytest.param(True, id="keyed"), pytest.param(False, id="any")]
)
async def test_server_is_used_again_after_its_backoff(keyed):
    backends, scene = _make_full_scene(keyed=keyed)
    _report(scene, attempts.Notice(backoff_s=0.05), [A, B])
    assert isinstance(await scene.ask(), outcomes.NotRun)
    await anyio.sleep(0.1)
    assert await scene.ask() is scenes.OK
    assert len(backends.sent) == 1


async def test_queued_request_is_not_sent_during_a_backoff():
    backends = scenes.Backends(None, scenes.OK)
    scene = scenes.Scene(backends, keyed=True)
    scene.put_map(1, scenes._owned_by("a"))
    queue = scene.registry.get(A.server_id).queue
    queue.settings = dataclasses.replace(queue.settings, slots=1)
    waiter_outcomes = []
    async with anyio.create_task_group() as tasks:

        async def wait():
            waiter_outcomes.append(await scene.ask())

        tasks.start_soon(lambda: scene.ask(caller_timeout_ms=100.0))
        await anyio.sleep(0.01)
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        _report(scene, BACKOFF, [A])
    assert backends.sent == ["a"]
    _check_refused(waiter_outcomes[0], BACKOFF_S)


async def test_error_answer_is_returned_if_all_servers_are_in_backoff():
    backends = scenes.Backends(scenes.FAILED)
    scene = scenes.Scene(backends)

    async def send(server, request, remaining_ms, may_send):
        _report(scene, BACKOFF, [A, B])
        return scenes.FAILED

    backends.send = send
    assert await scene.ask() is scenes.FAILED


class Permits:
    """A ``PermitClient`` that issues permits for one server."""

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


async def test_permit_for_a_server_in_backoff_is_returned_unused():
    backends, scene = _make_full_scene()
    scene.dispatcher._permits = Permits("a")
    _report(scene, BACKOFF, [A])
    assert await scene.ask() is scenes.OK
    assert backends.sent == ["b"]
    assert scene.dispatcher._permits.returned == [permits.Outcome.UNUSED]


@pytest.mark.parametrize(
    ("keyed", "servers"),
    [
        pytest.param(True, [A], id="the owner of the key"),
        pytest.param(False, [A, B], id="all"),
    ],
)
async def test_no_permit_is_requested_if_all_servers_are_in_backoff(
    keyed, servers
):
    backends, scene = _make_full_scene(keyed=keyed)
    scene.dispatcher._permits = Permits("a")
    _report(scene, BACKOFF, servers)
    _check_refused(await scene.ask(), BACKOFF_S)
    assert scene.dispatcher._permits.asked == []
    assert backends.sent == []


async def test_permit_request_excludes_servers_in_backoff():
    _, scene = _make_full_scene()
    scene.dispatcher._permits = Permits("b")
    _report(scene, BACKOFF, [A])
    assert await scene.ask() is scenes.OK
    assert set(scene.dispatcher._permits.asked[0].tried) == {"a"}


# Guards against a request that goes four times in a row, within 4 ms, to the
# only server that can serve it and is rejected by the full server each time.
@pytest.mark.parametrize("keyed", [True, False])
async def test_request_is_not_retried_at_the_only_server_if_it_is_full(keyed):
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


async def test_request_shed_by_the_owner_follows_its_key():
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
