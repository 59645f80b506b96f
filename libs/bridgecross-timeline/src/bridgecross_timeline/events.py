"""The types of events, and their form between processes."""

import dataclasses
from typing import Any
from typing import NamedTuple

import msgspec

from bridgecross_core import hybrid_clock


@dataclasses.dataclass(frozen=True)
class TermBegan:
    """A coordinator's claim became valid."""

    # The name of the service.
    service: str
    # The term, which is the offset of the claim.
    term: int
    # The instance that coordinates the service in this term.
    coordinator: str


@dataclasses.dataclass(frozen=True)
class SlicesMoved:
    """A valid assignment was appended to the log."""

    # The name of the service.
    service: str
    # The offset of the assignment, which is the fencing token of its grants.
    token: int
    # The number of slices that got a new owner.
    slices: int
    # Why the coordinator moved them.
    reason: str


@dataclasses.dataclass(frozen=True)
class QueueOwnerChanged:
    """An instance became, or ceased to be, the queue owner of a server."""

    # The name of the service.
    service: str
    # The id of the backend server.
    server: str
    # The queue owner of the server from now on.
    front: str
    # The fencing token of the queue owner.
    token: int


@dataclasses.dataclass(frozen=True)
class SlicesGranted:
    """A backend server accepted a grant."""

    # The name of the service.
    service: str
    # The id of the backend server.
    server: str
    # The number of slices that it now holds.
    slices: int


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """A server's lease has certainly expired."""

    # The name of the service.
    service: str
    # The id of the backend server.
    server: str
    # What was observed.
    reason: str


@dataclasses.dataclass(frozen=True)
class SettingsInForce:
    """A version of the settings was applied in this process."""

    # The version, which is the offset of the change.
    version: int
    # Who published it.
    author: str


@dataclasses.dataclass(frozen=True)
class RequestRefused:
    """A request was refused before it was sent to a server."""

    # The name of the service.
    service: str
    # The name of the tier.
    tier: str
    # Why it was refused.
    reason: str


@dataclasses.dataclass(frozen=True)
class RequestRetried:
    """A request that was certainly not run is retried."""

    # The name of the service.
    service: str
    # The number of the attempt that failed, starting at 1.
    attempt: int
    # Why it failed.
    reason: str


@dataclasses.dataclass(frozen=True)
class DrainBegan:
    """This process started a planned shutdown."""

    # Requests in flight at that time.
    requests_in_flight: int


@dataclasses.dataclass(frozen=True)
class DrainEnded:
    """This process finished the drain of a planned shutdown."""

    # Requests that were cut off; 0 unless the drain timed out.
    requests_cut_off: int


@dataclasses.dataclass(frozen=True)
class FaultObserved:
    """Something outside this process failed or recovered."""

    # What failed or recovered, such as ``log`` or ``instance entry-2``.
    subject: str
    # What was observed.
    problem: str


Detail = (
    TermBegan
    | SlicesMoved
    | QueueOwnerChanged
    | SlicesGranted
    | LeaseLost
    | SettingsInForce
    | RequestRefused
    | RequestRetried
    | DrainBegan
    | DrainEnded
    | FaultObserved
)
"""The details of an event; the type of the detail is the event's type."""

_TYPE_BY_KIND: dict[str, type[Detail]] = {
    "term": TermBegan,
    "move": SlicesMoved,
    "front": QueueOwnerChanged,
    "grant": SlicesGranted,
    "lease": LeaseLost,
    "settings": SettingsInForce,
    "admission": RequestRefused,
    "retry": RequestRetried,
    "drain": DrainBegan,
    "drained": DrainEnded,
    "fault": FaultObserved,
}
_KIND_BY_TYPE = {
    detail_type: kind for kind, detail_type in _TYPE_BY_KIND.items()
}

KINDS = tuple(_TYPE_BY_KIND)
"""The names of all kinds of events."""


class Event(NamedTuple):
    """An event of one process, with its time."""

    stamp: hybrid_clock.Timestamp
    process: str
    detail: Detail

    @property
    def kind(self) -> str:
        """The name of the event's kind."""
        return _KIND_BY_TYPE[type(self.detail)]


class WireEvent(NamedTuple):
    """An event as sent between processes."""

    stamp: hybrid_clock.Timestamp
    process: str
    kind: str
    detail: dict[str, Any]


def to_wire(event: Event) -> WireEvent:
    """Returns the event in the form in which it is sent."""
    detail = dataclasses.asdict(event.detail)
    return WireEvent(event.stamp, event.process, event.kind, detail)


def from_wire(wire: WireEvent) -> Event:
    """Returns the event that was sent.

    Raises:
        KeyError: The kind is unknown, as when a newer process sent it.
        msgspec.ValidationError: The detail does not match its kind.
    """
    detail = msgspec.convert(wire.detail, _TYPE_BY_KIND[wire.kind])
    return Event(wire.stamp, wire.process, detail)
