"""Which instance reads the log for all and coordinates the services.

It is whoever made the newest claim, a record that is appended on condition
that no other came in between. Nothing is paid for holding on to it: the
leader's word, which it gives after each read of the log, is its heartbeat.
Once it has been silent for long enough, another instance claims.

Two may take themselves for the leader for a while. Key maps build on one
another, so they cannot both move keys; but the earlier one could go on renewing
leases of which the later one waits for the end. So orders are given only while
the lead is confirmed: a majority of the instances took the leader's word a
moment ago, or its claim was the newest in the log. A leader that stood still
is not confirmed when it wakes. This is memory only; nobody keeps a vote.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import dataclasses
import random
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model

TOPIC = "keyed.bridgecross-leader"
"""Claims, under one key."""

_KEY = "leader"


class Claim(NamedTuple):
    """An instance takes the lead."""

    # Rises by one with each claim.
    term: int
    instance: str


_CLAIMS = codec.Codec(Claim)
_NO_CLAIM = Claim(-1, "")


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRound:
    """Who took the leader's word, of those that were told at a time."""

    # The claim that it was told under.
    term: int
    # When it was sent, on the steady clock.
    sent_s: float
    # All other instances that are known.
    peers: int
    # Those that follow.
    accepted: int
    # Processes that have certainly ended; they follow nobody.
    ended: int
    # Whether one of them knows of a later claim.
    disputed: bool

    @property
    def is_majority(self) -> bool:
        """Whether most instances follow, the leader included."""
        return 2 * (self.accepted + 1) > self.peers + 1 - self.ended

    @property
    def is_all(self) -> bool:
        """Whether no instance is left that may follow another leader."""
        return self.accepted + self.ended == self.peers


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipSettings:
    """When an instance claims."""

    # The leader speaks every 0.7 s; this is one and a half times that.
    silence_s: float = 1.1
    # An instance that has just started has not heard the leader yet, which
    # learns of it from the log within 1.2 s.
    first_silence_s: float = 2.0
    # Instances claim one after the other, so that one is enough. A claim
    # takes 10 ms until the others hear of it.
    turn_s: float = 0.12
    # The last of them do not wait for all before them, who may be gone: 6 to
    # 10 strong machines of 90, and some more.
    turns_max_count: int = 16
    # Leading 90 instances takes about 0.2 cores and 2 Mbit/s, and ten times
    # that when many routes or keys change. Weak machines come after all
    # others; one with 5 Mbit/s that led was choked by its own words.
    weak_cores: float = 0.7
    # When nobody leads yet, as at the first start, they wait for this long:
    # all machines start within 0.3 s, and starting takes up to 1 s.
    weak_wait_s: float = 1.0
    weak_link_mbps: float = 20.0
    # At the first start of the whole system nobody knows whose turn it is;
    # instances claim at random within this time, so that most hear of a leader
    # before they would.
    first_spread_s: float = 1.0
    # The pause after a claim that the log did not take.
    retry_pause_s: float = 1.0
    # While the leader has lost the log, the others find out one after the
    # other, in turns of this length, whether they reach it. A try is a call,
    # and most often the log is away for all; with 11 instances that half
    # cannot reach it, another one leads after 1 s on the average.
    lost_turn_s: float = 0.5
    # How long a confirmation lasts, from when it was asked for. The word goes
    # out every 0.7 s, and one that a majority missed is made up for by a look
    # at the log, which takes up to 0.8 s.
    confirmed_for_s: float = 1.5
    # A confirmation that is older is renewed by a look at the log.
    confirm_after_s: float = 0.9

    def is_weak(self, instance: model.InstanceSettings) -> bool:
        """Whether an instance should lead only if no other can."""
        return (
            instance.cores < self.weak_cores
            or instance.link_mbps < self.weak_link_mbps
        )

    # How often an instance looks whether it should claim.
    look_interval_s: float = 0.1


