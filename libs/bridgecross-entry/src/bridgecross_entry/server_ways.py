"""The ways by which requests and lease orders reach backend servers.

What goes straight to a server goes there while this instance's link to it
works. Otherwise it is sent through another instance that reaches the server.
"""

from collections.abc import Container
import dataclasses
from typing import TypeGuard

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import forward_client
from bridgecross_entry import forwards
from bridgecross_entry import link_probes
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import relayed_requests
from bridgecross_entry import server_links

_NOT_VALID = forwards.Validity(
    peers.ReturnedStamp(peers.Stamp(0, 0.0), 0.0), 0.0, 0.0
)
"""The validity of an order that is not forwarded yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaySettings:
    """When a link is doubted."""

    # A server that is not heard for this long while it works on a request is
    # probed, unless its answers usually take longer.
    patience_s: float = 0.25
    # How many times its usual latency that is at least.
    patience_ratio: float = 3.0
    # The same while it is granted keys, which takes 2 ms: the probe is over
    # before the grant is, and a second grant goes another way.
    grant_patience_s: float = 0.1


def note_result(
    links: server_links.ServerLinks,
    server: model.BackendServer,
    result: attempts.Attempt | attempts.Withheld,
) -> None:
    """Records what the result of an attempt shows of a link."""
    if isinstance(result, attempts.NotSent):
        links.note_failed(server, result.reason, refused=result.refused)
    elif not isinstance(result, attempts.Interrupted | attempts.Withheld):
        links.note_heard(server)


class RequestWays:
    """Sends requests to servers."""

    def __init__(
        self,
        settings: WaySettings,
        client: attempts.BackendClient,
        links: server_links.ServerLinks,
        probes: link_probes.LinkProbes,
        forwarder: forward_client.ForwardClient | None = None,
        relays: relayed_requests.RelayedRequests | None = None,
    ) -> None:
        """Stores the ways.

        Args:
            settings: When links are doubted.
            client: Sends requests straight to servers.
            links: This instance's links to servers.
            probes: Finds out which links work.
            forwarder: Sends requests through other instances; without it, all
                go straight.
            relays: Sends requests through the relays of servers; if omitted,
                no server has relays.
        """
        self._settings = settings
        self._client = client
        self._links = links
        self._probes = probes
        self._forwarder = forwarder
        self._relays = relays

    def is_straight(self, server_id: ids.ServerId) -> bool:
        """Whether this instance's link to a server is used at present.

        Relays do not count: servers are preferred, and asked whether they are
        cold, as if all requests went straight. Without other instances there
        is no other way.
        """
        if self._forwarder is None or self._links.is_usable(server_id):
            return True
        return not self._forwarder.has_peers

    async def send(
        self,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        may_send: attempts.MaySend,
        latency_s: float = 0.0,
        terms: forwards.Terms | None = None,
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends one request; see ``attempts.BackendClient.send``.

        Args:
            server: The server.
            request: The request.
            remaining_ms: The time until the request's deadline.
            may_send: Whether it may still be sent to the server.
            latency_s: How long the server usually takes.
            terms: How it may be sent through another instance; if omitted, it
                may not.
        """
        started_s = self._probes.now_s()
        result: attempts.Attempt | attempts.Withheld
        if (
            self._relays is not None
            and terms is not None
            and self.is_straight(server.server_id)
        ):
            relayed = await self._relays.send(
                server, request, remaining_ms, may_send, terms
            )
            if relayed is not None:
                return relayed
            now_s = self._probes.now_s()
            remaining_ms -= (now_s - started_s) * 1_000
            started_s = now_s
        result = attempts.NotSent("the link to it is broken")
        if self.is_straight(server.server_id):
            patience_s = max(
                self._settings.patience_s,
                self._settings.patience_ratio * latency_s,
            )
            with self._probes.watch(server, patience_s, sends_requests=True):
                result = await self._client.send(
                    server, request, remaining_ms, may_send
                )
            note_result(self._links, server, result)
            if not isinstance(result, attempts.NotSent):
                return result
        elif self._links.is_probe_due(server.server_id):
            self._probes.begin(server)
        if self._forwarder is None or terms is None:
            return result
        if not self._forwarder.has_peers:
            return result
        remaining_ms -= (self._probes.now_s() - started_s) * 1_000
        return await self._forwarder.send_request(
            server, request, remaining_ms, may_send, terms
        )

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether a server's address refuses connections, not only to us."""
        if not await self._client.is_refusing(server):
            return False
        if self._forwarder is None:
            return True
        reason = "connection refused to a probe"
        self._links.note_failed(server, reason, refused=True)
        return await self._forwarder.is_refused_elsewhere(server)


