"""Tests of connections of callers that pipeline their requests."""

import asyncio
import collections
import contextlib
import socket
import struct

import anyio
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_entry import caller_protocol
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order

# Instances run on uvloop, whose transports differ in details.
pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize(
        "anyio_backend", [("asyncio", {"use_uvloop": True})], ids=["uvloop"]
    ),
]

LIMITS = pipeline_order.PipelineLimits(max_count=4, max_bytes=20_000)


class Ledger:
    """A ``memory_ledger.Ledger`` that records what is reserved."""

    def __init__(self) -> None:
        self.limit_bytes = 1_000_000
        self.reserved_bytes = 0

    def try_reserve(self, purpose, size_bytes):
        assert purpose is memory_ledger.Purpose.PIPELINE
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def reserve(self, purpose, size_bytes):
        assert purpose is memory_ledger.Purpose.PIPELINE
        self.reserved_bytes += size_bytes

    def release(self, purpose, size_bytes):
        self.reserved_bytes -= size_bytes
        assert self.reserved_bytes >= 0


class Site:
    """A listener, its application and one caller.

    The application answers a request once its path is in ``released``. Paths
    that begin with ``/w`` are not idempotent.
    """

    def __init__(self, base: type | None = None) -> None:
        self.clock = support.ManualClock()
        self.ledger = Ledger()
        journal = support.make_journal(self.clock)
        self.metrics = metrics.Metrics()
        self.monitor = pipeline_monitor.PipelineMonitor(
            self.metrics, journal, self.clock
        )
        parts = caller_protocol.PipelineParts(
            lambda scope: not scope["path"].startswith("/w"),
            self.ledger,
            self.monitor,
            self.clock,
            LIMITS,
        )
        protocol = base or caller_protocol.make_protocol(parts)
        address = model.Address("127.0.0.1", 0)
        self.listener = listener.Listener(address, self.serve, protocol)
        self.released = collections.defaultdict(anyio.Event)
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.received_s: dict[str, float] = {}
        self.headers: dict[str, list[tuple[bytes, bytes]]] = {}
        self.failing: set[str] = set()
        self.truncated: set[str] = set()
        self.closing: set[str] = set()
        self.draining = False

    async def serve(self, scope, receive, send):
        path = scope["path"]
        state = scope["state"]
        self.received_s[path] = state.get(listener.RECEIVED_S)
        self.started.append(path)
        body = await listener.read_body(receive, 10_000_000)
        if body is None:
            self.cancelled.append(path)
            return
        self.bodies[path] = body
        self.headers[path] = scope["headers"]
        with anyio.CancelScope() as scope_of_request:
            state[listener.ON_DISCONNECT] = scope_of_request.cancel
            await self.released[path].wait()
        if scope_of_request.cancelled_caught:
            self.cancelled.append(path)
            return
        if path in self.failing:
            raise RuntimeError("the application fails")
        headers = []
        may_close = state.get(listener.MAY_CLOSE, lambda: True)
        if path in self.closing or (self.draining and may_close()):
            headers.append((b"connection", b"close"))
        if path in self.truncated:
            headers.append((b"content-length", b"9"))
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": headers})
            raise RuntimeError("the application fails")
        await listener.respond(send, 200, headers, path.encode())

    async def connect(self):
        port = self.listener._server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )

    def send(self, *paths: str, body: bytes = b"", headers: str = "") -> None:
        """Sends requests without waiting for responses."""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f" HTTP/1.1\r\nHost: h\r\n{length}{headers}\r\n".encode()
        self.writer.write(
            b"".join(b"POST " + p.encode() + head + body for p in paths)
        )

    def release(self, *paths: str) -> None:
        for path in paths:
            self.released[path].set()

    async def read_response(self) -> tuple[int, str, bool]:
        """Returns status, body and whether the connection is to close."""
        with anyio.fail_after(3.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            fields = dict(x.split(": ") for x in lines[1:] if x)
            size = int(fields["content-length"])
            body = await self.reader.readexactly(size)
        closes = fields.get("connection") == "close"
        return int(lines[0].split()[1]), body.decode(), closes

    async def read_paths(self, count: int) -> list[str]:
        return [(await self.read_response())[1] for _ in range(count)]

    async def expect_end(self) -> None:
        with anyio.fail_after(3.0):
            assert await self.reader.read() == b""

    async def until_started(self, *paths: str) -> None:
        await fakes.wait_until(lambda: self.started == list(paths))

    def count(self, result: str) -> int:
        counter = self.metrics.pipelined_requests
        return counter.values.get({"result": result}) or 0


@contextlib.asynccontextmanager
async def _running(site):
    await site.listener.start()
    await site.connect()
    yield site
    site.writer.close()
    site.listener.abort_all()
    site.listener.stop()
    await fakes.wait_until(lambda: site.monitor.unanswered_count == 0)
    assert site.ledger.reserved_bytes == 0
    assert site.monitor.paused_count == 0


@pytest.fixture
async def site():
    async with _running(Site()) as running:
        yield running


async def test_idempotent_requests_run_at_once_and_are_answered_in_order(site):
    """Guards against lookups that wait for, or overtake, a slow one."""
    site.send("/1", "/2")
    site.release("/2")
    await fakes.wait_until(lambda: "/2" in site.bodies)
    await anyio.sleep(0.02)
    # The newest request is answered, but not all of them.
    site.send("/3")
    site.release("/3")
    await site.until_started("/1", "/2", "/3")
    await anyio.sleep(0.02)
    assert not site.reader._buffer  # nothing overtakes the first response
    site.release("/1")
    assert await site.read_paths(3) == ["/1", "/2", "/3"]
    site.send("/4")
    site.release("/4")
    assert await site.read_paths(1) == ["/4"]
    assert (site.count("started"), site.count("waited")) == (2, 0)


async def test_a_non_idempotent_request_runs_alone(site):
    """Guards against a read that misses the write sent before it."""
    site.send("/1", body=b"a")
    await site.until_started("/1")
    site.send("/w2", body=b"b" * 9_000)
    site.send("/3", body=b"c")
    await anyio.sleep(0.02)
    site.clock.now_s += 7.0
    assert site.started == ["/1"]
    site.release("/1")
    await site.until_started("/1", "/w2")
    await anyio.sleep(0.02)
    assert site.started == ["/1", "/w2"]
    site.release("/w2", "/3")
    assert await site.read_paths(3) == ["/1", "/w2", "/3"]
    # The age of a request counts from when it was read, not from its start.
    assert site.received_s == {"/1": 1_000.0, "/w2": 1_000.0, "/3": 1_000.0}
    # Each body reaches its own request.
    assert site.bodies == {"/1": b"a", "/w2": b"b" * 9_000, "/3": b"c"}
    assert (site.count("started"), site.count("waited")) == (0, 2)


@pytest.mark.parametrize("is_paused", [False, True])
async def test_a_caller_that_disconnects_cancels_all(site, is_paused):
    """Guards against work for callers that left, also while not reading."""
    paths = ["/1", "/2", "/w3", *(["/4"] if is_paused else [])]
    site.send(*paths)
    await site.until_started("/1", "/2")
    assert (site.monitor.paused_count == 1) == is_paused
    site.writer.close()
    await fakes.wait_until(lambda: sorted(site.cancelled) == ["/1", "/2"])
    site.release(*paths)
    await anyio.sleep(0.02)
    assert site.started == ["/1", "/2"]
    assert site.count("cancelled") == len(paths) - 1


@pytest.mark.parametrize("by", ["response", "request", "failure"])
async def test_nothing_is_served_after_a_response_that_closes(site, by):
    """Guards against writes that run although their caller repeats them."""
    site.send("/1")
    if by == "request":
        site.send("/2", headers="Connection: close\r\n")
    else:
        (site.closing if by == "response" else site.failing).add("/2")
        site.send("/2")
        await site.until_started("/1", "/2")
    site.send("/3", "/w4")
    if by != "request":
        await site.until_started("/1", "/2", "/3")
    site.release("/2")
    if by != "request":
        await fakes.wait_until(lambda: site.cancelled == ["/3"])
    site.release("/1", "/3", "/w4")
    assert await site.read_response() == (200, "/1", False)
    status, _, closes = await site.read_response()
    assert (status, closes) == (500 if by == "failure" else 200, True)
    await site.expect_end()
    assert "/w4" not in site.started
    assert ("/3" in site.started) == (by != "request")


async def test_a_truncated_response_ends_the_connection(site):
    """Guards against responses after one that is not complete."""
    site.truncated.add("/1")
    site.send("/1", "/2")
    await site.until_started("/1", "/2")
    site.release("/1")
    await fakes.wait_until(lambda: site.cancelled == ["/2"])
    assert (await site.reader.read()).count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    ("count", "body_bytes", "memory_bytes", "started_count"),
    [
        pytest.param(5_000, 0, 1_000_000, 4, id="count"),
        pytest.param(500, 9_000, 1_000_000, 3, id="size"),
        pytest.param(500, 9_000, 5_000, 2, id="memory"),
    ],
)
async def test_reading_pauses_at_the_limits_and_resumes(
    site, count, body_bytes, memory_bytes, started_count
):
    """Guards against memory that grows with what a caller sends."""
    paths = [f"/{number}" for number in range(count)]
    site.release(*paths[1:])
    site.ledger.limit_bytes = memory_bytes
    site.send(*paths, body=b"x" * body_bytes)
    await fakes.wait_until(lambda: site.monitor.paused_count == 1)
    await anyio.sleep(0.1)
    assert len(site.started) == started_count
    # What was parsed is bounded by the limits and one piece, and what was
    # received by one read more.
    (protocol,) = site.listener._state.connections
    parsed_bytes = sum(each.size_bytes for each in protocol._order.requests)
    assert parsed_bytes < LIMITS.max_bytes + 4_096
    assert len(protocol._unparsed) <= 256 * 1_024
    site.release("/0")
    assert await site.read_paths(count) == paths
    assert site.monitor.paused_count == 0


