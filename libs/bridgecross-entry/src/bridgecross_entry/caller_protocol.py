"""The protocol of callers' connections, which may pipeline requests.

A connection that has no second request before its first one is answered is
served by the base class alone. ``pipeline_order`` decides about the others.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import socket
from typing import Any
from typing import ClassVar
from typing import cast

from uvicorn._types import ASGI3Application
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from bridgecross_core import clock as clocks
from bridgecross_entry import bounded_protocol
from bridgecross_entry import head_memory
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order

_CALLER_CHECK_INTERVAL_S = 0.1
"""The interval of checks whether the caller has left while reading is paused.

Servers work for up to this long on requests of a caller that has left.
"""

# States of a TCP connection whose peer sends nothing more; see
# ``include/net/tcp_states.h`` of Linux.
_TCP_CLOSE = 7
_TCP_CLOSE_WAIT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineParts:
    """What the connections of one listener share."""

    # Whether the route of a request allows it to run concurrently with others.
    is_idempotent: Callable[[listener.Scope], bool]
    ledger: memory_ledger.Ledger
    monitor: pipeline_monitor.PipelineMonitor
    clock: clocks.Clock
    limits: pipeline_order.PipelineLimits


class _HoldableFlow(flow_control.FlowControl):
    """A flow control that does not resume reading while it is held."""

    is_held = False

    def resume_reading(self) -> None:
        """Resumes reading, unless the connection has reached its limits."""
        if not self.is_held:
            super().resume_reading()


class _ResponseTransport(asyncio.Transport):
    """Holds the bytes of a response until those before it are written."""

    def __init__(
        self,
        transport: asyncio.Transport,
        on_hold: Callable[[int], None],
        on_close: Callable[[], None],
    ) -> None:
        """Creates a transport that holds what is written to it.

        Args:
            transport: The transport of the connection.
            on_hold: Called with the size of each piece that is held.
            on_close: Called when the response is to end the connection.
        """
        super().__init__()
        self._transport = transport
        self._on_hold = on_hold
        self._on_close = on_close
        # None once the bytes are passed on.
        self._held: list[bytes] | None = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Writes a piece of the response, or holds it."""
        if self._held is None:
            self._transport.write(data)
            return
        self._held.append(bytes(data))
        self._on_hold(len(data))

    def close(self) -> None:
        """Ends the connection after this response."""
        self._on_close()

    def is_closing(self) -> bool:
        """Whether the connection is closing."""
        return self._transport.is_closing()

    def release(self) -> None:
        """Writes what is held, and passes on everything that follows."""
        held, self._held = self._held, None
        if held:
            self._transport.writelines(held)

    def announce_close(self) -> None:
        """Adds the header ``Connection: close`` to a response that is held.

        ``uvicorn`` writes the head of a response as one piece, which ends with
        an empty line. A piece before it can only be ``100 Continue``.
        """
        for index, piece in enumerate(self._held or ()):
            if not piece.startswith(b"HTTP/1.1 100 "):
                assert self._held is not None  # it has a piece
                self._held[index] = piece[:-2] + b"connection: close\r\n\r\n"
                return


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Exchange(pipeline_order.Request):
    """A request of a pipelined connection with its response."""

    # None for the answer to bytes that are no request.
    cycle: httptools_impl.RequestResponseCycle | None
    app: ASGI3Application
    # Set right after its creation, as its functions refer to the exchange.
    transport: _ResponseTransport = dataclasses.field(init=False)
    # The memory of its head.
    head: head_memory.HeadReservation | None = None
    # Whether it was read before an earlier request was answered.
    is_pipelined: bool = True


