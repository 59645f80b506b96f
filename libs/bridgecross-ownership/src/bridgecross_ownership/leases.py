"""Lease exchanges with a backend server, and when a lease ends.

A message can be delayed without bound, so a lease cannot start when the server
receives it. Instead, each reply carries a reading of the server's monotonic
clock. The next request echoes that reading, and the lease starts at it. The
queue owner received the reading before it sent the echo, so the lease ends at
the latest one lease length after that receipt, however late the echo arrives.
"""

import dataclasses
from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids


@dataclasses.dataclass(frozen=True)
class ClockEcho:
    """A reading of a server's monotonic clock in one run of the server."""

    # Identifies the run of the server.
    incarnation: str
    # The reading; only differences within one run are meaningful.
    reading_ms: float


def make_grant_token(token: ids.Token, *, is_backup: bool) -> ids.Token:
    """Returns the token that is sent to a server for a token of the log.

    The token of a backup is higher than the owner's and lower than that of any
    later assignment.
    """
    return ids.Token(2 * token + is_backup)


class SliceGrant(NamedTuple):
    """A slice and the fencing token under which the server may serve it."""

    slice: ids.SliceIndex
    token: ids.Token


@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """A lease request from a queue owner to a server."""

    # The service that the server belongs to.
    service: ids.ServiceName
    # The instance that sends the request.
    front: ids.InstanceId
    # The queue owner's token; the server refuses one lower than its highest.
    front_token: ids.Token
    # The request's number; the server refuses one that is not higher than the
    # queue owner's last.
    sequence: int
    # The newest reading of the server's clock that the queue owner has
    # received; None in a first exchange, which renews nothing.
    echo: ClockEcho | None
    # The length of the lease, counted from the echoed reading.
    lease_ms: int
    # All granted slices: those that are missing are revoked.
    grants: list[SliceGrant]


@dataclasses.dataclass(frozen=True)
class LeaseReply:
    """The server's reply to a lease request."""

    # Whether the grants are in force.
    accepted: bool
    # Why the request was refused; empty if it was accepted.
    reason: str
    # A reading of the server's clock.
    clock: ClockEcho
    # The grants that the server may still act on: those of the request, and
    # revoked ones whose requests are still running.
    held: list[SliceGrant]
    # Whether the server is about to stop and should get no more slices.
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
    """Tracks when one server's lease ends, as far as its queue owner knows."""

    def __init__(self, drift_ratio: float) -> None:
        """Starts without a lease.

        Args:
            drift_ratio: By how much the server's clock may run slower than
                this one, as a ratio.
        """
        self._drift_ratio = drift_ratio
        self._over_at_s = 0.0
        self._echo: ClockEcho | None = None
        self._echo_received_s = 0.0
        self._confirmed_until_s = 0.0

    @property
    def over_at_s(self) -> float:
        """The monotonic time by which this lease has certainly ended."""
        return self._over_at_s

    @property
    def confirmed_until_s(self) -> float:
        """The time until which the server has confirmed that it has a lease."""
        return self._confirmed_until_s

    def begin_exchange(self, lease_ms: int) -> ClockEcho | None:
        """Returns the echo to send.

        The lease counts as renewed from now on, because the request may reach
        the server even without a reply.
        """
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
        """Records a reply.

        Args:
            sent_echo: The echo that ``begin_exchange`` returned.
            reply: The server's accepting reply.
            sent_s: The monotonic time at which the request was sent.
            received_s: The monotonic time at which the reply was received.
            lease_ms: The requested length of the lease.
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
        """Stops renewing: the next exchange only checks the server's health."""
        self._echo = None