async def test_what_is_kept_unparsed_is_little_and_counted(site):
    """Guards against memory for requests that are sent ahead."""
    site.send(*["/1"] * 10_000)
    await fakes.wait_until(lambda: site.monitor.paused_count == 1)
    await anyio.sleep(0.05)
    (protocol,) = site.listener._state.connections
    kept_bytes = len(protocol._unparsed)
    assert 0 < kept_bytes <= 16 * 1_024
    assert site.ledger.reserved_bytes > kept_bytes
    # Its end would otherwise come behind the bytes that are not read.
    reset = struct.pack("ii", 1, 0)
    caller = site.writer.get_extra_info("socket")
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
    site.writer.transport.abort()
    await fakes.wait_until(lambda: not site.ledger.reserved_bytes)


async def test_a_request_beyond_the_limit_of_bytes_is_served_alone(site):
    """Guards against a request that waits for bytes that are never read."""
    body = b"x" * 300_000
    site.send("/1", "/w2", "/3", body=body)
    site.release("/1", "/w2", "/3")
    assert await site.read_paths(3) == ["/1", "/w2", "/3"]
    assert set(site.bodies.values()) == {body}


@pytest.mark.parametrize("is_last_ready", [False, True])
async def test_draining_answers_what_was_read(site, is_last_ready):
    """Guards against requests that an instance loses when it stops."""
    site.send("/1", "/w2", "/3")
    await site.until_started("/1")
    if is_last_ready:
        # Its response is held before the instance begins to drain.
        site.send("/4")
        site.release("/1", "/w2", "/4")
        await site.until_started("/1", "/w2", "/3", "/4")
        await fakes.wait_until(lambda: "/4" in site.bodies)
        await anyio.sleep(0.02)
    site.draining = True
    site.listener.close_idle()
    site.listener.close_idle()
    site.send("/5")
    await anyio.sleep(0.02)
    site.release("/1", "/w2", "/3")
    count = 4 if is_last_ready else 3
    responses = [await site.read_response() for _ in range(count)]
    assert [closes for _, _, closes in responses] == (
        [False] * (count - 1) + [True]
    )
    await site.expect_end()
    assert "/5" not in site.started


