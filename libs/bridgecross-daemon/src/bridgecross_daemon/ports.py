"""What an instance reaches the outside world through.

The daemon fills these with HTTP and gRPC (``serving``); tests fill them with
small fakes and run whole instances in one process.
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
    """The platform's instance list."""

    async def read(self) -> list[memberships.Listing]:
        """Returns the list as the platform has it now.

        Raises:
            InstanceListUnavailableError: It did not answer.
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
            peer_protocol.PeerUnreachableError: There was no usable reply.
        """


class ServiceBackend(backends.Backend, Protocol):
    """Sends the requests of one service to its backend servers."""

    def replace_settings(self, settings: backends.BackendSettings) -> None:
        """Puts new settings into force."""

    async def aclose(self) -> None:
        """Closes all connections."""


class InstancePorts(NamedTuple):
    """Everything outside an instance.

    The two factories are called once for the instance and once for each
    service.
    """

    clock: clocks.Clock
    stamps: hybrid_clock.HybridClock
    log: log_service.LogService
    listing: InstanceListSource
    peers: PeerCaller
    make_leases: Callable[[runners.AddressBook], leases.LeaseTransport]
    make_backend: Callable[[backends.BackendSettings], ServiceBackend]
