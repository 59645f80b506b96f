"""Tests limits of memory with callers over loopback connections."""

import asyncio
import collections
import socket

import anyio
import entry_support as support
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import edge
from bridgecross_entry import forwards
from bridgecross_entry import listener
from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import send_buffers

pytestmark = pytest.mark.anyio

# 16 MB are granted, 4 MB of them to bodies of at most 16 KiB only.
LEDGER = memory_ledger.LedgerSettings(program_bytes=0, granted_ratio=1.0)
# A caller has 2 s for 128,000 bytes, and 0.5 s while memory is short.
BUFFERS = send_buffers.SendBufferSettings(
    slow_link_bytes_per_s=64_000, stuck_s=0.5, interval_s=0.05
)
CHUNKED = -1
Request = collections.namedtuple("Request", "request_id path body")


@pytest.fixture
def anyio_backend():
    """Runs on the event loop that instances use."""
    return "asyncio", {"use_uvloop": True}


class Codec:
    """An ``edge.CallerCodec`` with a path and a body only."""

    def read(self, scope, body, received_s):
        return Request("id", scope["raw_path"], body)

    def write(self, request_id, outcome):
        retry_after_ms = getattr(outcome, "retry_after_ms", 0)
        headers = [(b"retry-after", b"%d" % retry_after_ms)]
        body = getattr(outcome, "body", b"refused")
        return edge.CallerAnswer(outcome.status, headers, body)


class Server:
    """A dispatcher, and a ``forward_server.ForwardServer``."""

    def __init__(self) -> None:
        self.routes = None
        self.ran: list[bytes] = []
        self.answer_bytes = 16_000_000

    async def run(self, request):
        self.ran.append(request.path)
        if request.path == b"/wait":
            await anyio.sleep_forever()
        if request.path == b"/fail":
            raise RuntimeError("a fault")
        size_bytes = self.answer_bytes if request.path == b"/large" else 2
        return outcomes.Answered(200, (), b"a" * size_bytes)

    async def answer(self, path, body):
        self.ran.append(path)
        return peers.PeerReply(200, b"reply")


class Site:
    """A listener for callers with a limit of memory."""

    def __init__(self) -> None:
        clock = clocks.SystemClock()
        parts = support.make_journal(clock), metrics_lib.Metrics(), clock
        self.ledger = memory_ledger.MemoryLedger(LEDGER, 16)
        self.gate = memory_gate.MemoryGate(self.ledger, *parts)
        self.server = Server()
        self.edge = edge.Edge(self.server, Codec(), parts[0], clock, self.gate)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = model.Address(*free.getsockname())
        buffers = send_buffers.SendBuffers(BUFFERS, self.ledger, *parts)
        self.listener = listener.Listener(
            self.address, self.edge.serve, buffers=buffers
        )

    async def begin(self, path, size_bytes, sent=b""):
        """Sends the beginning of a request."""
        reader, writer = await asyncio.open_connection(*self.address)
        size = b"Content-Length: %d" % size_bytes
        if size_bytes is CHUNKED:
            size = b"Transfer-Encoding: chunked"
        writer.write(b"POST %s HTTP/1.1\r\n%s\r\n\r\n%s" % (path, size, sent))
        return reader, writer

    async def send(self, path, body, *, chunked=False):
        """Sends a request; returns the head of its answer."""
        if chunked:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        size_bytes = CHUNKED if chunked else len(body)
        reader, writer = await self.begin(path, size_bytes, body)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()
        return head

    async def wait_until_released(self) -> None:
        with anyio.fail_after(5.0):
            while self.ledger.total_bytes or self.edge.open_count:
                await anyio.sleep(0.01)


@pytest.fixture
async def site():
    running = Site()
    await running.listener.start()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(running.listener.watch_send_buffers)
        yield running
        tasks.cancel_scope.cancel()
    running.listener.stop()
    running.listener.abort_all()


