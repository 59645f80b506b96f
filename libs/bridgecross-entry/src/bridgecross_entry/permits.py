"""Permits, which limit the requests of all instances at a backend server.

If hundreds of instances share a service, each has a small fraction of a slot at
each server, sees each server too seldom to know how fast it is, and cannot tell
how many requests of other instances are there: queues of some servers fill in
order of arrival while other servers are idle. Therefore one instance of each
failure domain counts the requests of all instances at a service's servers in
that domain. It issues permits, one for each slot, in order of priority;
requests still go directly from the instance that received them. Losing the
issuer loses no request: instances that cannot reach it choose servers by their
own knowledge, and the next issuer starts counting from zero.

The types here are the messages about permits between instances.
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
from bridgecross_request import fair_share

PATH = b"/permits"
"""The path at which instances request and return permits."""

_FIRST_ERROR_STATUS = 500


class Verdict(enum.Enum):
    """An issuer's decision on a request."""

    GRANTED = "granted"
    """The permit is granted until it is returned or its deadline has passed."""

    FULL = "full"
    """There is no free slot; the request has not been queued."""

    WAITING = "waiting"
    """The request is queued; repeat it with the same ticket."""

    REFUSED = "refused"
    """There will be no free slot in time."""

    ELSEWHERE = "elsewhere"
    """Ask another issuer: this one is stopping, or knows no server yet."""

    UNCOUNTED = "uncounted"
    """The issuer does not know the only server that can serve the request,
    which may just have started or ended; no permit is needed there."""


class Outcome(enum.Enum):
    """The outcome of the request that a permit was used for."""

    UNUSED = "unused"
    """Nothing was sent, the caller disconnected, or a relay was lost."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    INTERRUPTED = "interrupted"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    """The address refused the connection."""

    DENIED = "denied"
    """The server does not own the key, or another server answered."""


class Request(NamedTuple):
    """A request for a permit."""

    service: ids.ServiceName
    # Identifies the request at the issuer; the same when it is repeated.
    ticket: str
    # 0 goes first.
    priority: int
    # The time left until the target latency, and until the deadline.
    target_in_s: float
    deadline_in_s: float
    # The only server that can serve it; empty if any of the service can.
    server_id: ids.ServerId
    # Servers to which it was sent before.
    tried: tuple[ids.ServerId, ...]
    # Whether it may wait for a slot.
    may_wait: bool
    # How long the caller had waited when the request arrived; 0 for the first
    # attempt.
    caller_age_s: float = 0.0
    # A hash of the caller's address; 0 if unknown.
    caller: int = 0

    @property
    def origin(self) -> fair_share.Origin:
        """What the request says about its caller."""
        return fair_share.Origin(self.caller, self.caller_age_s)


class Reply(NamedTuple):
    """An issuer's answer."""

    verdict: Verdict
    # The server to use; empty unless granted.
    server_id: ids.ServerId = ids.ServerId("")
    # The expected wait of such a request for a slot.
    wait_s: float = 0.0
    # Why the request is refused.
    reason: str = ""
    # When to retry, if refused.
    retry_after_ms: int = 0
    # Whether it was counted against the rate of a cold server.
    covers_cold: bool = False


class Return(NamedTuple):
    """The return of a permit."""

    ticket: str
    # How long the request was at the server.
    held_s: float
    outcome: Outcome
    # How many times as long as usual processing takes, as the server states; 0
    # if it does not.
    pace_ratio: float = 0.0


class Message(NamedTuple):
    """A message to an issuer, which contains one of the two."""

    request: Request | None = None
    returned: Return | None = None


_UNKNOWN_CALLER_FIELDS_COUNT = Request._fields.index("caller_age_s")
"""The number of leading fields of a request that say nothing of the caller."""


class _MessageCodec(codec.Codec[Message]):
    """Leaves out the fields about the caller if they have their defaults.

    Instances of earlier versions cannot decode a request with these fields, so
    they are sent only where queues use them.
    """

    def encode(self, value: Message) -> bytes:
        """Returns the encoded message."""
        request = value.request
        if request is None or request.caller or request.caller_age_s:
            return super().encode(value)
        shortened = tuple(request[:_UNKNOWN_CALLER_FIELDS_COUNT])
        return self._encoder.encode((shortened, value.returned))


MESSAGES = _MessageCodec(Message)
REPLIES = codec.Codec(Reply)


def rank_issuers(
    service: ids.ServiceName, domain: str, candidates: Iterable[model.Address]
) -> list[model.Address]:
    """Ranks the possible issuers for a failure domain's servers, best first.

    Args:
        service: The service of the servers.
        domain: Their failure domain.
        candidates: The instances of that domain that may issue permits.
    """
    by_name = {str(address): address for address in candidates}
    names = hashing.rank_by_rendezvous(f"{service}/{domain}", by_name)
    return [by_name[name] for name in names]


def classify_attempt(result: attempts.Attempt) -> Outcome:
    """Returns the permit outcome for the result of an attempt."""
    if isinstance(result, outcomes.Answered):
        failed = result.status >= _FIRST_ERROR_STATUS
        return Outcome.FAILED if failed else Outcome.ANSWERED
    if isinstance(result, attempts.Shed):
        return Outcome.SHED
    if isinstance(result, attempts.Interrupted):
        return Outcome.INTERRUPTED if result.blames_server else Outcome.UNUSED
    if isinstance(result, attempts.NotOwner):
        return Outcome.DENIED
    return Outcome.REFUSED if result.refused else Outcome.UNREACHABLE
