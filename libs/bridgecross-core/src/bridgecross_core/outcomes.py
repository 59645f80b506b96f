"""The possible outcomes of a request.

A request has exactly one of three outcomes. ``NotRun`` guarantees that the
backend server did not run the request, so it always carries a proof.
``Unknown`` is used whenever there is neither an answer nor such a proof.
"""

import dataclasses
import enum


class NotRunProof(enum.Enum):
    """The reason why a request certainly was not run."""

    REFUSED_BY_ADMISSION = "refused-by-admission"
    """An entry instance refused it before sending anything to a server."""

    NEVER_WRITTEN = "never-written"
    """No connection to the server was established, so nothing was sent."""

    REFUSED_BY_FENCE = "refused-by-fence"
    """The server rejected the fencing token or the lease as invalid."""

    SHED_BY_SERVER = "shed-by-server"
    """The server refused the request to shed load."""

    INTENT_NOT_WON = "intent-not-won"
    """The log granted nobody the right to run it, or the right was revoked."""


@dataclasses.dataclass(frozen=True)
class Header:
    """One HTTP header field."""

    # The name in lower case.
    name: bytes
    # The value as the server sent it.
    value: bytes


@dataclasses.dataclass(frozen=True)
class Answered:
    """The backend server answered, and the answer is complete."""

    # The HTTP status of the answer.
    status: int
    # The headers to forward to the caller.
    headers: tuple[Header, ...]
    # The complete body.
    body: bytes
    # The server's current service time relative to its usual one, as reported
    # by the server; None if it does not report it.
    pace_ratio: float | None = None


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request was certainly not run."""

    # The proof that it was not run.
    proof: NotRunProof
    # The reason as shown to the caller.
    reason: str
    # The HTTP status to return to the caller.
    status: int = 503
    # When the caller may retry; 0 if a retry would not help.
    retry_after_ms: int = 0
    # Whether a retry may succeed once the log has been read again.
    reroute: bool = False


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may or may not have been run."""

    # The reason as shown to the caller.
    reason: str
    # The HTTP status to return to the caller.
    status: int = 504


Outcome = Answered | NotRun | Unknown
"""Any outcome of a request."""