@pytest.mark.parametrize(
    ("path", "size_bytes", "chunked", "status"),
    [
        (b"/", 5_000_000, False, 200),
        (b"/", 5_000_000, True, 200),
        (b"/large", 0, False, 200),  # The caller leaves amid the answer.
        (b"/fail", 5_000_000, False, 500),
        (b"/", 7_000_000, False, 503),
        (b"/", 7_000_000, True, 503),
        (b"/", 70_000_000, False, 413),  # More than is allowed.
    ],
)
async def test_nothing_stays_reserved(site, path, size_bytes, chunked, status):
    """Guards against leaked reservations, which keep out requests."""
    head = await site.send(path, b"b" * size_bytes, chunked=chunked)
    assert int(head.split()[1]) == status
    assert (b"retry-after: 1000\r\n" in head) == (status == 503)
    assert (b"connection: close" in head) == (status > 200)
    assert bool(site.server.ran) == (status in {200, 500})
    await site.wait_until_released()


@pytest.mark.parametrize("sent_bytes", [0, 1_000_000, 5_000_000])
async def test_nothing_stays_reserved_for_a_caller_that_left(site, sent_bytes):
    """Guards against reservations that leak when callers disconnect."""
    _, writer = await site.begin(b"/wait", 5_000_000, b"b" * sent_bytes)
    await anyio.sleep(0.1)
    assert site.ledger.total_bytes == 10_000_000
    writer.transport.abort()
    await site.wait_until_released()


async def test_a_large_body_is_refused_unread_beside_a_small_request(site):
    """Guards against a body that is read although there is no room for it."""
    _, holder = await site.begin(b"/", 5_000_000, b"beginning")
    await anyio.sleep(0.1)
    reader, writer = await site.begin(b"/", 2_000_000)
    assert (await reader.readline()).startswith(b"HTTP/1.1 503")
    assert b" 200 " in await site.send(b"/small", b"b" * 16_384)
    assert site.server.ran == [b"/small"]
    holder.close()
    writer.close()
    await site.wait_until_released()


@pytest.mark.parametrize(
    ("answer_bytes", "callers_count", "is_short", "closed_within_s"),
    [(5_000_000, 5, False, 4.0), (16_000_000, 20, True, 1.5)],
)
async def test_slow_readers_are_closed_and_others_are_served(
    site, answer_bytes, callers_count, is_short, closed_within_s
):
    """Guards against callers that do not read and keep out all others."""
    site.server.answer_bytes = answer_bytes
    slow = []
    for _ in range(callers_count):
        reader, writer = await site.begin(b"/large", 0)
        reader._transport.pause_reading()
        slow.append(writer)
    await anyio.sleep(0.2)
    held_bytes = site.ledger.total_bytes
    checked_count = 0
    assert (held_bytes > site.ledger.limit_bytes) == is_short
    # Beyond the limit nothing is started, and no further answer is held.
    assert (len(site.server.ran) < callers_count) == is_short
    with anyio.fail_after(closed_within_s):
        while site.ledger.total_bytes >= held_bytes:
            head = await site.send(b"/", b"b" * 1_000_000)
            # A slow reader may have been closed meanwhile.
            if site.ledger.total_bytes >= held_bytes:
                assert (b" 503 " if is_short else b" 200 ") in head
                checked_count += 1
            await anyio.sleep(0.05)
    assert checked_count
    await site.wait_until_released()
    assert b" 200 " in await site.send(b"/", b"b" * 1_000_000)
    for writer in slow:
        writer.transport.abort()


@pytest.mark.parametrize(
    ("path", "used_bytes", "status"),
    [
        (forwards.REQUEST_PATH, 0, 200),
        (forwards.REQUEST_PATH, 12_000_000, 503),
        (forwards.RELAYED_PATH, 12_000_000, 503),
        (forwards.ORDER_PATH, 16_000_001, 200),
        (forwards.REACH_PATH, 16_000_001, 200),
    ],
)
async def test_forwarded_requests_are_admitted(site, path, used_bytes, status):
    """Guards against leases lost since orders are refused like requests."""
    app = edge.make_peer_app(*[None] * 5, site.server, site.gate)
    site.ledger.reserve(memory_ledger.Purpose.ANSWER, used_bytes)
    sent, held_bytes = [], []

    async def receive():
        held_bytes.append(site.ledger.total_bytes - used_bytes)
        return {"type": "http.request", "body": b"b" * 20_000}

    async def send(message):
        sent.append(message.get("status"))

    headers = [(b"content-length", b"20000")]
    scope = {"raw_path": path, "headers": headers, "state": {}}
    await app(scope, receive, send)
    assert sent[0] == status
    assert site.server.ran == [path] * (status == 200)
    assert held_bytes == [0 if used_bytes else 60_000]
    assert site.ledger.total_bytes == used_bytes
