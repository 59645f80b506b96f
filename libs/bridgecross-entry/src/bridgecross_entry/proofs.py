"""Proofs that a server no longer holds a range of keys."""

import enum
from typing import NamedTuple


class Proof(enum.StrEnum):
    """Why it is safe to grant a range to its next owner."""

    NO_PRIOR_OWNER = "no prior owner"
    RELEASED = "it answered the release"
    LEASE_OVER = "its lease is over"
    RUN_ENDED = "its run has ended"
    # A later run of the same server receives the range under a higher token.
    SAME_SERVER = "the owner is a later run of it"


class Reclaimed(NamedTuple):
    """The result of reclaiming a range from its previous owner."""

    proof: Proof
    # State with which the next owner starts warm; empty if there is none.
    handover: str = ""
