"""The requests that the servers of a service can process."""

import dataclasses

from bridgecross_core import ids
from bridgecross_entry import load_view
from bridgecross_entry import model
from bridgecross_entry import server_registry
from bridgecross_entry import warmups


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings for servers that can process less than they usually do."""

    # The share of a cold server's permitted request rate that its keys may
    # draw on average. Requests arrive at random, and those beyond the server's
    # permits are refused.
    cold_capacity_ratio: float = 0.5
    # The least capacity of a server that limits the requests to it; a server
    # with a limit of 0 is still compared with others.
    limit_min_per_s: float = 0.2


class ServerCapacities:
    """Determines the capacities of a service's servers."""

    def __init__(
        self,
        settings: CapacitySettings,
        bounds: model.Bounds,
        registry: server_registry.ServerRegistry,
        loads: load_view.LoadView,
    ) -> None:
        """Stores the sources of information.

        Args:
            settings: Settings for servers that can process less.
            bounds: The platform's limits for cold servers.
            registry: Knows which servers are cold or have limits.
            loads: Knows how long servers take for requests.
        """
        self._settings = settings
        self._bounds = bounds
        self._registry = registry
        self._loads = loads

    def of(
        self, eligible: list[model.BackendServer]
    ) -> dict[ids.ServerId, float]:
        """Returns the requests per second that each server can process.

        Cold servers without any capacity are left out, if there are others. A
        server cannot process more than it says that it takes: the excess would
        be refused, so its keys move to others.
        """
        capacities = {
            server_id: min(capacity, self._limit_per_s(server_id))
            for server_id, capacity in self._loads.capacities(eligible).items()
        }
        usable = {}
        for server_id, capacity in capacities.items():
            cold_capacity = self.cold_capacity_per_s(server_id)
            if cold_capacity is None:
                usable[server_id] = capacity
            elif cold_capacity > 0:
                usable[server_id] = min(capacity, cold_capacity)
        return usable or capacities

    def _limit_per_s(self, server_id: ids.ServerId) -> float:
        """Returns the request rate to which a server limits all instances."""
        limit_per_s = self._registry.notices.limits.limit_per_s(server_id)
        return max(limit_per_s, self._settings.limit_min_per_s)

    def cold_capacity_per_s(self, server_id: ids.ServerId) -> float | None:
        """Returns the load allowed on a cold server; None if it is warm."""
        server = self._registry.get(server_id)
        rate_per_s = self._registry.cold_rate_per_s(server) if server else None
        if rate_per_s is None:
            return None
        settings = warmups.WarmupSettings()
        issued = warmups.count_issued(settings, self._bounds, rate_per_s)
        return self._settings.cold_capacity_ratio * issued / settings.window_s
