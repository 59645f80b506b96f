"""The ASGI applications for callers, readiness, metrics and peers."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import dispatch
from bridgecross_entry import forward_server
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import limit_broadcast
from bridgecross_entry import listener
from bridgecross_entry import memory_gate
from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_reservation
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import peers
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_entry import poison_broadcast
from bridgecross_entry import quota_issuer as quota_issuers
from bridgecross_entry import quotas
from bridgecross_request import poison_requests

_BODY_MAX_BYTES = 64 * 1024 * 1024
"""The limit for request bodies until a configuration sets one."""

_FORWARD_MAX_BYTES = 2 * _BODY_MAX_BYTES
"""The limit for forwarded requests: a body and its headers."""

_PEER_BODY_MAX_BYTES = 8 * 1024 * 1024
"""The limit for messages of peers; the full state of 5,000 servers takes
0.3 MB."""


class BadRequest(NamedTuple):
    """A request that cannot be parsed."""

    reason: str


class CallerAnswer(NamedTuple):
    """An HTTP answer to a caller."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class CallerCodec(Protocol):
    """Decodes requests of callers and encodes the answers."""

    def read(
        self, scope: listener.Scope, body: bytes, received_s: float
    ) -> attempts.EntryRequest | BadRequest:
        """Returns the request of an ASGI scope."""

    def write(self, request_id: str, outcome: outcomes.Outcome) -> CallerAnswer:
        """Returns the answer that reports an outcome."""


