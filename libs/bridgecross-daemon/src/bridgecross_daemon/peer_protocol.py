"""What instances and tools say to an instance, over gRPC.

gRPC carries the messages; ``msgspec`` is their codec, so that no code has to
be generated. Each message travels with a stamp that orders the time line.
"""

from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_log import service as log_service
from bridgecross_log import snapshot as snapshots
from bridgecross_ownership import releases
from bridgecross_ownership import reports
from bridgecross_request import poison_requests
from bridgecross_request import requests
from bridgecross_timeline import events

SERVICE_NAME = "bridgecross.Peer"
"""The name of the gRPC service that every instance offers."""

Q = TypeVar("Q")
A = TypeVar("A")


class WireOutcome(NamedTuple):
    """An outcome between instances: exactly one field is set."""

    answered: outcomes.Answered | None
    not_run: outcomes.NotRun | None
    unknown: outcomes.Unknown | None


class InheritRequest(NamedTuple):
    """A request for the heir of a lost server."""

    request: requests.WireRequest
    bequest: releases.Takeover


class Heartbeat(NamedTuple):
    """What an instance tells the coordinators of its services."""

    instance: ids.InstanceId
    leaving: bool
    reports: list[reports.ServiceReport]


class HeartbeatReply(NamedTuple):
    """What the receiver tells about itself.

    ``coordinates`` are the services that it is able to coordinate now.
    """

    leaving: bool
    coordinates: list[ids.ServiceName]


class StatusRequest(NamedTuple):
    """Asks an instance how it is."""


class ServerStatus(NamedTuple):
    """How a front sees one of its servers."""

    server: ids.ServerId
    health: str
    busy: int
    slices: int


class ServiceStatus(NamedTuple):
    """How an instance sees a service.

    ``waiting`` and ``served`` count requests by tier, at this instance's
    fronts only.
    """

    service: ids.ServiceName
    term: int
    coordinator: str
    head: int
    slice_count: int
    servers: list[ServerStatus]
    waiting: dict[str, int]
    served: dict[str, int]


class InstanceStatus(NamedTuple):
    """How an instance is.

    ``not_ready`` are the reasons why it takes no requests; empty if it does.
    """

    instance: ids.InstanceId
    house: str
    place: str
    failure_domain: str
    leaving: bool
    not_ready: list[str]
    settings_version: int
    log_offset: int
    log_age_ms: int
    in_flight: int
    services: list[ServiceStatus]


class OwnerRequest(NamedTuple):
    """Asks for the owner of a key."""

    service: ids.ServiceName
    key: str


class OwnerReply(NamedTuple):
    """The owner of a key, and why.

    ``found`` is False if the service is unknown or has no slices yet.
    """

    found: bool
    slice: int
    server: ids.ServerId
    token: int
    front: ids.InstanceId
    front_token: int
    prior: list[ids.ServerId]
    term: int
    coordinator: ids.InstanceId


class NewsRequest(NamedTuple):
    """Asks for what an instance has read of the control stream."""

    from_offset: ids.Offset


class NewsReply(NamedTuple):
    """What an instance has read of the control stream.

    ``next_offset`` is one more than the newest record that it has applied.
    ``snapshot`` is set if it no longer remembers the record that was asked
    for; then ``records`` is empty.
    """

    instance: ids.InstanceId
    next_offset: ids.Offset
    records: list[log_service.StoredRecord]
    snapshot: snapshots.Snapshot | None


class DrainRequest(NamedTuple):
    """Asks an instance to stop as planned."""


class DrainReply(NamedTuple):
    """The instance has begun to stop."""

    in_flight: int


class TimelineRequest(NamedTuple):
    """Asks for the events that an instance remembers."""


class TimelineReply(NamedTuple):
    """The events that an instance remembers."""

    events: list[events.WireEvent]


class _Stamped(NamedTuple):
    """A message with the stamp of its sending."""

    stamp: hybrid_clock.Timestamp
    body: bytes


_STAMPED = codec.Codec(_Stamped)


