import asyncio
import contextlib
import dataclasses
import socket
import struct
import time

import anyio
import pytest

from bridgecross_core import clock
from bridgecross_entry import exchange
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: 2\r\n\r\nok"


@contextlib.asynccontextmanager
async def _serving(*scripts: list[bytes | None]):
    """Serves connections by script: each request gets the next bytes.

    None resets the connection and an empty text closes it, both without
    waiting for a request. Otherwise it stays open, in silence.
    """
    left = list(scripts)
    used = []

    async def serve(reader, writer):
        script = left.pop(0)
        number = len(used)
        used.append(0)
        for answer in script:
            if answer is None:
                await asyncio.sleep(0.02)
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return
            if not answer:
                await asyncio.sleep(0.02)
                writer.close()
                return
            await reader.readuntil(b"\r\n\r\n")
            used[number] += 1
            writer.write(answer)
            await writer.drain()
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = model.Address(*server.sockets[0].getsockname()[:2])
    # What a process that stands still while it connects makes of it has a test
    # of its own; here it would hide what the test is about.
    settings = exchange.ConnectionSettings(connect_timeout_s=10.0)
    pool = exchange.ConnectionPool(address, settings, clock.SystemClock())
    try:
        yield pool, used
    finally:
        pool.close()
        server.close()


async def _ask(
    pool: exchange.ConnectionPool, name: bytes = b"1"
) -> exchange.Result:
    def accepts(reply: exchange.Reply) -> bool:
        return reply.header(b"request-id") in {None, name}

    async with asyncio.timeout(2):
        return await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", accepts)


async def test_a_whole_answer_is_returned_and_the_connection_used_again():
    async with _serving([OK % b"1", OK % b"1"]) as (pool, used):
        for _ in range(2):
            reply = await _ask(pool)
            assert isinstance(reply, exchange.Reply)
            assert reply.body == b"ok"
        assert used == [2]


@pytest.mark.parametrize(
    "script",
    [
        pytest.param([OK[:-1] % b"1", b""], id="cut short"),
        pytest.param([b"HTTP/1.1 200 OK\r\ncontent-le", b""], id="head cut"),
        pytest.param([b"", b""], id="closed without an answer"),
        pytest.param([None], id="reset"),
        pytest.param([b"no such protocol\r\n\r\n"], id="no HTTP"),
        pytest.param(
            [
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
                b"",
            ],
            id="chunks cut",
        ),
    ],
)
async def test_what_is_not_whole_is_no_answer(script):
    async with _serving(script) as (pool, _):
        assert isinstance(await _ask(pool), exchange.Broken)


async def test_an_answer_without_length_ends_with_its_connection():
    async with _serving([b"HTTP/1.1 200 OK\r\n\r\nwhole", b""]) as (pool, _):
        reply = await _ask(pool)
        assert isinstance(reply, exchange.Reply)
        assert reply.body == b"whole"


async def test_an_answer_without_length_that_is_reset_is_not_whole():
    async with _serving([b"HTTP/1.1 200 OK\r\n\r\npart", None]) as (pool, _):
        assert isinstance(await _ask(pool), exchange.Broken)


async def test_a_process_that_stands_still_while_it_connects_sent_nothing():
    """The connection was made meanwhile, but its time is over by then."""
    async with _serving([OK % b"1"]) as (made, used):
        pool = exchange.ConnectionPool(
            made.address, exchange.ConnectionSettings(), clock.SystemClock()
        )
        loop = asyncio.get_running_loop()
        # Once it has begun to connect; as on a machine that gives it no time.
        loop.call_soon(loop.call_soon, time.sleep, 0.3)
        result = await _ask(pool)
        assert result == exchange.Unsent("connecting took too long", False)
        assert not any(used)


async def test_a_late_answer_to_another_request_is_passed_over():
    late_then_right = OK % b"0" + OK % b"1"
    async with _serving([late_then_right], [OK % b"2"]) as (pool, used):
        reply = await _ask(pool)
        assert isinstance(reply, exchange.Reply)
        assert reply.header(b"request-id") == b"1"
        await _ask(pool, b"2")
        assert used == [1, 1]


async def test_a_connection_with_a_surplus_answer_is_not_used_again():
    twice = OK % b"1" + OK % b"1"
    async with _serving([twice], [OK % b"2"]) as (pool, used):
        assert isinstance(await _ask(pool), exchange.Reply)
        reply = await _ask(pool, b"2")
        assert isinstance(reply, exchange.Reply)
        assert used == [1, 1]


async def test_a_server_that_asks_to_close_is_heeded():
    closing = (
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )
    async with _serving([closing], [OK % b"1"]) as (pool, used):
        await _ask(pool)
        await _ask(pool)
        assert used == [1, 1]


async def test_a_cancelled_exchange_closes_its_connection():
    async with _serving([], [OK % b"1"]) as (pool, used):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r: True)
        assert isinstance(await _ask(pool), exchange.Reply)
        assert used == [0, 1]


