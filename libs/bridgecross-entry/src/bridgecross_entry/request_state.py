"""The progress of one request through the dispatcher."""

import dataclasses
import zlib

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_request import fair_share
from bridgecross_request import poison_requests
from bridgecross_request import queueing

_QUEUE_MAX_COUNT = 64
"""Maximum requests of one priority that queue for one server or service at
one instance."""


@dataclasses.dataclass(slots=True)
class RequestState:
    """The progress of one request."""

    request: attempts.EntryRequest
    route: model.Route
    service: ids.ServiceName
    deadline_s: float
    # How long the caller had already waited when the request arrived.
    caller_age_s: float
    # When the route's target latency is over, counted from the caller's first
    # attempt.
    target_s: float
    configuration_version: int
    # Identifies repetitions of the request under other ids.
    fingerprint: poison_requests.Fingerprint
    # What is known of the caller, if the queues of the service use it.
    origin: fair_share.Origin = fair_share.UNKNOWN
    # The server that most recently rejected the request as overloaded.
    shed_by: ids.ServerId | None = None
    # Attempts that reached a server, whatever their result.
    delivered_count: int = 0
    # Attempts that ran or may have run.
    possible_runs: int = 0
    # How often it was sent again to the owner of its key that rejected it.
    owner_retries_count: int = 0
    # How often a server answered that it does not own the key.
    not_owner_count: int = 0
    # Whether an attempt has been sent and has no answer yet.
    in_flight: bool = False
    # Whether permits are no longer requested, after the server of a permit
    # turned out to be unusable.
    skips_permits: bool = False
    tried: set[ids.ServerId] = dataclasses.field(default_factory=set)
    # What happened so far, in order; written to the log.
    trail: list[str] = dataclasses.field(default_factory=list)
    # The instances that it was sent through, in order.
    forwarded_by: list[model.Address] = dataclasses.field(default_factory=list)
    # The time that its current attempt spent between this instance and a relay.
    hop_s: float = 0.0
    # The last error answer of a server.
    last_failure: outcomes.Answered | None = None

    def add_hop(self, hop_s: float) -> None:
        """Adds time that the attempt spent between here and a relay."""
        self.hop_s += hop_s


def make_queue_tier(state: RequestState) -> queueing.QueueTier:
    """Returns the queue tier of a request's priority."""
    priority = state.route.priority
    return queueing.QueueTier(str(priority), priority, _QUEUE_MAX_COUNT)


def make_origin(
    request: attempts.EntryRequest, caller_age_s: float
) -> fair_share.Origin:
    """Returns what queues know of the caller of a request.

    Args:
        request: The request.
        caller_age_s: How long its caller had waited when it arrived.
    """
    # A hash of 0 is replaced, since 0 means that the caller is unknown.
    caller = max(zlib.crc32(request.caller.encode()), 1)
    return fair_share.Origin(caller if request.caller else 0, caller_age_s)
