"""The instances and servers that the platform lists."""

import dataclasses
import enum

from bridgecross_core import ids


class Role(enum.Enum):
    """The kind of a listed instance."""

    ENTRY = "entry"
    """An instance of this router."""

    BACKEND = "backend"
    """A backend server."""


class ListedState(enum.Enum):
    """The listed state of an instance, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Listing:
    """One entry of the instance list."""

    # The name of the instance or server.
    name: str
    # Whether it is an entry instance or a backend server.
    role: Role
    # The service of a backend server; empty for an entry instance.
    service: str
    # The failure domain that it belongs to.
    failure_domain: str
    # ``host:port`` with an IP address: the peer address of an entry instance,
    # or the service address of a backend server.
    address: str
    # Whether it is running or about to stop.
    state: ListedState


class Membership:
    """The newest list of instances and servers that was read."""

    def __init__(self) -> None:
        """Starts with an empty list."""
        self._listings: dict[str, Listing] = {}

    def replace(self, listings: list[Listing]) -> None:
        """Replaces the list by a newer one."""
        self._listings = {listing.name: listing for listing in listings}

    def find(self, name: str) -> Listing | None:
        """Returns the entry of an instance or server, if it is listed."""
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