# An order that was given up was taken seconds later.
async def test_what_is_given_up_is_not_sent_again():
    listening = socket.create_server(("127.0.0.1", 0))
    address = model.Address(*listening.getsockname())
    pool = exchange.ConnectionPool(
        address, exchange.ConnectionSettings(), clock.SystemClock()
    )
    with anyio.move_on_after(0.1):
        await pool.exchange(b"POST / HTTP/1.1\r\n\r\n", lambda _: True)
    await anyio.sleep(0.05)
    other_side, _ = listening.accept()
    with other_side, listening, pytest.raises(ConnectionResetError):
        other_side.makefile("rb").read()


async def test_a_refused_connection_is_told_as_such():
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    address = model.Address(*server.sockets[0].getsockname()[:2])
    server.close()
    pool = exchange.ConnectionPool(
        address, exchange.ConnectionSettings(), clock.SystemClock()
    )
    result = await _ask(pool)
    assert isinstance(result, exchange.Unsent)
    assert result.refused


async def test_the_answer_to_head_ends_with_its_head():
    head = (OK % b"1").partition(b"ok")[0]
    async with _serving([head], [OK % b"1"]) as (pool, used):
        with anyio.fail_after(1):
            reply = await pool.exchange(
                b"HEAD / HTTP/1.1\r\n\r\n", lambda reply: True
            )
        assert isinstance(reply, exchange.Reply)
        assert (reply.status, reply.body) == (200, b"")
        assert isinstance(await _ask(pool), exchange.Reply)
        assert used == [1, 1]


async def test_a_timeout_drops_connections_that_rested_as_long():
    """They may have gone silent for good; each would cost a timeout."""
    async with _serving([OK % b"1"], [OK % b"1"], [OK % b"1", OK % b"1"]) as (
        pool,
        used,
    ):
        pool._settings = dataclasses.replace(
            pool._settings, drops_idle_on_timeout=True
        )
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(_ask, pool)
        assert len(pool._idle) == 2
        with anyio.move_on_after(0.05):
            await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", lambda reply: True)
        assert not pool.has_idle
        assert isinstance(await _ask(pool), exchange.Reply)
        assert used == [1, 1, 1]


async def test_a_connection_that_was_there_is_vouched_for():
    async with _serving([OK % b"1", OK % b"1"]) as (pool, used):
        await _ask(pool)
        now_s = clock.SystemClock().monotonic_s()
        assert pool.prefer_verified(now_s)
        assert not pool.prefer_verified(now_s - 60.0)
        await _ask(pool)
        assert used == [2]


async def test_an_answer_vouches_for_its_connection_only():
    async with _serving([OK % b"1"], [OK % b"1", OK % b"1"]) as (pool, used):
        await _ask(pool)
        begun_s = clock.SystemClock().monotonic_s() - 60.0
        assert not pool.prefer_verified(begun_s)
        reply = await pool.exchange_on_new_connection(
            b"GET /health HTTP/1.1\r\n\r\n", lambda _: True
        )
        assert isinstance(reply, exchange.Reply)
        assert pool.prefer_verified(begun_s)
        await _ask(pool)
        assert used == [1, 2]


async def test_a_connection_that_gives_no_answer_is_not_kept():
    async with _serving([None]) as (pool, _):
        reply = await pool.exchange_on_new_connection(
            b"GET /health HTTP/1.1\r\n\r\n", lambda _: True
        )
        assert isinstance(reply, exchange.Broken)
        assert not pool.has_idle


# Guards against: what was checked before a connection was set up was sent on it
# a quarter of a second later, to a server that wanted nothing any more.
@pytest.mark.parametrize("is_kept", [True, False])
async def test_nothing_is_written_that_may_not_be_sent_any_more(is_kept):
    async with _serving([OK % b"1", OK % b"1", OK % b"1"]) as (pool, used):
        if is_kept:
            await _ask(pool)
        rested = [idle.since_s for idle in pool._idle]
        asked = []

        def may_send() -> bool:
            asked.append(pool.opened_count)
            return False

        result = await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", bool, may_send)
        assert result == exchange.Unsent("withheld", False, is_withheld=True)
        # It was asked once the connection was there, and that is kept.
        assert asked == [1]
        # It goes on to be as old as it is.
        assert not is_kept or [i.since_s for i in pool._idle] == rested
        assert isinstance(await _ask(pool), exchange.Reply)
        assert (pool.opened_count, used) == (1, [1 + is_kept])


async def test_no_question_is_written_that_may_not_be_sent_any_more():
    async with _serving([OK % b"1"]) as (pool, used):
        result = await pool.exchange_on_new_connection(
            b"GET / HTTP/1.1\r\n\r\n", bool, lambda: False
        )
        assert isinstance(result, exchange.Unsent)
        assert result.is_withheld
        assert isinstance(await _ask(pool), exchange.Reply)
        assert used == [1]
