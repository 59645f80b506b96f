"""Runs a minimal server, which ``benchmarks.layers`` measures from outside."""

import pathlib
import sys
from typing import Any

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_core import outcomes
from bridgecross_daemon import _caller_api
from bridgecross_daemon import _metrics
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import peer_server
from bridgecross_request import requests
from bridgecross_settings import check
from bridgecross_settings import tree
from bridgecross_standins import serving

_SETTINGS = pathlib.Path("settings/karatas.jsonc")


async def _answer_two_bytes(scope: Any, receive: Any, send: Any) -> None:
    """Answers with two bytes; a minimal ASGI application."""
    if scope["type"] != "http":
        return
    headers = [(b"content-length", b"2")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"ok"})


class _StubInstance:
    """An instance that answers every request at once."""

    def __init__(self) -> None:
        text = _SETTINGS.read_text(encoding="utf-8")
        self._house = check.check_text(text, str(_SETTINGS))

    def list_not_ready(self) -> list[str]:
        """Returns nothing, as the instance is always ready."""
        return []

    def find_house(self) -> tree.House:
        """Returns the sample settings."""
        return self._house

    def find_place(self) -> tree.Place:
        """Returns the sample place."""
        return self._house.places["anadolu"]

    async def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Answers with two bytes."""
        return outcomes.Answered(200, (), b"ok")

    def begin_request(self) -> None:
        """Does nothing."""

    def end_request(self) -> None:
        """Does nothing."""

    def is_leaving(self) -> bool:
        """Returns False, as the instance never shuts down."""
        return False


class _StubPeer:
    """A peer that only answers drain requests."""

    async def drain(
        self, request: peer_protocol.DrainRequest
    ) -> peer_protocol.DrainReply:
        """Answers at once."""
        return peer_protocol.DrainReply(0)

    def __getattr__(self, name: str) -> Any:
        """Provides the other methods, which are not called."""
        return self.drain


async def _run(kind: str, port: int) -> None:
    """Runs the server until the process is killed."""
    address = f"127.0.0.1:{port}"
    if kind == "grpc":
        clock = hybrid_clock.HybridClock(clocks.SystemClock())
        peer: Any = _StubPeer()
        await peer_server.PeerServer(address, peer, clock).start()
        await anyio.sleep_forever()
    app: Any = _answer_two_bytes
    if kind == "caller-api":
        app = _caller_api.CallerApp(
            _StubInstance(), _metrics.Metrics(), clocks.SystemClock()
        )
    await serving.serve(address, app, anyio.Event())


if __name__ == "__main__":
    anyio.run(_run, sys.argv[1], int(sys.argv[2]))
