"""What becomes of requests once servers have said how they are."""

import dataclasses

import anyio
import entry_support as support
import pytest
import test_dispatch as scenes

from bridgecross_core import outcomes
from bridgecross_entry import attempts

pytestmark = pytest.mark.anyio

A, B = support.make_server("a"), support.make_server("b")
LEAVING = attempts.Notice(is_leaving=True)
# A bound that is soon over.
SOON = dataclasses.replace(support.BOUNDS, drain_ms=40)


async def _never(timeout_s):
    raise AssertionError("it waited")


def _tell(scene, notice, told):
    for each in told:
        scene.book.notices.hear(each, notice)


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
    queue = scene.book.get(A.server_id).queue
    queue.settings = dataclasses.replace(queue.settings, slots=1)
    waited = []
    async with anyio.create_task_group() as tasks:

        async def wait():
            waited.append(await scene.ask())

        tasks.start_soon(lambda: scene.ask(patience_ms=100.0))
        await anyio.sleep(0.01)
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        _tell(scene, LEAVING, [A])
    assert backends.sent == ["a"]
    assert isinstance(waited[0], outcomes.NotRun)
