"""Requests, the results of attempts at backend servers, and server clients.

The result of an attempt or of a lease order is one of several dataclasses.
"""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math
from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request as received by an entry instance."""

    # Identifies this attempt of the caller; never reused.
    request_id: str
    method: bytes
    # The path and query as sent by the caller.
    target: bytes
    # The path without the query, which selects the route.
    path: str
    host: str
    # Headers to forward; hop-by-hop headers have been removed.
    headers: tuple[outcomes.Header, ...]
    body: bytes
    # The key, for services whose backend servers own keys.
    key: int | None
    # When its head had been read, on the monotonic clock.
    received_s: float
    # How long the caller waits for the answer; None if it did not say.
    caller_timeout_ms: float | None
    # The host that it came from; empty if unknown.
    caller: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The backend server rejected it as overloaded; it did not run."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """The server does not own the key, or another server has its address."""

    # The name of the server that answered; empty if it did not say.
    answered_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent."""

    reason: str
    # Whether the connection was refused: no process listens at the address.
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """It was sent, but no complete answer arrived: it may have run."""

    reason: str
    # Whether the server may be the cause; not if a relay was lost.
    blames_server: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, as ``MaySend`` no longer allowed it.

    This says nothing about the health of the server.
    """


Attempt = outcomes.Answered | Shed | NotOwner | NotSent | Interrupted
"""The result of one attempt."""


MaySend = Callable[[], bool]
"""Returns whether something may still be sent to a server; never waits. It is
called once there is a connection, and nothing is awaited between the call and
the first byte."""


class UnknownHeader(NamedTuple):
    """A header of an answer that the platform's adapter does not know."""

    # In lower case.
    name: str
    # The beginning of its value.
    value: str


class Notice(NamedTuple):
    """What a server reports about itself in the headers of an answer."""

    # Whether this run of the server is leaving.
    is_leaving: bool = False
    # How long the receiver of the answer must send it no requests; 0 if it did
    # not ask for a backoff.
    backoff_s: float = 0.0
    # Why a part of the report, or the whole answer, is invalid and ignored;
    # empty if all is valid.
    problem: str = ""
    # The requests per second that the server takes from all instances together;
    # None if the answer names no limit.
    limit_per_s: float | None = None
    # When the first byte of the request was sent, on the monotonic clock. -inf
    # if the answer does not show that there is no limit: rejections, failures
    # and answers to lease orders may lack the header.
    sent_s: float = -math.inf
    # Headers that nothing is decided by, as far as this program knows.
    unknown_headers: tuple[UnknownHeader, ...] = ()


NoticeHandler = Callable[[model.BackendServer, Notice], None]
"""Handles what a server reports about itself; must not raise or block."""


def ignore_notice(server: model.BackendServer, notice: Notice) -> None:
    """Ignores what a server reports about itself."""
    del server, notice


class BackendClient(Protocol):
    """Sends requests to backend servers."""

    on_notice: NoticeHandler
    """Called for each answer of the intended server as soon as it is read, even
    if the task that waited for the answer is cancelled at the same moment."""

    async def send(
        self,
        server: model.BackendServer,
        request: EntryRequest,
        remaining_ms: float,
        may_send: MaySend,
    ) -> Attempt | Withheld:
        """Sends one request; cancelling this makes the server stop its work.

        Args:
            server: The server.
            request: The request.
            remaining_ms: The time until the request's deadline.
            may_send: Whether it may still be sent to the server.
        """

    def is_connected(self, server: model.BackendServer) -> bool:
        """Whether there is an idle connection to a server."""

    def is_acknowledged(
        self, server: model.BackendServer, sent_before_s: float
    ) -> bool:
        """Whether a server's machine has the requests sent before a time.

        False if bytes of a request in progress are not acknowledged: the link
        to the server may have become silent.

        Args:
            server: The server.
            sent_before_s: The time, on the monotonic clock.
        """

    def can_reuse_connection(self, server: model.BackendServer) -> bool:
        """Whether a request that was not sent before needs no new connection.

        Unlike ``is_connected``, this is exact as far as this process knows.
        """

    async def query_warmup_left_s(
        self,
        server: model.BackendServer,
        path: str,
        known_s: float,
        may_send: MaySend,
        request_id: str,
    ) -> float | None:
        """Finds out whether a server has restarted and is cold.

        The request uses the connection that was checked, provided that nothing
        is awaited in between.

        Args:
            server: The server.
            path: The path of its health check.
            known_s: When it was last known whether the server is cold. A
                connection opened before then leads to the same run.
            may_send: Whether anything may be sent to the server.
            request_id: The id of the request that is to be sent next.

        Returns:
            The remaining warm-up time that the server reports; 0 if it is not
            cold or has not restarted; None if it did not answer or was not
            asked.
        """

    async def connect(self, server: model.BackendServer) -> NotSent | None:
        """Opens a connection; returns why that failed, or None.

        Nothing is sent, and the connection is kept.
        """

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether a server's address refuses connections; sends nothing.

        A connection that is established is kept.
        """

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Closes connections that are old or lead to unknown servers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The server holds the range until the lease expires."""


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The server has stopped all work on the range."""

    # State that lets the next owner start warm; empty if there is none.
    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outranked:
    """The server knows a higher fencing token for one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The intended run of the server has ended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The address refuses connections.

    A server that is shutting down refuses new connections while it still works
    on the requests that it has.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """No usable answer arrived; the order may or may not have been executed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotTaken:
    """The order was not executed and never will be.

    No byte of it was sent, or the server at the address rejected it.
    """

    reason: str
    # Whether a server rejected it, so that the link to it works.
    is_answer: bool = False


GrantResult = (
    Granted | Outranked | Gone | Refused | NoReply | NotTaken | Withheld
)
ReleaseResult = Released | Gone | Refused | NoReply | NotTaken | Withheld


class LeaseClient(Protocol):
    """Grants leases of key ranges to backend servers and revokes them."""

    on_notice: NoticeHandler
    """Called for each answer, as ``BackendClient.on_notice`` is."""

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Closes connections that are old or lead to unknown servers."""

    async def grant(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        lease_ms: float,
        handover: str,
        may_order: MaySend,
    ) -> GrantResult:
        """Grants or renews the lease of a range; both ends are inclusive."""

    async def can_connect(self, server: model.BackendServer) -> bool:
        """Returns whether a connection can be made; sends no order."""

    async def release(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        may_order: MaySend,
    ) -> ReleaseResult:
        """Revokes a range; answered once nothing runs on it any more."""
