"""How one attempt at one backend server ended, as tagged dataclasses."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, as an entry instance takes it in."""

    # Names this attempt of the caller; never used twice.
    request_id: str
    method: bytes
    # Path and query, as the caller sent them.
    target: bytes
    # The path alone, for the choice of a route.
    path: str
    host: str
    # Headers to pass on; none that concern one connection only.
    headers: tuple[outcomes.Header, ...]
    body: bytes
    # The key, for services whose backend servers own keys.
    key: int | None
    # When its head had been read, on the monotonic clock.
    received_s: float
    # How long the caller waits for the answer.
    caller_timeout_ms: float | None
    # The host that it came from; empty if that is not known.
    caller: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The backend server refused it for lack of room; it did not run."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """The backend server does not own the key, or is another one."""

    # The name of the server that answered; empty if it did not say.
    answered_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Not one byte reached the server."""

    reason: str
    # Whether the address refused the connection: no process listens there.
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """It was sent, and no whole answer came: it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, since it may not be sent to that server any more.

    That says nothing of the server.
    """


Attempt = outcomes.Answered | Shed | NotOwner | NotSent | Interrupted
"""The ways in which one attempt ends."""


MaySend = Callable[[], bool]
"""Tells whether something may still be sent to a server; never waits. It is
asked once there is a connection; nothing is awaited before the first byte."""


class Notice(NamedTuple):
    """What a server says of itself beside an answer."""

    # Whether its run is leaving.
    is_leaving: bool = False
    # For how long it wants to be left alone by whoever it answers; 0 if not.
    backoff_s: float = 0.0
    # Why something that it says counts for nothing; empty if all is well.
    problem: str = ""


NoticeHandler = Callable[[model.BackendServer, Notice], None]
"""Told what a server says of itself; must not fail, and returns at once."""


def ignore_notice(server: model.BackendServer, notice: Notice) -> None:
    """Takes in nothing of what a server says."""
    del server, notice


class BackendClient(Protocol):
    """Sends requests to backend servers."""

    on_notice: NoticeHandler
    """Told by each answer of the server that was meant, as soon as it is read:
    also if whoever waited for it has been cancelled at the same moment."""

    async def send(
        self,
        server: model.BackendServer,
        request: EntryRequest,
        remaining_ms: float,
        may_send: MaySend,
    ) -> Attempt | Withheld:
        """Sends one request; cancelling it tells the server to stop."""

    def is_connected(self, server: model.BackendServer) -> bool:
        """Whether a kept connection to a server is free."""

    async def query_warmup_left_s(
        self,
        server: model.BackendServer,
        path: str,
        known_s: float,
        may_send: MaySend,
    ) -> float | None:
        """Finds out whether the run that was known of a server goes on.

        The request that is sent next, without anything awaited in between, goes
        by the connection that tells it.

        Args:
            server: The server.
            path: Where it tells how it is.
            known_s: When it was last known whether the server is cold. A
                connection that was there by then leads to the same run.
            may_send: Whether the server may be asked anything.

        Returns:
            For how much longer it is cold as it says itself; 0 if it is not, or
            if it has gone on; None if it does not answer, or was not asked.
        """

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether a server's address refuses connections; sends nothing.

        A connection that comes about is kept.
        """

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Closes connections that are old, or lead to servers not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The server holds the range until the lease runs out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The server has stopped all work on the range."""

    # Makes the next owner start warm; empty if there is none.
    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outranked:
    """The server has seen a higher fencing token on one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The run of the server that was meant has ended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The address refuses connections.

    A server that is about to end refuses new ones while it still works on the
    requests that it has.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """No usable answer came; the order may or may not have been taken."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotTaken:
    """The order was not taken and never will be.

    Not one byte of it was sent, or whoever has the address turned it down.
    """

    reason: str


GrantResult = (
    Granted | Outranked | Gone | Refused | NoReply | NotTaken | Withheld
)
ReleaseResult = Released | Gone | Refused | NoReply | NotTaken | Withheld


class LeaseClient(Protocol):
    """Gives ranges of keys to backend servers and takes them back."""

    on_notice: NoticeHandler
    """Told by each answer, as ``BackendClient.on_notice`` is."""

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Closes connections that are old, or lead to servers not known."""

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
        """Gives or renews a range; both ends are inside."""

    async def can_connect(self, server: model.BackendServer) -> bool:
        """Returns whether a connection can be made; gives no order."""

    async def release(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        may_order: MaySend,
    ) -> ReleaseResult:
        """Takes a range back; answered once nothing runs on it any more."""
