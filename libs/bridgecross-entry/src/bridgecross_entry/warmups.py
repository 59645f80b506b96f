"""How many requests cold servers get, over all instances.

A server that has started a moment ago falls over under what a warm one bears,
and no instance sees what the others send it. So each request that reaches a
cold server has a permit, and one instance gives these out: the one that counts
for the servers of a service in their failure domain, and only while it is
certain to be alone in that. It gives half of what is allowed, so that what was
held up on the way, or came from one that should not have counted, fits as well.
"""

from collections.abc import Callable
import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import model
from bridgecross_entry import permits

_ISSUED_MAX_COUNT = 10_000
"""Permits in a window that are remembered for a server; one that bears more
need not be taken for cold."""


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupSettings:
    """How permits for cold servers are given out."""

    # The part of what a cold server may get that one issuer gives out.
    issued_ratio: float = 0.5
    # A permit for a cold server is used so soon after it was asked for, or not
    # at all.
    use_within_s: float = 0.5
    # Requests that arrive within a second were permitted within this time: a
    # second, the time to use a permit, and 0.25 s to connect.
    window_s: float = 1.75
    # Who counts is known by the list of instances. One that is older says
    # nothing of who else may have been ranked first since.
    list_age_max_s: float = 3.0
    # Once the list has changed, nobody is certain for this long. It is longer
    # than a list may be old, so any two that are certain have known the list
    # of the same moment, and it ranks one of them first.
    settle_s: float = 3.5


class IssuerCertainty:
    """Whether this instance is the only one that counts for some servers."""

    def __init__(
        self,
        settings: WarmupSettings,
        own: model.Address,
        candidates: Callable[[str], tuple[model.Address, ...]],
        list_age_s: Callable[[], float],
        list_settled_s: Callable[[], float],
    ) -> None:
        """Asks nothing yet.

        Args:
            settings: How sure it must be.
            own: Where this instance listens.
            candidates: Returns the instances of a failure domain that may
                count; the same object until they change.
            list_age_s: Returns how long ago the list of instances was known to
                be the newest.
            list_settled_s: Returns for how long it has not changed.
        """
        self._settings = settings
        self._own = own
        self._candidates = candidates
        self._list_age_s = list_age_s
        self._list_settled_s = list_settled_s

    def is_certain(self, service: ids.ServiceName, domain: str) -> bool:
        """Whether no other instance counts for the servers at this moment."""
        settings = self._settings
        if self._list_age_s() > settings.list_age_max_s:
            return False
        if self._list_settled_s() < settings.settle_s:
            return False
        candidates = self._candidates(domain)
        if self._own not in candidates:
            return False
        return permits.rank_issuers(service, domain, candidates)[0] == self._own


def count_issued(
    settings: WarmupSettings, bounds: model.Bounds, rate_per_s: float
) -> int:
    """Returns how many permits for a cold server one window holds.

    Args:
        settings: How permits are given out.
        bounds: What cold servers may get.
        rate_per_s: Requests a second that a cold server bears.
    """
    allowed = rate_per_s * bounds.warmup_overage_ratio + bounds.warmup_slack
    return math.floor(min(allowed * settings.issued_ratio, _ISSUED_MAX_COUNT))


class WarmupLedger:
    """What an issuer has given out for cold servers."""

    def __init__(
        self,
        settings: WarmupSettings,
        bounds: model.Bounds,
        clock: clocks.Clock,
    ) -> None:
        """Has given out nothing.

        Args:
            settings: How permits are given out.
            bounds: What cold servers may get.
            clock: For all times.
        """
        self._settings = settings
        self._bounds = bounds
        self._clock = clock
        # When permits for each server were given, the newest last.
        self._given_s: dict[ids.ServerId, list[float]] = {}

    def wait_s(self, server_id: ids.ServerId, rate_per_s: float) -> float:
        """Returns how long until a permit may be given; 0 if at once."""
        limit = count_issued(self._settings, self._bounds, rate_per_s)
        if limit <= 0:
            return math.inf
        from_s = self._clock.monotonic_s() - self._settings.window_s
        given_s = [
            at_s for at_s in self._given_s.get(server_id, ()) if at_s > from_s
        ]
        self._given_s[server_id] = given_s
        return given_s[-limit] - from_s if len(given_s) >= limit else 0.0

    def take(self, server_id: ids.ServerId) -> None:
        """Counts a permit that is given."""
        given_s = self._given_s.setdefault(server_id, [])
        given_s.append(self._clock.monotonic_s())

    def sweep(self) -> None:
        """Forgets what counts no more."""
        from_s = self._clock.monotonic_s() - self._settings.window_s
        self._given_s = {
            server_id: given_s
            for server_id, given_s in self._given_s.items()
            if given_s and given_s[-1] > from_s
        }
