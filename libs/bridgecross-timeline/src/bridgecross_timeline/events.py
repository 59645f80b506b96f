"""The types of event, and an event with its stamp."""

import dataclasses
from typing import Any
from typing import NamedTuple

import msgspec

from bridgecross_core import hybrid_clock


@dataclasses.dataclass(frozen=True)
class TermBegan:
    """A coordinator's claim became valid."""

    # The service.
    service: str
    # The term: the offset of the claim.
    term: int
    # The instance that coordinates the service in this term.
    coordinator: str


@dataclasses.dataclass(frozen=True)
class SlicesMoved:
    """An assignment became valid in the log."""

    # The service.
    service: str
    # The offset of the assignment: the fencing token of its grants.
    token: int
    # How many slices got a new owner.
    slices: int
    # Why the coordinator made it.
    reason: str


@dataclasses.dataclass(frozen=True)
class FrontChanged:
    """An instance became, or ceased to be, the front of a server."""

    # The service.
    service: str
    # The backend server.
    server: str
    # The instance that fronts the server from now on.
    front: str
    # The fencing token of the front.
    token: int


@dataclasses.dataclass(frozen=True)
class SlicesGranted:
    """A backend server accepted a grant."""

    # The service.
    service: str
    # The backend server.
    server: str
    # How many slices it now holds.
    slices: int


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """A server's lease is certainly over."""

    # The service.
    service: str
    # The backend server.
    server: str
    # What was observed.
    reason: str


@dataclasses.dataclass(frozen=True)
class SettingsInForce:
    """A version of the settings took force in this process."""

    # The version: the offset of the change.
    version: int
    # Who published it.
    author: str


@dataclasses.dataclass(frozen=True)
class RequestRefused:
    """A request was refused before it was sent to a server."""

    # The service.
    service: str
    # The tier.
    tier: str
    # Why.
    reason: str


@dataclasses.dataclass(frozen=True)
class RequestRetried:
    """A request that was certainly not run is tried again."""

    # The service.
    service: str
    # The attempt that failed, from 1.
    attempt: int
    # Why it failed.
    reason: str


@dataclasses.dataclass(frozen=True)
class DrainBegan:
    """This process began a planned stop."""

    # Requests in flight at that time.
    requests_in_flight: int


@dataclasses.dataclass(frozen=True)
class DrainEnded:
    """This process ended a planned stop."""

    # Requests cut off; 0 unless the drain ran out of time.
    requests_cut_off: int


@dataclasses.dataclass(frozen=True)
class FaultSeen:
    """Something outside this process failed or came back."""

    # What it is, such as ``log`` or ``instance entry-2``.
    subject: str
    # What was observed.
    problem: str


Detail = (
    TermBegan
    | SlicesMoved
    | FrontChanged
    | SlicesGranted
    | LeaseLost
    | SettingsInForce
    | RequestRefused
    | RequestRetried
    | DrainBegan
    | DrainEnded
    | FaultSeen
)
"""What an event says."""

_KINDS: dict[str, type[Detail]] = {
    "term": TermBegan,
    "move": SlicesMoved,
    "front": FrontChanged,
    "grant": SlicesGranted,
    "lease": LeaseLost,
    "settings": SettingsInForce,
    "admission": RequestRefused,
    "retry": RequestRetried,
    "drain": DrainBegan,
    "drained": DrainEnded,
    "fault": FaultSeen,
}
_KIND_OF = {detail_type: kind for kind, detail_type in _KINDS.items()}

KINDS = tuple(_KINDS)
"""The short names of all kinds of event."""


class Event(NamedTuple):
    """An event of one process at one point of the time line."""

    stamp: hybrid_clock.Timestamp
    process: str
    detail: Detail

    @property
    def kind(self) -> str:
        """The short name of the event's kind."""
        return _KIND_OF[type(self.detail)]


class WireEvent(NamedTuple):
    """An event as it travels between processes."""

    stamp: hybrid_clock.Timestamp
    process: str
    kind: str
    detail: dict[str, Any]


def to_wire(event: Event) -> WireEvent:
    """Returns the event ready to be encoded."""
    detail = dataclasses.asdict(event.detail)
    return WireEvent(event.stamp, event.process, event.kind, detail)


def from_wire(wire: WireEvent) -> Event:
    """Returns the event that was sent.

    Raises:
        KeyError: A newer process sent a kind that is not known here.
        msgspec.ValidationError: The detail does not fit its kind.
    """
    detail = msgspec.convert(wire.detail, _KINDS[wire.kind])
    return Event(wire.stamp, wire.process, detail)
