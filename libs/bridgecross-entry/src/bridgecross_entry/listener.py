"""HTTP listeners, built on ``uvicorn``'s protocol."""

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
"""The key of ``scope["state"]`` under which an application stores a function
to call when the caller disconnects."""

RECEIVED_S = "bridgecross.received_s"
"""The key of ``scope["state"]`` for the time at which the head of a request was
read, on the monotonic clock; missing if it was read just now."""

MAY_CLOSE = "bridgecross.may_close"
"""The key of ``scope["state"]`` for a function that returns whether the
response may close the connection. Missing if it may. If later requests of the
connection have been read, it may not; otherwise none is read after the call."""

_BACKLOG = 2_048
"""Connections that may wait to be accepted; a dropped one costs a second."""


class DisconnectAwareProtocol(httptools_impl.HttpToolsProtocol):
    """Notifies the application as soon as the caller disconnects."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Calls the function that the application stored, if any."""
        cycle = self.cycle
        super().connection_lost(exc)
        if cycle is not None and not cycle.response_complete:
            on_disconnect = cycle.scope["state"].get(ON_DISCONNECT)
            if on_disconnect is not None:
                on_disconnect()


class _JournalHandler(logging.Handler):
    """Forwards log records of libraries to the journal."""

    def __init__(self, journal: journals.Journal) -> None:
        """Creates a handler for warnings and errors."""
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
    logging.basicConfig(handlers=[_JournalHandler(journal)], force=True)


class Listener:
    """Serves an application at one address."""

    def __init__(
        self,
        address: model.Address,
        app: App,
        protocol: type[DisconnectAwareProtocol] = DisconnectAwareProtocol,
    ) -> None:
        """Creates a listener that has not been started."""
        self._address = address
        self._protocol = protocol
        self._config = uvicorn.Config(
            app,
            http=protocol,
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
        """Starts to listen."""
        self._config.load()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Sets how long new connections may be idle between requests."""
        # uvicorn passes the value on to call_later, so floats are fine despite
        # its annotation.
        self._config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]

    def close_idle(self) -> None:
        """Closes idle connections, and the others after their request."""
        for protocol in list(self._state.connections):
            protocol.shutdown()

    def abort_all(self) -> None:
        """Aborts all connections, as the end of the process would."""
        for protocol in list(self._state.connections):
            protocol.transport.abort()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def _make_protocol(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection."""
        return self._protocol(
            config=self._config, server_state=self._state, app_state={}
        )


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Returns the body of a request; None if the caller disconnected.

    Raises:
        ValueError: The body is larger than allowed.
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
    """Sends a complete answer."""
    headers.append((b"content-length", str(len(body)).encode()))
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": body})
