"""Finds other instances that reach a server which this one does not."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import math
import random
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_core import timeouts
from bridgecross_entry import forward_channels
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import server_links
from bridgecross_entry import tasks as tasks_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ReachSettings:
    """How other instances are asked."""

    # A peer that has to connect to the server first takes up to 0.25 s.
    timeout_s: float = 0.4
    # The number of peers asked at first; twice as many are asked each time
    # that those before have not shown enough for a moment, in which a peer that
    # reaches the server has answered. 195 instances are asked within 0.2 s.
    first_asked_count: int = 3
    stagger_s: float = 0.03
    # So many peers share what this instance passes on, if there are as many.
    helper_count: int = 4
    # A server that so many peers, which reach others, do not reach has ended or
    # is unreachable for all.
    failing_count: int = 2
    # For how long an answer is used; each use confirms it.
    valid_s: float = 2.0
    # How long a peer that did not answer is not asked.
    silent_pause_s: float = 1.0
    # For how long it is not asked again for a server that nobody reaches.
    unreached_pause_s: float = 1.0
    # The same for all servers of a service if nobody could tell. The pause
    # doubles, and so many peers are asked then: where all instances are cut
    # off, they must not flood one another.
    unknown_pause_s: float = 0.25
    longest_unknown_pause_s: float = 2.0
    repeat_asked_count: int = 24
    # A peer in another failure domain is used once it has this many times fewer
    # requests of this instance: bytes between domains are charged.
    remote_domain_ratio: float = 1.7


class Peer(NamedTuple):
    """Another instance."""

    address: model.Address
    # Empty if it is not known.
    failure_domain: str


class _Answer(NamedTuple):
    """What a peer said of a server."""

    reach: forwards.Reach
    received_s: float


class _Unknown(NamedTuple):
    """A search for a server of a service in which nobody could tell."""

    ended_s: float
    # How long no other search for the service begins.
    pause_s: float


class _Scope(NamedTuple):
    """Which searches pause together."""

    service: ids.ServiceName
    # The areas in which a peer has to be; any, if empty.
    areas: frozenset[str]


class _Wanted(NamedTuple):
    """What is searched for."""

    server_id: ids.ServerId
    # The areas in which a peer has to be; any, if empty.
    areas: frozenset[str]


class _Search:
    """The answers to one search."""

    def __init__(
        self, settings: ReachSettings, wanted_count: int, found: anyio.Event
    ) -> None:
        """Starts without answers.

        Args:
            settings: What is enough.
            wanted_count: The number of peers to find.
            found: Set once there is one.
        """
        self.asked_count = 0
        self._settings = settings
        self._wanted_count = wanted_count
        self._found = found
        self._counts = dict.fromkeys(forwards.Reach, 0)
        self._answered = anyio.Event()

    def add(self, reach: forwards.Reach) -> None:
        """Adds an answer."""
        self._counts[reach] += 1
        if reach is forwards.Reach.REACHED:
            self._found.set()
        if self.is_over or not self.is_waiting:
            self._answered.set()

    @property
    def is_waiting(self) -> bool:
        """Whether some that were asked have not answered."""
        return sum(self._counts.values()) < self.asked_count

    @property
    def is_over(self) -> bool:
        """Whether nobody else needs to be asked."""
        reached_count = self._counts[forwards.Reach.REACHED]
        if reached_count:
            return reached_count >= self._wanted_count
        return self._failing_count >= self._settings.failing_count

    @property
    def _failing_count(self) -> int:
        """The number of peers that do not reach the server, but others."""
        refused_count = self._counts[forwards.Reach.REFUSED]
        return refused_count + self._counts[forwards.Reach.UNREACHED]

    @property
    def verdict(self) -> forwards.Reach:
        """What the answers show."""
        for reach in (
            forwards.Reach.REACHED,
            forwards.Reach.REFUSED,
            forwards.Reach.UNREACHED,
        ):
            if self._counts[reach]:
                return reach
        return forwards.Reach.UNKNOWN

    async def wait(self, timeout_s: float) -> None:
        """Waits until all have answered or the search is over."""
        if not self.is_waiting or self.is_over:
            return
        self._answered = anyio.Event()
        with anyio.move_on_after(timeout_s):
            await self._answered.wait()


class PeerReach:
    """Knows which other instances reach which servers, by asking them."""

    def __init__(
        self,
        settings: ReachSettings,
        instance: model.InstanceSettings,
        peers: Callable[[], Sequence[Peer]],
        has_peers: Callable[[], bool],
        channels: forward_channels.ForwardChannels,
        links: server_links.ServerLinks,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Asks nobody yet.

        Args:
            settings: How others are asked.
            instance: This instance.
            peers: Returns the other instances.
            has_peers: Returns whether there are any.
            channels: Connects to them.
            links: Is told of servers that they reach.
            journal: Logs servers that nobody reaches.
            clock: The time source.
        """
        self._settings = settings
        self._instance = instance
        self._peers = peers
        self._has_peers = has_peers
        self._channels = channels
        self._links = links
        self._journal = journal
        self._clock = clock
        self._answers: dict[ids.ServerId, dict[model.Address, _Answer]] = {}
        # What the last search showed, and when it ended.
        self._verdicts: dict[_Wanted, _Answer] = {}
        self._searches: dict[_Wanted, anyio.Event] = {}
        self._unknown: dict[_Scope, _Unknown] = {}
        self._silent_until_s: dict[model.Address, float] = {}
        # The requests of this instance that are with each peer.
        self._in_flight: dict[model.Address, int] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Enables searches.

        Args:
            tasks: Runs them.
        """
        self._tasks = tasks

    @property
    def has_peers(self) -> bool:
        """Whether there are other instances."""
        return self._has_peers()

    # Choosing a peer.

    def choose(
        self,
        server_id: ids.ServerId,
        areas: frozenset[str],
        tried: Container[model.Address],
    ) -> model.Address | None:
        """Returns the best peer that reaches a server, if one is known.

        Args:
            server_id: The server.
            areas: The areas in which the peer has to be; any, if empty.
            tried: Peers that are not wanted.
        """
        known = self._answers.get(server_id, {})
        usable = [
            peer
            for peer in self._peers()
            if peer.address in known
            and peer.address not in tried
            and self._reaches(known[peer.address])
            and not self._is_silent(peer.address)
            and self._is_allowed(peer, areas)
        ]
        best = min(usable, key=self._cost, default=None)
        return best.address if best is not None else None

    def _is_allowed(self, peer: Peer, areas: frozenset[str]) -> bool:
        """Whether a peer is in one of some areas."""
        area = self._instance.area_of_domain.get(peer.failure_domain)
        return not areas or area in areas

    def _cost(self, peer: Peer) -> float:
        """Returns how dear it is to pass another request through a peer."""
        cost = 1.0 + self._in_flight.get(peer.address, 0)
        if peer.failure_domain != self._instance.failure_domain:
            cost *= self._settings.remote_domain_ratio
        return cost

    def _reaches(self, answer: _Answer) -> bool:
        """Whether an answer says that a peer reaches a server, still."""
        is_reached = answer.reach is forwards.Reach.REACHED
        return is_reached and self._is_recent(answer)

    def _is_recent(self, answer: _Answer) -> bool:
        """Whether an answer may still be used."""
        age_s = self._clock.monotonic_s() - answer.received_s
        return age_s < self._settings.valid_s

    def _is_silent(self, address: model.Address) -> bool:
        """Whether a peer did not answer a moment ago."""
        until_s = self._silent_until_s.get(address, -math.inf)
        return self._clock.monotonic_s() < until_s

    # What the use of a peer shows.

    def note_use(self, address: model.Address, change: int) -> None:
        """Counts a request that is with a peer: 1 as it begins, -1 after."""
        count = self._in_flight.get(address, 0) + change
        if count > 0:
            self._in_flight[address] = count
        else:
            self._in_flight.pop(address, None)

    def note_reach(
        self,
        server: model.BackendServer,
        address: model.Address,
        reach: forwards.Reach,
        *,
        is_proven: bool,
    ) -> None:
        """Records whether a peer reaches a server.

        Args:
            server: The server.
            address: The peer.
            reach: What the peer sees of the server.
            is_proven: Whether it has just connected to it or been answered.
        """
        answer = _Answer(reach, self._clock.monotonic_s())
        self._answers.setdefault(server.server_id, {})[address] = answer
        if is_proven and reach is forwards.Reach.REACHED:
            self._links.note_reached_elsewhere(server, address)

    def note_silent(self, address: model.Address) -> None:
        """Records that a peer did not answer."""
        pause_s = self._settings.silent_pause_s
        self._silent_until_s[address] = self._clock.monotonic_s() + pause_s

    def note_unanswered(self, address: model.Address, since_s: float) -> None:
        """Records that a message got no answer before it was given up.

        Args:
            address: The peer.
            since_s: When the message was sent.
        """
        waited_s = self._clock.monotonic_s() - since_s
        was_heard = self._channels.heard_s(address) > since_s
        if waited_s >= self._settings.timeout_s and not was_heard:
            self.note_silent(address)

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Forgets servers that have ended, and what is not used any more."""
        self._answers = {
            server_id: recent
            for server_id, answers in self._answers.items()
            if server_id in known
            and (
                recent := {
                    a: x for a, x in answers.items() if self._is_recent(x)
                }
            )
        }
        for wanted in [x for x in self._verdicts if x.server_id not in known]:
            del self._verdicts[wanted]
        for address in list(self._silent_until_s):
            if not self._is_silent(address):
                del self._silent_until_s[address]

    # Searches.

    async def find(
        self, server: model.BackendServer, areas: frozenset[str]
    ) -> forwards.Reach:
        """Asks peers until one reaches a server.

        Searches for one server share their answers.

        Returns:
            ``REACHED`` if ``choose`` now returns a peer; ``REFUSED`` or
            ``UNREACHED`` if peers that reach other servers do not reach it
            either; ``UNKNOWN`` if nobody can tell.
        """
        wanted = _Wanted(server.server_id, areas)
        verdict = self._verdicts.get(wanted)
        pause_s = self._settings.unreached_pause_s
        now_s = self._clock.monotonic_s()
        if verdict is not None and now_s - verdict.received_s < pause_s:
            return verdict.reach
        search = self._searches.get(wanted)
        if search is None:
            if self._tasks is None or self._is_pausing(
                _Scope(server.service, areas)
            ):
                return forwards.Reach.UNKNOWN
            search = self._searches[wanted] = anyio.Event()

            async def run() -> None:
                await self._search(server, wanted, search)

            self._tasks.start_soon(tasks_lib.run_once, run, self._journal)
        await search.wait()
        if self.choose(server.server_id, areas, ()) is not None:
            return forwards.Reach.REACHED
        verdict = self._verdicts.get(wanted)
        return verdict.reach if verdict else forwards.Reach.UNKNOWN

    def _is_pausing(self, scope: _Scope) -> bool:
        """Whether nobody could tell of servers of a service a moment ago."""
        unknown = self._unknown.get(scope)
        if unknown is None:
            return False
        age_s = self._clock.monotonic_s() - unknown.ended_s
        return age_s < unknown.pause_s

    def _note_verdict(self, scope: _Scope, verdict: forwards.Reach) -> None:
        """Begins or ends the pause of searches for servers of a service."""
        last = self._unknown.pop(scope, None)
        if verdict is not forwards.Reach.UNKNOWN:
            return
        settings = self._settings
        pause_s = settings.unknown_pause_s
        if last is not None:
            pause_s = min(2 * last.pause_s, settings.longest_unknown_pause_s)
        self._unknown[scope] = _Unknown(self._clock.monotonic_s(), pause_s)

    async def _search(
        self, server: model.BackendServer, wanted: _Wanted, found: anyio.Event
    ) -> None:
        """Asks peers in growing groups, until enough reach a server."""
        try:
            self._verdicts.pop(wanted, None)
            verdict = await self._ask_in_groups(
                server, wanted.areas, self._settings.helper_count, found
            )
            self._note_verdict(_Scope(server.service, wanted.areas), verdict)
            if verdict is not forwards.Reach.REACHED:
                answer = _Answer(verdict, self._clock.monotonic_s())
                self._verdicts[wanted] = answer
                self._journal.decision(
                    "no_instance_reaches",
                    server=server.server_id,
                    service=server.service,
                    verdict=verdict.value,
                )
        finally:
            self._searches.pop(wanted, None)
            found.set()

    async def check(self, server: model.BackendServer) -> forwards.Reach:
        """Asks peers whether a server accepts connections right now."""
        return await self._ask_in_groups(
            server, frozenset(), 1, anyio.Event(), is_fresh=True
        )

    async def _ask_in_groups(
        self,
        server: model.BackendServer,
        areas: frozenset[str],
        wanted_count: int,
        found: anyio.Event,
        *,
        is_fresh: bool = False,
    ) -> forwards.Reach:
        """Asks peers in growing groups; sets an event once one reaches it."""
        search = _Search(self._settings, wanted_count, found)
        rest = self._rank(areas)
        if _Scope(server.service, areas) in self._unknown:
            # Others each time, as those before could not tell.
            random.shuffle(rest)
            rest = rest[: self._settings.repeat_asked_count]
        count = self._settings.first_asked_count
        async with anyio.create_task_group() as calls:
            while rest and not search.is_over:
                group, rest = rest[:count], rest[count:]
                count *= 2
                for peer in group:
                    search.asked_count += 1
                    calls.start_soon(
                        self._ask_for, search, server, peer.address, is_fresh
                    )
                await search.wait(self._settings.stagger_s)
            while not search.is_over and search.is_waiting:
                await search.wait(self._settings.timeout_s)
            calls.cancel_scope.cancel()
        return search.verdict

    async def _ask_for(
        self,
        search: "_Search",
        server: model.BackendServer,
        address: model.Address,
        is_fresh: bool,
    ) -> None:
        """Asks one peer for a search."""
        search.add(await self._ask(server, address, is_fresh))

    def _rank(self, areas: frozenset[str]) -> list[Peer]:
        """Returns the peers in the order in which they are asked.

        Those that reach the server or others come first, then those of the own
        failure domain, and each instance has an order of its own.
        """
        by_name = {
            str(peer.address): peer
            for peer in self._peers()
            if self._is_allowed(peer, areas)
            and not self._is_silent(peer.address)
        }
        own = str(self._instance.peer_address)
        ranked = hashing.rank_by_rendezvous(own, by_name)
        helpers = {
            address
            for answers in self._answers.values()
            for address, answer in answers.items()
            if self._reaches(answer)
        }
        peers = [by_name[name] for name in ranked]
        own_domain = self._instance.failure_domain
        peers.sort(
            key=lambda peer: (
                peer.address not in helpers,
                peer.failure_domain != own_domain,
            )
        )
        return peers

    async def _ask(
        self,
        server: model.BackendServer,
        address: model.Address,
        is_fresh: bool,
    ) -> forwards.Reach:
        """Asks one peer."""
        query = forwards.ReachQuery(server.server_id, is_fresh)
        body: object = None
        with timeouts.move_on_after(self._settings.timeout_s, self._clock):
            body = await self._channels.post(
                address, forwards.REACH_PATH, forwards.QUERIES.encode(query)
            )
        if not isinstance(body, bytes):
            self.note_silent(address)
            return forwards.Reach.UNKNOWN
        try:
            reply = forwards.REACH_REPLIES.decode(body)
        except codec.CodecError as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=forwards.REACH_PATH.decode(),
                address=str(address),
                reason=str(error),
            )
            return forwards.Reach.UNKNOWN
        self._channels.note_stamp(address, reply.stamp)
        self.note_reach(server, address, reply.reach, is_proven=is_fresh)
        return reply.reach
