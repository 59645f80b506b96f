"""HTTP listeners, built on ``uvicorn``'s protocol."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
import struct
from typing import Any
from typing import cast

import anyio
import uvicorn
from uvicorn.protocols.http import flow_control
from uvicorn.server import ServerState

from bridgecross_entry import bounded_protocol
from bridgecross_entry import client_guard
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import send_buffers
from bridgecross_entry import small_reads

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

ON_DISCONNECT = bounded_protocol.ON_DISCONNECT
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

_LINGER_S = 1.0
"""How long the rest of a refused body is read. A connection that is closed with
unread bytes is reset, and the caller may lose the refusal."""

_TCP_INFO_BYTES = 192
"""How many bytes of the structure ``tcp_info`` are read; see
``include/uapi/linux/tcp.h`` of Linux. They include ``tcpi_bytes_acked``."""

_BYTES_ACKED_OFFSET_BYTES = 120
"""The position of ``tcpi_bytes_acked``, an unsigned 64-bit number, in the
structure ``tcp_info``."""


class DisconnectAwareProtocol(bounded_protocol.BoundedProtocol):
    """Notifies the application as soon as the caller disconnects."""

    # Watches the send buffer, if the memory of the process is limited.
    buffers: send_buffers.SendBuffers | None = None

    def unsent_bytes(self) -> int:
        """Returns the size of the send buffer."""
        return self.transport.get_write_buffer_size()

    def acknowledged_bytes(self) -> int:
        """Returns how many bytes the caller has acknowledged so far."""
        sock = self.transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
        except OSError:
            return 0  # It is being closed.
        (acknowledged_bytes,) = struct.unpack_from(
            "=Q", info, _BYTES_ACKED_OFFSET_BYTES
        )
        return int(acknowledged_bytes)

    def abort(self) -> None:
        """Closes the connection and drops its send buffer."""
        self.transport.abort()

    def on_message_complete(self) -> None:
        """Continues to read once a request has been received.

        ``uvicorn`` stops reading at 64 KiB of a body, also at its end, until
        the response is complete. A caller that disconnects would not be
        noticed, and its body would be held as long as its request runs.
        """
        super().on_message_complete()
        if self.buffers is None or self.pipeline:
            return
        if len(self.cycle.body) > flow_control.HIGH_WATER_LIMIT:
            self.flow.resume_reading()

    def pause_writing(self) -> None:
        """Counts a send buffer that exceeds the transport's high-water mark.

        Smaller ones are counted at the next check.
        """
        super().pause_writing()
        if self.buffers is not None:
            self.buffers.note(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Calls the function that the application stored, if any."""
        cycle = self.cycle
        super().connection_lost(exc)
        if self.buffers is not None:
            self.buffers.forget(self)
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
        buffers: send_buffers.SendBuffers | None = None,
        guard: client_guard.ClientGuard | None = None,
    ) -> None:
        """Creates a listener that has not been started.

        Args:
            address: The address to listen at.
            app: Serves the requests.
            protocol: Handles a connection.
            buffers: Watches the send buffers of the connections, if given.
            guard: Limits what the connections hold; by default to the default
                limits of requests.
        """
        self._address = address
        self._guard = guard or client_guard.make_default()
        self._buffer = bytearray(small_reads.READ_BYTES)
        self._buffers = buffers
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

    @property
    def connections_count(self) -> int:
        """The number of open connections."""
        return len(self._state.connections)

    @property
    def unsent_bytes(self) -> int:
        """The size of all send buffers, which the end of the process drops.

        A response is in one once the application is done with it. The buffer of
        a connection that is being closed counts until it is empty.
        """
        connections = cast(
            set[DisconnectAwareProtocol], self._state.connections
        )
        return sum(each.unsent_bytes() for each in connections)

    def abort_all(self) -> None:
        """Aborts all connections, as the end of the process would."""
        for protocol in list(self._state.connections):
            protocol.transport.abort()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    async def watch_connections(self) -> None:
        """Checks at intervals which connections bring no request."""
        limiter = self._guard.connections
        while True:
            await asyncio.sleep(limiter.limits.interval_s)
            limiter.check(
                cast(set[DisconnectAwareProtocol], self._state.connections)
            )

    async def watch_send_buffers(self) -> None:
        """Checks the send buffers of all connections at intervals."""
        while self._buffers is not None:
            await asyncio.sleep(self._buffers.settings.interval_s)
            # The state has only connections that ``_make_protocol`` made.
            self._buffers.check(
                cast(set[DisconnectAwareProtocol], self._state.connections)
            )

    def _make_protocol(self) -> asyncio.BaseProtocol:
        """Returns the protocol of a new connection."""
        protocol = self._protocol(
            config=self._config, server_state=self._state, app_state={}
        )
        protocol.buffers = self._buffers
        protocol.guard = self._guard
        return small_reads.SmallReads(protocol, self._buffer)


CheckSize = Callable[[int], None]
"""Called with the size of a body in bytes as far as it has been received;
raises an error if the rest must not be read."""


async def read_body(
    receive: Receive, max_bytes: int, check_size: CheckSize | None = None
) -> bytes | None:
    """Returns the body of a request; None if the caller disconnected.

    Args:
        receive: Returns the next message of the caller.
        max_bytes: The maximum size of the body.
        check_size: Called after each piece; its errors are passed on.

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
        if check_size is not None:
            check_size(size_bytes)
        if not message.get("more_body", False):
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)


def declared_body_bytes(scope: Scope) -> int:
    """Returns the ``Content-Length`` of a request; 0 without one."""
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


async def refuse_body(
    receive: Receive,
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Sends a complete answer to a request whose body will not be used.

    The connection is closed once the caller has stopped sending the body. The
    rest of it is read in small pieces, which are dropped.
    """
    headers.append((b"content-length", str(len(body)).encode()))
    headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    part = {"type": "http.response.body", "body": body, "more_body": True}
    await send(part)
    with anyio.move_on_after(_LINGER_S):
        while True:
            message = await receive()
            if not message.get("more_body", False):
                break
    await send({"type": "http.response.body", "body": b""})


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
