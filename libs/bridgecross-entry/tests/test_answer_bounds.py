"""What an exchange receives from a peer that sends bytes without end."""

import asyncio

import anyio
import anyio.lowlevel
import endless_server
import pytest

from bridgecross_core import clock
from bridgecross_entry import answer_bounds
from bridgecross_entry import exchange
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

_BOUNDS = answer_bounds.BoundSettings(body_max_bytes=1024 * 1024)
# One piece is parsed before the bounds are checked.
_PIECE_BYTES = 16 * 1024
_ENOUGH_S = 5.0
_ADDRESS = model.Address("127.0.0.1", 1)
_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


class _Lines:
    """A journal that keeps what it is told."""

    def __init__(self) -> None:
        self.lines = []

    def decision(self, event, **fields: object):
        self.lines.append({"event": event, **fields})


def _make_pool(address, memory, bounds=_BOUNDS):
    settings = exchange.ConnectionSettings(
        connect_timeout_s=_ENOUGH_S, bounds=bounds
    )
    return exchange.ConnectionPool(
        address, settings, clock.SystemClock(), memory
    )


async def _ask(pool):
    return await pool.exchange(
        _REQUEST,
        lambda reply: reply.header(b"request-id") == b"1",
        request_id=b"1",
    )


async def _receive(script, bounds=_BOUNDS):
    """Returns the result of an exchange, and the line that tells of it."""
    journal = _Lines()
    metrics = metrics_lib.Metrics()
    memory = answer_bounds.AnswerMemory(
        memory_ledger.UNLIMITED, journal, metrics
    )
    async with endless_server.serving(*script) as (address, server):
        pool = _make_pool(address, memory, bounds)
        async with asyncio.timeout(_ENOUGH_S):
            result = await _ask(pool)
            while not server.closed_count:
                await anyio.sleep(0.01)
        assert not pool.has_idle
    assert b"bridgecross_answers_broken_off_total" in metrics.render()
    (line,) = journal.lines
    return result, line


# Guards against bytes beside a body that only the request's deadline ends, and
# against the memory and the processor time that they cost until then.
@pytest.mark.parametrize(
    "script",
    endless_server.FRAMING.values(),
    ids=endless_server.FRAMING,
)
async def test_bytes_without_end_beside_a_body_are_broken_off(script):
    result, line = await _receive(script)
    assert result == exchange.Broken(answer_bounds.Excess.FRAMING.value)
    assert line["event"] == "answer_broken_off"
    most_bytes = 2 * _BOUNDS.framing_max_bytes
    assert line["received_bytes"] <= most_bytes + _PIECE_BYTES


# Guards against bodies without end, also in several answers or many chunks.
@pytest.mark.parametrize(
    "script", endless_server.BODIES.values(), ids=endless_server.BODIES
)
async def test_a_body_without_end_is_broken_off(script):
    result, line = await _receive(script)
    assert result == exchange.Broken(answer_bounds.Excess.BODY.value)
    most_bytes = _BOUNDS.body_max_bytes * (1 + _BOUNDS.framing_max_ratio)
    assert line["received_bytes"] <= most_bytes


# Guards against answers that together take more memory than the machine has.
async def test_answers_in_progress_share_a_bound():
    ledger = memory_ledger.MemoryLedger(
        memory_ledger.LedgerSettings(program_bytes=0, granted_min_bytes=0), 10.0
    )
    journal = _Lines()
    memory = answer_bounds.AnswerMemory(ledger, journal)
    most_bytes = 0

    async def watch():
        nonlocal most_bytes
        while True:
            most_bytes = max(most_bytes, ledger.total_bytes)
            await anyio.lowlevel.checkpoint()

    script = endless_server.BODIES["a body without a length"]
    results = []
    async with endless_server.serving(*script) as (address, _):
        pool = _make_pool(address, memory, answer_bounds.BoundSettings())

        async def ask():
            results.append(await _ask(pool))

        async with anyio.create_task_group() as watching:
            watching.start_soon(watch)
            async with (
                asyncio.timeout(4 * _ENOUGH_S),
                anyio.create_task_group() as asking,
            ):
                for _ in range(8):
                    asking.start_soon(ask)
            watching.cancel_scope.cancel()
    reason = answer_bounds.Excess.MEMORY.value
    assert results == [exchange.Broken(reason)] * 8
    assert 0 < most_bytes <= ledger.limit_bytes
    assert ledger.total_bytes == 0


class _Transport:
    """A transport that is open until it is aborted."""

    def __init__(self) -> None:
        self.is_aborted = False

    def get_extra_info(self, name):
        del name

    def write(self, data):
        del data

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted


# Guards against a server that keeps all other callers of the process waiting
# while what arrived at once is parsed.
async def test_what_arrives_at_once_is_parsed_only_up_to_the_bound():
    journal = _Lines()
    memory = answer_bounds.AnswerMemory(memory_ledger.UNLIMITED, journal)
    transport = _Transport()
    connection = exchange._Connection(
        exchange.ConnectionSettings(bounds=_BOUNDS), 0.0, _ADDRESS, memory
    )
    connection.connection_made(transport)
    results = []

    async def ask():
        results.append(
            await connection.exchange(_REQUEST, lambda reply: True, b"1")
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.lowlevel.checkpoint()
        begin, again = endless_server.FRAMING["headers"]
        connection.data_received(begin + 100 * again)
        assert transport.is_aborted
    (line,) = journal.lines
    assert line["received_bytes"] <= _BOUNDS.framing_max_bytes + _PIECE_BYTES
    assert results == [exchange.Broken(answer_bounds.Excess.FRAMING.value)]


async def test_only_long_bodies_are_counted_and_then_released():
    ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerSettings(), 200.0)
    memory = answer_bounds.AnswerMemory(ledger)
    received = answer_bounds.ReceivedBytes(_BOUNDS, memory, _ADDRESS)
    with received:
        assert received.add_body(_BOUNDS.uncounted_max_bytes) is None
        assert ledger.total_bytes == 0
        assert received.add_body(1) is None
        used_bytes = ledger.used_bytes(memory_ledger.Purpose.RECEIVING)
        assert used_bytes == 2 * (_BOUNDS.uncounted_max_bytes + 1)
    assert ledger.total_bytes == 0
