"""The protocol of a connection that reads no more than its limits allow."""

import asyncio
import collections
from typing import Any
from typing import NamedTuple
from typing import cast

from uvicorn.protocols.http import httptools_impl

from bridgecross_entry import client_guard
from bridgecross_entry import client_monitor
from bridgecross_entry import connection_limits
from bridgecross_entry import head_memory
from bridgecross_entry import memory_ledger
from bridgecross_entry import request_bounds

ON_DISCONNECT = "bridgecross.on_disconnect"
"""The key of ``scope["state"]`` under which an application stores a function
to call when the caller disconnects."""

_LINGER_S = 1.0
"""How long the rest of a refused request is read. A connection that is closed
with unread bytes is reset, and the client may lose the refusal."""

_LINGER_MAX_BYTES = 1024 * 1024
"""How much of it is read at most."""

_PIPELINE_MAX_COUNT = 32
"""How many requests may wait for the response to an earlier one."""


class Refusal(NamedTuple):
    """The answer to a request that is not read to its end."""

    status: int
    reason: str
    # Header lines, each with its end.
    headers: bytes = b""


_INVALID = Refusal(400, "Invalid HTTP request received.")

_SLOW_HEAD = Refusal(408, "the head takes too long")
_SLOW_BODY = Refusal(408, "the body takes too long")

_NO_MEMORY = Refusal(
    503,
    "there is no memory for the head",
    b"retry-after: %.3f\r\n" % (memory_ledger.RETRY_AFTER_MS / 1_000),
)

_REFUSALS = {
    request_bounds.Excess.HEAD: (
        client_monitor.Fault.HEAD_SIZE,
        Refusal(431, "the head is too large"),
    ),
    request_bounds.Excess.FRAMING: (
        client_monitor.Fault.FRAMING_SIZE,
        Refusal(400, "there are too many bytes beside the body"),
    ),
}


