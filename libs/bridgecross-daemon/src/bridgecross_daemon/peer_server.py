"""The gRPC server for other instances and the command-line tool."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

import grpc
import grpc.aio

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_daemon import peer_protocol
from bridgecross_ownership import releases
from bridgecross_request import poison_requests
from bridgecross_request import requests

Q = TypeVar("Q")
A = TypeVar("A")

_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", -1),
    ("grpc.max_send_message_length", -1),
    ("grpc.so_reuseport", 0),
]


class PeerService(Protocol):
    """Implements the methods of the gRPC service."""

    async def forward(
        self, request: requests.WireRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request if this instance is its server's queue owner."""

    async def inherit(
        self, request: peer_protocol.InheritRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request at the backup of the key's lost owner."""

    async def heartbeat(
        self, request: peer_protocol.Heartbeat
    ) -> peer_protocol.HeartbeatReply:
        """Processes the reports of an instance."""

    async def await_release(
        self, request: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Waits until a server has released slices."""

    async def answer_queue_owner_drained(
        self, request: releases.QueueOwnerDrainedQuery
    ) -> releases.QueueOwnerDrainedReply:
        """Returns whether this instance has drained as a queue owner."""

    async def news(
        self, request: peer_protocol.NewsRequest
    ) -> peer_protocol.NewsReply:
        """Returns records of the control stream that were read here."""

    async def exchange_poison_reports(
        self, request: poison_requests.PoisonReport
    ) -> poison_requests.PoisonReport:
        """Merges a report on requests under which servers ended."""

    async def status(
        self, request: peer_protocol.StatusRequest
    ) -> peer_protocol.InstanceStatus:
        """Returns the status of the instance."""

    async def owner(
        self, request: peer_protocol.OwnerRequest
    ) -> peer_protocol.OwnerReply:
        """Returns the owner of a key, with the log records behind it."""

    async def drain(
        self, request: peer_protocol.DrainRequest
    ) -> peer_protocol.DrainReply:
        """Starts a planned shutdown."""

    async def timeline(
        self, request: peer_protocol.TimelineRequest
    ) -> peer_protocol.TimelineReply:
        """Returns the events that the instance has recorded."""


class PeerServer:
    """The gRPC server of an instance."""

    def __init__(
        self,
        address: str,
        service: PeerService,
        clock: hybrid_clock.HybridClock,
    ) -> None:
        """Binds the address.

        Raises:
            RuntimeError: The address is in use.
        """
        self._clock = clock
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    peer_protocol.SERVICE_NAME,
                    dict(
                        [
                            self._handle(
                                peer_protocol.FORWARD, service.forward
                            ),
                            self._handle(
                                peer_protocol.INHERIT, service.inherit
                            ),
                            self._handle(
                                peer_protocol.HEARTBEAT, service.heartbeat
                            ),
                            self._handle(
                                peer_protocol.AWAIT_RELEASE,
                                service.await_release,
                            ),
                            self._handle(
                                peer_protocol.QUEUE_OWNER_DRAINED,
                                service.answer_queue_owner_drained,
                            ),
                            self._handle(peer_protocol.NEWS, service.news),
                            self._handle(
                                peer_protocol.POISON_REPORT,
                                service.exchange_poison_reports,
                            ),
                            self._handle(peer_protocol.STATUS, service.status),
                            self._handle(peer_protocol.OWNER, service.owner),
                            self._handle(peer_protocol.DRAIN, service.drain),
                            self._handle(
                                peer_protocol.TIMELINE, service.timeline
                            ),
                        ]
                    ),
                ),
            )
        )
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Starts to accept calls."""
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Stops once calls in flight have ended or the grace is over."""
        await self._server.stop(grace_s)

    def _handle(
        self,
        method: peer_protocol.Method[Q, A],
        answer: Callable[[Q], Awaitable[A]],
    ) -> tuple[str, Any]:
        """Returns a method's name and its gRPC handler."""

        async def handle(
            data: bytes, context: grpc.aio.ServicerContext
        ) -> bytes:
            try:
                request = method.decode_request(self._clock, data)
            except codec.CodecError as error:
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, str(error)
                )
                raise
            reply = await answer(request)
            return method.encode_reply(self._clock, reply)

        return method.name, grpc.unary_unary_rpc_method_handler(handle)