class Edge:
    """Serves the requests of callers."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        codec: CallerCodec,
        journal: journals.Journal,
        clock: clocks.Clock,
        memory: memory_gate.MemoryGate | None = None,
    ) -> None:
        """Creates an application that is ready to serve.

        Args:
            dispatcher: Runs requests.
            codec: Decodes requests and encodes answers.
            journal: Logs requests that cannot be parsed.
            clock: The time source.
            memory: Admits bodies, if the memory of the process is limited.
        """
        # Whether answers ask callers to close their connections.
        self.draining = False
        # The number of requests that have arrived and are not yet answered.
        self.open_count = 0
        self._dispatcher = dispatcher
        self._codec = codec
        self._journal = journal
        self._clock = clock
        self._memory = memory

    async def serve(
        self,
        scope: listener.Scope,
        receive: listener.Receive,
        send: listener.Send,
    ) -> None:
        """Serves one request, as an ASGI application."""
        received_s = scope["state"].get(listener.RECEIVED_S)
        if received_s is None:
            received_s = self._clock.monotonic_s()
        self.open_count += 1
        try:
            if self._memory is not None:
                await self._serve_within_memory(
                    self._memory, scope, receive, send, received_s
                )
                return
            try:
                body = await listener.read_body(receive, self._max_body_bytes())
            except ValueError as error:
                await self._refuse(send, 413, str(error))
                return
            if body is not None:
                await self._serve_request(scope, body, received_s, send)
        finally:
            self.open_count -= 1

    def is_idempotent(self, scope: listener.Scope) -> bool:
        """Whether the route of a request allows it to run more than once.

        Without a configuration or a route, this is not known, so it is False.
        """
        table = self._dispatcher.routes
        request = self._codec.read(scope, b"", 0.0)
        if table is None or isinstance(request, BadRequest):
            return False
        route = table.find(request.host, request.path)
        return route is not None and route.idempotent

    async def _serve_within_memory(
        self,
        memory: memory_gate.MemoryGate,
        scope: listener.Scope,
        receive: listener.Receive,
        send: listener.Send,
        received_s: float,
    ) -> None:
        """Serves a request for whose body memory is reserved."""
        with memory.reserve_body() as reservation:
            try:
                body = await memory_gate.read_body(
                    scope, receive, self._max_body_bytes(), reservation
                )
            except ValueError as error:
                answer = self._reject(413, str(error))
            except memory_reservation.NoMemoryError as error:
                memory.note_refusal("body", str(error))
                answer = self._refuse_memory(scope, received_s, str(error))
            else:
                if body is not None:
                    await self._serve_request(scope, body, received_s, send)
                return
        # The body is not used any more, so its memory has been released.
        await listener.refuse_body(receive, send, *answer)

    def _refuse_memory(
        self, scope: listener.Scope, received_s: float, reason: str
    ) -> CallerAnswer:
        """Returns the refusal of a request that does not fit."""
        request = self._codec.read(scope, b"", received_s)
        if isinstance(request, BadRequest):
            return self._reject(400, request.reason)
        outcome = outcomes.NotRun(
            outcomes.NotRunProof.REFUSED_BY_ADMISSION,
            reason,
            retry_after_ms=memory_ledger.RETRY_AFTER_MS,
        )
        return self._codec.write(request.request_id, outcome)

    async def _serve_request(
        self,
        scope: listener.Scope,
        body: bytes,
        received_s: float,
        send: listener.Send,
    ) -> None:
        """Serves a request whose body has been received completely."""
        request = self._codec.read(scope, body, received_s)
        if isinstance(request, BadRequest):
            await self._refuse(send, 400, request.reason)
            return
        outcome: outcomes.Outcome | None = None
        with anyio.CancelScope() as cancel_scope:
            scope["state"][listener.ON_DISCONNECT] = cancel_scope.cancel
            outcome = await self._dispatcher.run(request)
        if outcome is None:
            return
        answer = self._codec.write(request.request_id, outcome)
        if self.draining and scope["state"].get(listener.MAY_CLOSE, _always)():
            answer.headers.append((b"connection", b"close"))
        if self._memory is None:
            await listener.respond(send, *answer)
            return
        with self._memory.count_answer(
            memory_ledger.Purpose.ANSWER, len(answer.body)
        ):
            await listener.respond(send, *answer)

    def _max_body_bytes(self) -> int:
        """Returns the largest body that a caller may send, in bytes."""
        table = self._dispatcher.routes
        if table is None:
            return _BODY_MAX_BYTES
        return table.configuration.limits.max_body_bytes

    async def _refuse(
        self, send: listener.Send, status: int, reason: str
    ) -> None:
        """Refuses an invalid request and closes the connection."""
        answer = self._reject(status, reason)
        answer.headers.append((b"connection", b"close"))
        await listener.respond(send, *answer)

    def _reject(self, status: int, reason: str) -> CallerAnswer:
        """Returns the answer to an invalid request."""
        self._journal.decision(
            "request_unreadable", status=status, reason=reason
        )
        headers = [(b"content-type", b"text/plain")]
        return CallerAnswer(status, headers, reason.encode())


def _always() -> bool:
    """Allows a response to close its connection; see ``MAY_CLOSE``."""
    return True


def make_readiness_app(is_ready: Callable[[], bool]) -> listener.App:
    """Returns an application that answers 200 while the instance is ready."""

    async def serve(
        scope: listener.Scope,
        receive: listener.Receive,
        send: listener.Send,
    ) -> None:
        del scope, receive  # All paths are answered alike.
        status = 200 if is_ready() else 503
        await listener.respond(send, status, [], b"")

    return serve


def make_metrics_app(
    metrics: metrics_lib.Metrics, refresh: Callable[[], None]
) -> listener.App:
    """Returns an application that serves the metrics."""

    async def serve(
        scope: listener.Scope,
        receive: listener.Receive,
        send: listener.Send,
    ) -> None:
        del scope, receive  # All paths are answered alike.
        refresh()
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await listener.respond(send, 200, headers, metrics.render())

    return serve


def make_peer_app(
    server: peers.PeerServer,
    issuer: permit_issuer.PermitIssuer,
    broadcaster: poison_broadcast.PoisonBroadcaster,
    quota_issuer: quota_issuers.QuotaIssuer,
    limit_broadcaster: limit_broadcast.LimitBroadcaster,
    forwarding: forward_server.ForwardServer,
    memory: memory_gate.MemoryGate | None = None,
) -> listener.App:
    """Returns an application that answers other instances.

    If ``memory`` is given, it admits the requests that instances forward. Their
    queries and lease orders are small and needed while memory is short, too.
    """

    async def serve(
        scope: listener.Scope,
        receive: listener.Receive,
        send: listener.Send,
    ) -> None:
        if memory is not None and scope["raw_path"] in forwards.REQUEST_PATHS:
            await _serve_forward_within_memory(
                memory, forwarding, scope, receive, send
            )
            return
        is_forward = scope["raw_path"] in forwards.PATHS
        max_bytes = _FORWARD_MAX_BYTES if is_forward else _PEER_BODY_MAX_BYTES
        try:
            body = await listener.read_body(receive, max_bytes)
        except ValueError:
            headers = _list_headers(is_rejected=is_forward)
            await listener.respond(send, 413, headers, b"")
            return
        if body is None:
            return
        if is_forward:
            await _serve_forward(forwarding, scope, body, send)
            return
        if scope["raw_path"] == permits.PATH:
            reply = await answer_permit(issuer, server, body)
        elif scope["raw_path"] == poison_broadcast.PATH:
            reply = await answer_poison_update(broadcaster, server, body)
        elif scope["raw_path"] == quotas.PATH:
            reply = answer_quota(quota_issuer, server, body)
        elif scope["raw_path"] == quotas.LIMITS_PATH:
            reply = answer_limits(limit_broadcaster, server, body)
        else:
            reply = server.answer(scope["raw_path"], body)
        await listener.respond(send, reply.status, [], reply.body)

    return serve


async def _serve_forward_within_memory(
    memory: memory_gate.MemoryGate,
    forwarding: forward_server.ForwardServer,
    scope: listener.Scope,
    receive: listener.Receive,
    send: listener.Send,
) -> None:
    """Serves a forwarded request for which memory is reserved."""
    with memory.reserve_forward() as reservation:
        try:
            body = await memory_gate.read_body(
                scope, receive, _FORWARD_MAX_BYTES, reservation
            )
        except ValueError:
            status = 413
        except memory_reservation.NoMemoryError as error:
            memory.note_refusal("forward", str(error))
            status = 503
        else:
            if body is not None:
                await _serve_forward(forwarding, scope, body, send, memory)
            return
    headers = _list_headers(is_rejected=True)
    await listener.refuse_body(receive, send, status, headers, b"")


async def _serve_forward(
    forwarding: forward_server.ForwardServer,
    scope: listener.Scope,
    body: bytes,
    send: listener.Send,
    memory: memory_gate.MemoryGate | None = None,
) -> None:
    """Serves a message of another instance until that disconnects."""
    reply: peers.PeerReply | None = None
    with anyio.CancelScope() as cancel_scope:
        scope["state"][listener.ON_DISCONNECT] = cancel_scope.cancel
        reply = await forwarding.answer(scope["raw_path"], body)
    if reply is None:
        return
    headers = _list_headers(is_rejected=reply.is_rejected)
    if memory is None:
        await listener.respond(send, reply.status, headers, reply.body)
        return
    with memory.count_answer(memory_ledger.Purpose.FORWARD, len(reply.body)):
        await listener.respond(send, reply.status, headers, reply.body)


def _list_headers(*, is_rejected: bool) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer to a forwarded message."""
    header = forwards.NOTHING_DONE
    return [(header.name, header.value)] if is_rejected else []


