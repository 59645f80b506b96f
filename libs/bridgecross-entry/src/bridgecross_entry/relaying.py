"""One instance reads the log and tells the others what they lack.

The leader speaks to each instance after each read of the list of servers. An
answer says up to where the receiver knows the topics, if it knows less; the
next word starts there. It also says what the receiver knows of topics that the
leader cannot read. So a word that is lost costs nothing but time, and what one
instance knows that leads or follows, all know.
"""

from collections.abc import Callable
import dataclasses
import secrets
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_entry import cluster_state
from bridgecross_entry import journal as journals
from bridgecross_entry import leadership
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import poison_broadcast


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """How the leader speaks to the others."""

    # The leader speaks after each read of the list; this is only how long it
    # waits for one. Its word is its heartbeat, and others claim after 1.1 s
    # without it.
    wait_s: float = 0.7
    # Of how many others the leader asks at a time what they know of topics
    # that it cannot read: two thirds of them are likely to know, and answers of
    # all of them at once would fill its link.
    polled_count: int = 4
    # What is longer goes out beside the regular words, so that one instance
    # on a weak link does not hold up the next word to all: 60 KB take 0.1 s
    # at 5 Mbit/s.
    message_max_bytes: int = 60_000


_NO_VOICE = peers.Reception.ENDED
"""What an instance counts as that has just started: its earlier run, which may
have followed a later leader, has ended, and this one follows nobody else."""


class _Word(NamedTuple):
    """A message as it goes to all that know the same."""

    encoded: bytes
    # Up to where a receiver knows the topics once it has taken it.
    offsets: cluster_state.Offsets
    # When it was written, on the steady clock.
    written_s: float


class _Heard(NamedTuple):
    """The last answer of an instance."""

    stamp: peers.Stamp
    # When it came, on the steady clock.
    came_s: float


