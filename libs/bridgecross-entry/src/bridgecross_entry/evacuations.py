"""Failure domains whose servers are to get no requests, by the operator's word.

The word comes by the way of the configuration. Requests that any server could
serve stay away as soon as an instance knows. Keys that a server there owns go
on being served by it while they move, but for no longer than a part of the
bound, counted from when the domain was last known not to be evacuated.
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
    """How an evacuation is carried out."""

    # The part of the platform's bound in which keys may be served where they
    # are. Moves take up to a second; an instance knows of the word within 1.7
    # s, and 0.25 s may pass until a request that was sent arrives.
    keys_ratio: float = 0.5


class EvacuationChange(NamedTuple):
    """What the operator says of a failure domain."""

    domain: str
    is_evacuated: bool


class _Evacuation(NamedTuple):
    """A failure domain that is evacuated."""

    since_s: float
    # Until when owners of keys there may be used.
    keys_until_s: float


class Evacuations:
    """The failure domains that are evacuated, as this instance knows."""

    def __init__(
        self,
        settings: EvacuationSettings,
        bounds: model.Bounds,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Knows of none.

        Args:
            settings: How an evacuation is carried out.
            bounds: How long it may take.
            journal: Told of each beginning and end.
            clock: For all times.
        """
        self._settings = settings
        self._bounds = bounds
        self._journal = journal
        self._clock = clock
        self._evacuated: dict[str, _Evacuation] = {}
        # Services that own no key in an evacuated failure domain any more.
        self._emptied: set[tuple[ids.ServiceName, str]] = set()

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains that are evacuated."""
        return frozenset(self._evacuated)

    def is_evacuated(self, domain: str) -> bool:
        """Whether a failure domain is evacuated."""
        return domain in self._evacuated

    def may_serve_keys(self, domain: str, now_s: float) -> bool:
        """Whether owners of keys in a failure domain may be used."""
        evacuation = self._evacuated.get(domain)
        return evacuation is None or now_s < evacuation.keys_until_s

    def note_owners(
        self, service: ids.ServiceName, domains: Container[str]
    ) -> None:
        """Tells when a service's last key has left an evacuated domain.

        Args:
            service: A service whose keys this instance coordinates.
            domains: Where owners of its keys run.
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

    def take(
        self, words: Iterable[EvacuationChange], known_s: float | None
    ) -> set[str]:
        """Takes what the operator says.

        Args:
            words: In the order in which they were said.
            known_s: When it was last known what the operator says, before
                these; None if never.

        Returns:
            The failure domains that are not evacuated any more.
        """
        ended = set()
        for word in words:
            if word.is_evacuated:
                ended.discard(word.domain)
                self._begin(word.domain, known_s)
            elif self._evacuated.pop(word.domain, None) is not None:
                ended.add(word.domain)
                self._emptied = {
                    each for each in self._emptied if each[1] != word.domain
                }
                self._journal.lifecycle("evacuation_over", domain=word.domain)
        return ended

    def _begin(self, domain: str, known_s: float | None) -> None:
        """Takes it that a failure domain is evacuated."""
        if domain in self._evacuated:
            return
        now_s = self._clock.monotonic_s()
        # One that has just started served nothing there before.
        said_s = now_s if known_s is None else known_s
        bound_s = self._bounds.evacuation_ms / 1_000
        until_s = said_s + bound_s * self._settings.keys_ratio
        self._evacuated[domain] = _Evacuation(now_s, until_s)
        self._journal.lifecycle(
            "evacuation_in_force",
            domain=domain,
            # The operator may have said it so long ago at most.
            known_s_ago=None if known_s is None else round(now_s - known_s, 3),
            keys_for_s=round(max(until_s - now_s, 0.0), 3),
        )
