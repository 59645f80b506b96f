"""Requests that do not come whole reach nobody, and leave no trace."""

import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import edge

pytestmark = pytest.mark.anyio


class Dispatcher:
    """Runs nothing, and keeps what it is asked to run."""

    def __init__(self) -> None:
        self.routes = None
        self.asked: list[object] = []

    async def run(self, request):
        self.asked.append(request)


class Codec:
    """An ``edge.CallerCodec`` that passes bodies on."""

    def read(self, scope, body, received_s):
        return body

    def write(self, request_id, outcome):
        raise NotImplementedError


def _piece(body: bytes, *, more: bool) -> dict[str, object]:
    return {"type": "http.request", "body": body, "more_body": more}


LEFT = {"type": "http.disconnect"}


@pytest.mark.parametrize(
    ("messages", "asked"),
    [
        pytest.param([LEFT], [], id="nothing came"),
        pytest.param([_piece(b"a", more=True), LEFT], [], id="a part came"),
        pytest.param(
            [_piece(b"a", more=True), _piece(b"b", more=False)],
            [b"ab"],
            id="whole",
        ),
    ],
)
async def test_only_whole_requests_are_run(messages, asked):
    real = clock.SystemClock()
    dispatcher = Dispatcher()
    taker = edge.Edge(dispatcher, Codec(), support.make_journal(real), real)
    left = list(messages)

    async def receive():
        return left.pop(0)

    async def send(message):
        raise AssertionError("there is nothing to answer")

    await taker.serve({"state": {}}, receive, send)
    assert dispatcher.asked == asked
    assert taker.open_count == 0
