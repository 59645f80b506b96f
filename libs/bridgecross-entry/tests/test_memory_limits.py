"""Tests limits of memory with callers over loopback connections."""

import asyncio
import collections
import json
import socket

import anyio
import entry_support as support
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import edge
from bridgecross_entry import listener
from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import send_buffers

pytestmark = pytest.mark.anyio

# 16 MB are granted, 4 MB of them to bodies of at most 16 KiB only.
LEDGER = memory_ledger.LedgerSettings(
    program_bytes=0, granted_ratio=1.0, small_ratio=0.25
)
MEMORY_MB = 16
# A caller has 2 s for 128,000 bytes, and 0.5 s while memory is short.
BUFFERS = send_buffers.SendBufferSettings(
    slow_link_bytes_per_s=64_000, stuck_s=0.5, interval_s=0.05
)
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
        if isinstance(outcome, outcomes.Answered):
            return edge.CallerAnswer(outcome.status, [], outcome.body)
        headers = [(b"retry-after", b"%d" % (outcome.retry_after_ms // 1_000))]
        body = json.dumps({"detail": outcome.reason}).encode()
        return edge.CallerAnswer(outcome.status, headers, body)


class Dispatcher:
    """A dispatcher whose answers depend on the path of the request."""

    def __init__(self) -> None:
        self.routes = None
        self.ran: list[int] = []
        self.answer_bytes = 16_000_000

    async def run(self, request):
        self.ran.append(len(request.body))
        if request.path == b"/wait":
            await anyio.sleep_forever()
        if request.path == b"/fail":
            raise RuntimeError("a fault")
        size_bytes = self.answer_bytes if request.path == b"/large" else 2
        return outcomes.Answered(200, (), b"a" * size_bytes)


class Site:
    """A listener for callers with a limit of memory."""

    def __init__(self) -> None:
        clock = clocks.SystemClock()
        journal = support.make_journal(clock)
        metrics = metrics_lib.Metrics()
        self.ledger = memory_ledger.MemoryLedger(LEDGER, MEMORY_MB)
        self.dispatcher = Dispatcher()
        self.edge = edge.Edge(
            self.dispatcher,
            Codec(),
            journal,
            clock,
            memory_gate.MemoryGate(self.ledger, journal, metrics, clock),
        )
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = model.Address(*free.getsockname())
        self.listener = listener.Listener(
            self.address,
            self.edge.serve,
            buffers=send_buffers.SendBuffers(
                BUFFERS, self.ledger, journal, metrics, clock
            ),
        )

    async def connect(self):
        return await asyncio.open_connection(*self.address, limit=1 << 16)

    async def send(self, path: str, size_bytes: int, *, chunked=False):
        """Sends a request; returns the status and the head of its answer."""
        reader, writer = await self.connect()
        size = f"Content-Length: {size_bytes}"
        if chunked:
            size = "Transfer-Encoding: chunked"
        writer.write(f"POST {path} HTTP/1.1\r\n{size}\r\n\r\n".encode())
        body = b"b" * size_bytes
        writer.write(
            b"%x\r\n%s\r\n0\r\n\r\n" % (size_bytes, body) if chunked else body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), head.decode()

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
        pytest.param("/", 5_000_000, False, 200, id="answered"),
        pytest.param("/", 5_000_000, True, 200, id="answered, chunked"),
        pytest.param("/", 7_000_000, False, 503, id="refused"),
        pytest.param("/", 7_000_000, True, 503, id="refused, chunked"),
        pytest.param("/", 70_000_000, False, 413, id="more than allowed"),
        pytest.param("/fail", 5_000_000, False, 500, id="exception"),
        pytest.param("/large", 0, False, 200, id="left amid the answer"),
    ],
)
async def test_nothing_stays_reserved(site, path, size_bytes, chunked, status):
    got, head = await site.send(path, size_bytes, chunked=chunked)
    assert got == status
    assert ("retry-after: 1" in head) == (status == 503)
    if status in {413, 503}:
        assert "connection: close" in head
    assert bool(site.dispatcher.ran) == (status in {200, 500})
    await site.wait_until_released()


@pytest.mark.parametrize("sent_bytes", [0, 1_000_000, 5_000_000])
async def test_nothing_stays_reserved_for_a_caller_that_left(site, sent_bytes):
    _, writer = await site.connect()
    writer.write(b"POST /wait HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n")
    writer.write(b"b" * sent_bytes)
    await writer.drain()
    await anyio.sleep(0.1)
    assert site.ledger.total_bytes == 10_000_000
    writer.transport.abort()
    await site.wait_until_released()


async def test_a_large_body_is_refused_unread_beside_a_small_request(site):
    """Guards against a body that is read although there is no room for it."""
    _, holder = await site.connect()
    holder.write(b"POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\nbegin")
    await anyio.sleep(0.1)
    reader, writer = await site.connect()
    writer.write(b"POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    assert json.loads(await reader.read(100))["detail"].startswith("no memory")
    assert (await site.send("/", 16_384))[0] == 200
    assert site.dispatcher.ran == [16_384]
    holder.close()
    writer.close()
    await site.wait_until_released()


async def _ask_without_reading(site, callers_count):
    writers = []
    for _ in range(callers_count):
        reader, writer = await site.connect()
        reader._transport.pause_reading()
        writer.write(b"GET /large HTTP/1.1\r\n\r\n")
        writers.append(writer)
    await anyio.sleep(0.2)
    return writers


async def test_slow_readers_are_closed_and_others_are_served(site):
    """Guards against callers that do not read and keep their memory."""
    site.dispatcher.answer_bytes = 5_000_000
    slow = await _ask_without_reading(site, 5)
    held_bytes = site.ledger.total_bytes
    assert 0 < held_bytes < site.ledger.limit_bytes // 2
    with anyio.fail_after(5.0):
        while site.ledger.total_bytes >= held_bytes:
            assert (await site.send("/", 1_000_000))[0] == 200
            await anyio.sleep(0.05)
    await site.wait_until_released()
    for writer in slow:
        writer.transport.abort()


async def test_slow_readers_are_closed_early_while_memory_is_short(site):
    """Guards against callers that keep out all others by not reading."""
    slow = await _ask_without_reading(site, 20)
    assert site.ledger.total_bytes > site.ledger.limit_bytes
    # Nothing else is started, and no further answer is held.
    assert (await site.send("/", 2))[0] == 503
    assert len(site.dispatcher.ran) < len(slow)
    with anyio.fail_after(1.0):
        await site.wait_until_released()
    assert (await site.send("/", 5_000_000))[0] == 200
    for writer in slow:
        writer.transport.abort()
