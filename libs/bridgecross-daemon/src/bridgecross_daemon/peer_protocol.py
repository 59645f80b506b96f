"""The gRPC methods and messages between instances, and from tools to them.

The messages are encoded with ``msgspec``, so no code has to be generated. Each
message carries a timestamp that keeps the timeline in causal order.
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
"""The name of the gRPC service that every instance provides."""

Q = TypeVar("Q")
A = TypeVar("A")


class WireOutcome(NamedTuple):
    """An outcome as sent between instances; exactly one field is set."""

    answered: outcomes.Answered | None
    not_run: outcomes.NotRun | None
    unknown: outcomes.Unknown | None


class InheritRequest(NamedTuple):
    """A request for the backup of a lost server.

    ``bequest`` is the takeover under which the backup serves the slice.
    """

    request: requests.WireRequest
    bequest: releases.Takeover


class Heartbeat(NamedTuple):
    """What an instance reports to a coordinator of its services."""

    instance: ids.InstanceId
    leaving: bool
    reports: list[reports.ServiceReport]


class HeartbeatReply(NamedTuple):
    """The state of the instance that received a heartbeat.

    ``coordinates`` are the services that it is able to coordinate now.
    """

    leaving: bool
    coordinates: list[ids.ServiceName]


class StatusRequest(NamedTuple):
    """Asks an instance for its status."""


class ServerStatus(NamedTuple):
    """The state of a server as observed by its queue owner.

    ``busy`` counts the requests that it runs, and ``slices`` the slices that
    the log assigns to it.
    """

    server: ids.ServerId
    health: str
    busy: int
    slices: int


class ServiceStatus(NamedTuple):
    """The state of a service as known to one instance.

    ``waiting`` and ``served`` count requests by tier, and only those to servers
    whose queues this instance owns.
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
    """The status of an instance.

    ``not_ready`` are the reasons why it accepts no requests; empty if it does.
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
    """The owner of a key, and the log records that made it the owner.

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
    """Asks an instance for records of the control stream."""

    from_offset: ids.Offset


class NewsReply(NamedTuple):
    """Records of the control stream that an instance has read.

    ``next_offset`` is one more than the newest record that it has applied.
    ``snapshot`` is set if it no longer caches the first record that was asked
    for; ``records`` is then empty.
    """

    instance: ids.InstanceId
    next_offset: ids.Offset
    records: list[log_service.StoredRecord]
    snapshot: snapshots.Snapshot | None


class DrainRequest(NamedTuple):
    """Asks an instance to stop gracefully."""


class DrainReply(NamedTuple):
    """Confirms that the instance has started to stop."""

    in_flight: int


class TimelineRequest(NamedTuple):
    """Asks for the events that an instance has recorded."""


class TimelineReply(NamedTuple):
    """The events that an instance has recorded and still retains."""

    events: list[events.WireEvent]


class _Stamped(NamedTuple):
    """A message with the time at which it was sent."""

    stamp: hybrid_clock.Timestamp
    body: bytes


_STAMPED = codec.Codec(_Stamped)


class Method(Generic[Q, A]):
    """One method of the gRPC service."""

    def __init__(self, name: str, request: type[Q], reply: type[A]) -> None:
        """Defines a method.

        Args:
            name: The name of the method.
            request: The type of its requests.
            reply: The type of its replies.
        """
        self.name = name
        self.path = f"/{SERVICE_NAME}/{name}"
        self._requests = codec.Codec(request)
        self._replies = codec.Codec(reply)

    def encode_request(
        self, clock: hybrid_clock.HybridClock, value: Q
    ) -> bytes:
        """Returns an encoded request with a timestamp."""
        return _encode_stamped(clock, self._requests.encode(value))

    def decode_request(self, clock: hybrid_clock.HybridClock, data: bytes) -> Q:
        """Decodes a request and advances the clock to its timestamp."""
        return self._requests.decode(_decode_stamped(clock, data))

    def encode_reply(self, clock: hybrid_clock.HybridClock, value: A) -> bytes:
        """Returns an encoded reply with a timestamp."""
        return _encode_stamped(clock, self._replies.encode(value))

    def decode_reply(self, clock: hybrid_clock.HybridClock, data: bytes) -> A:
        """Decodes a reply and advances the clock to its timestamp."""
        return self._replies.decode(_decode_stamped(clock, data))


FORWARD = Method("Forward", requests.WireRequest, WireOutcome)
"""Runs a request on the queue owner of the key's server."""

INHERIT = Method("Inherit", InheritRequest, WireOutcome)
"""Runs a request at the backup of the key's lost owner."""

HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
"""Sends reports to a coordinator."""

AWAIT_RELEASE = Method(
    "AwaitRelease", releases.ReleaseQuery, releases.ReleaseReply
)
"""Waits until a server has released slices."""

QUEUE_OWNER_DRAINED = Method(
    "Office", releases.QueueOwnerDrainedQuery, releases.QueueOwnerDrainedReply
)
"""Returns whether an instance has drained as a queue owner of a server."""

NEWS = Method("News", NewsRequest, NewsReply)
"""Returns records of the control stream that an instance has read."""

STATUS = Method("Status", StatusRequest, InstanceStatus)
"""Returns the status of an instance."""

OWNER = Method("Owner", OwnerRequest, OwnerReply)
"""Returns the owner of a key, with the log records behind it."""

POISON_REPORT = Method(
    "Ends", poison_requests.PoisonReport, poison_requests.PoisonReport
)
"""Reports requests under which servers ended. The reply contains what the
receiver knows about the same requests or, if none is named, about all."""

DRAIN = Method("Drain", DrainRequest, DrainReply)
"""Starts a planned shutdown."""

TIMELINE = Method("Timeline", TimelineRequest, TimelineReply)
"""Returns the events that an instance has recorded."""


def outcome_to_wire(outcome: outcomes.Outcome) -> WireOutcome:
    """Returns an outcome in the form in which it is sent."""
    match outcome:
        case outcomes.Answered():
            return WireOutcome(outcome, None, None)
        case outcomes.NotRun():
            return WireOutcome(None, outcome, None)
        case outcomes.Unknown():
            return WireOutcome(None, None, outcome)


def outcome_from_wire(wire: WireOutcome) -> outcomes.Outcome:
    """Returns the outcome that was sent."""
    outcome = wire.answered or wire.not_run or wire.unknown
    return outcome or outcomes.Unknown("the front sent no outcome")


class PeerUnreachableError(Exception):
    """An instance did not reply, or not with a valid message."""

    def __init__(self, reason: str, *, never_sent: bool) -> None:
        """Initializes the error.

        Args:
            reason: The error that gRPC or the decoder reported.
            never_sent: Whether the message was certainly not sent.
        """
        self.reason = reason
        self.never_sent = never_sent
        super().__init__(reason)


def _encode_stamped(clock: hybrid_clock.HybridClock, body: bytes) -> bytes:
    """Returns an encoded body with the current timestamp."""
    return _STAMPED.encode(_Stamped(clock.tick(), body))


def _decode_stamped(clock: hybrid_clock.HybridClock, data: bytes) -> bytes:
    """Returns the body and advances the clock to its timestamp."""
    stamped = _STAMPED.decode(data)
    clock.observe(stamped.stamp)
    return stamped.body
