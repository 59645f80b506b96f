"""HTTP/1.1 exchanges with one address over kept connections.

The parser is ``httptools``. This module adds what a router must know exactly
and general-purpose clients do not expose: whether any byte of a request was
written, whether an answer is complete, and whether a connection may be reused.
A connection on which anything unusual happened is closed and never reused.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import fcntl
import math
import socket
import struct
import termios
from typing import NamedTuple
from typing import Protocol
from typing import cast

import httptools

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import answer_bounds
from bridgecross_entry import model

_PIECE_BYTES = 16 * 1024
"""The size of the pieces in which received bytes are parsed. The bounds are
checked between pieces, and parsing many short headers takes long."""

_NO_BODY_STATUSES = frozenset({204, 304})
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_FIRST_ERROR_STATUS = 400
_LAST_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Settings for opening and keeping connections to one address."""

    # Connecting takes less than 2 ms inside a place. A lost SYN packet is
    # retransmitted after a second, and a new attempt is faster than that.
    connect_timeout_s: float = 0.25
    # A connection is closed if sent bytes are unacknowledged for this time: a
    # peer behind a network partition is silent, and the kernel would retransmit
    # for minutes.
    unacknowledged_timeout_s: float = 3.0
    # An idle connection is closed after this time, unless the server specified
    # a shorter one. Servers close theirs after 10 s or more.
    idle_timeout_s: float = 8.0
    # A request on a connection that the server is about to close is lost, so a
    # connection is closed this long before the timeout that the server
    # specified.
    idle_margin_s: float = 1.0
    # Whether a cancelled exchange closes the connections that were idle before
    # it began: they may be dead without a sign, and each would cost another
    # timeout. Only for users that cancel for no other reason than a timeout,
    # as new connections to servers are expensive.
    drops_idle_on_timeout: bool = False
    # An exchange fails if it receives more.
    bounds: answer_bounds.BoundSettings = dataclasses.field(
        default_factory=answer_bounds.BoundSettings
    )
    # A connection is closed once this many requests on it have failed: it
    # remembers each of them, 0.1 KB a request.
    failed_max_count: int = 64


