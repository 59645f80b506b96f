"""Answers other instances and the command-line tool over gRPC."""

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
    """What an instance does when it is called."""

    async def forward(
        self, request: requests.WireRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request at the front of its key's owner."""

    async def inherit(
        self, request: peer_protocol.InheritRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request at the heir of its key's owner."""

    async def heartbeat(
        self, request: peer_protocol.Heartbeat
    ) -> peer_protocol.HeartbeatReply:
        """Takes the report of an instance."""

    async def await_release(
        self, request: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Waits until a server has let go of slices."""

    async def office(
        self, request: releases.FrontDrainedQuery
    ) -> releases.FrontDrainedReply:
        """Tells whether all is over that this one did as a front."""

    async def news(
        self, request: peer_protocol.NewsRequest
    ) -> peer_protocol.NewsReply:
        """Tells what the instance has read of the control stream."""

    async def ends(
        self, request: poison_requests.PoisonReport
    ) -> poison_requests.PoisonReport:
        """Takes in which requests servers ended under."""

    async def status(
        self, request: peer_protocol.StatusRequest
    ) -> peer_protocol.InstanceStatus:
        """Tells how the instance is."""

    async def owner(
        self, request: peer_protocol.OwnerRequest
    ) -> peer_protocol.OwnerReply:
        """Tells who owns a key and why."""

    async def drain(
        self, request: peer_protocol.DrainRequest
    ) -> peer_protocol.DrainReply:
        """Begins a planned stop."""

    async def timeline(
        self, request: peer_protocol.TimelineRequest
    ) -> peer_protocol.TimelineReply:
        """Tells the events that the instance remembers."""


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
                            self._handle(peer_protocol.OFFICE, service.office),
                            self._handle(peer_protocol.NEWS, service.news),
                            self._handle(peer_protocol.ENDS, service.ends),
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
        """Begins to answer."""
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Stops after calls in flight have ended, or after a grace."""
        await self._server.stop(grace_s)

    def _handle(
        self,
        method: peer_protocol.Method[Q, A],
        answer: Callable[[Q], Awaitable[A]],
    ) -> tuple[str, Any]:
        """Returns the gRPC handler of a method under its name."""

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
