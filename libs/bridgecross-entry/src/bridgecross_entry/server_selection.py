"""Selects the servers that may serve a request, and the fastest of them."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Settings for how servers are compared."""

    # By how much the estimated cost of a server rises if a connection to it
    # must be opened first. Opening one takes 1 ms of a slot and has a price.
    # Among many servers, this makes each instance prefer a subset of its own.
    connect_penalty_ratio: float = 0.25
    # The same if requests to it go through another instance, which costs that
    # one as much as a request of its own.
    forward_penalty_ratio: float = 0.7


class ServerSelector:
    """Chooses among the servers that an instance knows."""

    def __init__(
        self,
        settings: SelectionSettings,
        instance: model.InstanceSettings,
        registry: server_registry.ServerRegistry,
        client: attempts.BackendClient,
        clock: clocks.Clock,
        is_straight: Callable[[ids.ServerId], bool] = lambda _: True,
    ) -> None:
        """Creates a selector, which is stateless.

        Args:
            settings: How servers are compared.
            instance: The settings of this instance.
            registry: The known servers and the observations of them.
            client: Knows which servers have open connections.
            clock: The time source.
            is_straight: Whether requests go straight to a server.
        """
        self._is_straight = is_straight
        self._settings = settings
        self._instance = instance
        self._registry = registry
        self._client = client
        self._clock = clock

    def is_allowed(self, route: model.Route, domain: str) -> bool:
        """Whether requests of a route may be served in a failure domain."""
        areas = route.allowed_areas
        return not areas or self._instance.area_of_domain.get(domain) in areas

    def list_usable(
        self, route: model.Route, service: ids.ServiceName
    ) -> list[servers_lib.Server]:
        """Returns the servers that a request without a key may be sent to.

        This includes cold servers, for which a permit is required.
        """
        now_s = self._clock.monotonic_s()
        return [
            server
            for server in self._registry.of_service(service)
            if self._registry.may_use_without_key(server, now_s)
            and self.is_allowed(route, server.listed.failure_domain)
        ]

    def exclude_backoffs(
        self, servers: Sequence[servers_lib.Server]
    ) -> list[servers_lib.Server]:
        """Returns the servers that have not asked for a backoff."""
        notices = self._registry.notices
        if not notices.any_wants_backoff:
            return list(servers)
        return [
            s for s in servers if not notices.wants_backoff(s.listed.server_id)
        ]

    def exclude_overloaded(
        self,
        servers: Sequence[servers_lib.Server],
        shed_by: ids.ServerId | None,
    ) -> list[servers_lib.Server]:
        """Returns the servers that have not just reported an overload.

        Args:
            servers: The usable servers.
            shed_by: The server that has just rejected the request, if any.
        """
        available = self.exclude_backoffs(servers)
        return [s for s in available if s.listed.server_id != shed_by]

    def ids_in_backoff(self, service: ids.ServiceName) -> set[ids.ServerId]:
        """Returns the servers of a service that asked for a backoff."""
        notices = self._registry.notices
        if not notices.any_wants_backoff:
            return set()
        servers = self._registry.of_service(service)
        known = [server.listed.server_id for server in servers]
        return set(filter(notices.wants_backoff, known))

    def backoff_left_s(self, servers: Sequence[servers_lib.Server]) -> float:
        """Returns the time until the first of the servers' backoffs is over."""
        backoff_left_s = self._registry.notices.backoff_left_s
        return min(
            (backoff_left_s(s.listed.server_id) for s in servers), default=0
        )

    def are_cold(self, servers: Sequence[servers_lib.Server]) -> bool:
        """Whether there is at least one server and all of them are cold."""
        return bool(servers) and all(map(self._registry.is_cold, servers))

    def warm_in_s(self, servers: Sequence[servers_lib.Server]) -> float:
        """Returns the time until the first of some cold servers is warm."""
        now_s = self._clock.monotonic_s()
        warm_s = min((s.cold_until_s for s in servers), default=now_s)
        return max(warm_s - now_s, 0.0)

    def choose(
        self,
        servers: Sequence[servers_lib.Server],
        tried: Container[ids.ServerId],
    ) -> servers_lib.Server | None:
        """Returns the server with the lowest cost; None if all are cold.

        Args:
            servers: The usable servers.
            tried: The servers that the request has been sent to.
        """
        now_s = self._clock.monotonic_s()
        warm = [s for s in servers if not self._registry.is_cold(s)]
        staying = [s for s in warm if self._registry.is_staying(s, now_s)]
        candidates = staying or warm
        ready = [s for s in candidates if s.paused_until_s <= now_s]
        candidates = ready or candidates
        untried = [s for s in candidates if s.listed.server_id not in tried]
        return min(
            untried or candidates,
            key=lambda s: self._cost_s(s, now_s),
            default=None,
        )

    def _cost_s(self, server: servers_lib.Server, now_s: float) -> float:
        """Returns the estimated cost of a request at a server, as a time."""
        cost_s = server.cost_s(self._instance.failure_domain, now_s)
        if not self._client.is_connected(server.listed):
            cost_s *= 1.0 + self._settings.connect_penalty_ratio
        if not self._is_straight(server.listed.server_id):
            cost_s *= 1.0 + self._settings.forward_penalty_ratio
        return cost_s
