"""The connections to servers that an instance keeps for further requests."""

from bridgecross_emulator import servers
from bridgecross_entry import exchange
from bridgecross_entry import model


class KeptConnections:
    """The idle connections of one instance to servers.

    Each carries one request at a time. Opening one takes no time here; the
    fleet counts how many each instance opens.
    """

    def __init__(self, fleet: servers.Fleet, sender: model.Address) -> None:
        """Starts without connections."""
        self._fleet = fleet
        self._sender = sender
        self._limit_s = exchange.ConnectionSettings().idle_timeout_s
        # Since when each is idle, by the run of the server that it leads to.
        self._idle_since_s: dict[tuple[model.Address, int], list[float]] = {}

    def can_reuse(self, server: servers.EmulatedServer) -> bool:
        """Whether the next request needs no new connection."""
        return server.is_up and bool(self._list_fresh(server))

    def take(self, server: servers.EmulatedServer) -> None:
        """Uses an idle connection, or opens one."""
        fresh = self._list_fresh(server)
        if fresh:
            fresh.pop()
        else:
            self._fleet.opened_count[self._sender] += 1

    def keep(self, server: servers.EmulatedServer) -> None:
        """Keeps a connection that has become idle."""
        self._list_fresh(server).append(self._fleet.now_s)

    def _list_fresh(self, server: servers.EmulatedServer) -> list[float]:
        """Returns since when connections are idle, without expired ones."""
        run = (server.address, server.started_ms)
        since_s = self._fleet.now_s - self._limit_s
        fresh = [x for x in self._idle_since_s.get(run, ()) if x > since_s]
        self._idle_since_s[run] = fresh
        return fresh
