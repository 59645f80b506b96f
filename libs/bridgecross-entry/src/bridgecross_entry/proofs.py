"""By what it is known that a server holds a range of keys no longer."""

import enum
from typing import NamedTuple


class Proof(enum.StrEnum):
    """What stands between the prior owner of a range and the next one."""

    NO_PRIOR_OWNER = "no prior owner"
    RELEASED = "it answered the release"
    LEASE_OVER = "its lease is over"
    RUN_ENDED = "its run has ended"
    # A later run of the same server takes the range under a higher token.
    SAME_SERVER = "the owner is a later run of it"


class TakenBack(NamedTuple):
    """A range that its prior owner holds no longer."""

    proof: Proof
    # Makes the next owner start warm; empty if there is nothing.
    handover: str = ""
