"""Identifies the caller of a request and its tier."""

import dataclasses
import hashlib

from bridgecross_settings import tree


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A known caller that has a tier of the service."""

    # The caller's name in the settings.
    caller: str
    # The tier that the caller has bought.
    tier: tree.Tier


@dataclasses.dataclass(frozen=True)
class UnknownCaller:
    """The credential is missing or belongs to no caller."""


@dataclasses.dataclass(frozen=True)
class NoTier:
    """A known caller that has no tier of the service."""

    # The caller's name in the settings.
    caller: str


Admission = Admitted | UnknownCaller | NoTier
"""Whether the settings admit a caller to a service."""


def find_caller(
    house: tree.House, place: str, service: tree.Service, credential: str
) -> Admission:
    """Looks up the caller that a credential belongs to, and its tier."""
    digest = hashlib.sha256(credential.encode()).hexdigest()
    caller = house.callers.get(digest)
    if caller is None:
        return UnknownCaller()
    tier_name = caller.tiers.get(f"{place}/{service.name}")
    if tier_name is None:
        return NoTier(caller.name)
    return Admitted(caller.name, service.tiers[tier_name])
