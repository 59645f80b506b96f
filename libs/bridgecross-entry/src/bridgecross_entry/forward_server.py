"""Sends to servers what other instances cannot send themselves.

Nothing is passed on a second time: what this instance does not reach either is
returned as not sent.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import random
import secrets
from typing import TypeVar

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import timeouts
from bridgecross_entry import attempts
from bridgecross_entry import crash_watch
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import link_probes
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import server_links
from bridgecross_entry import server_registry
from bridgecross_entry import server_ways
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmup_queries
from bridgecross_request import poison_requests

_NO_LINK = "the instance does not reach it either"

_FORBIDDEN = attempts.NotSent("what the instance knows forbids it")

_CLOCK_RATIO = 1.02
"""The clocks of two instances may differ by 2%."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardServerSettings:
    """Limits of what is sent for others."""

    # The number of other servers that are connected to, to find out whether
    # the links of this instance work; one of them may have ended too.
    witness_count: int = 2
    # The maximum number of relayed requests in progress for each core; senders
    # of others use another way. At up to 1 ms of a core for each, processing
    # more that arrive together would delay this instance's own requests
    # noticeably.
    relayed_per_core_count: int = 64
    # When a server that works on a relayed request is probed: as for requests
    # of this instance, see ``server_ways.WaySettings``. The sender does not use
    # its own link, so it cannot notice a silent one.
    patience_s: float = 0.25
    patience_ratio: float = 3.0


_Message = TypeVar("_Message")


class _RejectedError(Exception):
    """A message may not be acted upon."""


class _UnreadableError(Exception):
    """A message cannot be decoded, so nothing was done for it."""


def _decode(messages: codec.Codec[_Message], body: bytes) -> _Message:
    """Returns a decoded message.

    Raises:
        _UnreadableError: It cannot be decoded.
    """
    try:
        return messages.decode(body)
    except codec.CodecError as error:
        raise _UnreadableError(str(error)) from error


