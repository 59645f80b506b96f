"""Selects a route by host and path, and a service of the route."""

from bridgecross_core import ids
from bridgecross_entry import model


class WeightedChoice:
    """Distributes requests by weight with smooth weighted round robin.

    Each pick returns the service that is furthest behind its share, so after
    any number of picks no service deviates by more than one request.
    """

    def __init__(self, shares: tuple[model.WeightedService, ...]) -> None:
        """Starts with equal credits for all services."""
        self._shares = [s for s in shares if s.weight > 0]
        self._total = sum(s.weight for s in self._shares)
        self._credits = [0.0] * len(self._shares)

    def pick(self) -> ids.ServiceName:
        """Returns the service of the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        for index, share in enumerate(self._shares):
            self._credits[index] += share.weight
        best = max(range(len(self._shares)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self._shares[best].service


class RouteTable:
    """The routes of one configuration, indexed by host."""

    def __init__(
        self,
        configuration: model.Configuration,
        previous: "RouteTable | None" = None,
    ) -> None:
        """Indexes the routes; unchanged weights keep their credits."""
        self.configuration = configuration
        self._by_host: dict[str, list[model.Route]] = {}
        self._choices: dict[tuple[model.WeightedService, ...], WeightedChoice]
        self._choices = {}
        kept = previous._choices if previous else {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
            self._choices[route.shares] = kept.get(
                route.shares
            ) or WeightedChoice(route.shares)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest matching path prefix."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def pick_service(self, route: model.Route) -> ids.ServiceName:
        """Returns the service for the next request of a route."""
        return self._choices[route.shares].pick()
