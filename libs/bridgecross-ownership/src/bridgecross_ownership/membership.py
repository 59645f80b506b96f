"""The instances and servers that the platform lists."""

import enum
from typing import NamedTuple

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


class Listing(NamedTuple):
    """One line of the instance list.

    ``address`` is ``host:port`` with an IP number: the peer address of an
    entry instance, the service address of a backend server. ``service`` is
    empty for an entry instance.
    """

    name: str
    role: Role
    service: str
    failure_domain: str
    address: str
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