@pytest.mark.parametrize("is_in_body", [False, True])
async def test_invalid_bytes_are_refused_in_order(site, is_in_body):
    """Guards against a 400 that a caller takes for an earlier response."""
    site.send("/1")
    if is_in_body:
        site.send("/2", headers="Transfer-Encoding: chunked\r\n")
    await anyio.sleep(0.02)
    site.writer.write(b"\x00nonsense\r\n\r\n")
    await anyio.sleep(0.02)
    site.release("/1")
    assert await site.read_response() == (200, "/1", False)
    status, _, closes = await site.read_response()
    assert (status, closes) == (400, True)
    await site.expect_end()


async def _exchange_one_by_one(site):
    """Returns the bytes of responses to requests without pipelining."""
    site.release("/1", "/w2", "/3")
    received = []
    for path, body in (("/1", b""), ("/w2", b"x" * 100_000), ("/3", b"y")):
        site.send(path, body=body)
        received.append(await site.reader.readuntil(path.encode()))
    site.writer.write(b"\x00nonsense\r\n\r\n")
    received.append(await site.reader.read())
    return received


async def test_other_connections_are_served_as_by_the_base_class(monkeypatch):
    """Guards against a change for callers that do not pipeline."""

    def fail(order, request):
        raise AssertionError("the connection is not pipelined")

    monkeypatch.setattr(pipeline_order.PipelineOrder, "add", fail)
    async with _running(Site()) as pipelining:
        responses = await _exchange_one_by_one(pipelining)
    async with _running(Site(listener.DisconnectAwareProtocol)) as plain:
        assert await _exchange_one_by_one(plain) == responses
    seen = (pipelining.started, pipelining.bodies)
    assert (plain.started, plain.bodies) == seen


@pytest.mark.parametrize("is_pipelined", [False, True])
async def test_trailers_are_no_headers(site, is_pipelined):
    """Guards against a body that says under which id its request runs."""
    site.release("/1", "/w2")
    head = "Transfer-Encoding: chunked\r\nRequest-Id: one\r\n"
    if is_pipelined:
        site.send("/1")
    site.send("/w2", headers=head)
    site.writer.write(b"1\r\nx\r\n0\r\nRequest-Id: two\r\nHost: i\r\n\r\n")
    paths = ["/1", "/w2"] if is_pipelined else ["/w2"]
    assert await site.read_paths(len(paths)) == paths
    assert site.headers["/w2"] == [
        (b"host", b"h"),
        (b"transfer-encoding", b"chunked"),
        (b"request-id", b"one"),
    ]