class DirectOrders:
    """Sends lease orders straight to servers."""

    def __init__(
        self,
        client: attempts.LeaseClient,
        links: server_links.ServerLinks,
        probes: link_probes.LinkProbes,
        settings: WaySettings,
    ) -> None:
        """Stores the client.

        Args:
            client: Sends the orders.
            links: Is told what becomes of connections.
            probes: Finds out which links work.
            settings: When links are doubted.
        """
        self._client = client
        self._links = links
        self._probes = probes
        self._settings = settings

    async def order(
        self,
        server: model.BackendServer,
        order: forwards.ForwardedOrder,
        may_order: attempts.MaySend,
    ) -> attempts.GrantResult | attempts.ReleaseResult:
        """Sends an order, and records what it shows of the link."""
        result: attempts.GrantResult | attempts.ReleaseResult
        is_grant = order.kind is forwards.OrderKind.GRANT
        settings = self._settings
        patience_s = (
            settings.grant_patience_s if is_grant else settings.patience_s
        )
        with self._probes.watch(server, patience_s):
            if is_grant:
                result = await self._client.grant(
                    server,
                    order.first_key,
                    order.last_key,
                    order.token,
                    order.lease_ms,
                    order.handover,
                    may_order,
                )
            else:
                result = await self._client.release(
                    server,
                    order.first_key,
                    order.last_key,
                    order.token,
                    may_order,
                )
        if _shows_broken_link(result):
            is_refused = isinstance(result, attempts.Refused)
            self._links.note_failed(server, result.reason, refused=is_refused)
        elif not isinstance(result, attempts.NoReply | attempts.Withheld):
            self._links.note_heard(server)
        return result


def _shows_broken_link(
    result: attempts.GrantResult | attempts.ReleaseResult,
) -> TypeGuard[attempts.Refused | attempts.NotTaken]:
    """Whether an order was not sent for lack of a connection."""
    if isinstance(result, attempts.NotTaken):
        return not result.is_answer
    return isinstance(result, attempts.Refused)


class LeaseWays:
    """An ``attempts.LeaseClient`` with more than one way to servers."""

    def __init__(
        self,
        client: attempts.LeaseClient,
        direct: DirectOrders,
        links: server_links.ServerLinks,
        probes: link_probes.LinkProbes,
        forwarder: forward_client.ForwardClient,
    ) -> None:
        """Stores the ways.

        Args:
            client: Sends orders straight to servers.
            direct: The same, observed.
            links: This instance's links to servers.
            probes: Finds out which links work.
            forwarder: Sends orders through other instances.
        """
        self._client = client
        self._direct = direct
        self._links = links
        self._probes = probes
        self._forwarder = forwarder

    @property
    def on_notice(self) -> attempts.NoticeHandler:
        """Called for each answer; see ``attempts.LeaseClient``."""
        return self._client.on_notice

    @on_notice.setter
    def on_notice(self, handler: attempts.NoticeHandler) -> None:
        self._client.on_notice = handler

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Closes connections that are old or lead to unknown servers."""
        self._client.sweep(known)

    async def grant(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        lease_ms: float,
        handover: str,
        may_order: attempts.MaySend,
    ) -> attempts.GrantResult:
        """Grants or renews a range; see ``attempts.LeaseClient``."""
        order = forwards.ForwardedOrder(
            server.server_id,
            _NOT_VALID,
            forwards.OrderKind.GRANT,
            first_key,
            last_key,
            token,
            lease_ms,
            handover,
        )
        result = await self._order(server, order, may_order)
        assert not isinstance(result, attempts.Released)  # it was a grant
        return result

    async def release(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        may_order: attempts.MaySend,
    ) -> attempts.ReleaseResult:
        """Revokes a range; see ``attempts.LeaseClient``."""
        order = forwards.ForwardedOrder(
            server.server_id,
            _NOT_VALID,
            forwards.OrderKind.RELEASE,
            first_key,
            last_key,
            token,
        )
        result = await self._order(server, order, may_order)
        # It was a release.
        assert not isinstance(result, attempts.Granted | attempts.Outranked)
        return result

    async def _order(
        self,
        server: model.BackendServer,
        order: forwards.ForwardedOrder,
        may_order: attempts.MaySend,
    ) -> attempts.GrantResult | attempts.ReleaseResult:
        """Sends an order straight, or else through another instance."""
        begun_s = self._probes.now_s()
        is_alone = not self._forwarder.has_peers
        if is_alone or self._links.is_usable(server.server_id):
            result = await self._direct.order(server, order, may_order)
            if is_alone or not _shows_broken_link(result):
                return result
        elif self._links.is_probe_due(server.server_id):
            self._probes.begin(server)
        return await self._forwarder.send_order(
            server, order, begun_s, may_order
        )

    async def can_connect(self, server: model.BackendServer) -> bool:
        """Returns whether anybody can connect; sends no order."""
        if await self._client.can_connect(server):
            self._links.note_heard(server)
            return True
        # Whether it was refused is not known here, so it may have been.
        reason = "no connection for an order"
        self._links.note_failed(server, reason, refused=True)
        return await self._forwarder.is_reached_elsewhere(server)