async def answer_poison_update(
    broadcaster: poison_broadcast.PoisonBroadcaster,
    server: peers.PeerServer,
    body: bytes,
) -> peers.PeerReply:
    """Answers an instance that reports servers that crashed on requests."""
    try:
        return peers.PeerReply(200, await broadcaster.answer(body))
    except (codec.CodecError, poison_requests.InvalidReportError) as error:
        return server.reject_unreadable(poison_broadcast.PATH, error)


async def answer_permit(
    issuer: permit_issuer.PermitIssuer, server: peers.PeerServer, body: bytes
) -> peers.PeerReply:
    """Answers an instance that requests or returns a permit."""
    try:
        message = permits.MESSAGES.decode(body)
    except codec.CodecError as error:
        return server.reject_unreadable(permits.PATH, error)
    if message.returned is not None:
        issuer.handle_return(message.returned)
    if message.request is None:
        return peers.PeerReply(200)
    reply = await issuer.handle_request(message.request)
    return peers.PeerReply(200, permits.REPLIES.encode(reply))


def answer_quota(
    issuer: quota_issuers.QuotaIssuer, server: peers.PeerServer, body: bytes
) -> peers.PeerReply:
    """Answers an instance that requests quotas."""
    try:
        request = quotas.REQUESTS.decode(body)
    except codec.CodecError as error:
        return server.reject_unreadable(quotas.PATH, error)
    return peers.PeerReply(200, quotas.REPLIES.encode(issuer.handle(request)))


def answer_limits(
    broadcaster: limit_broadcast.LimitBroadcaster,
    server: peers.PeerServer,
    body: bytes,
) -> peers.PeerReply:
    """Answers a leader that tells which limits it knows."""
    try:
        broadcaster.receive(body)
    except codec.CodecError as error:
        return server.reject_unreadable(quotas.LIMITS_PATH, error)
    return peers.PeerReply(200)
