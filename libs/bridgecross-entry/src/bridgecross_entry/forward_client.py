"""Sends requests and lease orders to servers through other instances."""

from collections.abc import Callable
import dataclasses
from typing import NamedTuple
from typing import TypeVar

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_entry import attempts
from bridgecross_entry import exchange
from bridgecross_entry import forward_channels
from bridgecross_entry import forwards
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peer_reach
from bridgecross_entry import peers

_Reply = TypeVar("_Reply", forwards.RequestReply, forwards.OrderReply)
_AnyReply = TypeVar(
    "_AnyReply",
    forwards.RequestReply,
    forwards.OrderReply,
    forwards.RelayedReply,
)

_SHOW_NO_REACH = frozenset(
    {forwards.ResultKind.INTERRUPTED, forwards.OrderResultKind.NO_REPLY}
)
"""Results that do not show that the other instance reaches the server."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardSettings:
    """The limits of what is sent through another instance."""

    # A request is sent to the server within this time after the last check
    # here, or not at all; connecting takes up to 0.25 s.
    send_within_s: float = 0.25
    # The same until an order is given up, and how long after it was begun that
    # may be at the latest, however long it took to find another instance: its
    # server may hold keys for a lease from then on.
    order_within_s: float = 0.25
    order_timeout_s: float = 0.5
    # A release is answered once what runs on the keys has ended.
    release_within_s: float = 1.5
    # The number of instances that are tried for one request or order.
    tries_max_count: int = 3


class Relayed(NamedTuple):
    """What became of a request that was to go through a relay."""

    attempt: attempts.Attempt | attempts.Withheld
    # What later requests must avoid.
    blamed: forwards.Blamed = forwards.Blamed.NOTHING
    # The time from the receipt of the request at the relay to its result; None
    # if the relay did not reply.
    served_s: float | None = None


class ForwardClient:
    """Sends what this instance cannot send straight to a server."""

    def __init__(
        self,
        settings: ForwardSettings,
        reach: peer_reach.PeerReach,
        channels: forward_channels.ForwardChannels,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Sends nothing yet.

        Args:
            settings: Limits.
            reach: Finds instances that reach a server.
            channels: Connects to them.
            metrics: Counts what is sent.
            clock: The time source.
        """
        # Called with what servers report about themselves.
        self.on_notice: attempts.NoticeHandler = attempts.ignore_notice
        self._settings = settings
        self._reach = reach
        self._channels = channels
        self._metrics = metrics
        self._clock = clock

    @property
    def has_peers(self) -> bool:
        """Whether there are other instances."""
        return self._reach.has_peers

    async def is_refused_elsewhere(self, server: model.BackendServer) -> bool:
        """Whether others, which reach other servers, are refused by one too.

        Without other instances, what this one sees has to do.
        """
        if not self._reach.has_peers:
            return True
        return await self._reach.check(server) is forwards.Reach.REFUSED

    async def is_reached_elsewhere(self, server: model.BackendServer) -> bool:
        """Whether another instance can connect to a server right now."""
        return await self._reach.check(server) is forwards.Reach.REACHED

    async def send_request(
        self,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        may_send: attempts.MaySend,
        terms: forwards.Terms,
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends a request through an instance that reaches the server.

        ``NotSent`` says that it was refused only if others are refused too.
        """
        result = await self._send(
            server,
            forwards.REQUEST_PATH,
            self._make_encoder(server, request, remaining_ms, terms),
            forwards.REQUEST_REPLIES,
            may_send,
            terms.allowed_areas,
            terms.on_forwarded,
            lambda reply: (
                reply.kind is forwards.ResultKind.NOT_SENT
                or reply.kind is forwards.ResultKind.REFUSED
            ),
        )
        attempt = self._read_result(server, result)
        self._count("request", attempt)
        return attempt

    async def relay_request(
        self,
        relay: model.Address,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        may_send: attempts.MaySend,
        terms: forwards.Terms,
    ) -> Relayed:
        """Sends a request through a given instance, and no other one.

        A relay normally reaches the server, so it is not asked first, and
        nothing is recorded about which instances reach the server.
        """
        returned = self._channels.return_stamp(relay)
        if returned is None:
            return Relayed(attempts.NotSent("the relay's clock is not known"))
        encode = self._make_encoder(server, request, remaining_ms, terms)
        self._reach.note_use(relay, 1)
        try:
            result = await self._post(
                relay,
                forwards.RELAYED_PATH,
                encode(returned),
                forwards.RELAYED_REPLIES,
                may_send,
            )
        finally:
            self._reach.note_use(relay, -1)
        relayed = self._read_relayed(relay, server, result)
        self._count("relay", relayed.attempt)
        return relayed

    def _read_relayed(
        self,
        relay: model.Address,
        server: model.BackendServer,
        result: forwards.RelayedReply | exchange.Unsent | exchange.Broken,
    ) -> Relayed:
        """Returns the result of an exchange with a relay."""
        if isinstance(result, forwards.RelayedReply):
            attempt = self._read_result(server, result.reply)
            return Relayed(attempt, result.blamed, result.served_s)
        # A relay that refuses connections says nothing about the server.
        reason = f"relay {relay}: {result.reason}"
        if isinstance(result, exchange.Broken):
            attempt = attempts.Interrupted(reason, blames_server=False)
        elif result.is_withheld:
            return Relayed(attempts.Withheld())
        else:
            attempt = attempts.NotSent(reason)
        return Relayed(attempt, forwards.Blamed.RELAY)

    def _make_encoder(
        self,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        terms: forwards.Terms,
    ) -> Callable[[peers.ReturnedStamp], bytes]:
        """Returns a function that encodes a request for another instance."""
        content = forwards.pack(request)
        deadline_s = self._clock.monotonic_s() + remaining_ms / 1_000

        def encode(returned: peers.ReturnedStamp) -> bytes:
            now_s = self._clock.monotonic_s()
            left_s = max(deadline_s - now_s, 0.0)
            within_s = min(
                self._settings.send_within_s,
                terms.valid_until_s - now_s,
                left_s,
            )
            return forwards.REQUESTS.encode(
                forwards.ForwardedRequest(
                    server.server_id,
                    forwards.Validity(returned, within_s, left_s),
                    content,
                    terms.is_keyed,
                    terms.has_quota,
                    terms.covers_cold,
                )
            )

        return encode

    def _read_result(
        self,
        server: model.BackendServer,
        result: forwards.RequestReply | exchange.Unsent | exchange.Broken,
    ) -> attempts.Attempt | attempts.Withheld:
        """Returns the result of a request, and reports the server's notice."""
        match result:
            case forwards.RequestReply():
                self._report_notice(server, result)
                return forwards.unpack_result(result)
            case exchange.Broken():
                # The other instance is lost, which says nothing of the server.
                return attempts.Interrupted(result.reason, blames_server=False)
            case exchange.Unsent(is_withheld=True):
                return attempts.Withheld()
            case _:
                return attempts.NotSent(result.reason, result.refused)

    def _count(
        self, kind: str, result: attempts.Attempt | attempts.Withheld
    ) -> None:
        """Counts a request that was sent through another instance."""
        name = type(result).__name__
        self._metrics.forwards.inc({"kind": kind, "result": name})

    async def send_order(
        self,
        server: model.BackendServer,
        order: forwards.ForwardedOrder,
        begun_s: float,
        may_order: attempts.MaySend,
    ) -> forwards.OrderResult | attempts.Withheld:
        """Sends a lease order through an instance that reaches the server.

        Args:
            server: The server.
            order: The order; its validity is set here.
            begun_s: When the first attempt to give it began.
            may_order: Whether it may be given.
        """
        is_grant = order.kind is forwards.OrderKind.GRANT
        settings = self._settings

        def encode(returned: peers.ReturnedStamp) -> bytes:
            elapsed_s = self._clock.monotonic_s() - begun_s
            within_s = min(
                settings.order_within_s, settings.order_timeout_s - elapsed_s
            )
            limit_s = within_s if is_grant else settings.release_within_s
            validity = forwards.Validity(returned, within_s, limit_s)
            return forwards.ORDERS.encode(order._replace(validity=validity))

        result = await self._send(
            server,
            forwards.ORDER_PATH,
            encode,
            forwards.ORDER_REPLIES,
            may_order,
            frozenset(),
            lambda _: None,
            lambda reply: (
                reply.kind is forwards.OrderResultKind.REFUSED
                or reply.kind is forwards.OrderResultKind.NOT_TAKEN
            ),
        )
        match result:
            case forwards.OrderReply():
                taken: forwards.OrderResult | attempts.Withheld = (
                    forwards.unpack_order_result(result)
                )
            case exchange.Broken():
                taken = attempts.NoReply(result.reason)
            case exchange.Unsent(is_withheld=True):
                taken = attempts.Withheld()
            case exchange.Unsent(refused=True):
                taken = attempts.Refused(result.reason)
            case _:
                taken = attempts.NotTaken(result.reason)
        name = type(taken).__name__
        self._metrics.forwards.inc({"kind": order.kind.value, "result": name})
        return taken

    async def _send(
        self,
        server: model.BackendServer,
        path: bytes,
        encode: Callable[[peers.ReturnedStamp], bytes],
        replies: codec.Codec[_Reply],
        may_send: attempts.MaySend,
        areas: frozenset[str],
        on_forwarded: Callable[[model.Address], None],
        is_unsent: Callable[[_Reply], bool],
    ) -> _Reply | exchange.Unsent | exchange.Broken:
        """Tries instances until one has sent something to the server."""
        tried: set[model.Address] = set()
        unsent = exchange.Unsent("no instance reaches it", refused=False)
        for _ in range(self._settings.tries_max_count):
            address = self._reach.choose(server.server_id, areas, tried)
            if address is None:
                reach = await self._reach.find(server, areas)
                address = self._reach.choose(server.server_id, areas, tried)
                if address is None:
                    return exchange.Unsent(
                        f"{unsent.reason}; others: {reach.value}",
                        refused=reach is forwards.Reach.REFUSED,
                    )
            tried.add(address)
            returned = self._channels.return_stamp(address)
            if returned is None:
                self._note_unreached(server, address)
                continue
            on_forwarded(address)
            result = await self._exchange(
                address, path, encode(returned), replies, may_send
            )
            result = self._evaluate(server, address, result, is_unsent)
            if not isinstance(result, exchange.Unsent) or result.is_withheld:
                return result
            unsent = result
        return unsent

    def _evaluate(
        self,
        server: model.BackendServer,
        address: model.Address,
        result: _Reply | exchange.Unsent | exchange.Broken,
        is_unsent: Callable[[_Reply], bool],
    ) -> _Reply | exchange.Unsent | exchange.Broken:
        """Records what a result shows of an instance.

        Returns:
            The result, or ``Unsent`` if another instance may be tried.
        """
        if isinstance(result, exchange.Broken):
            self._reach.note_silent(address)
            return result
        if isinstance(result, exchange.Unsent):
            if not result.is_withheld:
                self._reach.note_silent(address)
            return result._replace(refused=False)
        if is_unsent(result):
            self._note_unreached(server, address)
            return exchange.Unsent(f"{address}: {result.text}", refused=False)
        if result.kind in _SHOW_NO_REACH:
            self._note_unreached(server, address)
        else:
            self._reach.note_reach(
                server, address, forwards.Reach.REACHED, is_proven=True
            )
        return result

    def _note_unreached(
        self, server: model.BackendServer, address: model.Address
    ) -> None:
        """Records that an instance does not seem to reach a server."""
        self._reach.note_reach(
            server, address, forwards.Reach.UNKNOWN, is_proven=False
        )

    async def _exchange(
        self,
        address: model.Address,
        path: bytes,
        body: bytes,
        replies: codec.Codec[_Reply],
        may_send: attempts.MaySend,
    ) -> _Reply | exchange.Unsent | exchange.Broken:
        """Sends a message to one instance, and returns its answer."""
        started_s = self._clock.monotonic_s()
        self._reach.note_use(address, 1)
        try:
            return await self._post(address, path, body, replies, may_send)
        except BaseException:
            # The caller has left, or the time is over.
            self._reach.note_unanswered(address, started_s)
            raise
        finally:
            self._reach.note_use(address, -1)

    async def _post(
        self,
        address: model.Address,
        path: bytes,
        body: bytes,
        replies: codec.Codec[_AnyReply],
        may_send: attempts.MaySend,
    ) -> _AnyReply | exchange.Unsent | exchange.Broken:
        """Posts a message, decodes its answer, and keeps the stamp."""
        answer = await self._channels.post(address, path, body, may_send)
        if not isinstance(answer, bytes):
            return answer
        try:
            reply = replies.decode(answer)
        except codec.CodecError as error:
            return exchange.Broken(f"the answer cannot be read: {error}")
        self._channels.note_stamp(address, reply.stamp)
        return reply

    def _report_notice(
        self, server: model.BackendServer, reply: forwards.RequestReply
    ) -> None:
        """Reports what the server said to the instance in between."""
        self.on_notice(
            server,
            attempts.Notice(
                reply.is_leaving,
                reply.backoff_s,
                limit_per_s=reply.limit_per_s,
            ),
        )