class Method(Generic[Q, A]):
    """One method of the gRPC service."""

    def __init__(self, name: str, request: type[Q], reply: type[A]) -> None:
        """Names the method and the types of its messages."""
        self.name = name
        self.path = f"/{SERVICE_NAME}/{name}"
        self._requests = codec.Codec(request)
        self._replies = codec.Codec(reply)

    def encode_request(
        self, clock: hybrid_clock.HybridClock, value: Q
    ) -> bytes:
        """Returns a request as bytes, stamped."""
        return _pack(clock, self._requests.encode(value))

    def decode_request(self, clock: hybrid_clock.HybridClock, data: bytes) -> Q:
        """Returns a request and takes its stamp in."""
        return self._requests.decode(_unpack(clock, data))

    def encode_reply(self, clock: hybrid_clock.HybridClock, value: A) -> bytes:
        """Returns a reply as bytes, stamped."""
        return _pack(clock, self._replies.encode(value))

    def decode_reply(self, clock: hybrid_clock.HybridClock, data: bytes) -> A:
        """Returns a reply and takes its stamp in."""
        return self._replies.decode(_unpack(clock, data))


FORWARD = Method("Forward", requests.WireRequest, WireOutcome)
"""Runs a request at the front of its key's owner."""

INHERIT = Method("Inherit", InheritRequest, WireOutcome)
"""Runs a request at the heir of its key's owner."""

HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
"""Reports to a coordinator."""

AWAIT_RELEASE = Method(
    "AwaitRelease", releases.ReleaseQuery, releases.ReleaseReply
)
"""Waits until a server has let go of slices."""

OFFICE = Method(
    "Office", releases.FrontDrainedQuery, releases.FrontDrainedReply
)
"""Tells whether all is over that an instance did as a server's front."""

NEWS = Method("News", NewsRequest, NewsReply)
"""Tells what an instance has read of the control stream."""

STATUS = Method("Status", StatusRequest, InstanceStatus)
"""Tells how an instance is."""

OWNER = Method("Owner", OwnerRequest, OwnerReply)
"""Tells who owns a key and why."""

ENDS = Method(
    "Ends", poison_requests.PoisonReport, poison_requests.PoisonReport
)
"""Tells of requests that servers ended under; the reply is what is known of the
same ones, or of all, if none is named."""

DRAIN = Method("Drain", DrainRequest, DrainReply)
"""Begins a planned stop."""

TIMELINE = Method("Timeline", TimelineRequest, TimelineReply)
"""Tells the events that an instance remembers."""


def wrap_outcome(outcome: outcomes.Outcome) -> WireOutcome:
    """Returns an outcome ready to be sent."""
    match outcome:
        case outcomes.Answered():
            return WireOutcome(outcome, None, None)
        case outcomes.NotRun():
            return WireOutcome(None, outcome, None)
        case outcomes.Unknown():
            return WireOutcome(None, None, outcome)


def unwrap_outcome(wire: WireOutcome) -> outcomes.Outcome:
    """Returns the outcome that was sent."""
    outcome = wire.answered or wire.not_run or wire.unknown
    return outcome or outcomes.Unknown("the front sent no outcome")


class PeerUnreachableError(Exception):
    """An instance did not answer."""

    def __init__(self, reason: str, *, never_sent: bool) -> None:
        """Keeps what is known.

        Args:
            reason: What gRPC said.
            never_sent: Whether the message certainly did not arrive.
        """
        self.reason = reason
        self.never_sent = never_sent
        super().__init__(reason)


def _pack(clock: hybrid_clock.HybridClock, body: bytes) -> bytes:
    """Returns a body with the stamp of this moment."""
    return _STAMPED.encode(_Stamped(clock.tick(), body))


def _unpack(clock: hybrid_clock.HybridClock, data: bytes) -> bytes:
    """Returns a body and takes its stamp in."""
    stamped = _STAMPED.decode(data)
    clock.observe(stamped.stamp)
    return stamped.body
