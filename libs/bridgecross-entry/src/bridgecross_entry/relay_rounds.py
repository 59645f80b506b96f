"""The outcome of sending a heartbeat to all other instances."""

import dataclasses

from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRound:
    """The outcome of sending one heartbeat to all other instances."""

    # The term of the claim under which it was sent.
    term: int
    # When it was sent, on the monotonic clock.
    sent_s: float
    # The other listed instances, by peer address.
    peers: frozenset[model.Address]
    # Those that accepted the heartbeat.
    accepted: frozenset[model.Address]
    # Those at which a process answered that has just started. Their earlier
    # runs, which may have followed another leader, have ended.
    restarted: frozenset[model.Address]
    # Those whose address refused the connection. It shows nothing about the
    # process: whatever rejects packets on the way refuses connections too.
    refused: frozenset[model.Address]
    # Whether one of them knows of a later claim.
    is_disputed: bool
    # The offset up to which the list of instances was known that the heartbeat
    # was sent to, and how long ago it was the newest.
    list_offset: int | None = None
    list_age_s: float = float("inf")

    @property
    def is_majority(self) -> bool:
        """Whether most instances follow, counting the leader itself.

        Instances that have just started are left out. All others count as long
        as they are listed, since one that cannot be reached may be running.
        """
        listed_count = len(self.peers) + 1
        following_count = len(self.accepted) + 1
        return 2 * following_count > listed_count - len(self.restarted)

    @property
    def excludes_others(self) -> bool:
        """Whether no other leader can get a majority of the same list.

        At least half know of this leader's claim, with the leader itself. None
        of them accepts a heartbeat of an earlier one.
        """
        listed_count = len(self.peers) + 1
        informed_count = len(self.informed) + 1
        return 2 * informed_count >= listed_count

    @property
    def is_unanimous(self) -> bool:
        """Whether all listed instances know of the leader's claim.

        So a previous leader that is listed has learned of it, or has ended.
        """
        return self.peers <= self.informed

    @property
    def informed(self) -> frozenset[model.Address]:
        """Those that know of the leader's claim by their answers."""
        return self.accepted | self.restarted

    @property
    def counts(self) -> dict[str, int]:
        """How many instances were counted, with the leader; for log lines."""
        return {
            "listed": len(self.peers) + 1,
            "accepted": len(self.accepted) + 1,
            "restarted": len(self.restarted),
            "refused": len(self.refused),
        }

    def listed(self, own: model.Address) -> frozenset[model.Address]:
        """Returns all listed instances, with the leader itself."""
        return self.peers | {own}
