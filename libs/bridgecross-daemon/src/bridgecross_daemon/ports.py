"""The interfaces between an instance and its environment.

The daemon implements them with HTTP and gRPC (``serving``). Tests implement
them with small fakes and run several complete instances in one process.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_daemon import peer_protocol
from bridgecross_log import service as log_service
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_request import backends
from bridgecross_request import runner as runners

Q = TypeVar("Q")
A = TypeVar("A")


class InstanceListUnavailableError(Exception):
    """The instance list could not be read."""


class InstanceListSource(Protocol):
    """Reads the platform's instance list."""

    async def read(self) -> list[memberships.Listing]:
        """Returns the current list of the platform.

        Raises:
            InstanceListUnavailableError: There was no valid answer.
        """


class PeerCaller(Protocol):
    """Calls other instances."""

    async def call(
        self,
        address: str,
        method: peer_protocol.Method[Q, A],
        request: Q,
        timeout_s: float,
    ) -> A:
        """Calls a method of an instance.

        Raises:
            peer_protocol.PeerUnreachableError: There was no valid reply.
        """


class ServiceBackend(backends.Backend, Protocol):
    """Sends the requests of one service to its backend servers."""

    def replace_settings(self, settings: backends.BackendSettings) -> None:
        """Replaces the settings."""

    async def aclose(self) -> None:
        """Closes all connections."""


class InstancePorts(NamedTuple):
    """The dependencies of an instance on its environment.

    ``make_leases`` is called once for the instance, and ``make_backend`` once
    for each service.
    """

    clock: clocks.Clock
    stamps: hybrid_clock.HybridClock
    log: log_service.LogService
    listing: InstanceListSource
    peers: PeerCaller
    make_leases: Callable[[runners.AddressBook], leases.LeaseTransport]
    make_backend: Callable[[backends.BackendSettings], ServiceBackend]
