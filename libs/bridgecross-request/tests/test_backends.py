"""A suspension between two clock readings must not extend a deadline.

A server that does not check fences is protected by the deadline alone: once a
key has moved, the requests of an instance that was suspended must have ended.
The instance used to compute the remaining time on one clock and add it to
another clock later, so a suspension in between extended the deadline by its
length.
"""

import contextlib
import time

import anyio
import anyio.abc
import endless_server
import pytest

from bridgecross_core import outcomes
from bridgecross_request import backends

STOP_S = 10.0
NOW_S = 1_000.0
WALL_S = 5_000.0


class StoppingClock:
    """Two clocks, with a suspension before one of their readings."""

    def __init__(self, stops_before: int) -> None:
        self.readings_count = 0
        self._stops_before = stops_before

    def _passed_s(self) -> float:
        self.readings_count += 1
        return STOP_S if self.readings_count > self._stops_before else 0.0

    def monotonic_s(self) -> float:
        return NOW_S + self._passed_s()

    def wall_s(self) -> float:
        return WALL_S + self._passed_s()


@pytest.mark.parametrize("left_s", [0.5, 30.0])
@pytest.mark.parametrize("stops_before", range(4))
def test_a_limit_is_never_later_than_the_deadline(left_s, stops_before):
    clock = StoppingClock(stops_before)
    limit = backends.measure_limit(clock, NOW_S + left_s)
    assert limit.until_unix_s <= WALL_S + left_s
    assert 0.0 <= limit.left_s <= left_s


def test_a_limit_is_the_deadline_on_both_clocks():
    limit = backends.measure_limit(StoppingClock(9), NOW_S + 2.0)
    assert limit == backends.Limit(2.0, WALL_S + 2.0)


def test_the_deadline_header_does_not_depend_on_when_it_is_written():
    limit = backends.Limit(2.0, time.time() - 5.0)
    fence = backends.Fence(3, 5, 7)
    headers = dict(backends.build_headers("server:1", _request(), fence, limit))
    sent_ms = int(headers[backends.DEADLINE_HEADER])
    assert sent_ms == int(limit.until_unix_s * 1_000)


def _request():
    class Request:
        method = b"GET"
        target = "/"
        body = b""
        request_id = "id"
        headers = ()

    return Request()


@pytest.mark.anyio
async def test_a_closed_address_refuses_and_an_open_one_does_not():
    backend = backends.HttpBackend(backends.BackendSettings(1, 1_000))
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = f"127.0.0.1:{port}"
    assert not await backend.is_refusing(address)
    await listener.aclose()
    assert await backend.is_refusing(address)
    await backend.aclose()


_MAX_BODY_BYTES = 256 * 1024
_REFUSED = b"HTTP/1.1 409 Conflict\r\nbridgecross-refused: fence\r\n\r\n"
_ENDLESS = {
    name: script
    for name, script in {
        **endless_server.FRAMING,
        **endless_server.BODIES,
        "a refusal with a body": (_REFUSED, b"a" * 32_768),
    }.items()
    # The first answer on a connection is the expected one here.
    if "to others" not in name
}


# Guards against bytes that nothing bounds, not even the request's deadline,
# and against a refusal whose body fills the memory.
@pytest.mark.anyio
@pytest.mark.parametrize("script", _ENDLESS.values(), ids=_ENDLESS)
async def test_an_answer_without_end_is_broken_off(script):
    async with endless_server.serving(*script) as (address, server):
        backend = backends.HttpBackend(
            backends.BackendSettings(1, _MAX_BODY_BYTES)
        )
        with anyio.fail_after(10.0):
            outcome = await backend.send(
                str(address),
                _request(),
                backends.Fence(1, 2, 3),
                backends.Limit(30.0, time.time() + 30.0),
            )
            while not server.closed_count:
                await anyio.sleep(0.01)
        assert isinstance(outcome, outcomes.Unknown)


_UNFINISHED = {
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "a value, cut": b"HTTP/1.1 200 OK\r\ncontent-length: 1",
    "headers": b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early\r\nbridgecross-refused: fence\r\n\r\n",
    "101": b"HTTP/1.1 101 Switching\r\n\r\n",
}


# Guards against an answer that stops in its head and counts as whole.
@pytest.mark.anyio
@pytest.mark.parametrize("sent", _UNFINISHED.values(), ids=_UNFINISHED)
async def test_an_answer_that_stops_in_its_head_is_not_whole(sent):
    assert isinstance(await _ask_server(sent), outcomes.Unknown)


# Guards against a caller that gets a broken answer as an answer.
@pytest.mark.anyio
@pytest.mark.parametrize(
    "status", ["000", "099", "20", "2000", "abc", "600", "999"]
)
async def test_a_status_that_does_not_exist_is_no_answer(status):
    sent = f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok".encode()
    assert isinstance(await _ask_server(sent), outcomes.Unknown)


async def _ask_server(sent: bytes) -> outcomes.Outcome:
    """Returns the outcome at a server that sends bytes and closes."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send(sent)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        backend = backends.HttpBackend(backends.BackendSettings(1, 1_000))
        outcome = await backend.send(
            f"127.0.0.1:{port}",
            _request(),
            backends.Fence(1, 2, 3),
            backends.Limit(5.0, time.time() + 5.0),
        )
        tasks.cancel_scope.cancel()
    return outcome


# Guards against a server that answers a little at a time beyond the deadline.
@pytest.mark.anyio
async def test_no_answer_goes_on_after_the_deadline():
    async def serve(stream):
        async with stream:
            await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(b"HTTP/1.1 102 Processing\r\n\r\n")
                    await anyio.sleep(0.02)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        backend = backends.HttpBackend(backends.BackendSettings(1, 1_000))
        with anyio.fail_after(5.0):
            outcome = await backend.send(
                f"127.0.0.1:{port}",
                _request(),
                backends.Fence(1, 2, 3),
                backends.Limit(0.3, time.time() + 0.3),
            )
        tasks.cancel_scope.cancel()
    assert isinstance(outcome, outcomes.Unknown)
