"""Who sends a request, and in which tier."""

import dataclasses
import hashlib

from bridgecross_settings import tree


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A known caller with a place in a tier of the service."""

    # The caller's name in the settings.
    caller: str
    # The tier that the caller has bought.
    tier: tree.Tier


@dataclasses.dataclass(frozen=True)
class UnknownCaller:
    """The credential is missing or belongs to nobody."""


@dataclasses.dataclass(frozen=True)
class NoTier:
    """A known caller has no place in any tier of the service."""

    # The caller's name in the settings.
    caller: str


Admission = Admitted | UnknownCaller | NoTier
"""What the settings say of a caller and a service."""


def find_caller(
    house: tree.House, place: str, service: tree.Service, credential: str
) -> Admission:
    """Returns the caller that a credential belongs to, and its tier."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    caller = house.callers.get(digest)
    if caller is None:
        return UnknownCaller()
    tier_name = caller.tiers.get(f"{place}/{service.name}")
    if tier_name is None:
        return NoTier(caller.name)
    return Admitted(caller.name, service.tiers[tier_name])
