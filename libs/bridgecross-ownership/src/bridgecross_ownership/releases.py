"""Queries between fronts before a slice or a server changes hands."""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids
from bridgecross_ownership import leases


class ReleaseQuery(NamedTuple):
    """Asks whether a server has released slices.

    ``wanted`` are the slices with the tokens that they have in the log, and
    ``head`` is the newest record that the asking front has read. The front that
    answers must have read the log up to that record.
    """

    service: ids.ServiceName
    server: ids.ServerId
    wanted: list[leases.SliceGrant]
    head: ids.Offset


class ReleaseReply(NamedTuple):
    """The slices that the server has certainly released."""

    released: list[ids.SliceIndex]


class FrontDrainedQuery(NamedTuple):
    """Asks whether an earlier front of a server has drained.

    ``front_token`` is the token of the earlier front, and ``head`` the record
    that replaced it. An instance that has not read that record may still act.
    """

    service: ids.ServiceName
    server: ids.ServerId
    front_token: ids.Token
    head: ids.Offset


class FrontDrainedReply(NamedTuple):
    """Whether a front has drained: no request runs, and none can start.

    ``instance`` is the instance that answers. Another run of it at the same
    address does not know about the earlier front.
    """

    instance: ids.InstanceId
    is_drained: bool


class Takeover(NamedTuple):
    """A slice of a lost server, handed to its backup while the log is down.

    ``token`` is the slice's token and ``front_token`` that of the lost server's
    front. The takeover ends when the log replaces either of them.
    """

    slice: ids.SliceIndex
    owner: ids.ServerId
    token: ids.Token
    front_token: ids.Token


class ReleaseSource(Protocol):
    """Asks fronts about the slices and requests of their servers."""

    async def await_release(
        self, front: ids.InstanceId, query: ReleaseQuery
    ) -> ReleaseReply:
        """Waits a short while for slices to be released.

        Returns:
            The released slices; none if the front cannot be reached.
        """

    async def is_front_drained(
        self, front: ids.InstanceId, query: FrontDrainedQuery
    ) -> bool:
        """Returns whether an earlier front has certainly drained.

        Args:
            front: The instance that was the front.
            query: The query for the earlier front.
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
