"""The leader reads the platform's log and relays changes to other instances.

After each read of the list of servers, the leader sends a relay message to
every instance. If the receiver knows less of the topics than the leader
assumed, its answer contains its offsets, and the next message starts there. The
answer also contains what the receiver knows of topics that the leader cannot
read. So a lost message only costs time, and whatever the leader or a follower
knows reaches all instances.
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
from bridgecross_entry import relay_rounds


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings for the leader's relay messages."""

    # The leader sends after each read of the list of servers, every 0.7 s, or
    # this long after it began to send the last message. The message is also its
    # heartbeat: others claim the lead after 1.1 s without it. Sending takes at
    # most 0.6 s (``PeerSettings.timeout_s`` and 0.2 s for a long message), so
    # this is the longest interval. After a message that was not answered, the
    # instance is sent the next one as soon as that is known: 0.8 s after the
    # one before, or 1.0 s if one of them was long.
    wait_s: float = 0.4
    # How many instances the leader asks at a time for topics that it cannot
    # read. Two thirds of them are likely to know, and answers of all of them at
    # once would saturate its link.
    polled_count: int = 4
    # Longer messages are sent in a task of their own, so that one instance on a
    # slow link does not delay the next message to all: 60 KB take 0.1 s at
    # 5 Mbit/s.
    message_max_bytes: int = 60_000


class _EncodedRelay(NamedTuple):
    """A message for all instances that know the same offsets."""

    encoded: bytes
    # The offsets up to which a receiver knows the topics afterwards.
    offsets: cluster_state.Offsets
    # When it was encoded, on the monotonic clock.
    written_s: float


class _LastAnswer(NamedTuple):
    """The last answer of an instance."""

    stamp: peers.Stamp
    # When it arrived, on the monotonic clock.
    received_s: float


