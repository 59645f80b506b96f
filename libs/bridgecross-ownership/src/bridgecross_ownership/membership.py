"""The instances and servers that the platform lists."""

import dataclasses
import enum

from bridgecross_core import ids


class Role(enum.Enum):
    """What a listed instance is."""

    ENTRY = "entry"
    """An entry instance: one of our own."""

    BACKEND = "backend"
    """A backend server."""


class ListedState(enum.Enum):
    """What the list says of an instance; it lags behind reality."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Listing:
    """One line of the instance list."""

    # The name of the instance or server.
    name: str
    # What it is.
    role: Role
    # The service of a backend server; empty for an entry instance.
    service: str
    # The failure domain that it is in.
    failure_domain: str
    # ``host:port`` with an IP number: the peer address of an entry instance,
    # the service address of a backend server.
    address: str
    # Whether it is about to stop.
    state: ListedState


class Membership:
    """The newest list that was read."""

    def __init__(self) -> None:
        """Knows of nobody yet."""
        self._listings: dict[str, Listing] = {}

    def replace(self, listings: list[Listing]) -> None:
        """Takes a newer list in."""
        self._listings = {listing.name: listing for listing in listings}

    def find(self, name: str) -> Listing | None:
        """Returns the line of an instance or server, if it is listed."""
        return self._listings.get(name)

    def list_instances(self) -> dict[ids.InstanceId, Listing]:
        """Returns the entry instances."""
        return {
            ids.InstanceId(listing.name): listing
            for listing in self._listings.values()
            if listing.role is Role.ENTRY
        }

    def list_servers(
        self, service: ids.ServiceName
    ) -> dict[ids.ServerId, Listing]:
        """Returns the backend servers of a service."""
        return {
            ids.ServerId(listing.name): listing
            for listing in self._listings.values()
            if listing.role is Role.BACKEND and listing.service == service
        }
