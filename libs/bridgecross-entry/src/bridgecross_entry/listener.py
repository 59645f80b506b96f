"""The listeners of an instance, on ``uvicorn``'s HTTP protocol."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

import uvicorn
from uvicorn.protocols.http import httptools_impl
from uvicorn.server import ServerState

from bridgecross_entry import journal as journals
from bridgecross_entry import model

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

ON_DISCONNECT = "bridgecross.on_disconnect"
"""Where an application leaves a function to call when the caller leaves."""

_BACKLOG = 2_048
"""Connections that wait to be accepted; a dropped one costs a second."""


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Tells the application at once when the caller has left."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Calls what the application left behind."""
        cycle = self.cycle
        super().connection_lost(exc)
        if cycle is not None and not cycle.response_complete:
            on_disconnect = cycle.scope["state"].get(ON_DISCONNECT)
            if on_disconnect is not None:
                on_disconnect()


class _ToJournal(logging.Handler):
    """Passes log records of libraries on to the journal."""

    def __init__(self, journal: journals.Journal) -> None:
        """Takes warnings and worse."""
        super().__init__(logging.WARNING)
        self._journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        self._journal.decision(
            "library",
            library=record.name,
            message=record.getMessage(),
            error=repr(record.exc_info[1]) if record.exc_info else None,
        )


def route_library_logs(journal: journals.Journal) -> None:
    """Sends warnings and errors of libraries to the journal."""
    logging.basicConfig(handlers=[_ToJournal(journal)], force=True)


class Listener:
    """Serves an application at one address."""

    def __init__(self, address: model.Address, app: App) -> None:
        """Listens to nothing yet."""
        self._address = address
        self._config = uvicorn.Config(
            app,
            http=_Protocol,
            interface="asgi3",
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._state = ServerState()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._config.load()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Sets how long new connections may rest between requests."""
        # uvicorn passes it to call_later unchanged; its annotation is narrow.
        self._config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]

    def close_idle(self) -> None:
        """Closes connections without a request; the others after theirs."""
        for protocol in list(self._state.connections):
            protocol.shutdown()

    def abort_all(self) -> None:
        """Breaks all connections, as the end of the process would."""
        for protocol in list(self._state.connections):
            protocol.transport.abort()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def _make_protocol(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection."""
        return _Protocol(
            config=self._config, server_state=self._state, app_state={}
        )


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Returns the whole body of a request; None if the caller left.

    Raises:
        ValueError: It is larger than allowed.
    """
    pieces: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        pieces.append(message.get("body", b""))
        size_bytes += len(pieces[-1])
        if size_bytes > max_bytes:
            raise ValueError(f"the body has more than {max_bytes} bytes")
        if not message.get("more_body", False):
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)


async def respond(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Sends a whole answer."""
    headers.append((b"content-length", str(len(body)).encode()))
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": body})