class CallerProtocol(listener.DisconnectAwareProtocol):
    """Runs the requests of a connection by the rules of ``PipelineOrder``."""

    parts: ClassVar[PipelineParts]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Creates the protocol of a connection without requests."""
        super().__init__(*args, **kwargs)
        self._order = pipeline_order.PipelineOrder[_Exchange](
            self.parts.limits, self.parts.ledger, self._is_idempotent
        )
        # Received bytes that are kept, not parsed, while reading is paused.
        self._unparsed = b""
        # The size of the newest request as far as it has been read.
        self._newest_bytes = 0
        self._caller_check: asyncio.TimerHandle | None = None

    # The connection.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Replaces the flow control by one that the limits can hold."""
        super().connection_made(transport)
        self.flow: _HoldableFlow = _HoldableFlow(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all requests that are not answered."""
        self._unparsed = b""
        self._order.keep(0)
        # The base class cancels the newest request.
        self._cancel(self._order.drop_all(), except_cycle=self.cycle)
        self._order.is_paused = False
        self.parts.monitor.unwatch(self._order)
        if self._caller_check is not None:
            self._caller_check.cancel()
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Closes the connection after the requests that have been read."""
        if not self._order.requests:
            super().shutdown()
            return
        self._order.accepts = False
        last = self._order.requests[-1]
        if last.cycle is not None and not last.cycle.response_complete:
            last.cycle.keep_alive = False
        elif not last.closes:
            last.closes = True
            last.transport.announce_close()
        self._update_reading()
        self._parse_rest()

    # Reading.

    def on_headers_complete(self) -> None:
        """Records the time, and lets the base class create the request."""
        if not self.count_head():
            # The base class refuses it.
            super().on_headers_complete()
        state = cast("listener.Scope", self.scope)["state"]
        state[listener.RECEIVED_S] = self.parts.clock.monotonic_s()
        if not self._order.requests and bounded_protocol.is_open(self.cycle):
            self._begin_pipelining()
        if self._order.requests:
            # Without an earlier request, the base class passes the new one
            # to ``_start_asgi_task`` instead of to its own queue.
            self.cycle = None  # type: ignore[assignment]
        self._newest_bytes = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Counts the bytes of a body."""
        super().on_body(body)
        self._newest_bytes += len(body)
        if self._is_newest_pipelined():
            self._order.grow(len(body))
            self._update_reading()
            if self.flow.read_paused:
                self._schedule_caller_check()

    def refuse(self, refusal: bounded_protocol.Refusal) -> None:
        """Refuses the newest request after the responses to earlier ones."""
        is_in_body = self._bounds.is_in_body
        if not self._order.requests:
            if is_in_body or not bounded_protocol.is_open(self.cycle):
                super().refuse(refusal)
                return
            self._begin_pipelining()
        elif is_in_body and self._is_newest_pipelined():
            # This is the response to the newest request.
            self._cancel(self._order.drop_last())
            self._order.accepts = True
        self._is_discarding = True
        self._drop_head()
        exchange = self._make_exchange(None, self.app)
        self._order.add(exchange)
        transport, self.transport = self.transport, exchange.transport
        try:
            self.write_refusal(refusal)
        finally:
            self.transport = transport
        exchange.transport.close()

    def _may_parse(self) -> bool:
        """Whether received bytes belong to a request that will be answered."""
        return super()._may_parse() and (
            self._order.accepts
            or (self._bounds.is_in_body and self._is_newest_pipelined())
        )

    def _keep(self, data: bytes, offset: int) -> bool:
        """Keeps bytes while reading is paused."""
        if self._order.is_paused:
            self._unparsed += data[offset:]
            self._order.keep(len(self._unparsed))
        return self._order.is_paused

    def _is_newest_pipelined(self) -> bool:
        """Whether the newest request is unanswered and was not dropped."""
        if not self._order.requests:
            return False
        newest = self._order.requests[-1]
        return newest.cycle is self.cycle and not newest.is_answered

    def _parse_rest(self) -> None:
        """Parses the bytes that were kept, once reading is not paused."""
        if self._unparsed and not self._order.is_paused:
            data, self._unparsed = self._unparsed, b""
            self._order.keep(0)
            self.data_received(data)

    # Requests.

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: ASGI3Application,
    ) -> None:
        """Starts a request, or adds it to those of a pipelined connection."""
        if not self._order.requests:
            super()._start_asgi_task(cycle, app)
            return
        exchange = self._make_exchange(cycle, app)
        if not self._order.add(exchange):
            return
        if not cycle.keep_alive:
            self._order.accepts = False
        self._start_requests()
        self.parts.monitor.note_read(is_started=exchange.is_started)
        self._update_reading()

    def _begin_pipelining(self) -> None:
        """Adds the running request to the order, as another one is read."""
        exchange = self._make_exchange(self.cycle, self.app)
        exchange.is_pipelined = False
        exchange.is_started = True
        exchange.is_idempotent = self._is_idempotent(exchange)
        exchange.transport.release()
        self._order.add(exchange)
        if not self.cycle.keep_alive:
            self._order.accepts = False
        self.parts.monitor.watch(self._order)

    def _make_exchange(
        self,
        cycle: httptools_impl.RequestResponseCycle | None,
        app: ASGI3Application,
    ) -> _Exchange:
        """Returns a request whose response is written in order.

        Args:
            cycle: The request; None to answer bytes that are no request.
            app: Serves the request.
        """
        size_bytes = self._newest_bytes if cycle is not None else 0
        exchange = _Exchange(size_bytes=size_bytes, cycle=cycle, app=app)
        if cycle is not None:
            exchange.head = self._heads[-1]
        exchange.transport = _ResponseTransport(
            self.transport,
            functools.partial(self._hold, exchange),
            functools.partial(self._finish, exchange, closes=True),
        )
        if cycle is not None:
            cycle.transport = exchange.transport
            cycle.on_response = functools.partial(
                self._finish, exchange, closes=False
            )
            may_close = functools.partial(self._may_close, exchange)
            _state(cycle)[listener.MAY_CLOSE] = may_close
        return exchange

    def _is_idempotent(self, exchange: _Exchange) -> bool:
        """Whether a request may run concurrently with others."""
        if exchange.cycle is None:
            return False
        return self.parts.is_idempotent(
            cast("listener.Scope", exchange.cycle.scope)
        )

    def _start_requests(self) -> None:
        """Starts the requests that may run now."""
        if self.transport.is_closing():
            return
        for exchange in self._order.take_startable():
            if exchange.cycle is not None:
                super()._start_asgi_task(exchange.cycle, exchange.app)

    def _may_close(self, exchange: _Exchange) -> bool:
        """Whether the response of a request may close the connection.

        If it may, no further request is read, so that none is lost.
        """
        if not self._order.requests or self._order.requests[-1] is not exchange:
            return False
        self._order.accepts = False
        return True

    # Responses.

    def _hold(self, exchange: _Exchange, size_bytes: int) -> None:
        """Counts a piece of a response that waits for earlier ones."""
        self._order.hold(exchange, size_bytes)
        self._update_reading()

    def _finish(self, exchange: _Exchange, *, closes: bool) -> None:
        """Records that a response is complete."""
        self._cancel(self._order.finish(exchange, closes=closes))
        self._settle()

    def _settle(self) -> None:
        """Writes the responses whose turn it is, and starts what may start."""
        while self._order.requests:
            first = self._order.requests[0]
            first.transport.release()
            if not first.is_answered:
                break
            self._order.remove_first()
            self._release_head(first)
            if first.cycle is None:
                self.linger()
            elif first.closes:
                self.transport.close()
        self._update_reading()
        if self._order.requests:
            self._start_requests()
        else:
            self.parts.monitor.unwatch(self._order)
            if not self._order.accepts and self._linger_timer is None:
                self.transport.close()
            self.on_response_complete()
        self._parse_rest()

    def _cancel(
        self,
        exchanges: Iterable[_Exchange],
        except_cycle: httptools_impl.RequestResponseCycle | None = None,
    ) -> None:
        """Cancels requests that were dropped.

        Args:
            exchanges: The requests.
            except_cycle: The cycle of a request that is only counted, since
                the base class cancels it.
        """
        count = 0
        for exchange in exchanges:
            count += exchange.is_pipelined
            self._release_head(exchange)
            cycle = exchange.cycle
            if cycle is None or cycle is except_cycle:
                continue
            if cycle.response_complete:
                continue
            bounded_protocol.cancel(cycle)
        self.parts.monitor.note_cancelled(count)

    def _release_head(self, exchange: _Exchange) -> None:
        """Releases the head of a request that is answered or dropped."""
        if exchange.head is not None and exchange.head in self._heads:
            self._heads.remove(exchange.head)
            exchange.head.release()
        if exchange.cycle is not None and exchange.cycle.response_complete:
            self._forget(exchange.cycle)

    # Limits.

    def _update_reading(self) -> None:
        """Pauses or resumes reading by the limits of the connection."""
        is_paused = self._order.must_pause and self._may_parse()
        if is_paused == self._order.is_paused:
            return
        self._order.is_paused = is_paused
        self.flow.is_held = is_paused
        if is_paused:
            self.flow.pause_reading()
            caller = self.client[0] if self.client else ""
            self.parts.monitor.note_paused(self._order, caller)
            self._schedule_caller_check()
        elif not self.transport.is_closing():
            self.flow.resume_reading()

    def _schedule_caller_check(self) -> None:
        """Schedules a check whether the caller has left.

        The event loop notices the end of a connection only if it reads.
        """
        if self._caller_check is None:
            self._caller_check = self.loop.call_later(
                _CALLER_CHECK_INTERVAL_S, self._check_caller
            )

    def _check_caller(self) -> None:
        """Ends the connection if the caller has left."""
        self._caller_check = None
        if (
            not self._order.requests
            or not self.flow.read_paused
            or self.transport.is_closing()
        ):
            return
        if _has_left(self.transport):
            self.transport.abort()
        else:
            self._schedule_caller_check()


def make_protocol(parts: PipelineParts) -> type[CallerProtocol]:
    """Returns the protocol class for a listener of callers."""

    class BoundCallerProtocol(CallerProtocol):
        """A ``CallerProtocol`` with the parts of its listener."""

    BoundCallerProtocol.parts = parts
    return BoundCallerProtocol


def _state(cycle: httptools_impl.RequestResponseCycle) -> dict[str, Any]:
    """Returns the state that a request shares with the application."""
    return cycle.scope["state"]


def _has_left(transport: asyncio.Transport) -> bool:
    """Whether the peer of a connection has closed it."""
    peer = transport.get_extra_info("socket")
    if peer is None or not hasattr(socket, "TCP_INFO"):
        return False
    state = peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state in {_TCP_CLOSE, _TCP_CLOSE_WAIT}