class ForwardServer:
    """Answers instances whose own links are broken, or for which it relays."""

    def __init__(
        self,
        settings: ForwardServerSettings,
        registry: server_registry.ServerRegistry,
        links: server_links.ServerLinks,
        probes: link_probes.LinkProbes,
        requests: attempts.BackendClient,
        orders: server_ways.DirectOrders,
        watch: crash_watch.CrashWatch,
        warmups: warmup_queries.WarmupQueries,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        cores: float = 1.0,
    ) -> None:
        """Answers nothing by itself.

        Args:
            settings: Limits.
            registry: The known servers.
            links: This instance's links to servers.
            probes: Connects to servers.
            requests: Sends requests straight to servers.
            orders: Sends lease orders straight to servers.
            watch: Is told which requests are at which servers.
            warmups: Asks servers whether they are cold.
            journal: Logs messages that cannot be read.
            metrics: Counts what is sent for others.
            clock: The time source.
            cores: The processor cores of this instance.
        """
        # Whether this instance stops, so that it takes nothing new.
        self.is_stopping = False
        # The number of messages that are not answered yet.
        self.open_count = 0
        self._relayed_count = 0
        self._relayed_max_count = max(
            1, math.floor(settings.relayed_per_core_count * cores)
        )
        self._settings = settings
        self._registry = registry
        self._links = links
        self._probes = probes
        self._requests = requests
        self._orders = orders
        self._watch = watch
        self._warmups = warmups
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._process_id = secrets.randbits(63)

    async def answer(self, path: bytes, body: bytes) -> peers.PeerReply:
        """Answers a message; cancelling this gives up what it asks for.

        Args:
            path: One of ``forwards.PATHS``.
            body: The encoded message.
        """
        handlers: dict[bytes, Callable[[bytes], Awaitable[bytes]]] = {
            forwards.REACH_PATH: self._answer_query,
            forwards.REQUEST_PATH: self._answer_request,
            forwards.RELAYED_PATH: self._answer_relayed,
            forwards.ORDER_PATH: self._answer_order,
        }
        self.open_count += 1
        try:
            return peers.PeerReply(200, await handlers[path](body))
        except _UnreadableError as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=path.decode(),
                reason=str(error),
            )
            return peers.PeerReply(400, is_rejected=True)
        finally:
            self.open_count -= 1

    def _stamp(self) -> peers.Stamp:
        """Returns the stamp of an answer."""
        return peers.Stamp(self._process_id, self._clock.monotonic_s())

    # Whether this instance reaches a server.

    async def _answer_query(self, body: bytes) -> bytes:
        """Answers whether this instance reaches a server."""
        query = _decode(forwards.QUERIES, body)
        reach = forwards.Reach.UNKNOWN
        if not self.is_stopping:
            reach = await self._find_reach(query)
        reply = forwards.ReachReply(reach, self._stamp())
        return forwards.REACH_REPLIES.encode(reply)

    async def _find_reach(self, query: forwards.ReachQuery) -> forwards.Reach:
        """Returns what this instance sees of a server."""
        server = self._registry.get(query.server_id)
        if server is None:
            return forwards.Reach.UNKNOWN
        if not query.is_fresh and self._links.is_heard(query.server_id):
            return forwards.Reach.REACHED
        unsent = await self._probes.probe(server.listed)
        if unsent is None:
            return forwards.Reach.REACHED
        if not await self._connects_to_another(server.listed):
            return forwards.Reach.UNKNOWN
        if unsent.refused:
            return forwards.Reach.REFUSED
        return forwards.Reach.UNREACHED

    async def _connects_to_another(self, server: model.BackendServer) -> bool:
        """Whether new connections to other servers come about.

        Otherwise the links of this instance may be broken. Connections that
        were open before prove nothing about new ones.
        """
        others = self._list_witnesses(server)
        if any(
            self._links.connected_since_failure(
                each.server_id, server.server_id
            )
            for each in others
        ):
            return True
        count = min(self._settings.witness_count, len(others))
        results: list[attempts.NotSent | None] = []

        async def probe(other: model.BackendServer) -> None:
            results.append(await self._probes.probe(other))

        async with anyio.create_task_group() as probes:
            for other in random.sample(others, count):
                probes.start_soon(probe, other)
        return None in results

    def _list_witnesses(
        self, server: model.BackendServer
    ) -> list[model.BackendServer]:
        """Returns other servers, of the same service if it has some."""
        for servers in (
            self._registry.of_service(server.service),
            self._registry.all(),
        ):
            others = [
                each.listed
                for each in servers
                if each.listed.address != server.address
            ]
            if others:
                return others
        return []

    def _reaches(self, server: model.BackendServer) -> bool:
        """Whether the link to a server seems to work; else probes it."""
        if self._links.is_usable(server.server_id):
            return True
        if self._links.is_probe_due(server.server_id):
            self._probes.begin(server)
        return False

    # Requests.

    async def _answer_request(self, body: bytes) -> bytes:
        """Sends a request to its server, and returns the encoded result."""
        forwarded = _decode(forwards.REQUESTS, body)
        received_s = self._clock.monotonic_s()
        result: attempts.Attempt | attempts.Withheld
        try:
            age_s = self._check_age(forwarded.validity, received_s)
        except _RejectedError as error:
            result = attempts.NotSent(str(error))
        else:
            result = await self._send_request(forwarded, received_s - age_s)
        self._count("for another", result)
        reply = forwards.pack_result(self._stamp(), result)
        return forwards.REQUEST_REPLIES.encode(
            self._add_notice(forwarded.server_id, reply)
        )

    async def _answer_relayed(self, body: bytes) -> bytes:
        """Sends a request as a relay of its server, if there is capacity."""
        forwarded = _decode(forwards.REQUESTS, body)
        received_s = self._clock.monotonic_s()
        result: attempts.Attempt | attempts.Withheld
        blamed = forwards.Blamed.NOTHING
        try:
            age_s = self._check_age(forwarded.validity, received_s)
            if self._relayed_count >= self._relayed_max_count:
                raise _RejectedError("the relay has no capacity")
        except _RejectedError as error:
            result = attempts.NotSent(str(error))
            blamed = forwards.Blamed.RELAY
        else:
            result = await self._relay(forwarded, received_s - age_s)
            if isinstance(result, attempts.NotSent) and result != _FORBIDDEN:
                blamed = forwards.Blamed.LINK
        self._count("relay for another", result)
        served_s = self._clock.monotonic_s() - received_s
        reply = forwards.pack_result(self._stamp(), result)
        reply = self._add_notice(forwarded.server_id, reply)
        return forwards.RELAYED_REPLIES.encode(
            forwards.RelayedReply(reply, blamed, served_s)
        )

    async def _relay(
        self, forwarded: forwards.ForwardedRequest, written_s: float
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends a request, and probes a server that stays silent."""
        self._relayed_count += 1
        try:
            server = self._registry.get(forwarded.server_id)
            if server is None:
                return await self._send_request(forwarded, written_s)
            patience_s = max(
                self._settings.patience_s,
                self._settings.patience_ratio * server.latency_s,
            )
            with self._probes.watch(
                server.listed, patience_s, sends_requests=True
            ):
                return await self._send_request(forwarded, written_s)
        finally:
            self._relayed_count -= 1

    def _count(
        self, kind: str, result: attempts.Attempt | attempts.Withheld
    ) -> None:
        """Counts a request that was sent for another instance."""
        name = type(result).__name__
        self._metrics.forwards.inc({"kind": kind, "result": name})

    def _check_age(
        self, validity: forwards.Validity, received_s: float
    ) -> float:
        """Returns the largest age that a message can have.

        Raises:
            _RejectedError: It may be too old, its age is not known, or this
                instance stops.
        """
        if self.is_stopping:
            raise _RejectedError("the instance is stopping")
        stamp = validity.returned.stamp
        if stamp.process_id != self._process_id:
            raise _RejectedError("the instance has restarted")
        elapsed_s = validity.returned.elapsed_s / _CLOCK_RATIO
        age_s = received_s - stamp.answered_s - elapsed_s
        if age_s >= validity.send_within_s:
            raise _RejectedError(f"the message came {age_s:.2f} s late")
        return max(age_s, 0.0)

    async def _send_request(
        self, forwarded: forwards.ForwardedRequest, written_s: float
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends a request to its server.

        Args:
            forwarded: The request.
            written_s: When it can have been written at the earliest.
        """
        server = self._registry.get(forwarded.server_id)
        if server is None:
            return attempts.NotSent("the instance does not know the server")
        if not self._reaches(server.listed):
            return attempts.NotSent(_NO_LINK)
        deadline_s = written_s + forwarded.validity.give_up_after_s
        content = forwarded.content
        fingerprint = poison_requests.compute_fingerprint(
            content.host, content.method, content.target, content.body
        )

        def may_send() -> bool:
            age_s = self._clock.monotonic_s() - written_s
            is_timely = age_s < forwarded.validity.send_within_s
            return is_timely and self._is_allowed(
                forwarded, server, fingerprint
            )

        state = await self._warmups.check(server, may_send, content.request_id)
        if state is not warmup_queries.WarmupState.KNOWN or not may_send():
            return _FORBIDDEN
        left_s = deadline_s - self._clock.monotonic_s()
        request = forwards.unpack(content, written_s, left_s * 1_000)
        return await self._exchange(server, request, fingerprint, may_send)

    async def _exchange(
        self,
        server: servers_lib.Server,
        request: attempts.EntryRequest,
        fingerprint: poison_requests.Fingerprint,
        may_send: attempts.MaySend,
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends a request that is allowed, until its time is over."""
        assert request.caller_timeout_ms is not None  # as it was forwarded
        sent = self._watch.begin(fingerprint, request.request_id, server.listed)
        result: attempts.Attempt | attempts.Withheld | None = None
        try:
            with timeouts.move_on_after(
                request.caller_timeout_ms / 1_000, self._clock
            ):
                result = await self._requests.send(
                    server.listed, request, request.caller_timeout_ms, may_send
                )
        finally:
            self._watch.end(sent, result)
        if result is None:
            return attempts.Interrupted("no answer in time")
        server_ways.note_result(self._links, server.listed, result)
        return result

    def _is_allowed(
        self,
        forwarded: forwards.ForwardedRequest,
        server: servers_lib.Server,
        fingerprint: poison_requests.Fingerprint,
    ) -> bool:
        """Whether nothing that this instance knows forbids a request."""
        server_id = forwarded.server_id
        now_s = self._clock.monotonic_s()
        notices = self._registry.notices
        if self._watch.ledger.refused_for_s(fingerprint):
            return False
        if notices.wants_backoff(server_id):
            return False
        if self._registry.is_cold(server) and not forwarded.covers_cold:
            return False
        if notices.limits.is_limited(server_id) and not forwarded.has_quota:
            return False
        if forwarded.is_keyed:
            return self._registry.may_use(server, now_s)
        return self._registry.may_use_without_key(server, now_s)

    def _add_notice(
        self, server_id: ids.ServerId, reply: forwards.RequestReply
    ) -> forwards.RequestReply:
        """Adds what a server told this instance about itself."""
        notices = self._registry.notices
        told = notices.limits.get(server_id)
        limit_per_s = told.limit_per_s if told else math.inf
        return reply._replace(
            is_leaving=notices.is_leaving(server_id),
            backoff_s=notices.backoff_left_s(server_id),
            limit_per_s=limit_per_s if math.isfinite(limit_per_s) else None,
        )

    # Lease orders.

    async def _answer_order(self, body: bytes) -> bytes:
        """Sends an order to its server, and returns the encoded result."""
        order = _decode(forwards.ORDERS, body)
        received_s = self._clock.monotonic_s()
        result: attempts.GrantResult | attempts.ReleaseResult
        try:
            age_s = self._check_age(order.validity, received_s)
        except _RejectedError as error:
            result = attempts.NotTaken(str(error))
        else:
            result = await self._send_order(order, received_s - age_s)
        name = type(result).__name__
        self._metrics.forwards.inc({"kind": "order", "result": name})
        reply = forwards.pack_order_result(self._stamp(), result)
        return forwards.ORDER_REPLIES.encode(reply)

    async def _send_order(
        self, order: forwards.ForwardedOrder, written_s: float
    ) -> attempts.GrantResult | attempts.ReleaseResult:
        """Sends an order to its server, until its time is over."""
        server = self._registry.get(order.server_id)
        if server is None:
            return attempts.NotTaken("the instance does not know the server")
        if not self._reaches(server.listed):
            return attempts.NotTaken(_NO_LINK)

        def may_order() -> bool:
            age_s = self._clock.monotonic_s() - written_s
            return age_s < order.validity.send_within_s

        left_s = written_s + order.validity.give_up_after_s
        left_s -= self._clock.monotonic_s()
        result: attempts.GrantResult | attempts.ReleaseResult
        result = attempts.NoReply("no answer in time")
        with anyio.move_on_after(max(left_s, 0.0)):
            result = await self._orders.order(server.listed, order, may_order)
        return result
