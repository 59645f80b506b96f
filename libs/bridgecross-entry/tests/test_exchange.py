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
    """Serves each connection by a script: each request gets the next bytes.

    None resets the connection and an empty byte string closes it, both without
    waiting for a request. After its script, a connection stays open silently.
    """
    unused_scripts = list(scripts)
    request_counts = []

    async def serve(reader, writer):
        script = unused_scripts.pop(0)
        number = len(request_counts)
        request_counts.append(0)
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
            request_counts[number] += 1
            writer.write(answer)
            await writer.drain()
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = model.Address(*server.sockets[0].getsockname()[:2])
    # On a busy machine, a connect timeout would hide what these tests check; it
    # has a test of its own.
    settings = exchange.ConnectionSettings(connect_timeout_s=10.0)
    pool = exchange.ConnectionPool(address, settings, clock.SystemClock())
    try:
        yield pool, request_counts
    finally:
        pool.close()
        server.close()


async def _ask(
    pool: exchange.ConnectionPool, name: bytes = b"1"
) -> exchange.Result:
    def accepts(reply: exchange.Reply) -> bool:
        return reply.header(b"request-id") in {None, name}

    async with asyncio.timeout(2):
        return await pool.exchange(
            b"GET / HTTP/1.1\r\n\r\n", accepts, request_id=name
        )


async def test_complete_answer_is_returned_and_the_connection_reused():
    async with _serving([OK % b"1", OK % b"1"]) as (pool, request_counts):
        for _ in range(2):
            reply = await _ask(pool)
            assert isinstance(reply, exchange.Reply)
            assert reply.body == b"ok"
        assert request_counts == [2]


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
async def test_incomplete_answer_is_an_error(script):
    async with _serving(script) as (pool, _):
        assert isinstance(await _ask(pool), exchange.Broken)


_INTERIM = b"HTTP/1.1 103 Early\r\nrequest-id: 1\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\n"
UNFINISHED = {
    "a status line, cut": b"HTTP/1.1 200 O",
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "a name, cut": _HEAD + b"content-le",
    "a value, cut": _HEAD + b"content-length: 1",
    "headers": _HEAD,
    "an empty line, cut": _HEAD + b"\r",
    "headers of HTTP/1.0": b"HTTP/1.0 200 OK\r\nrequest-id: 1\r\n",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "101": b"HTTP/1.1 101 Switching\r\nrequest-id: 1\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\nrequest-id: 1\r\n\r\n",
    "103": _INTERIM,
    "103 of HTTP/1.0": _INTERIM.replace(b"1.1", b"1.0"),
    "several interim answers": _INTERIM * 3,
    "an interim answer and a head, cut": _INTERIM + _HEAD,
    "an interim answer and other bytes": _INTERIM + b"whole",
    "a status that does not exist": _HEAD.replace(b"200", b"099") + b"\r\n",
}
"""What a server may send before it closes without having answered."""


# Guards against an answer that stops in its head, or after an interim one, and
# counts as whole.
@pytest.mark.parametrize("sent", UNFINISHED.values(), ids=UNFINISHED)
@pytest.mark.parametrize("name", [b"1", b""], ids=["an id", "no id"])
async def test_an_answer_that_stops_in_its_head_is_not_whole(sent, name):
    async with _serving([sent, b""]) as (pool, _):
        async with asyncio.timeout(2):
            result = await pool.exchange(
                b"GET / HTTP/1.1\r\n\r\n",
                lambda reply: not name or reply.header(b"request-id") == name,
                request_id=name,
            )
        assert isinstance(result, exchange.Broken)


STATUSES = ["000", "099", "20", "2000", "abc", "600", "999"]


@pytest.mark.parametrize("status", STATUSES)
async def test_a_status_that_does_not_exist_is_no_answer(status):
    """Guards against a caller that gets a broken answer as an answer."""
    answer = (OK % b"1").replace(b"200", status.encode())
    async with _serving([answer]) as (pool, _):
        assert isinstance(await _ask(pool), exchange.Broken)


async def test_an_interim_answer_is_followed_by_the_whole_one():
    async with _serving([_INTERIM * 2 + OK % b"1"]) as (pool, _):
        reply = await _ask(pool)
        assert isinstance(reply, exchange.Reply)
        assert (reply.status, reply.body) == (200, b"ok")


async def test_an_answer_without_length_ends_with_its_connection():
    async with _serving([b"HTTP/1.1 200 OK\r\n\r\nwhole", b""]) as (pool, _):
        reply = await _ask(pool)
        assert isinstance(reply, exchange.Reply)
        assert reply.body == b"whole"


