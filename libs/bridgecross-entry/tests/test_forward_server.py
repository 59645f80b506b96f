"""What an instance sends to servers for others, and what it does not."""

import math

import anyio
import entry_support as support
import forward_support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import edge
from bridgecross_entry import forwards
from bridgecross_entry import listener
from bridgecross_entry import model
from bridgecross_request import poison_requests

pytestmark = pytest.mark.anyio


async def test_a_request_and_its_answer_arrive_unchanged():
    scene = forward_support.Scene()
    reply = await scene.send()
    assert forwards.unpack_result(reply) == forward_support.ANSWER
    ((name, request, remaining_ms),) = scene.servers.sent
    assert name == "a"
    assert forwards.pack(request) == forward_support.CONTENT
    assert remaining_ms == pytest.approx(400.0)


RESULTS = [
    attempts.Shed(503),
    attempts.NotOwner("b"),
    attempts.Interrupted("reset"),
    attempts.NotSent("refused", refused=True),
    attempts.NotSent("no answer"),
]


@pytest.mark.parametrize("result", RESULTS, ids=repr)
async def test_each_result_is_reported_as_it_is(result):
    scene = forward_support.Scene()
    scene.servers.result = result
    assert forwards.unpack_result(await scene.send()) == result


ORDER_RESULTS = [
    attempts.Granted(),
    attempts.Outranked(),
    attempts.Gone("another"),
    attempts.Refused("refused"),
    attempts.NoReply("reset"),
    attempts.NotTaken("status 400"),
]


@pytest.mark.parametrize("result", ORDER_RESULTS, ids=repr)
async def test_each_result_of_an_order_is_reported_as_it_is(result):
    scene = forward_support.Scene()
    scene.servers.order_result = result
    assert await scene.order() == result
    assert scene.servers.sent == [("a", 1, 5, 3, 2_500.0, "state")]


def _stop(scene):
    scene.server.is_stopping = True


def _cool(scene):
    service = model.Service(
        ids.ServiceName("rapor"),
        max_connections=130,
        keyed=True,
        warm_ms=0.0,
        warmup_ms=3_000.0,
        warmup_rate_per_s=5.0,
    )
    scene.registry.configure({service.name: service})
    scene.registry.get("a").mark_cold(math.inf)


def _limit(scene):
    notice = attempts.Notice(limit_per_s=2.0)
    scene.registry.notices.record(support.make_server("a"), notice)


def _back_off(scene):
    notice = attempts.Notice(backoff_s=1.0)
    scene.registry.notices.record(support.make_server("a"), notice)


def _end(scene):
    scene.registry.end(ids.ServerId("a"), "another has its address")


def _cut(scene):
    scene.links.note_failed(
        support.make_server("a"), "no answer", refused=False
    )


def _refuse(scene):
    subject = poison_requests.compute_fingerprint(
        forward_support.CONTENT.host,
        forward_support.CONTENT.method,
        forward_support.CONTENT.target,
        forward_support.CONTENT.body,
    )
    for name in "abc":
        now_s = scene.clock.now_s
        scene.ledger.record_end(
            poison_requests.RunEnd(subject, ids.ServerId(name), now_s, now_s)
        )


def _wait(scene):
    scene.clock.now_s += 0.3


FORBIDDEN = {
    "it stops": _stop,
    "the server is cold": _cool,
    "the server limits requests": _limit,
    "the server wants a backoff": _back_off,
    "the server has ended": _end,
    "it does not reach the server either": _cut,
    "servers end under the request": _refuse,
    "the message is late": _wait,
}


BLAMED = {
    _stop: forwards.Blamed.RELAY,
    _wait: forwards.Blamed.RELAY,
    _cut: forwards.Blamed.LINK,
    _end: forwards.Blamed.LINK,
}


@pytest.mark.parametrize("happen", FORBIDDEN.values(), ids=FORBIDDEN)
async def test_what_the_helper_knows_is_respected(happen):
    scene = forward_support.Scene()
    validity = await scene.validate()
    happen(scene)
    result = forwards.unpack_result(await scene.send(validity))
    assert isinstance(result, attempts.NotSent)
    assert not result.refused
    relayed = await scene.relay(validity)
    result = forwards.unpack_result(relayed.reply)
    assert isinstance(result, attempts.NotSent)
    assert relayed.blamed is BLAMED.get(happen, forwards.Blamed.NOTHING)
    assert scene.servers.sent == []