class _NoRoomError(Exception):
    """There is no room for the head of a request."""


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuses requests whose heads, trailers or framing are too large."""

    guard: client_guard.ClientGuard

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Creates the protocol of a connection without requests."""
        super().__init__(*args, **kwargs)
        self._bounds: request_bounds.RequestBounds
        # The memory of the heads of unanswered requests, the oldest first.
        self._heads: collections.deque[head_memory.HeadReservation] = (
            collections.deque()
        )
        # The memory of a head that is not complete.
        self._newest_head: head_memory.HeadReservation | None = None
        self._lines_count = 0
        self.waiting_since_s: float | None = None
        self.head_since_s: float | None = None
        self.body_since_s: float | None = None
        # Whether nothing that is received is parsed any more.
        self._is_discarding = False
        self._discarded_bytes = 0
        self._linger_timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> str:
        """The address of the client."""
        return self.client[0] if self.client else ""

    # The connection.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Takes the limits that are in force."""
        super().connection_made(transport)
        self._bounds = request_bounds.RequestBounds(self.guard.request_limits)
        self.waiting_since_s = self.guard.connections.now_s()
        # Only this class adds to them.
        others = cast("set[BoundedProtocol]", self.connections)
        self.guard.connections.admit(self, others)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops what waits for the end of the connection."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._drop_head()
        while self._heads:
            self._heads.popleft().release()
        super().connection_lost(exc)

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Parses bytes in pieces, as long as the limits allow it."""
        offset = 0
        while offset < len(data) and self._may_parse():
            if self._keep(data, offset):
                return
            piece = self._bounds.take_piece(data, offset)
            offset += len(piece)
            self._parse(piece)
        if self._is_discarding:
            self._discard(len(data) - offset)

    def on_message_begin(self) -> None:
        """Takes the limits that are in force, and counts a new head."""
        super().on_message_begin()
        self._bounds.limits = self.guard.request_limits
        self._newest_head = self.guard.reserve_head()
        self._lines_count = 0
        self.head_since_s = self.guard.connections.now_s()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Drops trailers: they are no headers of the request."""
        if not self._bounds.is_in_body:
            self._lines_count += 1
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Counts what follows as the body or its framing.

        Raises:
            _NoRoomError: There is no room for the head.
        """
        if not self.count_head():
            raise _NoRoomError
        assert self._newest_head is not None  # its head has begun
        self._heads.append(self._newest_head)
        self._newest_head = None
        self.body_since_s = self.guard.connections.now_s()
        self.head_since_s = self.waiting_since_s = None
        super().on_headers_complete()
        self._bounds.begin_body()

    def on_body(self, body: bytes) -> None:
        """Counts the bytes of a body."""
        self._bounds.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Counts what follows as the next head."""
        super().on_message_complete()
        self._bounds.end()
        self.body_since_s = None

    def on_response_complete(self) -> None:
        """Releases the head of a request that is answered."""
        if self._heads:
            self._heads.popleft().release()
        if self.cycle is not None and self.cycle.response_complete:
            self._forget(self.cycle)
        if not self.pipeline:
            self.waiting_since_s = self.guard.connections.now_s()
        super().on_response_complete()

    def count_head(self) -> bool:
        """Counts the newest head so far; returns whether there is room."""
        if self._newest_head is None:
            return True
        return self._newest_head.grow(
            self._bounds.head_bytes, self._lines_count
        )

    def _forget(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Drops the head of a request that is answered.

        The connection may be idle for long, and refers to its last request.
        """
        if self.scope is cycle.scope:
            self.headers = []
            self.scope = cast("Any", None)
        cycle.scope = cast("Any", {"state": {}})

    def _may_parse(self) -> bool:
        """Whether received bytes belong to a request that will be answered."""
        return not self._is_discarding and not self.transport.is_closing()

    def _keep(self, data: bytes, offset: int) -> bool:
        """Whether bytes from a position on are kept, to be parsed later."""
        del data, offset
        return False

    def _parse(self, piece: bytes) -> None:
        """Parses a piece, unless it exceeds a limit."""
        excess = self._bounds.add(piece)
        if excess is None:
            super().data_received(piece)
            excess = self._bounds.check_framing()
        if len(self.pipeline) > _PIPELINE_MAX_COUNT:
            self.transport.close()
        elif not self._may_parse():
            return
        elif excess is not None:
            fault, refusal = _REFUSALS[excess]
            self.guard.note(fault, self.peer)
            self.refuse(refusal)
        elif not self.count_head():
            self._refuse_head()

    # Limits of connections; see ``connection_limits.Connection``.

    @property
    def is_reading(self) -> bool:
        """Whether what the client sends is read."""
        return not self.flow.read_paused

    @property
    def is_ending(self) -> bool:
        """Whether it is being closed already."""
        return self._is_discarding or self.transport.is_closing()

    def end(self, reason: connection_limits.Reason) -> None:
        """Closes the connection, whose newest request is not complete."""
        match reason:
            case connection_limits.Reason.SLOW_HEAD:
                self.guard.note(client_monitor.Fault.HEAD_TIMEOUT, self.peer)
                self.refuse(_SLOW_HEAD)
            case connection_limits.Reason.SLOW_BODY:
                self.guard.note(client_monitor.Fault.BODY_TIMEOUT, self.peer)
                self.refuse(_SLOW_BODY)
            case connection_limits.Reason.CROWDED:
                self.guard.note(client_monitor.Fault.CROWDED, self.peer)
                self.transport.close()
            case connection_limits.Reason.IDLE:
                self.transport.close()

    # Refusals.

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are no request, or for which there is no room."""
        del msg  # It is always the same.
        if self.count_head():
            self.refuse(_INVALID)
        else:
            self._refuse_head()

    def _refuse_head(self) -> None:
        """Refuses a request for whose head there is no room."""
        self.guard.note(client_monitor.Fault.HEAD_MEMORY, self.peer)
        self.refuse(_NO_MEMORY)

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the newest request, of which nothing more is read."""
        self._is_discarding = True
        self._drop_head()
        cycle = self.cycle
        if self._bounds.is_in_body:
            is_answering = cycle.response_started
            if is_open(cycle):
                cancel(cycle)
            if is_answering or self.pipeline:
                self.transport.close()
                return
        elif is_open(cycle):
            # An earlier request, whose answer comes first.
            cycle.keep_alive = False
            return
        self.write_refusal(refusal)
        self.linger()

    def _drop_head(self) -> None:
        """Drops a head that is not complete."""
        if self._newest_head is not None:
            self._newest_head.release()
            self._newest_head = None
            self.headers = []
            self.scope = cast("Any", None)

    def write_refusal(self, refusal: Refusal) -> None:
        """Writes the answer to a request that is not read to its end."""
        body = refusal.reason.encode()
        self.transport.write(
            b"".join(
                [
                    httptools_impl.STATUS_LINE[refusal.status],
                    b"content-type: text/plain; charset=utf-8\r\n",
                    b"content-length: %d\r\n" % len(body),
                    refusal.headers,
                    b"connection: close\r\n\r\n",
                    body,
                ]
            )
        )

    def linger(self) -> None:
        """Closes the connection once the client has stopped sending."""
        self._linger_timer = self.loop.call_later(
            _LINGER_S, self.transport.close
        )
        if not self.transport.is_closing():
            self.flow.resume_reading()
            self.transport.write_eof()

    def _discard(self, size_bytes: int) -> None:
        """Ends a client that goes on sending after its refusal."""
        if self._linger_timer is None:
            return
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _LINGER_MAX_BYTES:
            self.transport.abort()


def is_open(cycle: httptools_impl.RequestResponseCycle | None) -> bool:
    """Whether a request has been read and is not answered."""
    return cycle is not None and not (
        cycle.response_complete or cycle.disconnected
    )


def cancel(cycle: httptools_impl.RequestResponseCycle) -> None:
    """Ends a request whose answer will not be written."""
    cycle.disconnected = True
    cycle.message_event.set()
    on_disconnect = cycle.scope["state"].get(ON_DISCONNECT)
    if on_disconnect is not None:
        on_disconnect()
