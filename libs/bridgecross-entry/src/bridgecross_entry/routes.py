"""From host and path to a route, and from a route to a service."""

from bridgecross_core import ids
from bridgecross_entry import model


class WeightedChoice:
    """Divides requests by weight, evenly even over few of them.

    Each pick goes to the service that lies furthest behind its share, so
    after n picks no service is off by more than one.
    """

    def __init__(self, shares: tuple[model.WeightedService, ...]) -> None:
        """Starts with no service ahead of another."""
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
    """The routes of one configuration, ready for look-up."""

    def __init__(
        self,
        configuration: model.Configuration,
        previous: "RouteTable | None" = None,
    ) -> None:
        """Indexes the routes; unchanged weights go on where they stood."""
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
        """Returns the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def pick_service(self, route: model.Route) -> ids.ServiceName:
        """Returns the service for the next request of a route."""
        return self._choices[route.shares].pick()