class Reply(NamedTuple):
    """A complete answer."""

    status: int
    # The names are in lower case.
    headers: tuple[outcomes.Header, ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, whose name is in lower case."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return None


class Unsent(NamedTuple):
    """No byte of the request was written."""

    reason: str
    # Whether the address refused the connection.
    refused: bool
    # Whether there was a connection, but ``MaySend`` did not allow to send.
    is_withheld: bool = False


class Broken(NamedTuple):
    """Bytes were written, but no complete answer arrived."""

    reason: str


class UnclearAnswerError(Exception):
    """It cannot be told whether an answer belongs to the request."""


Result = Reply | Unsent | Broken
Accepts = Callable[[Reply], bool]
"""Returns whether an answer belongs to the request that was sent.

If this cannot be told, it raises ``UnclearAnswerError``: the exchange is broken
then, as the answer proves nothing about the request.
"""

MaySend = Callable[[], bool]
"""Returns whether a request may still be sent; nothing is awaited between the
call and the first byte of the request."""


def always() -> bool:
    """Allows every request."""
    return True


_WITHHELD = Unsent("withheld", refused=False, is_withheld=True)


class Exchanger(Protocol):
    """Exchanges messages with one address."""

    async def exchange(
        self, request: bytes, accepts: Accepts, may_send: MaySend = always
    ) -> Result:
        """Sends one request; the caller limits the time by cancelling."""


class _Connection(asyncio.Protocol):
    """A connection that runs one exchange at a time."""

    def __init__(
        self,
        settings: ConnectionSettings,
        opened_s: float,
        address: model.Address,
        memory: answer_bounds.AnswerMemory,
    ) -> None:
        """Creates the protocol of a connection that is being opened."""
        self._settings = settings
        self._address = address
        self._memory = memory
        # What the exchange in progress has received.
        self._received = answer_bounds.ReceivedBytes(
            settings.bounds, memory, address
        )
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[Reply | Broken] | None = None
        self._accepts: Accepts | None = None
        self._headers: list[outcomes.Header] = []
        # Not the pieces, which may be of one byte each.
        self._body = bytearray()
        self._status = 0
        self._is_length_known = False
        self._in_answer = False
        # Whether the answer has no body, whatever its Content-Length says.
        self._wants_head_only = False
        self.reusable = True
        self.idle_limit_s = settings.idle_timeout_s
        # When it was opened: it leads to the process that ran at that time. It
        # is verified once the server has reported its state on it.
        self.opened_s = opened_s
        self.is_verified = False
        # When the latest request was sent, on the monotonic clock; infinite
        # before the first one.
        self.sent_s = math.inf
        self._request_id = b""
        # The hashes of the ids of requests that failed or were rejected. Ids
        # have any length; two with the same hash cost at most a connection.
        self._failed_hashes: set[int] = set()

    def may_carry(self, request_id: bytes) -> bool:
        """Whether no earlier attempt of a request has failed on it.

        A server may send an answer a second time, late, and all attempts of a
        request have the same id. So the answer to the earlier attempt would be
        taken for that to the next one.

        Args:
            request_id: The id; empty for an exchange without one.
        """
        return hash(request_id) not in self._failed_hashes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the TCP user timeout."""
        # uvloop's transports have the methods but do not derive from the class.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            timeout_ms = int(self._settings.unacknowledged_timeout_s * 1_000)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    @property
    def usable(self) -> bool:
        """Whether another exchange may start on this connection."""
        transport = self._transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
        )

    def is_acknowledged(self, sent_before_s: float) -> bool:
        """Whether the peer's kernel has all bytes of a request in progress.

        Args:
            sent_before_s: Requests that were sent later count as acknowledged:
                an acknowledgement takes a round trip, and may be delayed.
        """
        if self.sent_s > sent_before_s or self._transport is None:
            return True
        if self._transport.get_write_buffer_size():
            return False
        sock = self._transport.get_extra_info("socket")
        return sock is None or not _count_queued_bytes(sock)

    def abort(self) -> None:
        """Closes the connection immediately, dropping unsent bytes."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        """Closes the connection with a reset, without retransmissions.

        Otherwise the kernel would go on for seconds to deliver a request that
        was cancelled.
        """
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            zero_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
        self.abort()

    async def exchange(
        self, request: bytes, accepts: Accepts, request_id: bytes
    ) -> Reply | Broken:
        """Sends a request and returns its answer.

        Cancelling this closes the connection, which makes the server stop.
        """
        assert self._transport is not None  # the pool has connected it
        self._result = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._request_id = request_id
        self._wants_head_only = request.startswith(b"HEAD ")
        self._received = answer_bounds.ReceivedBytes(
            self._settings.bounds, self._memory, self._address
        )
        self._transport.write(request)
        try:
            with self._received:
                return await self._result
        except asyncio.CancelledError:
            self._reset()
            raise
        finally:
            self._result = None
            self._body = bytearray()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; unexpected bytes close the connection."""
        for offset in range(0, len(data), _PIECE_BYTES):
            if self._result is None or self._result.done():
                self.abort()
                return
            self._parse(data[offset : offset + _PIECE_BYTES])

    def _parse(self, piece: bytes) -> None:
        """Feeds the parser, and ends an exchange that receives too much."""
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._fail("the server switched protocols")
        except httptools.HttpParserError as error:
            self._fail(f"the answer is not HTTP: {error}")
        excess = self._received.add_parsed(len(piece))
        if excess is not None:
            self._fail(excess.value)

    def eof_received(self) -> bool:
        """Completes an answer without a length, and closes the connection."""
        is_final = self._status >= _FIRST_FINAL_STATUS
        if self._in_answer and is_final and not self._is_length_known:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the exchange in progress, if any."""
        self.reusable = False
        self._fail(f"the connection ended: {error or 'closed by the server'}")

    def on_message_begin(self) -> None:
        """Starts an answer; an unexpected one makes reuse impossible."""
        if self._result is None or self._result.done():
            self.reusable = False
        self._headers = []
        self._body = bytearray()
        self._status = 0
        self._is_length_known = False
        self._in_answer = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header."""
        lowered = name.lower()
        if lowered in {b"content-length", b"transfer-encoding"}:
            self._is_length_known = True
        self._headers.append(outcomes.Header(lowered, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Reads the status and whether the connection stays open."""
        self._status = self._parser.get_status_code()
        if not _FIRST_STATUS <= self._status <= _LAST_STATUS:
            self._fail(f"the status is {self._status}")
            return
        if self._status in _NO_BODY_STATUSES:
            self._is_length_known = True
        if not self._parser.should_keep_alive():
            self.reusable = False
        for header in self._headers:
            if header.name == b"keep-alive":
                self._read_keep_alive(header.value)
        if self._wants_head_only and self._status >= _FIRST_FINAL_STATUS:
            # The parser expects a body and cannot parse another answer.
            self.reusable = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        excess = self._received.add_body(len(body))
        if excess is not None:
            self._body = bytearray()
            self._fail(excess.value)
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Completes the answer, unless it is an interim one."""
        if self._status < _FIRST_FINAL_STATUS:
            self._in_answer = False
            return
        self._finish()

    def _finish(self) -> None:
        """Completes an answer: delivers it if it belongs to the request."""
        self._in_answer = False
        if self._result is None or self._result.done():
            return
        reply = Reply(self._status, tuple(self._headers), bytes(self._body))
        try:
            is_expected = self._accepts is None or self._accepts(reply)
        except UnclearAnswerError as error:
            self._fail(str(error))
            return
        if not is_expected:
            # A late answer to an earlier request; the expected one may follow.
            self.reusable = False
            return
        if self._transport is None or self._transport.get_write_buffer_size():
            self.reusable = False
        if self._request_id and reply.status >= _FIRST_ERROR_STATUS:
            self._note_failed()
        self._result.set_result(reply)

    def _note_failed(self) -> None:
        """Remembers a request that may be attempted again."""
        self._failed_hashes.add(hash(self._request_id))
        if len(self._failed_hashes) >= self._settings.failed_max_count:
            self.reusable = False

    def _fail(self, reason: str) -> None:
        """Fails the exchange and closes the connection."""
        if self._result is not None and not self._result.done():
            self._result.set_result(Broken(reason))
        self.abort()

    def _read_keep_alive(self, value: bytes) -> None:
        """Limits the idle time to the timeout of a Keep-Alive header."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                server_limit_s = float(number) - self._settings.idle_margin_s
                self.idle_limit_s = min(
                    self.idle_limit_s, max(server_limit_s, 0.0)
                )


def _count_queued_bytes(sock: socket.socket) -> int:
    """Returns the bytes in a socket's send queue, which are unacknowledged."""
    try:
        packed = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
    except OSError:
        # The socket is closed, so the exchange on it ends as broken.
        return 0
    return int(struct.unpack("i", packed)[0])


class _IdleConnection(NamedTuple):
    """A connection that is not used by an exchange."""

    connection: _Connection
    since_s: float


class ConnectionPool:
    """The connections of this process to one address."""

    def __init__(
        self,
        address: model.Address,
        settings: ConnectionSettings,
        clock: clocks.Clock,
        memory: answer_bounds.AnswerMemory = answer_bounds.UNCOUNTED,
    ) -> None:
        """Creates a pool without connections.

        Args:
            address: Where the connections lead.
            settings: How they are opened and kept, and what they may receive.
            clock: The time source.
            memory: Counts the answers that are being received.
        """
        self.address = address
        self._memory = memory
        self.opened_count = 0
        self._settings = settings
        self._clock = clock
        self._idle: list[_IdleConnection] = []
        # The connections with a request in progress.
        self._busy: set[_Connection] = set()

    def is_acknowledged(self, sent_before_s: float) -> bool:
        """Whether all bytes of requests sent before a time have arrived.

        Bytes that were acknowledged have reached the machine at the address,
        whether or not its process has begun to work on them.
        """
        return all(each.is_acknowledged(sent_before_s) for each in self._busy)

    async def exchange(
        self,
        request: bytes,
        accepts: Accepts,
        may_send: MaySend = always,
        request_id: bytes = b"",
        *,
        is_first: bool = False,
    ) -> Result:
        """Sends one request; the caller limits the time by cancelling.

        Args:
            request: The bytes to write.
            accepts: Returns whether an answer belongs to the request.
            may_send: Called once there is a connection.
            request_id: The id by which ``accepts`` tells answers apart, which
                all attempts of a request share; empty if there is none.
            is_first: Whether it must be the first request on its connection,
                as a late answer to an earlier one would be taken for its own.
        """
        started_s = self._clock.monotonic_s()
        idle = self._take_idle(request_id, is_first=is_first)
        if idle is None:
            opened = await self._open()
            if isinstance(opened, Unsent):
                return opened
            idle = _IdleConnection(opened, self._clock.monotonic_s())
        if not may_send():
            # The time to connect does not bound the delay until here: its
            # timer fires late if the host is suspended.
            self._idle.append(idle)
            return _WITHHELD
        connection = idle.connection
        try:
            result = await self._exchange_on(
                connection, request, accepts, request_id
            )
        except asyncio.CancelledError:
            if self._settings.drops_idle_on_timeout:
                self._close_idle_since(started_s)
            raise
        if isinstance(result, Reply) and connection.usable:
            self._keep(connection)
        else:
            connection.abort()
        return result

    async def _exchange_on(
        self,
        connection: _Connection,
        request: bytes,
        accepts: Accepts,
        request_id: bytes = b"",
    ) -> Reply | Broken:
        """Sends one request on a connection of this pool."""
        connection.sent_s = self._clock.monotonic_s()
        self._busy.add(connection)
        try:
            return await connection.exchange(request, accepts, request_id)
        finally:
            self._busy.discard(connection)

    def _keep(self, connection: _Connection) -> None:
        """Keeps a connection for the next exchange."""
        now_s = self._clock.monotonic_s()
        self._idle.append(_IdleConnection(connection, now_s))

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection is likely to be available."""
        return bool(self._idle)

    @property
    def has_open_connection(self) -> bool:
        """Whether an idle connection has not been closed by the server."""
        return any(idle.connection.usable for idle in self._idle)

    @property
    def can_reuse_connection(self) -> bool:
        """Whether a request not sent before needs no new connection."""
        now_s = self._clock.monotonic_s()
        return any(self._is_fresh(idle, now_s) for idle in self._idle)

    def prefer_verified(self, known_s: float, request_id: bytes = b"") -> bool:
        """Makes the next exchange use a verified connection.

        Args:
            known_s: A connection opened before this time needs no verification.
            request_id: The id of the next exchange; see ``exchange``.

        Returns:
            Whether there is such a connection.
        """
        now_s = self._clock.monotonic_s()
        for index in reversed(range(len(self._idle))):
            idle = self._idle[index]
            connection = idle.connection
            is_known = connection.is_verified or connection.opened_s <= known_s
            may_use = self._is_fresh(idle, now_s) and connection.may_carry(
                request_id
            )
            if is_known and may_use:
                self._idle.append(self._idle.pop(index))
                return True
        return False

    async def exchange_on_new_connection(
        self, request: bytes, accepts: Accepts, may_send: MaySend = always
    ) -> Result:
        """Sends one request on a new connection and marks it as verified.

        If it was answered without an error, the next exchange uses the same
        connection; otherwise it is closed.

        Args:
            request: The bytes to write.
            accepts: Returns whether an answer belongs to the request.
            may_send: Called once there is a connection.
        """
        opened = await self._open()
        if isinstance(opened, Unsent):
            return opened
        if not may_send():
            self._keep(opened)
            return _WITHHELD
        try:
            result = await self._exchange_on(opened, request, accepts)
        except asyncio.CancelledError:
            opened.abort()
            raise
        if not isinstance(result, Reply) or not opened.usable:
            opened.abort()
            return Broken("the connection was not kept")
        if result.status >= _FIRST_ERROR_STATUS:
            # A second copy of it could be taken for an answer to the next
            # request.
            opened.abort()
            return result
        opened.is_verified = True
        self._keep(opened)
        return result

    async def connect(self) -> Unsent | None:
        """Opens a connection and keeps it; returns why it failed, or None."""
        opened = await self._open()
        if isinstance(opened, Unsent):
            return opened
        self._keep(opened)
        return None

    def close(self) -> None:
        """Closes all idle connections."""
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

    def _close_idle_since(self, time_s: float) -> None:
        """Closes connections that have been idle since a time or longer."""
        kept = [idle for idle in self._idle if idle.since_s > time_s]
        for idle in self._idle:
            if idle.since_s <= time_s:
                idle.connection.abort()
        self._idle = kept

    def _is_fresh(self, idle: _IdleConnection, now_s: float) -> bool:
        """Whether a connection may be used for another request."""
        age_s = now_s - idle.since_s
        return idle.connection.usable and age_s < idle.connection.idle_limit_s

    def _take_idle(
        self, request_id: bytes, *, is_first: bool = False
    ) -> _IdleConnection | None:
        """Returns the most recently used connection that may be used."""
        now_s = self._clock.monotonic_s()
        for index in reversed(range(len(self._idle))):
            idle = self._idle[index]
            if not self._is_fresh(idle, now_s):
                self._idle.pop(index).connection.abort()
            elif is_first and idle.connection.sent_s < math.inf:
                continue
            elif idle.connection.may_carry(request_id):
                return self._idle.pop(index)
        return None

    async def _open(self) -> _Connection | Unsent:
        """Opens a connection."""
        loop = asyncio.get_running_loop()
        opened_s = self._clock.monotonic_s()
        self.opened_count += 1
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        self._settings, opened_s, self.address, self._memory
                    ),
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