class Leadership:
    """This instance's view of who leads."""

    def __init__(
        self,
        settings: LeadershipSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        addresses: Callable[[], Iterable[model.Address]],
        weak_addresses: Callable[[], Container[model.Address]],
        reads_log: Callable[[], bool],
        on_change: Callable[[], None],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Knows of no leader yet.

        Args:
            settings: When to claim.
            instance: This instance.
            log: The platform's log.
            addresses: Where all instances listen, for whose turn it is.
            weak_addresses: Those of them that come last.
            reads_log: Whether this instance reads the log at the moment.
            on_change: Called when this instance takes or loses the lead.
            journal: Told of changes.
            clock: For silence.
        """
        self.is_leader = False
        # Whether the claims in the log were read once. An instance that has
        # not read them may have followed a later leader in its earlier run, so
        # it counts for no majority.
        self.knows_claims = False
        self._settings = settings
        self._instance = instance
        self._log = log
        self._addresses = addresses
        self._weak_addresses = weak_addresses
        self._reads_log = reads_log
        self._on_change = on_change
        self._journal = journal
        self._clock = clock
        self._claim = _NO_CLAIM
        # Until when nobody need claim for lack of the leader's word.
        self._patient_until_s = 0.0
        self._resigned = False
        # Whether the leader has lost the log, by its own word.
        self._leader_is_lost = False
        # When what last confirmed this instance's lead was asked for.
        self._confirmed_s = float("-inf")
        # Whether orders could be given when it was last looked at.
        self._could_order = False
        # When a majority first knew of the newest claim, and when all did;
        # infinite before.
        self._majority_known_s = float("inf")
        self._known_to_all_s = float("inf")

    @property
    def term(self) -> int:
        """The term of the newest claim that is known."""
        return self._claim.term

    @property
    def may_order(self) -> bool:
        """Whether this instance leads for certain at this moment."""
        age_s = self._clock.monotonic_s() - self._confirmed_s
        return self.is_leader and age_s < self._settings.confirmed_for_s

    @property
    def majority_known_s(self) -> float:
        """When a majority first knew that this instance leads."""
        return self._majority_known_s

    @property
    def known_to_all_s(self) -> float:
        """When every other instance first knew it, or had ended."""
        return self._known_to_all_s

    def note_relay_round(self, told: "RelayRound") -> None:
        """Takes in who took the word of this instance."""
        if not self.is_leader or told.term != self._claim.term:
            return
        if told.disputed:
            # Somebody knows of a later claim; the log says which it is.
            self._confirmed_s = float("-inf")
            self._journal.decision("lead_disputed", term=told.term)
        elif told.is_majority:
            self._confirmed_s = max(self._confirmed_s, told.sent_s)
            now_s = self._clock.monotonic_s()
            self._majority_known_s = min(self._majority_known_s, now_s)
            if told.is_all:
                self._known_to_all_s = min(self._known_to_all_s, now_s)

    async def run(self) -> None:
        """Claims whenever the leader is silent, until cancelled."""
        await self._look_up_first()
        while True:
            self._tell_confirmation()
            now_s = self._clock.monotonic_s()
            unsure_s = now_s - self._confirmed_s
            if self.is_leader and unsure_s > self._settings.confirm_after_s:
                await self.confirm()
                continue
            silent_s = now_s - self._patient_until_s
            may_claim = not self.is_leader and not self._resigned
            if may_claim and silent_s >= 0 and silent_s >= self._turn_s():
                await self._try_claim()
            await self._pause()

    async def _pause(self) -> None:
        """Waits until the next look.

        Time in which this process stood still is no silence of the leader: its
        words of that time have not been read yet.
        """
        interval_s = self._settings.look_interval_s
        begun_s = self._clock.monotonic_s()
        await anyio.sleep(interval_s)
        late_s = self._clock.monotonic_s() - begun_s - interval_s
        if late_s > interval_s:
            self._patient_until_s += late_s

    def _tell_confirmation(self) -> None:
        """Writes when orders can be given again, or no longer."""
        if self.may_order == self._could_order:
            return
        self._could_order = self.may_order
        self._journal.lifecycle(
            "lead_confirmed" if self.may_order else "lead_unconfirmed",
            term=self.term,
            leads=self.is_leader,
        )

    async def confirm(self) -> None:
        """Looks in the log whether another has claimed since."""
        asked_s = self._clock.monotonic_s()
        newest = await self._log.read_newest(TOPIC)
        if isinstance(newest, logs.Newest):
            claim = self._read(newest.records)
            if claim.term > self._claim.term:
                self._follow(claim, self._settings.silence_s)
            elif self.is_leader and claim == self._claim:
                self._confirmed_s = asked_s
        await anyio.sleep(self._settings.look_interval_s)

    def handle_heartbeat(
        self, claim: Claim, *, log_lost: bool = False, resigns: bool = False
    ) -> bool:
        """Takes the word of a leader.

        Args:
            claim: Under which it leads.
            log_lost: Whether it has lost the log itself.
            resigns: Whether it leaves, so that another one should claim.

        Returns:
            Whether it counts: that of an earlier term does not.
        """
        if claim.term < self._claim.term:
            return False
        patient_until_s = self._patient_until_s
        goes_on = claim.term == self._claim.term
        self._follow(claim, self._settings.silence_s)
        if goes_on and log_lost and self._leader_is_lost:
            # Turns to claim run on from when it was lost.
            self._patient_until_s = patient_until_s
        if resigns:
            now_s = self._clock.monotonic_s()
            self._patient_until_s = min(patient_until_s, now_s)
        self._leader_is_lost = log_lost
        return claim.instance != self._instance.name

    def resign(self) -> None:
        """Claims no more; leads on until another one does."""
        self._resigned = True

    @property
    def claim(self) -> Claim:
        """The newest claim that is known."""
        return self._claim

    def _turn_s(self) -> float:
        """Returns how long this instance lets others claim first."""
        if self._leader_is_lost and not self._reads_log():
            return self._rank() * self._settings.lost_turn_s
        turn = min(self._rank(), self._settings.turns_max_count)
        return turn * self._settings.turn_s

    def _rank(self) -> int:
        """Returns how many instances come before this one in this term."""
        own = self._instance.peer_address
        others = {str(a): a for a in self._addresses() if a != own}
        ranked = hashing.rank_by_rendezvous(str(self.term), [str(own), *others])
        weak = self._weak_addresses()
        own_is_weak = self._settings.is_weak(self._instance)
        ranked.sort(
            key=lambda a: others[a] in weak if a in others else own_is_weak
        )
        return ranked.index(str(own))

    async def _look_up_first(self) -> None:
        """Reads who leads, when this instance starts."""
        while True:
            newest = await self._log.read_newest(TOPIC)
            if isinstance(newest, logs.Newest):
                break
            await anyio.sleep(self._settings.retry_pause_s)
        claim = self._read(newest.records)
        self.knows_claims = True
        if claim == _NO_CLAIM or claim.instance == self._instance.name:
            # Nobody leads, or this instance did in its earlier run.
            self._claim = claim
            self._patient_until_s = self._clock.monotonic_s()
            if self._settings.is_weak(self._instance):
                self._patient_until_s += self._settings.weak_wait_s
            if self._instance.is_first_start:
                spread_s = self._settings.first_spread_s
                self._patient_until_s += random.uniform(0.0, spread_s)
            if claim != _NO_CLAIM:
                await self._try_claim()
            return
        if claim.term > self._claim.term:
            self._follow(claim, self._settings.first_silence_s)

    async def _try_claim(self) -> None:
        """Claims, unless another did so in the meantime."""
        self._patient_until_s = (
            self._clock.monotonic_s() + self._settings.retry_pause_s
        )
        newest = await self._log.read_newest(TOPIC)
        if isinstance(newest, logs.Unreachable):
            if self._leader_is_lost:
                # The others come first before this one tries again.
                count = len(set(self._addresses()))
                self._patient_until_s += count * self._settings.lost_turn_s
            return
        seen = self._read(newest.records)
        if seen.term > self._claim.term:
            self._follow(seen, self._settings.silence_s)
            if seen.instance != self._instance.name:
                return
        # The log may have lost its claims; the others have not.
        term = max(seen.term, self._claim.term) + 1
        claim = Claim(term, self._instance.name)
        record = logs.KeyedRecord(_KEY, _CLAIMS.encode(claim))
        asked_s = self._clock.monotonic_s()
        result = await self._log.append(TOPIC, record, newest.end)
        if not isinstance(result, logs.Appended):
            # A claim without an answer is found when it is read the next
            # time, and counts from then on.
            self._journal.decision(
                "claim_not_made",
                term=claim.term,
                result=type(result).__name__,
            )
            return
        self._claim = claim
        self._leader_is_lost = False
        self._confirmed_s = asked_s
        self._majority_known_s = float("inf")
        self._known_to_all_s = float("inf")
        self.is_leader = True
        self._journal.lifecycle("leads", term=claim.term)
        self._on_change()

    def _follow(self, claim: Claim, patience_s: float) -> None:
        """Follows a claim for a while."""
        self._patient_until_s = self._clock.monotonic_s() + patience_s
        if claim.term == self._claim.term:
            return
        self._claim = claim
        self._journal.decision(
            "follows", term=claim.term, leader=claim.instance
        )
        if self.is_leader:
            self.is_leader = False
            self._journal.lifecycle("leads_no_more", term=claim.term)
            self._on_change()

    def _read(self, records: tuple[logs.KeyedRecord, ...]) -> Claim:
        """Returns the newest claim."""
        for record in records:
            if record.key != _KEY:
                continue
            try:
                return _CLAIMS.decode(record.value)
            except Exception as error:
                # Whatever others wrote, the next claim must not fail by it.
                self._journal.lifecycle("claim_unreadable", reason=str(error))
        return _NO_CLAIM
