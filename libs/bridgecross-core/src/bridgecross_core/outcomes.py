"""What became of a request, as tagged dataclasses.

A request ends in exactly one of three ways. ``NotRun`` is a promise that the
backend server did not run it, so it always carries the proof. ``Unknown`` is
used whenever no such proof exists.
"""

import dataclasses
import enum


class NotRunProof(enum.Enum):
    """Why it is certain that a request was not run."""

    REFUSED_BY_ADMISSION = "refused-by-admission"
    """An entry instance refused it before a byte was sent to a server."""

    NEVER_WRITTEN = "never-written"
    """No connection to the server came about, so no byte was sent."""

    REFUSED_BY_FENCE = "refused-by-fence"
    """The server answered that the fencing token or lease is not valid."""

    SHED_BY_SERVER = "shed-by-server"
    """The server answered that it refused the request to shed load."""

    INTENT_NOT_WON = "intent-not-won"
    """The log gave the right to run it to nobody, or took it back."""


@dataclasses.dataclass(frozen=True)
class Header:
    """One HTTP header of an answer."""

    # The name in lower case.
    name: bytes
    # The value as the server sent it.
    value: bytes


@dataclasses.dataclass(frozen=True)
class Answered:
    """The backend server answered, and the answer is whole."""

    # The HTTP status that the server gave.
    status: int
    # The headers to pass on to the caller.
    headers: tuple[Header, ...]
    # The whole body.
    body: bytes
    # How many times as long as usual work takes at the server at this moment,
    # as it says itself; None if it does not.
    pace_ratio: float | None = None


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request was certainly not run."""

    # The proof that it was not run.
    proof: NotRunProof
    # What happened, for the caller to read.
    reason: str
    # The HTTP status to tell the caller.
    status: int = 503
    # When to come back; 0 if coming back would not help.
    retry_after_ms: int = 0
    # Whether another attempt, after a fresh look at the log, may succeed.
    reroute: bool = False


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may or may not have been run."""

    # What happened, for the caller to read.
    reason: str
    # The HTTP status to tell the caller.
    status: int = 504


Outcome = Answered | NotRun | Unknown
"""The three ways in which a request ends."""