class Relayer:
    """Sends changes to the other instances, and receives theirs."""

    def __init__(
        self,
        settings: RelaySettings,
        state: cluster_state.ClusterState,
        lead: leadership.Leadership,
        client: peers.PeerClient,
        poison_broadcaster: poison_broadcast.PoisonBroadcaster,
        addresses: Callable[[], tuple[model.Address, ...]],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Creates a relayer that has sent nothing yet.

        Args:
            settings: Settings for the relay messages.
            state: What this instance knows of the topics.
            lead: Tells whether this instance leads.
            client: Calls other instances.
            poison_broadcaster: Reconciles poison requests with the receivers.
            addresses: Returns the addresses of the other instances.
            journal: Logs which instances had to catch up.
            clock: The time source.
        """
        # Whether another instance should lead.
        self.resigns = False
        self._settings = settings
        self._state = state
        self._leadership = lead
        self._client = client
        self._poison_broadcaster = poison_broadcaster
        self._addresses = addresses
        self._journal = journal
        self._clock = clock
        # The offsets that the others know, by their last answers.
        self._known_offsets: dict[model.Address, cluster_state.Offsets] = {}
        # Instances that are being sent changes too long for a regular message.
        self._catching_up: set[model.Address] = set()
        # Instances that are sent heartbeats outside the broadcasts.
        self._kept_in_touch: set[model.Address] = set()
        # The index of the next instance to ask for topics.
        self._next_polled = 0
        # The last answers; returned to their senders, who compute from them how
        # old the next message is.
        self._last_answers: dict[model.Address, _LastAnswer] = {}
        # Identifies this process in the answers that others return to it.
        self._process_id = secrets.randbits(63)

    async def run(self) -> None:
        """Sends relay messages while this instance leads, until cancelled."""
        async with anyio.create_task_group() as tasks:
            sent_update_count = 0
            due_s = self._clock.monotonic_s() + self._settings.wait_s
            while True:
                # An update during the last broadcast is sent without waiting.
                if self._state.updated.count == sent_update_count:
                    await self._wait_until(due_s)
                sent_update_count = self._state.updated.count
                due_s = self._clock.monotonic_s() + self._settings.wait_s
                if not self._leadership.is_leader:
                    self._known_offsets.clear()
                elif self._state.is_complete:
                    await self.broadcast(tasks)

    async def _wait_until(self, due_s: float) -> None:
        """Waits for an update, until a time on the monotonic clock."""
        left_s = due_s - self._clock.monotonic_s()
        await self._state.updated.wait(max(left_s, 0.0))

    async def broadcast(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends one message to every instance, and counts the followers.

        An instance that is likely to be silent counts as unknown. It is sent
        heartbeats by a task of its own, so that changes to the others do not
        wait for it.

        Args:
            tasks: Runs the tasks that let lagging instances catch up, and those
                that send heartbeats to silent ones.
        """
        claim = self._leadership.claim
        sent_s = self._clock.monotonic_s()
        list_offset = self._state.instances_offset
        list_age_s = self._state.instances_age_s
        received: dict[model.Address, peers.Reception] = {}
        just_started: set[model.Address] = set()
        messages: dict[tuple[cluster_state.Offsets, bool], _EncodedRelay] = {}
        polled = self._choose_polled()

        async def send_to(peer: model.Address) -> None:
            if self._client.may_be_silent(peer):
                received[peer] = peers.Reception.UNKNOWN
                tasks.start_soon(self._keep_in_touch, peer, tasks)
                return
            known = self._known_offsets.get(peer, self._state.offsets())
            variant = (known, peer in polled)
            if variant not in messages:
                messages[variant] = self._make_relay(
                    claim, known, wants_batches=peer in polled
                )
            answer = await self._send(peer, messages[variant])
            received[peer] = answer.reception
            if not answer.reply.counts_for_majority:
                just_started.add(peer)
            if answer.reply.offsets:
                tasks.start_soon(self._catch_up, peer, claim)
            if self._client.may_be_silent(peer):
                tasks.start_soon(self._keep_in_touch, peer, tasks)

        async with anyio.create_task_group() as calls:
            for peer in self._addresses():
                calls.start_soon(send_to, peer)
        accepted = _find_all(received, peers.Reception.ACCEPTED)
        relay_round = relay_rounds.RelayRound(
            claim.term,
            sent_s,
            peers=frozenset(received),
            accepted=accepted - just_started,
            restarted=accepted & just_started,
            refused=_find_all(received, peers.Reception.REFUSED),
            is_disputed=peers.Reception.DISPUTED in received.values(),
            list_offset=list_offset,
            list_age_s=list_age_s,
        )
        if self._can_count_majority(relay_round):
            self._leadership.note_relay_round(relay_round)

    async def _keep_in_touch(
        self, peer: model.Address, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Sends heartbeats to an instance until it answers again.

        They contain no changes, so they load a slow link no more than the
        messages that the instance gets when nothing changes.

        Args:
            peer: The instance.
            tasks: Runs the task that lets the instance catch up.
        """
        if peer in self._kept_in_touch:
            return
        self._kept_in_touch.add(peer)
        try:
            while self._leadership.is_leader and peer in self._addresses():
                due_s = self._clock.monotonic_s() + self._settings.wait_s
                await self._send_heartbeat(peer, tasks)
                if not self._client.may_be_silent(peer):
                    return
                left_s = due_s - self._clock.monotonic_s()
                await anyio.sleep(max(left_s, 0.0))
        finally:
            self._kept_in_touch.discard(peer)

    async def _send_heartbeat(
        self, peer: model.Address, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Sends a message without changes, even while calls are paused."""
        claim = self._leadership.claim
        message = self._encode_changes(claim, self._state.offsets())
        returned = self._find_returned_stamp(peer, message.written_s)
        asked_s = self._clock.monotonic_s()
        answer = await self._client.relay_despite_pause(
            peer, message.encoded, returned
        )
        self._note_answer(peer, message, answer, asked_s)
        if answer.reply.offsets and not self._client.is_paused(peer):
            tasks.start_soon(self._catch_up, peer, claim)

    def _can_count_majority(self, relay_round: relay_rounds.RelayRound) -> bool:
        """Whether the receivers include all instances that count.

        An instance that has not read the list of instances cannot count a
        majority. One that knows of no other instance can do so only while it
        can read the list: others may have been added to it since and follow
        another leader.
        """
        if relay_round.peers:
            return self._state.knows_instances
        return not self._state.instances_are_lost

    def receive(
        self, relay: peers.Relay, returned: peers.ReturnedStamp | None
    ) -> peers.RelayReply | None:
        """Applies a message of another instance, and returns the answer.

        Args:
            relay: The message.
            returned: The last answer of this address that its sender got.

        Returns:
            None if the message is ignored, as a later leader is known.
        """
        is_accepted = self._leadership.handle_heartbeat(
            relay.claim, log_lost=relay.log_lost, resigns=relay.resigns
        )
        if not is_accepted:
            return None
        self._state.apply_relayed(relay.batches, self._max_delay_s(returned))
        is_behind = self._state.is_behind(relay.batches)
        return peers.RelayReply(
            self._state.offsets() if is_behind else (),
            self._state.changes_for_lost_topics(relay.batches)
            if relay.wants_batches
            else (),
            self._leadership.knows_claims,
            peers.Stamp(self._process_id, self._clock.monotonic_s()),
            self._poison_broadcaster.digest,
        )

    def _max_delay_s(
        self, returned: peers.ReturnedStamp | None
    ) -> float | None:
        """Returns an upper bound of the time since a message was written.

        A suspended host or a slow link may have delayed it for any time. None
        if there is no bound: a leader's first message may be of any age.
        """
        if returned is None or returned.stamp.process_id != self._process_id:
            return None
        written_s = returned.stamp.answered_s + returned.elapsed_s
        return self._clock.monotonic_s() - written_s

    def _choose_polled(self) -> set[model.Address]:
        """Returns the next instances to ask for topics not readable here."""
        addresses = self._addresses()
        if not addresses or not self._state.has_lost_a_topic:
            return set()
        count = min(self._settings.polled_count, len(addresses))
        first = self._next_polled
        self._next_polled = (first + count) % len(addresses)
        return {addresses[(first + n) % len(addresses)] for n in range(count)}

    def _make_relay(
        self,
        claim: leadership.Claim,
        known: cluster_state.Offsets,
        *,
        wants_batches: bool,
    ) -> _EncodedRelay:
        """Returns the message for instances that know the given offsets.

        A message that would be too long contains only the current offsets:
        receivers that know less answer with theirs, and are sent the missing
        changes separately.
        """
        message = self._encode_changes(
            claim, known, wants_batches=wants_batches
        )
        if len(message.encoded) <= self._settings.message_max_bytes:
            return message
        return self._encode_changes(
            claim, self._state.offsets(), wants_batches=wants_batches
        )

    def _encode_changes(
        self,
        claim: leadership.Claim,
        known: cluster_state.Offsets,
        *,
        wants_batches: bool = False,
    ) -> _EncodedRelay:
        """Returns a message with all changes since the given offsets.

        Args:
            claim: The claim of this instance under which it is sent. It may
                have been superseded since the broadcast began.
            known: The offsets that the receivers know.
            wants_batches: Whether to ask for topics not readable here.
        """
        relay = peers.Relay(
            claim,
            wants_batches,
            self.resigns,
            self._state.list_is_lost,
            self._state.changes_since(known),
        )
        return _EncodedRelay(
            peers.encode_relay(relay),
            self._state.offsets(),
            self._clock.monotonic_s(),
        )

    async def _send(
        self, peer: model.Address, message: _EncodedRelay
    ) -> peers.RelayResult:
        """Sends a message, and stores the offsets that its receiver knows."""
        returned = self._find_returned_stamp(peer, message.written_s)
        asked_s = self._clock.monotonic_s()
        answer = await self._client.relay(peer, message.encoded, returned)
        self._note_answer(peer, message, answer, asked_s)
        return answer

    def _note_answer(
        self,
        peer: model.Address,
        message: _EncodedRelay,
        answer: peers.RelayResult,
        asked_s: float,
    ) -> None:
        """Stores what an answer tells about its sender.

        Args:
            peer: The sender of the answer.
            message: The message that it answers.
            answer: The answer.
            asked_s: When the message was sent, on the monotonic clock.
        """
        if answer.reply.stamp is not None:
            received_s = self._clock.monotonic_s()
            self._last_answers[peer] = _LastAnswer(
                answer.reply.stamp, received_s
            )
        if answer.reception is peers.Reception.ACCEPTED:
            self._known_offsets[peer] = answer.reply.offsets or message.offsets
            self._state.apply_from_follower(answer.reply.batches, asked_s)
            self._poison_broadcaster.reconcile(peer, answer.reply.poison_digest)

    def _find_returned_stamp(
        self, peer: model.Address, written_s: float
    ) -> peers.ReturnedStamp | None:
        """Returns an instance's last answer and its age; None if none."""
        last_answer = self._last_answers.get(peer)
        if last_answer is None:
            return None
        return peers.ReturnedStamp(
            last_answer.stamp, written_s - last_answer.received_s
        )

    async def _catch_up(
        self, peer: model.Address, claim: leadership.Claim
    ) -> None:
        """Sends one instance all changes that it lacks, whatever their size."""
        if peer in self._catching_up:
            return
        self._catching_up.add(peer)
        try:
            known = self._known_offsets.get(peer, ())
            message = self._encode_changes(claim, known)
            answer = await self._send(peer, message)
            self._journal.decision(
                "peer_caught_up",
                address=str(peer),
                known=dict(known),
                reception=answer.reception.value,
                sent_bytes=len(message.encoded),
            )
        finally:
            self._catching_up.discard(peer)


def _find_all(
    received: dict[model.Address, peers.Reception], reception: peers.Reception
) -> frozenset[model.Address]:
    """Returns the instances that received a message in some way."""
    return frozenset(
        peer for peer, each in received.items() if each is reception
    )
