"""Limits how many requests cold servers get from all instances together.

A server that has just started collapses under the load that a warm one can
handle, and no instance sees what the others send to it. Therefore each request
to a cold server needs a permit. These are issued by a single instance, the
permit issuer for the service in that failure domain, and only while it is
certain to be the sole issuer. It issues half of the allowed number, which
leaves room for delayed requests and for permits of another instance that
wrongly took itself for the issuer.
"""

from collections.abc import Callable
import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import model
from bridgecross_entry import permits

_ISSUED_MAX_COUNT = 10_000
"""The largest number of permits per window for one server; a server that can
handle more need not be treated as cold."""


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupSettings:
    """How permits for cold servers are issued."""

    # The share of a cold server's allowed requests that one issuer permits.
    issued_ratio: float = 0.5
    # A permit for a cold server is used within this time after it was
    # requested, or not at all.
    use_within_s: float = 0.5
    # Requests that arrive within one second were permitted within this time:
    # one second, the time to use a permit, and 0.25 s to connect.
    window_s: float = 1.75
    # The issuer follows from the list of instances. A list older than this does
    # not show which other instance may have been ranked first since.
    list_age_max_s: float = 3.0
    # After a change of the list, no instance is certain for this long. It is
    # longer than the age of a usable list, so any two instances that are
    # certain have both read the list of some common moment, which ranks only
    # one of them first.
    list_stable_s: float = 3.5


class SoleIssuerCheck:
    """Checks whether this instance is the sole permit issuer for servers."""

    def __init__(
        self,
        settings: WarmupSettings,
        own: model.Address,
        candidates: Callable[[str], tuple[model.Address, ...]],
        list_age_s: Callable[[], float],
        list_unchanged_s: Callable[[], float],
    ) -> None:
        """Stores the sources of information.

        Args:
            settings: The required ages of the list of instances.
            own: The address of this instance.
            candidates: Returns the instances of a failure domain that may
                issue permits; the same object until they change.
            list_age_s: Returns how long ago the list of instances was known to
                be the newest.
            list_unchanged_s: Returns for how long it has not changed.
        """
        self._settings = settings
        self._own = own
        self._candidates = candidates
        self._list_age_s = list_age_s
        self._list_unchanged_s = list_unchanged_s

    def is_sole_issuer(self, service: ids.ServiceName, domain: str) -> bool:
        """Whether no other instance issues permits for the servers now."""
        settings = self._settings
        if self._list_age_s() > settings.list_age_max_s:
            return False
        if self._list_unchanged_s() < settings.list_stable_s:
            return False
        candidates = self._candidates(domain)
        if self._own not in candidates:
            return False
        return permits.rank_issuers(service, domain, candidates)[0] == self._own


def count_issued(
    settings: WarmupSettings, bounds: model.Bounds, rate_per_s: float
) -> int:
    """Returns how many permits for a cold server may be issued per window.

    Args:
        settings: How permits are issued.
        bounds: The platform's limits for cold servers.
        rate_per_s: Requests per second that the cold server can handle.
    """
    allowed = rate_per_s * bounds.warmup_overage_ratio + bounds.warmup_slack
    return math.floor(min(allowed * settings.issued_ratio, _ISSUED_MAX_COUNT))


class WarmupLedger:
    """Records the permits that an issuer has granted for cold servers."""

    def __init__(
        self,
        settings: WarmupSettings,
        bounds: model.Bounds,
        clock: clocks.Clock,
    ) -> None:
        """Starts without any permits.

        Args:
            settings: How permits are issued.
            bounds: The platform's limits for cold servers.
            clock: Measures all times.
        """
        self._settings = settings
        self._bounds = bounds
        self._clock = clock
        # When permits for each server were granted, the newest last.
        self._granted_s: dict[ids.ServerId, list[float]] = {}

    def wait_s(self, server_id: ids.ServerId, rate_per_s: float) -> float:
        """Returns how long until a permit may be granted; 0 if at once."""
        limit = count_issued(self._settings, self._bounds, rate_per_s)
        if limit <= 0:
            return math.inf
        since_s = self._clock.monotonic_s() - self._settings.window_s
        granted_s = [
            at_s
            for at_s in self._granted_s.get(server_id, ())
            if at_s > since_s
        ]
        self._granted_s[server_id] = granted_s
        return granted_s[-limit] - since_s if len(granted_s) >= limit else 0.0

    def record_grant(self, server_id: ids.ServerId) -> None:
        """Records a permit that is granted now."""
        granted_s = self._granted_s.setdefault(server_id, [])
        granted_s.append(self._clock.monotonic_s())

    def sweep(self) -> None:
        """Drops servers whose permits are all outside the window."""
        since_s = self._clock.monotonic_s() - self._settings.window_s
        self._granted_s = {
            server_id: granted_s
            for server_id, granted_s in self._granted_s.items()
            if granted_s and granted_s[-1] > since_s
        }
