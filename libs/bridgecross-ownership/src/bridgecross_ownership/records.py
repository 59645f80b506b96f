"""The records that coordinators append to the log about a service.

The state of one service is a *cell*. It is built from a chain of claims and
assignments, in which each record names the one that it builds on. A record
that names another base is void for every reader, so a coordinator that resumes
after a pause, with an old view, changes nothing.
"""

from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids

CLAIM_KIND = "claim"
"""The kind of a record that holds a ``Claim``."""

ASSIGNMENT_KIND = "assignment"
"""The kind of a record that holds an ``Assignment``."""


class Claim(NamedTuple):
    """Makes an instance the coordinator of a service.

    ``supersedes`` is the term that the claim ends, ``NO_OFFSET`` for the
    first claim. ``slice_count`` is used in the first claim only.
    """

    service: ids.ServiceName
    supersedes: ids.Term
    coordinator: ids.InstanceId
    slice_count: int


class ServerSlices(NamedTuple):
    """Slices that a server becomes the owner of."""

    server: ids.ServerId
    slices: tuple[ids.SliceIndex, ...]


class ServerQueueOwner(NamedTuple):
    """A server's queue owner: the instance that all its requests pass through.

    While the log cannot be read, the queue owner may continue as long as one of
    the ``witnesses`` confirms that it has read nothing newer. If the server is
    lost in that time, the queue owner may hand its slices over to the
    ``backup``, which is another server, or empty for none.
    """

    server: ids.ServerId
    instance: ids.InstanceId
    witnesses: tuple[ids.InstanceId, ...]
    backup: ids.ServerId


class Assignment(NamedTuple):
    """A change of owners and queue owners.

    ``base`` is the offset of the claim or assignment that it builds on.
    ``settled`` are slices that all earlier owners have certainly released,
    ``accepted_queue_owners`` are servers that have accepted their newest queue
    owner and therefore refuse every earlier one, and ``retired`` are servers
    that no longer need a queue owner.
    """

    service: ids.ServiceName
    term: ids.Term
    base: ids.Offset
    moves: tuple[ServerSlices, ...]
    queue_owners: tuple[ServerQueueOwner, ...]
    settled: tuple[ids.SliceIndex, ...]
    accepted_queue_owners: tuple[ids.ServerId, ...]
    retired: tuple[ids.ServerId, ...]
    reason: str


CLAIMS = codec.Codec(Claim)
"""Encodes and decodes the bodies of claims."""

ASSIGNMENTS = codec.Codec(Assignment)
"""Encodes and decodes the bodies of assignments."""
