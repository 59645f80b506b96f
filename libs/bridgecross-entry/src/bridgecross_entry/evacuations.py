"""Failure domains that the operator has evacuated.

An evacuation is part of the operator's configuration. Requests without a key
avoid an evacuated domain as soon as an instance knows of it. Keys owned by a
server there are still served by it while they move, but only for a part of the
allowed time, counted from when the domain was last known not to be evacuated.
"""

from collections.abc import Container
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationSettings:
    """The timing of an evacuation."""

    # The part of the platform's bound during which servers in the domain still
    # serve the keys they own. Moves take up to a second, an instance knows of
    # the evacuation within 1.7 s, and 0.25 s may pass until a request that was
    # sent arrives.
    keys_served_ratio: float = 0.5


class EvacuationChange(NamedTuple):
    """The start or end of an evacuation, as the operator requested it."""

    domain: str
    is_evacuated: bool


class _Evacuation(NamedTuple):
    """The state of an evacuated failure domain."""

    since_s: float
    # Until when servers there may serve the keys they own.
    keys_until_s: float


class Evacuations:
    """The evacuated failure domains that this instance knows of."""

    def __init__(
        self,
        settings: EvacuationSettings,
        bounds: model.Bounds,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the state without evacuations.

        Args:
            settings: The timing of an evacuation.
            bounds: The platform's bound on the time that it may take.
            journal: Receives a line at each start and end.
            clock: Tells the time.
        """
        self._settings = settings
        self._bounds = bounds
        self._journal = journal
        self._clock = clock
        self._evacuated: dict[str, _Evacuation] = {}
        # Pairs of a service and an evacuated failure domain in which no server
        # owns a key of it any more.
        self._emptied: set[tuple[ids.ServiceName, str]] = set()

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains that are evacuated."""
        return frozenset(self._evacuated)

    def is_evacuated(self, domain: str) -> bool:
        """Whether a failure domain is evacuated."""
        return domain in self._evacuated

    def may_serve_keys(self, domain: str, now_s: float) -> bool:
        """Whether servers in a failure domain may serve the keys they own."""
        evacuation = self._evacuated.get(domain)
        return evacuation is None or now_s < evacuation.keys_until_s

    def note_owners(
        self, service: ids.ServiceName, domains: Container[str]
    ) -> None:
        """Logs when a service's last key has left an evacuated domain.

        Args:
            service: A service whose keys this instance coordinates.
            domains: The failure domains of the servers that own its keys.
        """
        for domain, evacuation in self._evacuated.items():
            if domain in domains or (service, domain) in self._emptied:
                continue
            self._emptied.add((service, domain))
            took_s = self._clock.monotonic_s() - evacuation.since_s
            self._journal.decision(
                "evacuation_done",
                service=service,
                domain=domain,
                took_s=round(took_s, 3),
            )

    def apply(
        self, changes: Iterable[EvacuationChange], last_known_s: float | None
    ) -> set[str]:
        """Applies changes by the operator.

        Args:
            changes: The changes, in the order in which they were made.
            last_known_s: When the operator's wishes were last known before
                these changes; None if never.

        Returns:
            The failure domains whose evacuation has ended.
        """
        ended = set()
        for change in changes:
            if change.is_evacuated:
                ended.discard(change.domain)
                self._begin(change.domain, last_known_s)
            elif self._evacuated.pop(change.domain, None) is not None:
                ended.add(change.domain)
                self._emptied = {
                    each for each in self._emptied if each[1] != change.domain
                }
                self._journal.lifecycle("evacuation_over", domain=change.domain)
        return ended

    def _begin(self, domain: str, last_known_s: float | None) -> None:
        """Records that a failure domain is evacuated."""
        if domain in self._evacuated:
            return
        now_s = self._clock.monotonic_s()
        # An instance that has just started has sent no requests there before.
        requested_s = now_s if last_known_s is None else last_known_s
        bound_s = self._bounds.evacuation_ms / 1_000
        until_s = requested_s + bound_s * self._settings.keys_served_ratio
        self._evacuated[domain] = _Evacuation(now_s, until_s)
        self._journal.lifecycle(
            "evacuation_in_force",
            domain=domain,
            # The operator may have requested it up to this long ago.
            known_s_ago=None
            if last_known_s is None
            else round(now_s - last_known_s, 3),
            keys_for_s=round(max(until_s - now_s, 0.0), 3),
        )
