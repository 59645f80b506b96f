"""Tests of what a connection reads, refuses and closes at its limits."""

import asyncio
import contextlib
import types

import anyio
import entry_support as support
import pytest

from bridgecross_entry import caller_protocol
from bridgecross_entry import client_guard
from bridgecross_entry import client_monitor
from bridgecross_entry import connection_limits
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize(
        "anyio_backend",
        [("asyncio", {"use_uvloop": True}), ("asyncio", {})],
        ids=["uvloop", "asyncio"],
    ),
]

HEAD_MAX_BYTES = 4_096 + 1_000
"""What ``client_guard`` makes of ``max_header_bytes=1_000``."""

LEDGER = memory_ledger.LedgerSettings(
    program_bytes=0, granted_ratio=1.0, granted_min_bytes=0
)
HEAD = b"POST /%s HTTP/1.1\r\nhost: h\r\n"
CHUNKED = HEAD % b"c" + b"transfer-encoding: chunked\r\n\r\n"


class Site:
    """A listener whose application returns what it received."""

    def __init__(self, memory_mb: float = 1.0) -> None:
        clock = support.ManualClock()
        self.clock = clock
        self.metrics = metrics.Metrics()
        journal = support.make_journal(clock)
        self.ledger = memory_ledger.MemoryLedger(LEDGER, memory_mb)
        self.limiter = connection_limits.ConnectionLimiter(clock)
        self.guard = client_guard.ClientGuard(
            self.limiter,
            self.ledger,
            client_monitor.ClientMonitor(journal, self.metrics, clock),
        )
        route = types.SimpleNamespace(timeout_ms=5_000)
        limits = model.CallerLimits(1_000, 1_000_000, 3_000, 15_000)
        self.guard.configure(
            types.SimpleNamespace(limits=limits, routes=[route])
        )
        self.monitor = pipeline_monitor.PipelineMonitor(
            self.metrics, journal, clock
        )
        parts = caller_protocol.PipelineParts(
            lambda scope: True,
            self.ledger,
            self.monitor,
            clock,
            pipeline_order.PipelineLimits(),
        )
        self.listener = listener.Listener(
            model.Address("127.0.0.1", 0),
            self.serve,
            caller_protocol.make_protocol(parts),
            guard=self.guard,
        )
        self.released = anyio.Event()
        self.scopes: list[listener.Scope] = []
        self.bodies: list[bytes] = []

    async def serve(self, scope, receive, send):
        self.scopes.append(scope)
        body = await listener.read_body(receive, 10_000_000)
        if body is None:
            return
        self.bodies.append(body)
        if scope["path"] == "/wait":
            await self.released.wait()
        lines = [b"%s:%s" % line for line in scope["headers"]]
        await listener.respond(send, 200, [], b"\n".join([*lines, body]))

    async def connect(self):
        port = self.listener._server.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)

    async def send(self, *pieces: bytes) -> bytes:
        """Sends bytes on a connection of their own; returns all answers."""
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await anyio.sleep(0.01)
        with contextlib.suppress(OSError):
            writer.write_eof()
        with anyio.fail_after(5.0):
            answers = await reader.read()
        writer.transport.abort()
        return answers

    def count(self, fault: client_monitor.Fault) -> int:
        labels = {"reason": fault.name.lower()}
        try:
            return self.metrics.client_faults.get(labels)
        except KeyError:
            return 0

    async def until(self, is_true) -> None:
        with anyio.fail_after(5.0):
            while not is_true():
                await anyio.sleep(0.005)


@pytest.fixture
async def site():
    running = Site()
    await running.listener.start()
    yield running
    running.listener.stop()
    running.listener.abort_all()


def _statuses(answers: bytes) -> list[int]:
    """Returns the statuses of answers whose bodies have no such line."""
    return [
        int(each.split(b" ", 1)[0]) for each in answers.split(b"HTTP/1.1 ")[1:]
    ]


def _fill(size_bytes: int, line: bytes = b"") -> bytes:
    """Returns a head of exactly this size."""
    head = HEAD % b"x" + line
    missing_bytes = size_bytes - len(head) - len(b"a:\r\n\r\n")
    return head + b"a:" + b"x" * missing_bytes + b"\r\n\r\n"


