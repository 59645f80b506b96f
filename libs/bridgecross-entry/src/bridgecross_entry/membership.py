"""Membership of the instances in a group of the platform's log.

The log deals partitions out to the members. Whoever holds a service's
partition coordinates the service; whoever holds the first one reads the
log's topics for all.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import anyio

from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model

GROUP = "bridgecross-instances"

_READER_PARTITION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How an instance stays a member."""

    # The log drops a member that is silent for this long. The least that the
    # platform takes; a new coordinator is wanted soon.
    ttl_ms: float = 1_000.0
    # Under half of that, so that one lost call does not cost the membership.
    join_interval_s: float = 0.4


class Membership:
    """This instance's place among the others."""

    def __init__(
        self,
        settings: MembershipSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        on_change: Callable[[], None],
        journal: journals.Journal,
    ) -> None:
        """Has no place yet.

        Args:
            settings: How to stay a member.
            instance: This instance.
            log: The platform's log.
            on_change: Called after each answer of the log.
            journal: Told of changes.
        """
        self.peers: tuple[model.Address, ...] = ()
        self._settings = settings
        self._instance = instance
        self._log = log
        self._on_change = on_change
        self._journal = journal
        self._place = logs.Membership(0, frozenset())
        self._peers_generation = -1
        # The member's name tells the others where it listens.
        self._member = f"{instance.name}@{instance.peer_address}"

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the log for all."""
        return _READER_PARTITION in self._place.partitions

    def coordinates(self, service: ids.ServiceName) -> bool:
        """Whether this instance coordinates a service."""
        partition = sum(service.encode()) % self._instance.partitions
        return partition in self._place.partitions

    async def run(self) -> None:
        """Stays a member until cancelled."""
        ttl_ms = max(self._settings.ttl_ms, self._instance.member_ttl_min_ms)
        while True:
            result = await self._log.join(
                GROUP, self._member, ttl_ms, self._place.generation
            )
            if isinstance(result, logs.Membership):
                self._note(result)
            self._on_change()
            await anyio.sleep(self._settings.join_interval_s)

    async def refresh_peers(self) -> bool:
        """Reads who the others are, if the group has changed.

        Returns:
            Whether others may have come or gone.
        """
        generation = self._place.generation
        if generation == self._peers_generation:
            return False
        roster = await self._log.read_roster(GROUP)
        if isinstance(roster, logs.Unreachable):
            return False
        self._peers_generation = generation
        self.set_peers(self._parse(member) for member in roster.members)
        return True

    def set_peers(self, addresses: Iterable[model.Address | None]) -> None:
        """Sets where the other instances listen."""
        own = self._instance.peer_address
        others = {a for a in addresses if a is not None and a != own}
        self.peers = tuple(sorted(others))

    async def leave(self) -> None:
        """Gives the place up at once."""
        self._place = logs.Membership(self._place.generation, frozenset())
        await self._log.leave(GROUP, self._member)

    def _note(self, place: logs.Membership) -> None:
        """Keeps what the log says of this member."""
        if place.partitions != self._place.partitions:
            self._journal.decision(
                "membership",
                generation=place.generation,
                partitions=sorted(place.partitions),
            )
        self._place = place

    def _parse(self, member: str) -> model.Address | None:
        """Returns where a member listens; None if its name does not say."""
        try:
            return model.parse_address(member.rpartition("@")[2])
        except ValueError as error:
            self._journal.decision(
                "member_unreadable", member=member, reason=str(error)
            )
            return None
