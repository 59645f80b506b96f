"""Which servers may serve a request, and which of them would do so soonest."""

from collections.abc import Container
from collections.abc import Sequence
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionSettings:
    """How servers are weighed against each other."""

    # The share by which a server looks slower that a connection must first be
    # made to. It costs 1 ms of a slot and a price; among many servers each
    # instance so keeps to some, and others to others.
    connect_penalty_ratio: float = 0.25


class ServerSelector:
    """Chooses among the servers that an instance knows."""

    def __init__(
        self,
        settings: SelectionSettings,
        instance: model.InstanceSettings,
        book: servers_lib.ServerRegistry,
        client: attempts.BackendClient,
        clock: clocks.Clock,
    ) -> None:
        """Keeps nothing of its own.

        Args:
            settings: How servers are weighed.
            instance: This instance.
            book: The servers, and what was seen of them.
            client: Knows which of them are connected.
            clock: For what is over.
        """
        self._settings = settings
        self._instance = instance
        self._book = book
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

        Cold ones are among them, which only a permit leads to.
        """
        now_s = self._clock.monotonic_s()
        return [
            server
            for server in self._book.of_service(service)
            if self._book.may_use_without_key(server, now_s)
            and self.is_allowed(route, server.listed.failure_domain)
        ]

    def list_awake(
        self, servers: Sequence[servers_lib.Server]
    ) -> list[servers_lib.Server]:
        """Returns those servers that do not want to be left alone."""
        notices = self._book.notices
        if not notices.any_wants_backoff:
            return list(servers)
        return [
            s for s in servers if not notices.wants_backoff(s.listed.server_id)
        ]

    def list_with_room(
        self,
        servers: Sequence[servers_lib.Server],
        shed_by: ids.ServerId | None,
    ) -> list[servers_lib.Server]:
        """Returns those servers that did not just say that they have no room.

        Args:
            servers: Those that may be used.
            shed_by: Which one has just turned the request away.
        """
        awake = self.list_awake(servers)
        return [s for s in awake if s.listed.server_id != shed_by]

    def resting_ids(self, service: ids.ServiceName) -> set[ids.ServerId]:
        """Returns which servers of a service want to be left alone."""
        notices = self._book.notices
        if not notices.any_wants_backoff:
            return set()
        servers = self._book.of_service(service)
        known = [server.listed.server_id for server in servers]
        return set(filter(notices.wants_backoff, known))

    def backoff_left_s(self, servers: Sequence[servers_lib.Server]) -> float:
        """Returns how long until the first of some servers has rested."""
        backoff_left_s = self._book.notices.backoff_left_s
        return min(
            (backoff_left_s(s.listed.server_id) for s in servers), default=0
        )

    def are_cold(self, servers: Sequence[servers_lib.Server]) -> bool:
        """Whether there are servers, all of them cold."""
        return bool(servers) and all(map(self._book.is_cold, servers))

    def warm_in_s(self, servers: Sequence[servers_lib.Server]) -> float:
        """Returns how long until the first of some cold servers is warm."""
        now_s = self._clock.monotonic_s()
        warm_s = min((s.cold_until_s for s in servers), default=now_s)
        return max(warm_s - now_s, 0.0)

    def choose(
        self,
        servers: Sequence[servers_lib.Server],
        tried: Container[ids.ServerId],
    ) -> servers_lib.Server | None:
        """Returns the server that would answer soonest; None if all are cold.

        Args:
            servers: Those that may be used.
            tried: Those that the request was sent to before.
        """
        now_s = self._clock.monotonic_s()
        warm = [s for s in servers if not self._book.is_cold(s)]
        staying = [s for s in warm if self._book.is_staying(s, now_s)]
        pool = staying or warm
        ready = [s for s in pool if s.paused_until_s <= now_s]
        pool = ready or pool
        fresh = [s for s in pool if s.listed.server_id not in tried]
        return min(
            fresh or pool, key=lambda s: self._cost_s(s, now_s), default=None
        )

    def _cost_s(self, server: servers_lib.Server, now_s: float) -> float:
        """Returns how dear a request at a server would be, as a time."""
        cost_s = server.cost_s(self._instance.failure_domain, now_s)
        if not self._client.is_connected(server.listed):
            cost_s *= 1.0 + self._settings.connect_penalty_ratio
        return cost_s
