"""Queries between queue owners before a slice or a server changes hands."""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids
from bridgecross_ownership import leases


class ReleaseQuery(NamedTuple):
    """Asks whether a server has released slices.

    ``wanted`` are the slices with the tokens that they have in the log, and
    ``head`` is the newest record that the asking queue owner has read. The
    queue owner that answers must have read the log up to that record.
    """

    service: ids.ServiceName
    server: ids.ServerId
    wanted: list[leases.SliceGrant]
    head: ids.Offset


class ReleaseReply(NamedTuple):
    """The slices that the server has certainly released."""

    released: list[ids.SliceIndex]


class QueueOwnerDrainedQuery(NamedTuple):
    """Asks whether an earlier queue owner of a server has drained.

    ``queue_owner_token`` is the token of the earlier queue owner, and ``head``
    the record that replaced it. An instance that has not read that record may
    still act.
    """

    service: ids.ServiceName
    server: ids.ServerId
    queue_owner_token: ids.Token
    head: ids.Offset


class QueueOwnerDrainedReply(NamedTuple):
    """Whether a queue owner has drained: no request runs, and none can start.

    ``instance`` is the instance that answers. Another run of it at the same
    address does not know about the earlier queue owner.
    """

    instance: ids.InstanceId
    is_drained: bool


class Takeover(NamedTuple):
    """A slice of a lost server, handed to its backup while the log is down.

    ``token`` is the slice's token and ``queue_owner_token`` that of the lost
    server's queue owner. The takeover ends when the log replaces either of
    them.
    """

    slice: ids.SliceIndex
    owner: ids.ServerId
    token: ids.Token
    queue_owner_token: ids.Token


class ReleaseSource(Protocol):
    """Asks queue owners about the slices and requests of their servers."""

    async def await_release(
        self, queue_owner: ids.InstanceId, query: ReleaseQuery
    ) -> ReleaseReply:
        """Waits a short while for slices to be released.

        Returns:
            The released slices; none if the queue owner cannot be reached.
        """

    async def is_queue_owner_drained(
        self, queue_owner: ids.InstanceId, query: QueueOwnerDrainedQuery
    ) -> bool:
        """Returns whether an earlier queue owner has certainly drained.

        Args:
            queue_owner: The instance that was the queue owner.
            query: The query for the earlier queue owner.
        """


class WitnessSource(Protocol):
    """Asks other instances how far they have read the log."""

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        """Returns whether an instance has certainly read a record.

        Args:
            instance: The instance. A later run of it does not count.
            offset: The offset of the record.
        """
