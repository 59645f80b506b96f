"""Decides which requests go to their server through a relay, and which one.

With few slots, opening a connection takes a noticeable part of a server's
capacity. Where many instances share such a server, each sends to it so rarely
that nearly every request would open one. Therefore a few instances, the relays
of the server, keep connections to it, and the others send through them.

Nothing is agreed on: each instance computes the same relays from the list of
instances. Instances with different lists choose different relays for a while,
which costs connections only.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """When requests go through relays."""

    # The relays of a server. Nearly all requests go through the first one; the
    # second keeps connections few while the first is left alone.
    relay_count: int = 2
    # Requests with a larger body go straight: their bytes would delay the other
    # requests on the relay's link longer than opening a connection takes.
    body_max_bytes: int = 64 * 1024
    # Requests with less time left go straight: there would be no time for
    # another attempt once a relay is found to be out of reach.
    remaining_min_s: float = 0.1
    # How long a relay is left alone after it did not answer or refused a
    # request. The pause doubles with each failure until a request has been sent
    # through the relay again.
    first_pause_s: float = 1.0
    longest_pause_s: float = 8.0


class Way(NamedTuple):
    """The way that one request goes to its server."""

    # The relay that it goes through; None if it goes straight.
    relay: model.Address | None
    # Better relays that are not known to answer, in order. They are to be
    # asked, so that later requests can use them.
    wanted: tuple[model.Address, ...] = ()


STRAIGHT = Way(None)
"""The request goes straight, and no relay is wanted for it."""


class _Pause(NamedTuple):
    """A time for which a relay is left alone."""

    # On the monotonic clock.
    began_s: float
    length_s: float


class _PauseKey(NamedTuple):
    """What a pause applies to."""

    relay: model.Address
    # A server that is not reached through the relay; empty for all servers.
    server_id: ids.ServerId


class _Ranked(NamedTuple):
    """The cached relays of a server.

    They are valid as long as the list of candidates is the same object.
    """

    candidates: Sequence[model.Address]
    relays: tuple[model.Address, ...]


_ALL_SERVERS = ids.ServerId("")


def rank_relays(
    server: model.BackendServer, candidates: Iterable[model.Address]
) -> list[model.Address]:
    """Ranks the possible relays of a server, best first.

    All runs of a server have the same relays.

    Args:
        server: The server.
        candidates: The strong instances of its failure domain.
    """
    by_name = {str(address): address for address in candidates}
    subject = f"{server.service}/{server.name}"
    names = hashing.rank_by_rendezvous(subject, by_name)
    return [by_name[name] for name in names]


class RelayChoice:
    """Chooses relays, and knows which ones are left alone."""

    def __init__(
        self,
        settings: RelaySettings,
        own_address: model.Address,
        has_few_slots: Callable[[ids.ServiceName], bool],
        strong_instances: Callable[[str], Sequence[model.Address]],
        heard_s: Callable[[model.Address], float | None],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Starts without pauses.

        Args:
            settings: When requests go through relays.
            own_address: The address of this instance for others.
            has_few_slots: Whether the servers of a service have few slots.
            strong_instances: Returns those of a failure domain; the same
                object until one of them changes.
            heard_s: Returns when an instance last answered, on the monotonic
                clock, or None if that is too long ago to send something
                through it.
            journal: Logs relays that are left alone.
            clock: The time source.
        """
        self._settings = settings
        self._own_address = own_address
        self._has_few_slots = has_few_slots
        self._strong_instances = strong_instances
        self._heard_s = heard_s
        self._journal = journal
        self._clock = clock
        self._ranked: dict[ids.ServerId, _Ranked] = {}
        self._pauses: dict[_PauseKey, _Pause] = {}

    def choose(
        self,
        server: model.BackendServer,
        body_bytes: int,
        remaining_s: float,
        is_connected: Callable[[], bool],
    ) -> Way:
        """Returns the way that a request goes.

        Args:
            server: Its server.
            body_bytes: The size of its body.
            remaining_s: The time until its deadline.
            is_connected: Whether an idle connection to the server can be used.
        """
        settings = self._settings
        if not self._has_few_slots(server.service):
            return STRAIGHT
        if body_bytes > settings.body_max_bytes:
            return STRAIGHT
        if remaining_s < settings.remaining_min_s:
            return STRAIGHT
        relays = self.relays_of(server)
        if self._own_address in relays or is_connected():
            return STRAIGHT
        wanted: list[model.Address] = []
        for relay in relays:
            if self._is_left_alone(relay, server.server_id):
                continue
            if self._is_ready(relay):
                return Way(relay, tuple(wanted))
            wanted.append(relay)
        return Way(None, tuple(wanted))

    def relays_of(
        self, server: model.BackendServer
    ) -> tuple[model.Address, ...]:
        """Returns the relays of a server, best first; none if unknown."""
        candidates = self._strong_instances(server.failure_domain)
        ranked = self._ranked.get(server.server_id)
        if ranked is None or ranked.candidates is not candidates:
            relays = rank_relays(server, candidates)
            ranked = _Ranked(
                candidates, tuple(relays[: self._settings.relay_count])
            )
            self._ranked[server.server_id] = ranked
        return ranked.relays

    def _is_ready(self, relay: model.Address) -> bool:
        """Whether a relay answered recently and since its last failure."""
        heard_s = self._heard_s(relay)
        if heard_s is None:
            return False
        pause = self._pauses.get(_PauseKey(relay, _ALL_SERVERS))
        return pause is None or heard_s > pause.began_s

    def _is_left_alone(
        self, relay: model.Address, server_id: ids.ServerId
    ) -> bool:
        """Whether a relay is left alone, for all servers or for this one."""
        now_s = self._clock.monotonic_s()
        return any(
            pause is not None and now_s < pause.began_s + pause.length_s
            for pause in (
                self._pauses.get(_PauseKey(relay, _ALL_SERVERS)),
                self._pauses.get(_PauseKey(relay, server_id)),
            )
        )

    def note_served(
        self, relay: model.Address, server_id: ids.ServerId
    ) -> None:
        """Records that a request was sent to its server through a relay."""
        self._pauses.pop(_PauseKey(relay, _ALL_SERVERS), None)
        self._pauses.pop(_PauseKey(relay, server_id), None)

    def note_failed(
        self,
        relay: model.Address,
        reason: str,
        server_id: ids.ServerId = _ALL_SERVERS,
    ) -> None:
        """Leaves a relay alone, unless it already is.

        Args:
            relay: The relay.
            reason: What failed, for the log.
            server_id: The only server for which it is left alone; if omitted,
                it is left alone for all.
        """
        if self._is_left_alone(relay, server_id):
            return
        settings = self._settings
        key = _PauseKey(relay, server_id)
        last = self._pauses.get(key)
        length_s = settings.first_pause_s
        if last is not None:
            length_s = min(2 * last.length_s, settings.longest_pause_s)
        self._pauses[key] = _Pause(self._clock.monotonic_s(), length_s)
        self._journal.decision(
            "relay_left_alone",
            address=str(relay),
            server=server_id,
            reason=reason,
            pause_s=length_s,
        )

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Forgets servers that have ended, and pauses that ended long ago."""
        for server_id in [each for each in self._ranked if each not in known]:
            del self._ranked[server_id]
        now_s = self._clock.monotonic_s()
        longest_s = self._settings.longest_pause_s
        for key, pause in list(self._pauses.items()):
            if now_s > pause.began_s + pause.length_s + longest_s:
                del self._pauses[key]
