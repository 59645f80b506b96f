"""What fronts ask one another before a slice or a server changes hands."""

from typing import NamedTuple
from typing import Protocol

from bridgecross_core import ids
from bridgecross_ownership import leases


class ReleaseQuery(NamedTuple):
    """Asks whether a server has let go of slices.

    ``wanted`` are the slices with the tokens that they have in the log, and
    ``head`` is the newest record that the asker has read: an answer that has
    read less is worth nothing.
    """

    service: ids.ServiceName
    server: ids.ServerId
    wanted: list[leases.SliceGrant]
    head: ids.Offset


class ReleaseReply(NamedTuple):
    """The slices that the server has certainly let go of."""

    released: list[ids.SliceIndex]


class FrontDrainedQuery(NamedTuple):
    """Asks whether all is over that an instance did as a server's front.

    ``front_token`` is that of the office that is meant, and ``head`` the record
    that replaced it: an instance that has not read so far may still act.
    """

    service: ids.ServiceName
    server: ids.ServerId
    front_token: ids.Token
    head: ids.Offset


class FrontDrainedReply(NamedTuple):
    """Whether nothing of the office is under way or can begin any more.

    ``instance`` answers; another run at the same address knows nothing of it.
    """

    instance: ids.InstanceId
    is_drained: bool


class Takeover(NamedTuple):
    """A slice of a lost server, handed to its backup while the log is silent.

    ``token`` and ``front_token`` are those of the slice and of the lost
    server's front: the takeover ends with either of them.
    """

    slice: ids.SliceIndex
    owner: ids.ServerId
    token: ids.Token
    front_token: ids.Token


class ReleaseSource(Protocol):
    """Asks the front of a server what the server has let go of."""

    async def await_release(
        self, front: ids.InstanceId, query: ReleaseQuery
    ) -> ReleaseReply:
        """Waits a short while for slices to be let go of.

        Returns:
            What has been let go of; nothing if the front cannot be reached.
        """

    async def is_front_drained(
        self, front: ids.InstanceId, query: FrontDrainedQuery
    ) -> bool:
        """Returns whether all is certainly over that an earlier front did.

        Args:
            front: The instance that was the front.
            query: The office that is meant.
        """


class WitnessSource(Protocol):
    """Asks other instances how far they have read the log."""

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        """Returns whether an instance has certainly read a record.

        Args:
            instance: The run of an instance that is meant; a later run of it
                does not count.
            offset: The record.
        """
