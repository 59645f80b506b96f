"""Tests of what is dispatched, and which requests may run concurrently."""

import types

import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import edge
from bridgecross_entry import routes

pytestmark = pytest.mark.anyio


class Dispatcher:
    """A dispatcher that only records the requests that it is given."""

    def __init__(self) -> None:
        self.routes = None
        self.requests: list[object] = []

    async def run(self, request):
        self.requests.append(request)


class Codec:
    """An ``edge.CallerCodec`` that returns the body as the request."""

    def read(self, scope, body, received_s):
        return body

    def write(self, request_id, outcome):
        raise NotImplementedError


def _body_part(body: bytes, *, more: bool) -> dict[str, object]:
    return {"type": "http.request", "body": body, "more_body": more}


DISCONNECT = {"type": "http.disconnect"}


@pytest.mark.parametrize(
    ("messages", "requests"),
    [
        pytest.param([DISCONNECT], [], id="nothing came"),
        pytest.param(
            [_body_part(b"a", more=True), DISCONNECT], [], id="a part came"
        ),
        pytest.param(
            [_body_part(b"a", more=True), _body_part(b"b", more=False)],
            [b"ab"],
            id="whole",
        ),
    ],
)
async def test_only_complete_requests_are_dispatched(messages, requests):
    real = clock.SystemClock()
    dispatcher = Dispatcher()
    caller_edge = edge.Edge(
        dispatcher, Codec(), support.make_journal(real), real
    )
    remaining = list(messages)

    async def receive():
        return remaining.pop(0)

    async def send(message):
        raise AssertionError("there is nothing to answer")

    await caller_edge.serve({"state": {}}, receive, send)
    assert dispatcher.requests == requests
    assert caller_edge.open_count == 0


class PathCodec(Codec):
    """A codec that reads only the path."""

    def read(self, scope, body, received_s):
        if not scope["path"]:
            return edge.BadRequest("there is no path")
        return types.SimpleNamespace(host="h.example", path=scope["path"])


async def test_the_route_decides_what_is_idempotent():
    """Guards against a write that runs next to other requests."""
    real = clock.SystemClock()
    dispatcher = Dispatcher()
    caller_edge = edge.Edge(
        dispatcher, PathCodec(), support.make_journal(real), real
    )
    # Nothing is known before there is a configuration.
    assert not caller_edge.is_idempotent({"path": "/a/x"})
    unsafe = support.make_route("/w/", idempotent=False)
    dispatcher.routes = routes.RouteTable(
        support.make_configuration(support.make_route("/a/"), unsafe)
    )
    paths = ["/a/x", "/w/x", "/no-route", ""]
    found = [caller_edge.is_idempotent({"path": path}) for path in paths]
    assert found == [True, False, False, False]