@pytest.mark.parametrize("before", [b"", b"\r\n" * 300], ids=["", "empty"])
@pytest.mark.parametrize("pieces_count", [1, 3])
async def test_a_head_is_served_up_to_the_limit(site, before, pieces_count):
    """Guards against heads without end, and against legal ones refused."""
    for excess_bytes, status in ((0, 200), (1, 431)):
        head = before + _fill(HEAD_MAX_BYTES + excess_bytes - len(before))
        step = -(-len(head) // pieces_count)
        pieces = [head[i : i + step] for i in range(0, len(head), step)]
        answers = await site.send(*pieces)
        assert _statuses(answers) == [status]
    assert site.count(client_monitor.Fault.HEAD_SIZE) == 1
    assert len(site.scopes) == 1
    value = dict(site.scopes[0]["headers"])[b"a"]
    assert value == b"x" * len(value)
    await site.until(lambda: not site.ledger.total_bytes)


PARTS_WITHOUT_END = {
    "target": (b"GET /", b"x"),
    "name": (HEAD % b"x", b"x"),
    "value": (HEAD % b"x" + b"a:", b"x"),
    "blanks": (HEAD % b"x" + b"a:", b" "),
    "lines": (HEAD % b"x", b"a:\r\n"),
    "empty lines": (b"", b"\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "trailer": (CHUNKED + b"0\r\na:", b"x"),
    "extension": (CHUNKED + b"1;", b"x"),
}


@pytest.mark.parametrize(
    ("opening", "repeated"),
    PARTS_WITHOUT_END.values(),
    ids=PARTS_WITHOUT_END.keys(),
)
async def test_earlier_responses_come_before_a_refusal(site, opening, repeated):
    """Guards against a refusal that is taken for an earlier response."""
    endless = opening + repeated * 12_000
    reader, writer = await site.connect()
    writer.write(HEAD % b"wait" + b"content-length: 3\r\n\r\nabc" + endless)
    faults = (
        client_monitor.Fault.HEAD_SIZE,
        client_monitor.Fault.FRAMING_SIZE,
    )
    await site.until(lambda: sum(map(site.count, faults)))
    site.released.set()
    with anyio.fail_after(5.0):
        answers = await reader.read()
    writer.close()
    statuses = _statuses(answers)
    assert statuses[0] == 200
    assert b"abc" in answers
    assert statuses[1:] in ([431], [400])
    assert b"connection: close" in answers
    assert site.bodies == [b"abc"]
    await site.until(lambda: not site.ledger.total_bytes)


async def test_chunks_of_one_byte_with_trailers_are_served(site):
    """Guards against legal bodies that are refused by their framing."""
    chunks = b"1\r\nx\r\n" * 30_000 + b"0\r\na: 1\r\nhost: other\r\n\r\n"
    answers = await site.send(CHUNKED + chunks)
    assert _statuses(answers) == [200]
    assert site.bodies == [b"x" * 30_000]
    # A trailer is no header: it may not replace what the request was read by.
    names = [name for name, _ in site.scopes[0]["headers"]]
    assert names == [b"host", b"transfer-encoding"]


ORDINARY = {
    "a head byte by byte": [bytes([each]) for each in HEAD % b"x" + b"\r\n"],
    "several requests in one read": [(HEAD % b"x" + b"\r\n") * 5],
    "an empty line between requests": [
        HEAD % b"x" + b"\r\n",
        b"\r\n" + HEAD % b"x" + b"\r\n",
    ],
    "an empty trailer part": [CHUNKED + b"3\r\nabc\r\n0\r\n\r\n"],
    "a body after 100": [
        HEAD % b"x" + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n",
        b"abc",
    ],
}


@pytest.mark.parametrize("pieces", ORDINARY.values(), ids=ORDINARY.keys())
async def test_ordinary_clients_meet_no_limit(site, pieces):
    """Guards against limits that change what ordinary clients get."""
    answers = await site.send(*pieces)
    statuses = _statuses(answers)
    assert statuses.count(200) == len(site.bodies) >= 1
    assert set(statuses) <= {100, 200}
    assert set(site.bodies) <= {b"", b"abc"}
    await site.until(lambda: not site.ledger.total_bytes)


async def test_a_head_of_many_lines_needs_memory(site):
    """Guards against heads that take far more memory than their size."""
    lines = b"a:\r\n" * 1_000
    assert _statuses(await site.send(HEAD % b"x" + lines + b"\r\n")) == [200]
    site.ledger.reserve(memory_ledger.Purpose.BODY, 500_000)
    answers = await site.send(HEAD % b"x" + lines + b"\r\n")
    assert _statuses(answers) == [503]
    assert b"retry-after: 1.000\r\n" in answers
    # An ordinary head is served meanwhile, and the refused one has not run.
    assert _statuses(await site.send(HEAD % b"x" + b"\r\n")) == [200]
    assert len(site.scopes) == 2
    assert site.count(client_monitor.Fault.HEAD_MEMORY) == 1
    site.ledger.release(memory_ledger.Purpose.BODY, 500_000)
    await site.until(lambda: not site.ledger.total_bytes)


async def test_an_answered_request_holds_no_memory(site):
    """Guards against idle connections that keep the heads of their requests."""
    reader, writer = await site.connect()
    writer.write(HEAD % b"wait" + b"a:\r\n" * 900 + b"\r\n")
    await site.until(lambda: site.bodies)
    held_bytes = site.ledger.used_bytes(memory_ledger.Purpose.HEAD)
    assert held_bytes > 900 * 256
    site.released.set()
    await reader.readuntil(b"\r\n\r\n")
    await site.until(lambda: not site.ledger.total_bytes)
    (protocol,) = site.listener._state.connections
    assert not protocol.headers
    assert not protocol.scope
    assert protocol.cycle.scope == {"state": {}}
    writer.close()


async def test_pipelined_heads_are_counted_until_they_are_answered(site):
    """Guards against leaked memory, and against heads that nobody counts."""
    reader, writer = await site.connect()
    one = HEAD % b"wait" + b"a:\r\n" * 300 + b"\r\n"
    writer.write(one * 3)
    await site.until(lambda: len(site.bodies) == 3)
    used_bytes = site.ledger.used_bytes(memory_ledger.Purpose.HEAD)
    assert used_bytes >= 3 * 300 * 256
    site.released.set()
    for _ in range(3):
        await reader.readuntil(b"\r\n\r\n")
    await site.until(lambda: not site.ledger.total_bytes)
    writer.close()


async def _check_twice(site, seconds: float) -> None:
    """Lets time pass, and checks the connections as the listener does."""
    site.clock.now_s += seconds - 0.5
    for _ in range(2):
        site.clock.now_s += 0.5
        # What was sent is read between two checks.
        await anyio.sleep(0.02)
        site.limiter.check(site.listener._state.connections)


INCOMPLETE = {
    "idle": (b"", 15.0, []),
    "only empty lines": (b"\r\n\r\n", 15.0, []),
    "head": (HEAD % b"x", 3.0, [408]),
    "body": (HEAD % b"x" + b"content-length: 9\r\n\r\npart", 5.0, [408]),
    "chunk": (CHUNKED + b"9\r\npart", 5.0, [408]),
}


@pytest.mark.parametrize(
    ("sent", "timeout_s", "statuses"),
    INCOMPLETE.values(),
    ids=INCOMPLETE.keys(),
)
async def test_incomplete_requests_are_ended(site, sent, timeout_s, statuses):
    """Guards against connections that are held without a request."""
    reader, writer = await site.connect()
    writer.write(sent)
    await site.until(lambda: site.listener._state.connections)
    await anyio.sleep(0.02)
    # The time between two checks is too long: this process stood still.
    site.limiter.check(site.listener._state.connections)
    await _check_twice(site, timeout_s)
    with pytest.raises(TimeoutError), anyio.fail_after(0.05):
        await reader.read(1)
    await _check_twice(site, 1.0)
    with anyio.fail_after(5.0):
        answers = await reader.read()
    assert _statuses(answers) == statuses
    assert not site.bodies
    writer.close()
    await site.until(lambda: not site.listener._state.connections)
    assert not site.ledger.total_bytes


async def test_a_new_connection_takes_the_place_of_the_longest_idle(site):
    """Guards against clients that keep all others out by doing nothing."""
    site.limiter.limits = connection_limits.ConnectionLimits(max_count=3)
    callers = []
    for path in (b"wait", None, HEAD % b"x", None):
        site.clock.now_s += 1.0
        reader, writer = await site.connect()
        if path == b"wait":
            writer.write(HEAD % path + b"\r\n")
            await site.until(lambda: site.bodies)
        elif path:
            writer.write(path)
        callers.append((reader, writer))
        await anyio.sleep(0.02)
    with anyio.fail_after(5.0):
        assert await callers[1][0].read() == b""
    await site.until(lambda: len(site.listener._state.connections) == 3)
    assert site.count(client_monitor.Fault.CROWDED) == 1
    # The others go on, and the newest is served.
    for number in (2, 3):
        callers[number][1].write(b"" if number == 2 else HEAD % b"x")
        callers[number][1].write(b"\r\n")
        head = await callers[number][0].readuntil(b"\r\n\r\n")
        assert _statuses(head) == [200]
    site.released.set()
    assert _statuses(await callers[0][0].readuntil(b"\r\n\r\n")) == [200]
    for _, writer in callers:
        writer.close()


async def test_a_new_connection_is_closed_if_all_others_have_a_request(site):
    """Guards against requests that are ended for a connection without one."""
    site.limiter.limits = connection_limits.ConnectionLimits(max_count=1)
    reader, writer = await site.connect()
    writer.write(HEAD % b"wait" + b"\r\n")
    await site.until(lambda: site.bodies)
    newcomer, other_writer = await site.connect()
    with anyio.fail_after(5.0):
        assert await newcomer.read() == b""
    site.released.set()
    assert _statuses(await reader.readuntil(b"\r\n\r\n")) == [200]
    writer.close()
    other_writer.close()


async def test_without_limits_nothing_is_closed(site):
    """Guards against limits that no setting asks for."""
    site.guard = client_guard.make_default()
    site.listener._guard = site.guard
    reader, writer = await site.connect()
    writer.write(HEAD % b"x")
    await anyio.sleep(0.02)
    for _ in range(3):
        site.guard.connections.check(site.listener._state.connections)
    writer.write(b"\r\n")
    assert _statuses(await reader.readuntil(b"\r\n\r\n")) == [200]
    writer.close()
