"""What a listener knows of the connections that it serves."""

import socket

import anyio
import pytest

from bridgecross_entry import listener
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

ANSWER_BYTES = 16 * 1024 * 1024
"""More than the kernel buffers for a connection on its own."""


async def _answer(scope, receive, send):
    del scope, receive
    await listener.respond(send, 200, [], bytes(ANSWER_BYTES))


@pytest.fixture
async def served():
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = model.Address(*free.getsockname())
    running = listener.Listener(address, _answer)
    await running.start()
    yield running, address
    running.stop()
    running.abort_all()


async def _wait_until(is_true) -> None:
    with anyio.fail_after(5.0):
        while not is_true():
            await anyio.sleep(0.005)


@pytest.mark.parametrize("leaves", [False, True])
async def test_an_answer_counts_as_unsent_until_its_caller_reads_it(
    served, leaves
):
    """Guards against a stop that drops what is still in send buffers."""
    running, address = served
    assert not running.unsent_bytes
    async with await anyio.connect_tcp(*address) as caller:
        await caller.send(b"GET / HTTP/1.1\r\n\r\n")
        await _wait_until(lambda: running.unsent_bytes)
        # Closes the connection after its response, like a stop.
        running.close_idle()
        assert running.unsent_bytes
        if not leaves:
            received_bytes = 0
            with anyio.fail_after(5.0):
                while received_bytes < ANSWER_BYTES:
                    received_bytes += len(await caller.receive())
    await _wait_until(lambda: not running.unsent_bytes)
