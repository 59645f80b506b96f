"""Sends requests to servers through their relays."""

from collections.abc import Container

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import forward_client
from bridgecross_entry import forwards
from bridgecross_entry import model
from bridgecross_entry import relay_choice
from bridgecross_entry import relay_contacts

_SILENT = attempts.Interrupted(
    "the relay does not answer any more", blames_server=False
)


class RelayedRequests:
    """Sends requests through relays, and records which relays fail.

    Nothing is concluded about this instance's own links to servers.
    """

    def __init__(
        self,
        choice: relay_choice.RelayChoice,
        contacts: relay_contacts.RelayContacts,
        client: attempts.BackendClient,
        forwarder: forward_client.ForwardClient,
        clock: clocks.Clock,
    ) -> None:
        """Stores the parts.

        Args:
            choice: Decides which way requests go.
            contacts: Knows which relays answer.
            client: Knows to which servers there are idle connections.
            forwarder: Sends requests through other instances.
            clock: The time source.
        """
        self._choice = choice
        self._contacts = contacts
        self._client = client
        self._forwarder = forwarder
        self._clock = clock

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to check the relays that are in use."""
        self._contacts.start(tasks)

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Forgets servers that have ended."""
        self._choice.sweep(known)

    async def send(
        self,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        may_send: attempts.MaySend,
        terms: forwards.Terms,
    ) -> attempts.Attempt | attempts.Withheld | None:
        """Sends a request through a relay.

        Returns:
            Its result; None if it was not sent and has to go straight. If the
            exchange with the relay breaks, it counts as interrupted.
        """
        way = self._choice.choose(
            server,
            len(request.body),
            remaining_ms / 1_000,
            lambda: self._client.can_reuse_connection(server),
        )
        for relay in way.wanted:
            self._contacts.note_wanted(relay, is_ready=False)
        if way.relay is None:
            return None
        self._contacts.note_wanted(way.relay, is_ready=True)
        started_s = self._clock.monotonic_s()
        result: attempts.Attempt | attempts.Withheld | None = _SILENT
        with self._contacts.watch(way.relay):
            relayed = await self._forwarder.relay_request(
                way.relay, server, request, remaining_ms, may_send, terms
            )
            result = self._evaluate(way.relay, server, relayed)
            elapsed_s = self._clock.monotonic_s() - started_s
            if result is None:
                terms.on_hop(elapsed_s)
            elif relayed.served_s is not None:
                terms.on_hop(max(elapsed_s - relayed.served_s, 0.0))
        return result

    def _evaluate(
        self,
        relay: model.Address,
        server: model.BackendServer,
        relayed: forward_client.Relayed,
    ) -> attempts.Attempt | attempts.Withheld | None:
        """Records what a result shows about a relay.

        Returns:
            The result; None if the request was not sent.
        """
        attempt = relayed.attempt
        if isinstance(attempt, attempts.Withheld):
            return attempt
        unsent = isinstance(attempt, attempts.NotSent)
        if relayed.blamed is forwards.Blamed.RELAY:
            reason = getattr(attempt, "reason", "")
            self._choice.note_failed(relay, reason)
        elif relayed.blamed is forwards.Blamed.LINK:
            reason = getattr(attempt, "reason", "")
            self._choice.note_failed(relay, reason, server.server_id)
        elif not unsent:
            self._choice.note_served(relay, server.server_id)
        return None if unsent else attempt
