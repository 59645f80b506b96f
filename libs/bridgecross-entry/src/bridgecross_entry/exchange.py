"""HTTP/1.1 exchanges with one address over kept connections.

The parser is ``httptools``; this module adds what a router must know exactly
and what general clients keep to themselves: whether a byte of a request was
written, whether an answer is whole, and whether a connection may be used
again. A connection that saw anything unusual is closed, never used again.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import socket
import struct
from typing import NamedTuple
from typing import Protocol
from typing import cast

import httptools

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import model

_NO_BODY_STATUSES = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How connections to one address are made and kept."""

    # Connecting takes under 2 ms inside a place; a lost opening packet is
    # sent again after a second, and another try is quicker than that.
    connect_timeout_s: float = 0.25
    # Unacknowledged bytes break a connection after this time: a peer behind
    # a partition says nothing, and the kernel would try for minutes.
    unacknowledged_timeout_s: float = 3.0
    # An idle connection is closed after this time, unless the server named a
    # shorter one. Servers close theirs after 10 s or more.
    idle_timeout_s: float = 8.0
    # A request on a connection that the server is about to close is lost, so
    # a connection is given up this much before the time the server named.
    idle_margin_s: float = 1.0
    # Whether an exchange that is given up drops the connections that were idle
    # before it began: open ones may have gone silent for good, and each would
    # cost another timeout. Only where exchanges are not given up for other
    # reasons; new connections to servers are dear.
    drops_idle_on_timeout: bool = False
    # Larger answers break the exchange; memory is 300 MB an instance.
    max_body_bytes: int = 64 * 1024 * 1024


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    # Names in lower case.
    headers: tuple[outcomes.Header, ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header of a name, in lower case."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return None


class Unsent(NamedTuple):
    """Not one byte of the request was written."""

    reason: str
    # Whether the address refused the connection.
    refused: bool
    # Whether it may not be sent any more, though there is a connection.
    is_withheld: bool = False


class Broken(NamedTuple):
    """Bytes were written, and no whole answer came."""

    reason: str


Result = Reply | Unsent | Broken
Accepts = Callable[[Reply], bool]
"""Tells whether an answer belongs to the request that was sent."""

MaySend = Callable[[], bool]
"""Tells whether a request may still be sent; nothing is awaited between this
and its first byte."""


def _always() -> bool:
    """Lets everything be sent."""
    return True


_WITHHELD = Unsent("withheld", refused=False, is_withheld=True)


class Exchanger(Protocol):
    """Exchanges messages with one address."""

    async def exchange(self, request: bytes, accepts: Accepts) -> Result:
        """Sends one request; the caller bounds the time by cancelling."""


class _Connection(asyncio.Protocol):
    """One connection, on which one exchange runs at a time."""

    def __init__(self, settings: ConnectionSettings, opened_s: float) -> None:
        """Waits for the transport."""
        self._settings = settings
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[Reply | Broken] | None = None
        self._accepts: Accepts | None = None
        self._headers: list[outcomes.Header] = []
        self._body: list[bytes] = []
        self._body_size_bytes = 0
        self._status = 0
        self._framed = False
        self._in_answer = False
        # Whether the answer ends with its head, whatever length it names.
        self._wants_head_only = False
        self.reusable = True
        self.idle_limit_s = settings.idle_timeout_s
        # From when on it has led to the same process of the other side; its own
        # opening, unless the other side has told since how it is.
        self.opened_s = opened_s
        self.is_verified = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and bounds silence of the peer."""
        # uvloop's transports have the methods without being of the class.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            timeout_ms = int(self._settings.unacknowledged_timeout_s * 1_000)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    @property
    def usable(self) -> bool:
        """Whether another exchange may start here."""
        transport = self._transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
        )

    def abort(self) -> None:
        """Closes the connection at once, dropping unsent bytes."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        """Closes the connection; what the other side lacks is not sent again.

        The kernel would go on for seconds with a request that was given up.
        """
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            at_once = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
        self.abort()

    async def exchange(
        self, request: bytes, accepts: Accepts
    ) -> Reply | Broken:
        """Sends a request and returns its answer.

        Cancelling it closes the connection, which tells the server to stop.
        """
        assert self._transport is not None  # by the pool
        self._result = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._wants_head_only = request.startswith(b"HEAD ")
        self._transport.write(request)
        try:
            return await self._result
        except asyncio.CancelledError:
            self._reset()
            raise
        finally:
            self._result = None

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes that nobody waits for end the connection."""
        if self._result is None or self._result.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break("the server switched protocols")
        except httptools.HttpParserError as error:
            self._break(f"the answer is not HTTP: {error}")

    def eof_received(self) -> bool:
        """Ends an answer that has no length, and the connection."""
        if self._in_answer and self._status and not self._framed:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Breaks the exchange that waits, if there is one."""
        self.reusable = False
        self._break(f"the connection ended: {error or 'closed by the server'}")

    def on_message_begin(self) -> None:
        """Begins an answer; a surplus one spoils the connection."""
        if self._result is None or self._result.done():
            self.reusable = False
        self._headers = []
        self._body = []
        self._body_size_bytes = 0
        self._status = 0
        self._framed = False
        self._in_answer = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        lowered = name.lower()
        if lowered in {b"content-length", b"transfer-encoding"}:
            self._framed = True
        self._headers.append(outcomes.Header(lowered, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Reads the status and whether the connection goes on."""
        self._status = self._parser.get_status_code()
        if self._status in _NO_BODY_STATUSES:
            self._framed = True
        if not self._parser.should_keep_alive():
            self.reusable = False
        for header in self._headers:
            if header.name == b"keep-alive":
                self._read_keep_alive(header.value)
        if self._wants_head_only and self._status >= _FIRST_FINAL_STATUS:
            # The parser takes it that a body follows, and is of no more use.
            self.reusable = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Keeps a piece of the body."""
        self._body_size_bytes += len(body)
        if self._body_size_bytes > self._settings.max_body_bytes:
            self._break("the answer is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the answer over."""
        if self._status < _FIRST_FINAL_STATUS:
            return
        self._finish()

    def _finish(self) -> None:
        """Ends an answer: hands it over if it is the one waited for."""
        self._in_answer = False
        if self._result is None or self._result.done():
            return
        reply = Reply(self._status, tuple(self._headers), b"".join(self._body))
        if self._accepts is not None and not self._accepts(reply):
            # An answer to an earlier request, come late; ours may follow.
            self.reusable = False
            return
        if self._transport is None or self._transport.get_write_buffer_size():
            self.reusable = False
        self._result.set_result(reply)

    def _break(self, reason: str) -> None:
        """Ends the exchange without an answer."""
        if self._result is not None and not self._result.done():
            self._result.set_result(Broken(reason))
        self.abort()

    def _read_keep_alive(self, value: bytes) -> None:
        """Shortens the idle time to what the server named."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                named_s = float(number) - self._settings.idle_margin_s
                self.idle_limit_s = min(self.idle_limit_s, max(named_s, 0.0))


class _Idle(NamedTuple):
    """A connection that waits for its next exchange."""

    connection: _Connection
    since_s: float


class ConnectionPool:
    """The connections of this process to one address."""

    def __init__(
        self,
        address: model.Address,
        settings: ConnectionSettings,
        clock: clocks.Clock,
    ) -> None:
        """Opens nothing yet."""
        self.address = address
        self.opened_count = 0
        self._settings = settings
        self._clock = clock
        self._idle: list[_Idle] = []

    async def exchange(
        self, request: bytes, accepts: Accepts, may_send: MaySend = _always
    ) -> Result:
        """Sends one request; the caller bounds the time by cancelling.

        Args:
            request: What is written.
            accepts: Tells whether an answer belongs to it.
            may_send: Asked once there is a connection.
        """
        begun_s = self._clock.monotonic_s()
        taken = self._take_idle()
        if taken is None:
            opened = await self._open()
            if isinstance(opened, Unsent):
                return opened
            taken = _Idle(opened, self._clock.monotonic_s())
        if not may_send():
            # A limit of the time to connect is a timer of this process, and
            # comes late if the host is held up.
            self._idle.append(taken)
            return _WITHHELD
        connection = taken.connection
        try:
            result = await connection.exchange(request, accepts)
        except asyncio.CancelledError:
            if self._settings.drops_idle_on_timeout:
                self._drop_idle_since(begun_s)
            raise
        if isinstance(result, Reply) and connection.usable:
            self._keep(connection)
        else:
            connection.abort()
        return result

    def _keep(self, connection: _Connection) -> None:
        """Keeps a connection for the next exchange."""
        now_s = self._clock.monotonic_s()
        self._idle.append(_Idle(connection, now_s))

    @property
    def has_idle(self) -> bool:
        """Whether a kept connection is likely to be free for a request."""
        return bool(self._idle)

    @property
    def has_open_connection(self) -> bool:
        """Whether a kept connection has not been closed by the other side."""
        return any(idle.connection.usable for idle in self._idle)

    def prefer_verified(self, known_s: float) -> bool:
        """Lets the next exchange go by a connection that is vouched for.

        Args:
            known_s: One that was opened before needs nobody to vouch for it.

        Returns:
            Whether there is one.
        """
        now_s = self._clock.monotonic_s()
        for index in reversed(range(len(self._idle))):
            idle = self._idle[index]
            connection = idle.connection
            is_known = connection.is_verified or connection.opened_s <= known_s
            if is_known and self._is_fresh(idle, now_s):
                self._idle.append(self._idle.pop(index))
                return True
        return False

    async def exchange_on_new_connection(
        self, request: bytes, accepts: Accepts, may_send: MaySend = _always
    ) -> Result:
        """Sends one request by a new connection, and vouches for it.

        If it was answered, the next exchange goes by the same connection.

        Args:
            request: What is written.
            accepts: Tells whether an answer belongs to it.
            may_send: Asked once there is a connection.
        """
        opened = await self._open()
        if isinstance(opened, Unsent):
            return opened
        if not may_send():
            self._keep(opened)
            return _WITHHELD
        try:
            result = await opened.exchange(request, accepts)
        except asyncio.CancelledError:
            opened.abort()
            raise
        if isinstance(result, Reply) and opened.usable:
            opened.is_verified = True
            self._keep(opened)
            return result
        opened.abort()
        return Broken("the connection was not kept")

    async def connect(self) -> Unsent | None:
        """Makes a connection and keeps it; returns why there is none."""
        opened = await self._open()
        if isinstance(opened, Unsent):
            return opened
        self._keep(opened)
        return None

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle:
            idle.connection.abort()
        self._idle.clear()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = self._clock.monotonic_s()
        kept = []
        for idle in self._idle:
            if self._is_fresh(idle, now_s):
                kept.append(idle)
            else:
                idle.connection.abort()
        self._idle = kept

    def _drop_idle_since(self, time_s: float) -> None:
        """Closes connections that have not been used since a time."""
        kept = [idle for idle in self._idle if idle.since_s > time_s]
        for idle in self._idle:
            if idle.since_s <= time_s:
                idle.connection.abort()
        self._idle = kept

    def _is_fresh(self, idle: _Idle, now_s: float) -> bool:
        """Whether a connection may carry another request."""
        age_s = now_s - idle.since_s
        return idle.connection.usable and age_s < idle.connection.idle_limit_s

    def _take_idle(self) -> _Idle | None:
        """Returns the connection that was used last, if one is fresh."""
        now_s = self._clock.monotonic_s()
        while self._idle:
            idle = self._idle.pop()
            if self._is_fresh(idle, now_s):
                return idle
            idle.connection.abort()
        return None

    async def _open(self) -> _Connection | Unsent:
        """Connects."""
        loop = asyncio.get_running_loop()
        opened_s = self._clock.monotonic_s()
        self.opened_count += 1
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._settings, opened_s),
                    self.address.host,
                    self.address.port,
                )
        except TimeoutError:
            return Unsent("connecting took too long", refused=False)
        except ConnectionRefusedError as error:
            return Unsent(f"connection refused: {error}", refused=True)
        except OSError as error:
            return Unsent(f"cannot connect: {error}", refused=False)
        return connection