async def test_reset_answer_without_length_is_an_error():
    async with _serving([b"HTTP/1.1 200 OK\r\n\r\npart", None]) as (pool, _):
        assert isinstance(await _ask(pool), exchange.Broken)


async def test_blocked_process_that_exceeds_the_connect_timeout_sends_nothing():
    """The connection is established meanwhile, but after the timeout."""
    async with _serving([OK % b"1"]) as (serving_pool, request_counts):
        pool = exchange.ConnectionPool(
            serving_pool.address,
            exchange.ConnectionSettings(),
            clock.SystemClock(),
        )
        loop = asyncio.get_running_loop()
        # Blocks the loop once it has begun to connect, like a busy machine.
        loop.call_soon(loop.call_soon, time.sleep, 0.3)
        result = await _ask(pool)
        assert result == exchange.Unsent("connecting took too long", False)
        assert not any(request_counts)


async def test_late_answer_to_another_request_is_ignored():
    late_then_right = OK % b"0" + OK % b"1"
    async with _serving([late_then_right], [OK % b"2"]) as (
        pool,
        request_counts,
    ):
        reply = await _ask(pool)
        assert isinstance(reply, exchange.Reply)
        assert reply.header(b"request-id") == b"1"
        await _ask(pool, b"2")
        assert request_counts == [1, 1]


async def test_connection_with_an_unexpected_answer_is_not_reused():
    twice = OK % b"1" + OK % b"1"
    async with _serving([twice], [OK % b"2"]) as (pool, request_counts):
        assert isinstance(await _ask(pool), exchange.Reply)
        reply = await _ask(pool, b"2")
        assert isinstance(reply, exchange.Reply)
        assert request_counts == [1, 1]


# Guards against an answer that comes again and is taken for that to the next
# attempt of its request; and against a new connection for each failure.
@pytest.mark.parametrize("status", [b"503 Full", b"421 Other", b"500 Error"])
async def test_only_the_request_that_failed_avoids_its_connection(status):
    failure = b"HTTP/1.1 %s\r\ncontent-length: 0\r\n\r\n" % status
    async with _serving(
        [failure, failure], [OK % b"1", OK % b"2", OK % b"3"]
    ) as (pool, request_counts):
        for name in (b"1", b"2", b"1", b"2", b"3"):
            await _ask(pool, name)
        assert request_counts == [2, 3]


# Guards against memory that grows with each failure on a connection.
async def test_a_connection_is_replaced_after_many_failures():
    failure = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
    max_count = exchange.ConnectionSettings().failed_max_count
    scripts = [failure] * max_count, [failure] * 2
    async with _serving(*scripts) as (pool, request_counts):
        for number in range(max_count + 2):
            await _ask(pool, b"%d" % number)
        assert request_counts == [max_count, 2]


async def test_connection_close_of_the_server_is_respected():
    closing = (
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )
    async with _serving([closing], [OK % b"1"]) as (pool, request_counts):
        await _ask(pool)
        await _ask(pool)
        assert request_counts == [1, 1]


async def test_a_cancelled_exchange_closes_its_connection():
    async with _serving([], [OK % b"1"]) as (pool, request_counts):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r: True)
        assert isinstance(await _ask(pool), exchange.Reply)
        assert request_counts == [0, 1]


# Guards against an order that was cancelled, but was executed seconds later.
async def test_cancelled_request_is_not_retransmitted():
    listening_socket = socket.create_server(("127.0.0.1", 0))
    address = model.Address(*listening_socket.getsockname())
    pool = exchange.ConnectionPool(
        address, exchange.ConnectionSettings(), clock.SystemClock()
    )
    with anyio.move_on_after(0.1):
        await pool.exchange(b"POST / HTTP/1.1\r\n\r\n", lambda _: True)
    await anyio.sleep(0.05)
    server_socket, _ = listening_socket.accept()
    with server_socket, listening_socket, pytest.raises(ConnectionResetError):
        server_socket.makefile("rb").read()


async def test_refused_connection_is_reported_as_refused():
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
    async with _serving([head], [OK % b"1"]) as (pool, request_counts):
        with anyio.fail_after(1):
            reply = await pool.exchange(
                b"HEAD / HTTP/1.1\r\n\r\n", lambda reply: True
            )
        assert isinstance(reply, exchange.Reply)
        assert (reply.status, reply.body) == (200, b"")
        assert isinstance(await _ask(pool), exchange.Reply)
        assert request_counts == [1, 1]