class Relayer:
    """Tells the other instances what was read, and hears what is told."""

    def __init__(
        self,
        settings: RelaySettings,
        held: cluster_state.ClusterState,
        lead: leadership.Leadership,
        client: peers.PeerClient,
        news: poison_broadcast.PoisonBroadcaster,
        addresses: Callable[[], tuple[model.Address, ...]],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Has spoken to nobody.

        Args:
            settings: How often to speak.
            held: What this instance knows.
            lead: Whether it is for this one to speak.
            client: Calls other instances.
            news: Compared with those who take a word.
            addresses: Where they listen.
            journal: Told who has to be told more.
            clock: For when words were sent.
        """
        # Whether another instance should lead.
        self.resigns = False
        self._settings = settings
        self._beliefs = held
        self._leadership = lead
        self._client = client
        self._news = news
        self._addresses = addresses
        self._journal = journal
        self._clock = clock
        # Up to where the others know the topics, by their last answers.
        self._known: dict[model.Address, cluster_state.Offsets] = {}
        # Those that are being told what was too long for a word.
        self._catching_up: set[model.Address] = set()
        # Who was asked last what the others know.
        self._asked_last = 0
        # By which the others know how old the next word is.
        self._heard: dict[model.Address, _Heard] = {}
        # Names this process to those that return its answers.
        self._life = secrets.randbits(63)

    async def run(self) -> None:
        """Speaks while this instance leads, until cancelled."""
        async with anyio.create_task_group() as tasks:
            told_count = 0
            while True:
                # What comes while words are under way waits for no other news.
                if self._beliefs.updated.count == told_count:
                    await self._beliefs.updated.wait(self._settings.wait_s)
                told_count = self._beliefs.updated.count
                if not self._leadership.is_leader:
                    self._known.clear()
                elif self._beliefs.is_complete:
                    await self.broadcast(tasks)

    async def broadcast(self, tasks: anyio.abc.TaskGroup) -> None:
        """Speaks to every instance once, and counts who follows.

        Args:
            tasks: Where those are told more that lack more.
        """
        claim = self._leadership.claim
        sent_s = self._clock.monotonic_s()
        received: list[peers.Reception] = []
        words: dict[tuple[cluster_state.Offsets, bool], _Word] = {}
        asked = self._choose_asked()

        async def tell_one(peer: model.Address) -> None:
            known = self._known.get(peer, self._beliefs.offsets())
            kind = (known, peer in asked)
            if kind not in words:
                words[kind] = self._make_word(known, asks=peer in asked)
            answer = await self._send(peer, words[kind])
            received.append(
                answer.reception
                if answer.reply.counts_for_majority
                else _NO_VOICE
            )
            if answer.reply.offsets:
                tasks.start_soon(self._catch_up, peer)

        async with anyio.create_task_group() as calls:
            for peer in self._addresses():
                calls.start_soon(tell_one, peer)
        told = leadership.RelayRound(
            claim.term,
            sent_s,
            peers=len(received),
            accepted=received.count(peers.Reception.ACCEPTED),
            ended=received.count(peers.Reception.ENDED),
            disputed=peers.Reception.DISPUTED in received,
        )
        if self._knows_whom_to_count(told):
            self._leadership.note_relay_round(told)

    def _knows_whom_to_count(self, told: leadership.RelayRound) -> bool:
        """Whether those that were told are all there are, as far as needed.

        One that has not read who the others are counts no majority, and one
        that knows of nobody else does so only while it sees the list: others
        may have listed themselves, and follow another leader.
        """
        if told.peers:
            return self._beliefs.knows_instances
        return not self._beliefs.instances_are_lost

    def receive(
        self, relay: peers.Relay, echo: peers.Echo | None
    ) -> peers.RelayReply | None:
        """Takes another instance's word; returns the answer.

        Args:
            relay: The word.
            echo: The last answer that its sender had from this address.

        Returns:
            None if the word does not count, since a later leader is known.
        """
        counts = self._leadership.handle_heartbeat(
            relay.claim, log_lost=relay.log_lost, resigns=relay.resigns
        )
        if not counts:
            return None
        self._beliefs.apply_relayed(relay.batches, self._delay_s(echo))
        is_behind = self._beliefs.is_behind(relay.batches)
        return peers.RelayReply(
            self._beliefs.offsets() if is_behind else (),
            self._beliefs.changes_for_lost_topics(relay.batches)
            if relay.wants_batches
            else (),
            self._leadership.knows_claims,
            peers.Stamp(self._life, self._clock.monotonic_s()),
            self._news.digest,
        )

    def _delay_s(self, echo: peers.Echo | None) -> float | None:
        """Returns for how long a word was under way at the most.

        A host that stood still, or a link, may have held it up for any time.
        None if that is not known: a leader's first word may be of any age.
        """
        if echo is None or echo.stamp.process_id != self._life:
            return None
        written_s = echo.stamp.answered_s + echo.elapsed_s
        return self._clock.monotonic_s() - written_s

    def _choose_asked(self) -> set[model.Address]:
        """Returns whom to ask, in turn, for what this instance cannot read."""
        addresses = self._addresses()
        if not addresses or not self._beliefs.has_lost_a_topic:
            return set()
        count = min(self._settings.polled_count, len(addresses))
        first = self._asked_last
        self._asked_last = (first + count) % len(addresses)
        return {addresses[(first + n) % len(addresses)] for n in range(count)}

    def _make_word(self, known: cluster_state.Offsets, *, asks: bool) -> _Word:
        """Returns the word for those that know the topics so far.

        One that would be too long holds nothing but the offsets: whoever knows
        less answers so, and is told the rest beside the words.
        """
        word = self._encode(known, asks=asks)
        if len(word.encoded) <= self._settings.message_max_bytes:
            return word
        return self._encode(self._beliefs.offsets(), asks=asks)

    def _encode(
        self, known: cluster_state.Offsets, *, asks: bool = False
    ) -> _Word:
        """Returns all that is to be told to those that know so far."""
        relay = peers.Relay(
            self._leadership.claim,
            asks,
            self.resigns,
            self._beliefs.list_is_lost,
            self._beliefs.changes_since(known),
        )
        return _Word(
            peers.encode_relay(relay),
            self._beliefs.offsets(),
            self._clock.monotonic_s(),
        )

    async def _send(
        self, peer: model.Address, word: _Word
    ) -> peers.RelayResult:
        """Sends a word, and keeps up to where its receiver knows."""
        echo = self._make_echo(peer, word.written_s)
        answer = await self._client.relay(peer, word.encoded, echo)
        if answer.reply.stamp is not None:
            came_s = self._clock.monotonic_s()
            self._heard[peer] = _Heard(answer.reply.stamp, came_s)
        if answer.reception is peers.Reception.ACCEPTED:
            self._known[peer] = answer.reply.offsets or word.offsets
            self._beliefs.apply_from_follower(answer.reply.batches)
            self._news.reconcile(peer, answer.reply.poison_digest)
        return answer

    def _make_echo(
        self, peer: model.Address, written_s: float
    ) -> peers.Echo | None:
        """Returns an instance's last answer; None if there is none."""
        heard = self._heard.get(peer)
        if heard is None:
            return None
        return peers.Echo(heard.stamp, written_s - heard.came_s)

    async def _catch_up(self, peer: model.Address) -> None:
        """Tells one instance at once all that it lacks."""
        if peer in self._catching_up:
            return
        self._catching_up.add(peer)
        try:
            known = self._known.get(peer, ())
            word = self._encode(known)
            answer = await self._send(peer, word)
            self._journal.decision(
                "peer_caught_up",
                address=str(peer),
                known=dict(known),
                reception=answer.reception.value,
                sent_bytes=len(word.encoded),
            )
        finally:
            self._catching_up.discard(peer)
