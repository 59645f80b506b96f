"""Calls other instances over gRPC."""

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

import grpc
import grpc.aio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_ownership import cell as cells
from bridgecross_ownership import releases
from bridgecross_request import requests

Q = TypeVar("Q")
A = TypeVar("A")

_CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", -1),
    ("grpc.max_send_message_length", -1),
    ("grpc.enable_http_proxy", 0),
]
_RELEASE_TIMEOUT_S = 1.5
_NEVER_SENT_DETAIL = "failed to connect"


class PeerAddresses(Protocol):
    """Looks up the peer addresses of instances."""

    def find_peer_address(self, instance: ids.InstanceId) -> str | None:
        """Returns an instance's peer address, or None if unknown."""


class PeerClient:
    """Calls instances by address, with one channel each."""

    def __init__(self, clock: hybrid_clock.HybridClock) -> None:
        """Starts without channels."""
        self._clock = clock
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def call(
        self,
        address: str,
        method: peer_protocol.Method[Q, A],
        request: Q,
        timeout_s: float,
    ) -> A:
        """Calls a method of an instance.

        Raises:
            peer_protocol.PeerUnreachableError: There was no valid reply.
        """
        channel = self._find_channel(address)
        callable_method: Any = channel.unary_unary(method.path)
        data = method.encode_request(self._clock, request)
        try:
            reply = await callable_method(data, timeout=timeout_s)
            return method.decode_reply(self._clock, reply)
        except grpc.aio.AioRpcError as error:
            details = error.details() or ""
            raise peer_protocol.PeerUnreachableError(
                f"{error.code().name}: {details}",
                never_sent=_NEVER_SENT_DETAIL in details,
            ) from error
        except codec.CodecError as error:
            raise peer_protocol.PeerUnreachableError(
                f"damaged reply: {error}", never_sent=False
            ) from error

    async def aclose(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()

    def _find_channel(self, address: str) -> grpc.aio.Channel:
        """Returns the channel to an address, creating it on first use."""
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
        return self._channels[address]


class PeerForwarder:
    """Forwards the requests of one service to other instances."""

    def __init__(
        self,
        client: ports.PeerCaller,
        addresses: PeerAddresses,
        cell: cells.Cell,
        clock: clocks.Clock,
    ) -> None:
        """Creates a forwarder for the service of the cell."""
        self._client = client
        self._addresses = addresses
        self._cell = cell
        self._clock = clock

    async def forward(
        self, instance: ids.InstanceId, request: requests.Request
    ) -> outcomes.Outcome:
        """Forwards a request to a queue owner; see ``routing.Forwarder``."""
        return await self._call(
            instance, request, peer_protocol.FORWARD, lambda wire: wire
        )

    async def forward_to_backup(
        self,
        instance: ids.InstanceId,
        request: requests.Request,
        takeover: releases.Takeover,
    ) -> outcomes.Outcome:
        """Forwards a request to the queue owner of a backup.

        See ``runner.BackupForwarder``.
        """
        return await self._call(
            instance,
            request,
            peer_protocol.INHERIT,
            lambda wire: peer_protocol.InheritRequest(wire, takeover),
        )

    async def _call(
        self,
        instance: ids.InstanceId,
        request: requests.Request,
        method: peer_protocol.Method[Q, peer_protocol.WireOutcome],
        wrap: Callable[[requests.WireRequest], Q],
    ) -> outcomes.Outcome:
        """Sends a request to another instance and waits for its outcome."""
        address = self._addresses.find_peer_address(instance)
        if address is None:
            return outcomes.NotRun(
                outcomes.NotRunProof.REFUSED_BY_ADMISSION,
                f"the address of {instance} is not known",
                reroute=True,
            )
        now_s = self._clock.monotonic_s()
        wire = requests.to_wire(request, now_s, self._cell.head)
        try:
            reply = await self._client.call(
                address, method, wrap(wire), request.deadline_s - now_s
            )
        except peer_protocol.PeerUnreachableError as error:
            return _describe_failure(instance, error)
        return peer_protocol.outcome_from_wire(reply)


class PeerReleaseSource:
    """Asks other instances what their servers have released."""

    def __init__(
        self, client: ports.PeerCaller, addresses: PeerAddresses
    ) -> None:
        """Initializes the source with a client and the peers' addresses."""
        self._client = client
        self._addresses = addresses

    async def await_release(
        self, queue_owner: ids.InstanceId, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Asks what was released; see ``releases.ReleaseSource``."""
        address = self._addresses.find_peer_address(queue_owner)
        if address is None:
            return releases.ReleaseReply([])
        try:
            return await self._client.call(
                address, peer_protocol.AWAIT_RELEASE, query, _RELEASE_TIMEOUT_S
            )
        except peer_protocol.PeerUnreachableError:
            return releases.ReleaseReply([])

    async def is_queue_owner_drained(
        self,
        queue_owner: ids.InstanceId,
        query: releases.QueueOwnerDrainedQuery,
    ) -> bool:
        """Asks if an instance has drained; see ``releases.ReleaseSource``."""
        address = self._addresses.find_peer_address(queue_owner)
        if address is None:
            return False
        try:
            reply = await self._client.call(
                address,
                peer_protocol.QUEUE_OWNER_DRAINED,
                query,
                _RELEASE_TIMEOUT_S,
            )
        except peer_protocol.PeerUnreachableError:
            return False
        return reply.instance == queue_owner and reply.is_drained


def _describe_failure(
    instance: ids.InstanceId, error: peer_protocol.PeerUnreachableError
) -> outcomes.Outcome:
    """Returns the outcome of a request whose queue owner did not reply."""
    reason = f"the front {instance} did not answer: {error.reason}"
    if error.never_sent:
        return outcomes.NotRun(
            outcomes.NotRunProof.REFUSED_BY_ADMISSION, reason, reroute=True
        )
    return outcomes.Unknown(reason)
