"""The lease exchange with a backend server, and when a lease is over.

A message can be delayed without bound, so a lease cannot count from when the
server receives it. Instead each reply carries the server's own monotonic
clock; the next request echoes that reading, and the lease runs from the echo.
The front received the reading before it sent the echo, so the lease is over
at the latest one lease after that receipt, however late the echo arrives.
"""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids


class ClockEcho(NamedTuple):
    """A reading of a server's monotonic clock in one run of the server."""

    incarnation: str
    reading_ms: float


class SliceGrant(NamedTuple):
    """A slice and the fencing token under which the server may serve it."""

    slice: ids.SliceIndex
    token: ids.Token


class LeaseRequest(NamedTuple):
    """What a front sends to a server.

    ``grants`` is the whole list: slices that are missing are taken away. The
    server refuses a lower ``front_token`` than it has seen, and ignores a
    ``sequence`` that is not higher than the last of that front. ``echo`` is
    None in a first exchange, which renews nothing.
    """

    service: ids.ServiceName
    front: ids.InstanceId
    front_token: ids.Token
    sequence: int
    echo: ClockEcho | None
    lease_ms: int
    grants: list[SliceGrant]


class LeaseReply(NamedTuple):
    """What the server answers.

    ``held`` are the grants that it may still act on: those of the request,
    and those taken away whose requests are still running.
    """

    accepted: bool
    reason: str
    clock: ClockEcho
    held: list[SliceGrant]
    draining: bool


class ServerUnreachableError(Exception):
    """The server did not answer a lease exchange in time."""


class LeaseTransport(Protocol):
    """Carries lease exchanges to backend servers."""

    async def exchange(
        self, server: ids.ServerId, request: LeaseRequest
    ) -> LeaseReply:
        """Sends a request and returns the server's reply.

        Raises:
            ServerUnreachableError: There was no reply; the server may or may
                not have received the request.
        """


class LeaseTerm:
    """What a front knows about the end of one server's lease."""

    def __init__(self, drift_ratio: float, inherited_until_s: float) -> None:
        """Starts with what an earlier front may have granted.

        Args:
            drift_ratio: By how much the server's clock may run slower than
                this one, as a ratio.
            inherited_until_s: The monotonic time at which a lease that an
                earlier front granted is certainly over.
        """
        self._drift_ratio = drift_ratio
        self._over_at_s = inherited_until_s
        self._echo: ClockEcho | None = None
        self._echo_received_s = 0.0
        self._confirmed_until_s = 0.0

    @property
    def over_at_s(self) -> float:
        """The monotonic time at which the server certainly has no lease."""
        return self._over_at_s

    @property
    def confirmed_until_s(self) -> float:
        """The time until which the server has confirmed to hold a lease."""
        return self._confirmed_until_s

    def begin_exchange(self, lease_ms: int) -> ClockEcho | None:
        """Returns the echo to send; from now on the lease may be renewed."""
        if self._echo is not None:
            lease_s = lease_ms / 1_000 * (1 + self._drift_ratio)
            over_at_s = self._echo_received_s + lease_s
            self._over_at_s = max(self._over_at_s, over_at_s)
        return self._echo

    def end_exchange(
        self,
        sent_echo: ClockEcho | None,
        reply: LeaseReply,
        sent_s: float,
        received_s: float,
        lease_ms: int,
    ) -> None:
        """Takes a reply in.

        Args:
            sent_echo: What ``begin_exchange`` returned.
            reply: The server's accepting reply.
            sent_s: The monotonic time at which the request was sent.
            received_s: The monotonic time at which the reply was received.
            lease_ms: The length of the lease that was asked for.
        """
        if sent_echo is not None and (
            sent_echo.incarnation == reply.clock.incarnation
        ):
            elapsed_s = (reply.clock.reading_ms - sent_echo.reading_ms) / 1_000
            left_s = lease_ms / 1_000 - elapsed_s
            self._confirmed_until_s = sent_s + max(left_s, 0.0)
        self._echo = reply.clock
        self._echo_received_s = received_s

    def forget_echo(self) -> None:
        """Stops renewing: the next exchange only asks how the server is."""
        self._echo = None
