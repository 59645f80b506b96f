"""Finds out whether servers are cold while the list of servers is stale."""

from collections.abc import Callable
import enum

from bridgecross_core import clock as clocks
from bridgecross_entry import attempts
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib


class WarmupState(enum.Enum):
    """What is known of a server's warm-up."""

    KNOWN = "known"
    """It is certain that it is cold, or that it is not."""

    WITHHELD = "withheld"
    """Nothing may be sent to it any more."""

    SILENT = "silent"
    """It was asked, and did not answer."""


class WarmupQueries:
    """Asks servers whether they have restarted and are cold.

    The list of servers says so, but a stale list may lack that a server has
    restarted under the same name.
    """

    def __init__(
        self,
        stale_age_s: float,
        registry: server_registry.ServerRegistry,
        client: attempts.BackendClient,
        clock: clocks.Clock,
    ) -> None:
        """Asks nothing yet.

        Args:
            stale_age_s: The age from which on the list of servers is stale.
            registry: The known servers.
            client: Asks servers.
            clock: The time source.
        """
        # Returns when the list of servers was last known to be current.
        self.list_as_of_s: Callable[[], float | None] = lambda: None
        self._stale_age_s = stale_age_s
        self._registry = registry
        self._client = client
        self._clock = clock

    async def check(
        self,
        server: servers_lib.Server,
        may_send: attempts.MaySend,
        request_id: str,
    ) -> WarmupState:
        """Finds out whether a server is cold, and records it.

        Args:
            server: The server.
            may_send: Whether anything may be sent to it.
            request_id: The id of the request that is to be sent next.
        """
        service = self._registry.service_of(server)
        as_of_s = self.list_as_of_s()
        if service is None or service.warmup_rate_per_s is None:
            return WarmupState.KNOWN
        if as_of_s is None or not service.health_path:
            return WarmupState.KNOWN
        if self._clock.monotonic_s() - as_of_s < self._stale_age_s:
            return WarmupState.KNOWN
        warmup_left_s = await self._client.query_warmup_left_s(
            server.listed, service.health_path, as_of_s, may_send, request_id
        )
        if warmup_left_s is None:
            return WarmupState.SILENT if may_send() else WarmupState.WITHHELD
        if warmup_left_s > 0:
            server.mark_cold(self._clock.monotonic_s() + warmup_left_s)
        return WarmupState.KNOWN
