"""What an instance concludes from another's answers, over real connections."""

import asyncio
import contextlib
import socket

import anyio
import entry_support as support
import forward_support
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import edge
from bridgecross_entry import exchange
from bridgecross_entry import forward_channels
from bridgecross_entry import forwards
from bridgecross_entry import listener
from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import metrics
from bridgecross_entry import model

pytestmark = pytest.mark.anyio


class Site:
    """Two instances: one sends through the other, which listens."""

    def __init__(self) -> None:
        clock = clocks.SystemClock()
        parts = support.make_journal(clock), metrics.Metrics(), clock
        self.scene = forward_support.Scene()
        self.ledger = memory_ledger.MemoryLedger(
            memory_ledger.LedgerSettings(), 16
        )
        gate = memory_gate.MemoryGate(self.ledger, *parts)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = model.Address(*free.getsockname())
        self.listener = listener.Listener(
            self.address,
            edge.make_peer_app(*[None] * 5, self.scene.server, gate),
        )
        settings = exchange.ConnectionSettings()
        self.channels = forward_channels.ForwardChannels(
            lambda each: exchange.ConnectionPool(each, settings, clock), clock
        )

    async def post(self, path, body):
        return await self.channels.post(self.address, path, body)

    async def encode(self, path):
        """Returns a message whose path it is, for the server a."""
        validity = await self.scene.validate()
        if path in forwards.REQUEST_PATHS:
            return self.scene.encode(validity)
        order = forwards.ForwardedOrder(
            ids.ServerId("a"),
            validity,
            forwards.OrderKind.RELEASE,
            1,
            5,
            3,
        )
        return forwards.ORDERS.encode(order)

    def end_handlers(self) -> None:
        """Cancels what is in progress, as the end of the event loop does."""
        for task in self.listener._state.tasks:
            task.cancel()


@pytest.fixture
async def site():
    running = Site()
    await running.listener.start()
    yield running
    running.listener.stop()
    running.listener.abort_all()


async def _hang(*_: object):
    await anyio.sleep_forever()


async def _fail(*_: object):
    await anyio.sleep(0.0)
    raise RuntimeError("a fault")


HANDLERS = {"stops": _hang, "fails": _fail}
POST_PATHS = [forwards.REQUEST_PATH, forwards.RELAYED_PATH, forwards.ORDER_PATH]


@pytest.mark.parametrize("path", POST_PATHS)
@pytest.mark.parametrize("handler", HANDLERS.values(), ids=HANDLERS)
async def test_what_a_stopped_instance_had_begun_does_not_count_as_not_sent(
    site, path, handler
):
    """Guards against a second run of what a stopping instance answers 500."""
    begun = anyio.Event()

    async def handle(*parts: object):
        begun.set()
        await handler(*parts)

    site.scene.servers.send = handle
    site.scene.servers.release = handle
    body = await site.encode(path)
    with anyio.fail_after(5.0):
        posted = asyncio.create_task(site.post(path, body))
        await begun.wait()
        with contextlib.suppress(asyncio.CancelledError):
            site.end_handlers()
        result = await posted
    assert isinstance(result, exchange.Broken)
    assert result.reason == "status 500"


REJECTED = {
    "unreadable": (forwards.REQUEST_PATH, b"\xc1", 0),
    "an unreadable order": (forwards.ORDER_PATH, b"\xc1", 0),
    "too large": (forwards.REQUEST_PATH, bytes(1_001), 0),
    "an order that is too large": (forwards.ORDER_PATH, bytes(1_001), 0),
    "no memory": (forwards.RELAYED_PATH, bytes(1_000), 16_000_000),
}


@pytest.mark.parametrize(
    ("path", "body", "used_bytes"), REJECTED.values(), ids=REJECTED
)
async def test_what_an_instance_rejects_unread_goes_another_way(
    site, monkeypatch, path, body, used_bytes
):
    """Guards against failures for callers who could be served otherwise."""
    monkeypatch.setattr(edge, "_FORWARD_MAX_BYTES", 1_000)
    site.ledger.reserve(memory_ledger.Purpose.ANSWER, used_bytes)
    with anyio.fail_after(5.0):
        result = await site.post(path, body)
    assert isinstance(result, exchange.Unsent)
    assert not site.scene.servers.sent


async def test_a_result_arrives_as_it_was_sent(site):
    site.scene.servers.result = attempts.Shed(503)
    body = await site.encode(forwards.REQUEST_PATH)
    answer = await site.post(forwards.REQUEST_PATH, body)
    reply = forwards.REQUEST_REPLIES.decode(answer)
    assert forwards.unpack_result(reply) == attempts.Shed(503)
