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
    # Those of which no process is left that may follow another leader.
    ended: frozenset[model.Address]
    # Whether one of them knows of a later claim.
    is_disputed: bool
    # The offset up to which the list of instances was known that the heartbeat
    # was sent to, and how long ago it was the newest.
    list_offset: int | None = None
    list_age_s: float = float("inf")

    @property
    def is_majority(self) -> bool:
        """Whether most instances follow, counting the leader itself."""
        listed_count = len(self.peers) + 1
        return 2 * (len(self.accepted) + 1) > listed_count - len(self.ended)

    @property
    def is_unanimous(self) -> bool:
        """Whether no listed instance can still follow another leader."""
        return self.peers <= self.accepted | self.ended

    @property
    def counts(self) -> dict[str, int]:
        """How many instances were counted, with the leader; for log lines."""
        return {
            "listed": len(self.peers) + 1,
            "accepted": len(self.accepted) + 1,
            "ended": len(self.ended),
        }

    def listed(self, own: model.Address) -> frozenset[model.Address]:
        """Returns all listed instances, with the leader itself."""
        return self.peers | {own}