async def test_timeout_closes_connections_that_were_idle_during_it():
    """They may be dead as well, and each would cost another timeout."""
    async with _serving([OK % b"1"], [OK % b"1"], [OK % b"1", OK % b"1"]) as (
        pool,
        request_counts,
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
        assert request_counts == [1, 1, 1]


async def test_connection_opened_before_the_known_time_is_verified():
    async with _serving([OK % b"1", OK % b"1"]) as (pool, request_counts):
        await _ask(pool)
        now_s = clock.SystemClock().monotonic_s()
        assert pool.prefer_verified(now_s)
        assert not pool.prefer_verified(now_s - 60.0)
        await _ask(pool)
        assert request_counts == [2]


async def test_answer_verifies_only_its_own_connection():
    async with _serving([OK % b"1"], [OK % b"1", OK % b"1"]) as (
        pool,
        request_counts,
    ):
        await _ask(pool)
        known_s = clock.SystemClock().monotonic_s() - 60.0
        assert not pool.prefer_verified(known_s)
        reply = await pool.exchange_on_new_connection(
            b"GET /health HTTP/1.1\r\n\r\n", lambda _: True
        )
        assert isinstance(reply, exchange.Reply)
        assert pool.prefer_verified(known_s)
        await _ask(pool)
        assert request_counts == [1, 2]


async def test_connection_without_an_answer_is_not_kept():
    async with _serving([None]) as (pool, _):
        reply = await pool.exchange_on_new_connection(
            b"GET /health HTTP/1.1\r\n\r\n", lambda _: True
        )
        assert isinstance(reply, exchange.Broken)
        assert not pool.has_idle


# Guards against a request that was checked before its connection was opened and
# sent a quarter of a second later, to a server that may get nothing any more.
@pytest.mark.parametrize("is_kept", [True, False])
async def test_nothing_is_written_if_sending_is_not_allowed_any_more(is_kept):
    async with _serving([OK % b"1", OK % b"1", OK % b"1"]) as (
        pool,
        request_counts,
    ):
        if is_kept:
            await _ask(pool)
        idle_since_s = [idle.since_s for idle in pool._idle]
        opened_counts = []

        def may_send() -> bool:
            opened_counts.append(pool.opened_count)
            return False

        result = await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", bool, may_send)
        assert result == exchange.Unsent("withheld", False, is_withheld=True)
        # It was called once there was a connection, which is kept.
        assert opened_counts == [1]
        # The connection's idle time goes on.
        assert not is_kept or [i.since_s for i in pool._idle] == idle_since_s
        assert isinstance(await _ask(pool), exchange.Reply)
        assert (pool.opened_count, request_counts) == (1, [1 + is_kept])


async def test_nothing_is_written_on_a_new_connection_if_not_allowed():
    async with _serving([OK % b"1"]) as (pool, request_counts):
        result = await pool.exchange_on_new_connection(
            b"GET / HTTP/1.1\r\n\r\n", bool, lambda: False
        )
        assert isinstance(result, exchange.Unsent)
        assert result.is_withheld
        assert isinstance(await _ask(pool), exchange.Reply)
        assert request_counts == [1]


async def test_a_request_in_progress_at_a_busy_server_is_acknowledged():
    """Guards against connections that are opened to doubt a slow server."""
    real = clock.SystemClock()
    async with _serving([]) as (pool, _), anyio.create_task_group() as tasks:
        tasks.start_soon(_ask, pool)
        await anyio.sleep(0.3)
        assert pool.is_acknowledged(real.monotonic_s())
        tasks.cancel_scope.cancel()


async def test_bytes_that_a_peer_does_not_take_are_not_acknowledged():
    """Guards against a silent link that is not noticed.

    On loopback, only a peer that does not read leaves bytes unacknowledged.
    """
    real = clock.SystemClock()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = model.Address(*listening.getsockname())
        settings = exchange.ConnectionSettings()
        pool = exchange.ConnectionPool(address, settings, real)
        async with anyio.create_task_group() as tasks:
            request = b"POST / HTTP/1.1\r\n\r\n" + bytes(64 << 20)
            tasks.start_soon(pool.exchange, request, lambda _: True)
            await anyio.sleep(0.3)
            assert not pool.is_acknowledged(real.monotonic_s())
            # The request was sent after this time.
            assert pool.is_acknowledged(real.monotonic_s() - 10.0)
            tasks.cancel_scope.cancel()
