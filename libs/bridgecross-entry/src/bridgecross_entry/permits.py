"""Permits: who may have a request at a backend server, over all instances.

Where hundreds of instances share a service, each has a small part of a slot at
each of its servers, sees each server too seldom to know how fast it is, and
cannot tell how many others are there: servers' queues fill in order of arrival
beside others that are free. So one instance of each failure domain counts for
all who is at the servers of a service there. It gives out permits, one for each
slot, in order of priority; requests still go straight from the instance that
took them. Losing the one that counts loses no request: those who cannot ask
choose by what they know, and the next one begins to count anew.

The types here are what instances tell one another about permits.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import model

PATH = b"/permits"
"""Where an instance is asked for permits, and given them back."""

_FIRST_ERROR_STATUS = 500


class Verdict(enum.Enum):
    """What an issuer says to one who asks."""

    GRANTED = "granted"
    """The permit is given, until it is returned or its deadline has passed."""

    FULL = "full"
    """There is no slot at this moment; nothing waits on the asker's behalf."""

    WAITING = "waiting"
    """The request has a place in the queue; ask again under the same ticket."""

    REFUSED = "refused"
    """There will be no slot in time."""

    ELSEWHERE = "elsewhere"
    """Another should be asked: it is stopping, or knows no server yet."""

    UNCOUNTED = "uncounted"
    """It does not count the one server that can serve the request, which may
    have come or gone a moment ago; no permit is needed there."""


class Ending(enum.Enum):
    """What came of a permit."""

    UNUSED = "unused"
    """Nothing was sent, or the caller left."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    INTERRUPTED = "interrupted"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    """The address refused the connection."""

    DENIED = "denied"
    """The server does not own the key, or is another one."""


class Ask(NamedTuple):
    """A request that wants a permit."""

    service: ids.ServiceName
    # Names the request at the issuer; the same each time it is asked again.
    ticket: str
    # 0 goes first.
    priority: int
    # How long until an answer is worth less, and until it is worth nothing.
    target_in_s: float
    deadline_in_s: float
    # The only server that can serve it; empty if any of the service can.
    server_id: ids.ServerId
    # Servers that it was sent to before.
    tried: tuple[ids.ServerId, ...]
    # Whether it may wait for a slot.
    may_wait: bool


class Reply(NamedTuple):
    """What an issuer says."""

    verdict: Verdict
    # Where the request may go; empty unless granted.
    server_id: ids.ServerId = ids.ServerId("")
    # How long a request like it would wait for a slot.
    wait_s: float = 0.0
    # Why it is refused.
    reason: str = ""
    # When to come back, if refused.
    retry_after_ms: int = 0
    # Whether it was counted against what a cold server bears.
    covers_cold: bool = False


class Return(NamedTuple):
    """A permit that is given back."""

    ticket: str
    # For how long the request was at the server.
    held_s: float
    ending: Ending
    # How many times as long as usual work takes there, as it says; 0 if it
    # does not.
    pace_ratio: float = 0.0


class Message(NamedTuple):
    """What one instance sends to an issuer: one of the two."""

    ask: Ask | None = None
    back: Return | None = None


MESSAGES = codec.Codec(Message)
REPLIES = codec.Codec(Reply)


def rank_issuers(
    service: ids.ServiceName, domain: str, candidates: Iterable[model.Address]
) -> list[model.Address]:
    """Returns who counts for the servers of a failure domain, the best first.

    Args:
        service: The service of the servers.
        domain: Their failure domain.
        candidates: The instances of that domain that may count.
    """
    by_name = {str(address): address for address in candidates}
    names = hashing.rank_by_rendezvous(f"{service}/{domain}", by_name)
    return [by_name[name] for name in names]


def name_ending(result: attempts.Attempt) -> Ending:
    """Returns what the end of an attempt says of the server."""
    if isinstance(result, outcomes.Answered):
        failed = result.status >= _FIRST_ERROR_STATUS
        return Ending.FAILED if failed else Ending.ANSWERED
    if isinstance(result, attempts.Shed):
        return Ending.SHED
    if isinstance(result, attempts.Interrupted):
        return Ending.INTERRUPTED
    if isinstance(result, attempts.NotOwner):
        return Ending.DENIED
    return Ending.REFUSED if result.refused else Ending.UNREACHABLE
