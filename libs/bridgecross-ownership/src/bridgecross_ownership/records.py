"""What coordinators append to the log about a service.

A service is one *cell*: a chain of claims and assignments in which each
record names the one that it builds on. A record that names another base is
void for every reader, so a paused coordinator that wakes changes nothing.
"""

from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids

CLAIM_KIND = "claim"
"""The kind of a record that holds a ``Claim``."""

ASSIGNMENT_KIND = "assignment"
"""The kind of a record that holds an ``Assignment``."""


class Claim(NamedTuple):
    """An instance makes itself the coordinator of a service.

    ``supersedes`` is the term that the claim ends, ``NO_OFFSET`` for the
    first. ``slice_count`` counts in the first claim only.
    """

    service: ids.ServiceName
    supersedes: ids.Term
    coordinator: ids.InstanceId
    slice_count: int


class ServerSlices(NamedTuple):
    """Slices that get a new owner."""

    server: ids.ServerId
    slices: tuple[ids.SliceIndex, ...]


class ServerFront(NamedTuple):
    """The instance through which all requests to a server go from now on.

    While the log is silent, the front may go on as long as one of the
    ``witnesses`` confirms that it has read nothing newer. If the server is
    lost in that time, the front may hand its slices to the ``heir``, another
    server; empty for none.
    """

    server: ids.ServerId
    front: ids.InstanceId
    witnesses: tuple[ids.InstanceId, ...]
    heir: ids.ServerId


class Assignment(NamedTuple):
    """A change of owners and fronts.

    ``base`` is the offset of the claim or assignment that it builds on.
    ``settled`` are slices whose earlier owners have certainly let go,
    ``seated`` are servers that have accepted their newest front and so refuse
    every earlier one, ``retired`` are servers that need no front any more.
    """

    service: ids.ServiceName
    term: ids.Term
    base: ids.Offset
    moves: tuple[ServerSlices, ...]
    fronts: tuple[ServerFront, ...]
    settled: tuple[ids.SliceIndex, ...]
    seated: tuple[ids.ServerId, ...]
    retired: tuple[ids.ServerId, ...]
    reason: str


CLAIMS = codec.Codec(Claim)
"""The codec of the bodies of claims."""

ASSIGNMENTS = codec.Codec(Assignment)
"""The codec of the bodies of assignments."""