# Guards against a relay that has no processor left for its own requests.
async def test_a_relay_takes_no_more_than_it_has_capacity_for():
    scene = forward_support.Scene()
    scene.servers.result = None
    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(scene.relay)
        while len(scene.servers.sent) < 2:
            await anyio.sleep(0.001)
        scene.servers.result = forward_support.ANSWER
        full = await scene.relay()
        # Whose own links are broken has no other way.
        helped = forwards.unpack_result(await scene.send())
        tasks.cancel_scope.cancel()
    assert full.blamed is forwards.Blamed.RELAY
    assert full.reply.kind is forwards.ResultKind.NOT_SENT
    assert helped == forward_support.ANSWER
    again = await scene.relay()
    assert forwards.unpack_result(again.reply) == forward_support.ANSWER


@pytest.mark.parametrize("happen", [_cool, _limit, _back_off, _refuse, _wait])
async def test_the_helper_looks_again_at_the_first_byte(happen):
    scene = forward_support.Scene()
    scene.servers.before_first_byte = lambda: happen(scene)
    result = forwards.unpack_result(await scene.send())
    assert isinstance(result, attempts.NotSent)
    assert scene.servers.sent == []


@pytest.mark.parametrize(
    ("happen", "terms"),
    [(_limit, {"has_quota": True}), (_cool, {"covers_cold": True})],
)
async def test_rights_that_were_obtained_are_used(happen, terms):
    scene = forward_support.Scene()
    happen(scene)
    reply = await scene.send(**terms)
    assert forwards.unpack_result(reply) == forward_support.ANSWER


async def test_what_the_server_says_is_passed_on():
    scene = forward_support.Scene()
    _limit(scene)
    reply = await scene.send(has_quota=True)
    assert reply.limit_per_s == 2.0
    assert not reply.is_leaving


@pytest.mark.parametrize("happen", [_stop, _cut, _wait, _end])
async def test_orders_are_not_taken_where_requests_are_not(happen):
    scene = forward_support.Scene()
    validity = await scene.validate()
    happen(scene)
    assert isinstance(await scene.order(validity), attempts.NotTaken)
    assert scene.servers.sent == []


# Guards against an order of a leader that another one has followed meanwhile.
async def test_an_order_is_not_sent_once_it_is_too_old():
    scene = forward_support.Scene()
    scene.servers.before_first_byte = lambda: _wait(scene)
    assert isinstance(await scene.order(), attempts.NotTaken)
    assert scene.servers.sent == []


async def test_the_time_since_a_stamp_is_not_counted_as_age():
    scene = forward_support.Scene()
    validity = await scene.validate(elapsed_s=1.0)
    scene.clock.now_s += 1.1
    reply = await scene.send(validity)
    assert forwards.unpack_result(reply) == forward_support.ANSWER


async def test_a_message_for_an_earlier_process_is_not_acted_upon():
    scene = forward_support.Scene()
    validity = await scene.validate()
    result = forwards.unpack_result(
        await forward_support.Scene().send(validity)
    )
    assert isinstance(result, attempts.NotSent)


@pytest.mark.parametrize(
    ("refusing", "reach"),
    [
        ("", forwards.Reach.REACHED),
        ("a", forwards.Reach.REFUSED),
        ("abc", forwards.Reach.UNKNOWN),
    ],
)
async def test_an_instance_that_reaches_none_knows_nothing(refusing, reach):
    scene = forward_support.Scene()
    scene.servers.refusing = set(refusing)
    assert (await scene.ask(is_fresh=True)).reach is reach


async def test_an_unreadable_message_is_rejected():
    scene = forward_support.Scene()
    for path in forwards.PATHS:
        assert (await scene.server.answer(path, b"\xc1")).status == 400
    assert scene.server.open_count == 0


# Guards against servers that work on for callers who have left.
async def test_a_caller_who_leaves_is_noticed_through_another_instance():
    scene = forward_support.Scene()
    scene.servers.result = None
    scope = {"raw_path": forwards.REQUEST_PATH, "state": {}}
    body = scene.encode(await scene.validate())

    async def send(message):
        raise AssertionError("there is nobody to answer")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(edge._serve_forward, scene.server, scope, body, send)
        while not scene.servers.sent:
            await anyio.sleep(0.001)
        assert scene.server.open_count == 1
        scope["state"][listener.ON_DISCONNECT]()
    assert scene.servers.cancelled_count == 1
    assert scene.server.open_count == 0


# Guards against a helper that works on after the time of a request.
async def test_a_request_is_given_up_when_its_time_is_over():
    scene = forward_support.Scene()
    scene.servers.result = None
    with anyio.fail_after(2.0):
        async with anyio.create_task_group() as tasks:
            results = []

            async def send() -> None:
                results.append(forwards.unpack_result(await scene.send()))

            tasks.start_soon(send)
            while not scene.servers.sent:
                await anyio.sleep(0.001)
            scene.clock.now_s += 0.5
    assert results == [attempts.Interrupted("no answer in time")]
    assert scene.servers.cancelled_count == 1
