"""Leader election among the entry instances.

The leader reads the log for all instances and coordinates the services.

The leader is the instance with the newest claim. A claim is a record that is
appended to the log on condition that no other claim was appended in between.
Holding the lead needs no further log calls: the message that the leader relays
to the others after each read of the log also serves as its heartbeat. When the
heartbeats stop for long enough, another instance claims.

For a while, two instances may both regard themselves as the leader. They cannot
both move keys, because each key map builds on the one before. But the previous
leader could go on renewing leases whose expiry the later one is waiting for. So
orders are issued only while the lead is confirmed: a majority of the instances
accepted a recent heartbeat, or a recent read of the log showed the leader's
claim to be the newest. A leader whose process was suspended is therefore
unconfirmed when it resumes. All of this is kept in memory; no votes are stored.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import dataclasses
import enum
import random
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import timeouts
from bridgecross_entry import heartbeat_wait
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import relay_rounds
from bridgecross_entry import sole_lead
from bridgecross_entry import voter_naming

TOPIC = "keyed.bridgecross-leader"
"""The topic of claims, which have the same key, and of the voters."""

_KEY = "leader"


class Claim(NamedTuple):
    """A claim to the lead by an instance."""

    # Increases by one with each claim. Claims are ordered by it, and by the
    # instance if the log has lost the claim before.
    term: int
    instance: str


_CLAIMS = codec.Codec(Claim)
_NO_CLAIM = Claim(-1, "")


class _Basis(enum.Enum):
    """What confirmed the lead last, as logged."""

    LOG = "the log"
    MAJORITY = "a majority"


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipSettings:
    """Timing of claims and of the confirmation of the lead."""

    # An instance may claim when it has received no heartbeat for this long. The
    # leader sends one every 0.4 s, or 1.0 s after one that was not answered.
    heartbeat_timeout_s: float = 1.1
    # The same for an instance that has just started. The leader learns of it
    # from the log, within 1.2 s, and sends no heartbeats to it before that.
    first_heartbeat_timeout_s: float = 2.0
    # Instances claim one after the other, at this interval, so that one claim
    # is enough. The others know of a claim within 10 ms.
    claim_interval_s: float = 0.12
    # The maximum number of intervals that an instance waits. Later ranks do not
    # wait for all earlier ones, which may have ended. There are 6 to 10 strong
    # machines among 90, and this allows for some more.
    claim_intervals_max_count: int = 16
    # Machines below these limits count as weak and claim after all others.
    # Leading 90 instances takes about 0.2 cores and 2 Mbit/s, and ten times
    # that when many routes or keys change. A machine with 5 Mbit/s that led
    # saturated its link with its own relay messages.
    weak_cores: float = 0.7
    # How long weak machines wait when there is no leader yet, as at the first
    # start: all machines start within 0.3 s, and starting takes up to 1 s.
    weak_claim_delay_s: float = 1.0
    weak_link_mbps: float = 20.0
    # At the first start of the whole system no instance knows its rank yet, so
    # each waits for a random time up to this before it claims. Most hear of a
    # leader before their own time is over.
    first_start_spread_s: float = 1.0
    # The pause after a claim that could not be appended to the log.
    retry_pause_s: float = 1.0
    # While the leader cannot reach the log, the other instances try in order of
    # rank, at this interval, whether they can. Each try is a log call, and most
    # often no instance can reach the log. With 11 instances of which half can
    # reach the log, another one leads after 1 s on average.
    log_lost_interval_s: float = 0.5
    # How long a confirmation of the lead is valid, counted from when it was
    # requested. Heartbeats are sent every 0.4 s. When a majority misses two,
    # the leader reads the log instead, which takes up to 0.8 s.
    confirmation_valid_s: float = 1.5
    # A confirmation older than this is renewed by reading the log.
    confirmation_renew_age_s: float = 0.9
    # How often an instance checks whether it should claim.
    check_interval_s: float = 0.1
    # When the leader is certain to be the only one.
    sole: sole_lead.SoleLeadSettings = dataclasses.field(
        default_factory=sole_lead.SoleLeadSettings
    )

    def is_weak(self, instance: model.InstanceSettings) -> bool:
        """Whether an instance should lead only if no other can."""
        return (
            instance.cores < self.weak_cores
            or instance.link_mbps < self.weak_link_mbps
        )


class Leadership:
    """Tracks which instance leads, and claims the lead when needed."""

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
        """Initializes the state without a known leader.

        Args:
            settings: The timing of claims and confirmations.
            instance: This instance.
            log: The platform's log.
            addresses: Returns the peer addresses of all instances, which
                determine the order in which they claim.
            weak_addresses: Returns those of weak machines, which claim last.
            reads_log: Returns whether this instance can currently read the log.
            on_change: Called when this instance gains or loses the lead.
            journal: Receives a line for each change.
            clock: Measures the time since the last heartbeat.
        """
        self.is_leader = False
        # Whether the claims in the log have been read at least once. An
        # instance that has not read them does not count towards a majority,
        # since its earlier run may have followed a later leader.
        self.knows_claims = False
        # Whether this instance needs to know whether it is alone.
        self.needs_sole_term: Callable[[], bool] = lambda: False
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
        # While this lasts, the instance does not claim for lack of a heartbeat.
        self._wait = heartbeat_wait.HeartbeatWait(
            settings.check_interval_s, clock
        )
        self._resigned = False
        # Whether the leader reported that it cannot reach the log.
        self._leader_lost_log = False
        # When the latest confirmation of this instance's lead was requested.
        self._confirmed_s = float("-inf")
        self._basis = _Basis.LOG
        # Whether this instance is certain to be the only leader.
        self._sole = sole_lead.SoleLead(
            settings.sole, instance.peer_address, clock
        )
        self._namer = voter_naming.VoterNamer(
            settings.sole, instance, log, TOPIC, self._sole, journal, clock
        )
        # How often another instance was found to know of a later claim, and
        # when last.
        self._dispute_count = 0
        self._disputed_s = float("-inf")
        # What confirmed the lead at the last check; None if nothing did.
        self._logged_basis: _Basis | None = None
        # The last round that was counted, and whether this instance was certain
        # to be alone at the last check.
        self._last_round: relay_rounds.RelayRound | None = None
        self._was_sole = False
        # When half of the instances were first known to know of the newest
        # claim, and when all were; infinite before that.
        self._half_known_s = float("inf")
        self._known_to_all_s = float("inf")

    @property
    def term(self) -> int:
        """The term of the newest known claim."""
        return self._claim.term

    @property
    def may_order(self) -> bool:
        """Whether this instance certainly leads now and may issue orders."""
        age_s = self._clock.monotonic_s() - self._confirmed_s
        return self.is_leader and age_s < self._settings.confirmation_valid_s

    @property
    def sole_term(self) -> int | None:
        """The term in which no other instance can consider itself alone.

        None if that is not certain; see ``sole_lead``.
        """
        return self.term if self.is_leader and self._sole.is_certain else None

    @property
    def half_known_s(self) -> float:
        """When half of the instances were first known to know of this leader.

        On the monotonic clock; infinite before that. From then on a previous
        leader gets no confirmation from a majority any more, so leases that it
        renewed run out within a bounded time.
        """
        return self._half_known_s

    @property
    def known_to_all_s(self) -> float:
        """When all instances were first known to know of this leader.

        On the monotonic clock; infinite before that. From then on no process is
        left that may follow a previous leader, so a shorter wait for that
        leader's orders is enough.
        """
        return self._known_to_all_s

    def note_relay_round(self, relay_round: relay_rounds.RelayRound) -> None:
        """Records which instances accepted a heartbeat of this instance."""
        if not self.is_leader or relay_round.term != self._claim.term:
            return
        self._last_round = relay_round
        if relay_round.is_disputed:
            # Another instance knows of a later claim; reading the log shows
            # which it is.
            self._dispute_count += 1
            self._disputed_s = self._clock.monotonic_s()
            self._confirmed_s = float("-inf")
            self._sole.note_dispute()
            self._journal.decision("lead_disputed", term=relay_round.term)
            return
        self._sole.note_round(relay_round)
        if relay_round.sent_s < self._disputed_s:
            return
        if relay_round.is_majority:
            self._confirm_since(relay_round.sent_s, _Basis.MAJORITY)
        now_s = self._clock.monotonic_s()
        if relay_round.excludes_others:
            self._half_known_s = min(self._half_known_s, now_s)
        if relay_round.is_unanimous:
            self._known_to_all_s = min(self._known_to_all_s, now_s)

    def _confirm_since(self, requested_s: float, basis: _Basis) -> None:
        """Records a confirmation, unless a later one is known."""
        if requested_s > self._confirmed_s:
            self._confirmed_s = requested_s
            self._basis = basis

    async def run(self) -> None:
        """Claims whenever heartbeats are missing, until cancelled."""
        if not self.knows_claims:
            await self._read_first_claim()
        while True:
            self._wait.check()
            self._log_confirmation_change()
            self._log_sole_change()
            now_s = self._clock.monotonic_s()
            unconfirmed_s = now_s - self._confirmed_s
            if (
                self.is_leader
                and unconfirmed_s > self._settings.confirmation_renew_age_s
            ):
                await self.confirm()
                continue
            if self._should_read_for_sole_term():
                self._sole.note_read_begun()
                await self.confirm()
                continue
            if self.is_leader and self._last_round is not None:
                await self._name_voters(self._last_round)
            if self._is_claim_due():
                await self._try_claim()
            await anyio.sleep(self._settings.check_interval_s)

    def _should_read_for_sole_term(self) -> bool:
        """Whether to read the log, so as to be certain to be alone."""
        return self.is_leader and self._sole.should_read(
            is_needed=self.needs_sole_term()
        )

    def _is_claim_due(self) -> bool:
        """Whether heartbeats have been missing for long enough to claim."""
        if self.is_leader or self._resigned or self._wait.overdue_s < 0:
            return False
        return self._wait.overdue_s >= self._claim_delay_s()

    def _log_confirmation_change(self) -> None:
        """Logs that the lead became confirmed, by something else, or not."""
        basis = self._basis if self.may_order else None
        if basis == self._logged_basis:
            return
        self._logged_basis = basis
        counted = self._last_round
        self._journal.lifecycle(
            "lead_confirmed" if basis else "lead_unconfirmed",
            term=self.term,
            leads=self.is_leader,
            by=basis.value if basis else "",
            confirmed_s_ago=round(
                self._clock.monotonic_s() - self._confirmed_s, 3
            ),
            **(counted.counts if counted else {}),
        )

    def _log_sole_change(self) -> None:
        """Logs that it became certain, or not, that this instance is alone."""
        is_sole = self.sole_term is not None
        counted = self._last_round
        if is_sole == self._was_sole or counted is None:
            return
        self._was_sole = is_sole
        self._journal.lifecycle(
            "lead_alone" if is_sole else "lead_not_alone",
            term=self.term,
            leads=self.is_leader,
            voters=[len(voters) for voters in self._sole.sets.sets],
            **counted.counts,
            list_offset=counted.list_offset,
            list_age_s=round(counted.list_age_s, 3),
            confirmed_s_ago=round(self._sole.confirmed_ago_s, 3),
            unrivalled_s_ago=round(self._sole.unrivalled_ago_s, 3),
        )

    async def confirm(self) -> None:
        """Reads the log to find out whether another instance has claimed."""
        asked_s = self._clock.monotonic_s()
        dispute_count = self._dispute_count
        newest = await self._log.read_newest(TOPIC)
        if isinstance(newest, logs.Newest):
            claim = self._read(newest.records)
            if claim > self._claim:
                self._follow(claim, self._settings.heartbeat_timeout_s)
            elif claim == self._claim and dispute_count == self._dispute_count:
                # What was asked for before a dispute does not settle it.
                self._note_newest_in_log(asked_s, newest)
        await anyio.sleep(self._settings.check_interval_s)

    def _note_newest_in_log(self, asked_s: float, newest: logs.Newest) -> None:
        """Records that the log had no later claim than this instance's."""
        if not self.is_leader:
            return
        self._confirm_since(asked_s, _Basis.LOG)
        self._sole.note_newest_in_log(asked_s)
        self._namer.note_newest(newest)

    def handle_heartbeat(
        self, claim: Claim, *, log_lost: bool = False, resigns: bool = False
    ) -> bool:
        """Processes a heartbeat of a leader.

        Args:
            claim: The claim under which it leads.
            log_lost: Whether the leader itself cannot reach the log.
            resigns: Whether the leader is stopping, so that another instance
                should claim.

        Returns:
            Whether the heartbeat was accepted; one of an earlier claim is not.
        """
        if claim < self._claim:
            return False
        # The order of claims continues from when the leader lost the log; its
        # further heartbeats do not restart it.
        is_order_kept = (
            claim == self._claim and log_lost and self._leader_lost_log
        )
        self._learn(claim)
        if resigns:
            self._wait.end()
        elif not is_order_kept:
            self._wait.restart(self._settings.heartbeat_timeout_s)
        self._leader_lost_log = log_lost
        return claim.instance != self._instance.name

    def resign(self) -> None:
        """Stops claiming; goes on leading until another instance claims."""
        self._resigned = True

    @property
    def claim(self) -> Claim:
        """The newest known claim."""
        return self._claim

    def _claim_delay_s(self) -> float:
        """Returns how long to wait for instances of a better rank to claim."""
        if self._leader_lost_log and not self._reads_log():
            return self._rank() * self._settings.log_lost_interval_s
        intervals = min(self._rank(), self._settings.claim_intervals_max_count)
        return intervals * self._settings.claim_interval_s

    def _rank(self) -> int:
        """Returns how many instances precede this one in the current term."""
        own = self._instance.peer_address
        others = {str(a): a for a in self._addresses() if a != own}
        ranked = hashing.rank_by_rendezvous(str(self.term), [str(own), *others])
        weak = self._weak_addresses()
        own_is_weak = self._settings.is_weak(self._instance)
        ranked.sort(
            key=lambda a: others[a] in weak if a in others else own_is_weak
        )
        return ranked.index(str(own))

    async def _read_first_claim(self) -> None:
        """Reads the newest claim when this instance starts."""
        while True:
            newest = await self._log.read_newest(TOPIC)
            if isinstance(newest, logs.Newest):
                break
            await anyio.sleep(self._settings.retry_pause_s)
        claim = self._read(newest.records)
        self.knows_claims = True
        if claim <= self._claim and self._claim != _NO_CLAIM:
            # A heartbeat of this claim or of a later one came meanwhile.
            return
        if claim.instance not in (_NO_CLAIM.instance, self._instance.name):
            self._follow(claim, self._settings.first_heartbeat_timeout_s)
            return
        # There is no leader, or this instance led in its earlier run.
        self._know(claim)
        self._wait.restart(self._first_wait_s())
        if claim != _NO_CLAIM:
            await self._try_claim()

    def _first_wait_s(self) -> float:
        """Returns how long to wait when there is no leader at the start."""
        settings = self._settings
        wait_s = 0.0
        if settings.is_weak(self._instance):
            wait_s += settings.weak_claim_delay_s
        if self._instance.is_first_start:
            wait_s += random.uniform(0.0, settings.first_start_spread_s)
        return wait_s

    async def _try_claim(self) -> None:
        """Appends a claim, unless a heartbeat or another claim comes first."""
        self._wait.restart(self._settings.retry_pause_s)
        decided_count = self._wait.restart_count

        def may_claim() -> bool:
            was_restarted = self._wait.restart_count != decided_count
            return not self._resigned and not was_restarted

        newest = await self._log.read_newest(TOPIC)
        # Heartbeats that arrived before the answer count.
        await timeouts.handle_pending_input()
        if not may_claim():
            self._journal.decision("claim_withdrawn", term=self.term)
            return
        if isinstance(newest, logs.Unreachable):
            if self._leader_lost_log:
                # All other instances try before this one tries again.
                count = len(set(self._addresses()))
                self._wait.extend(count * self._settings.log_lost_interval_s)
            return
        read = self._read(newest.records)
        if read > self._claim and read.instance != self._instance.name:
            self._follow(read, self._settings.heartbeat_timeout_s)
            return
        # The log may have lost the claims that other instances still know. If
        # the newest one is this instance's, the answer to it was lost.
        term = max(read.term, self._claim.term) + 1
        await self._append_claim(
            Claim(term, self._instance.name), newest, may_claim
        )

    async def _append_claim(
        self, claim: Claim, newest: logs.Newest, may_claim: logs.MaySend
    ) -> None:
        """Appends a claim, and leads unless a later one is known by then.

        Args:
            claim: The claim.
            newest: The records on top of which it is appended.
            may_claim: Whether it may still be sent.
        """
        record = logs.KeyedRecord(_KEY, _CLAIMS.encode(claim))
        asked_s = self._clock.monotonic_s()
        result = await self._log.append(TOPIC, record, newest.end, may_claim)
        if not isinstance(result, logs.Appended):
            # If the answer was lost, the claim is found at the next read of the
            # log and takes effect then.
            self._journal.decision(
                "claim_not_made",
                term=claim.term,
                result=type(result).__name__,
            )
            return
        if claim < self._claim:
            self._journal.decision(
                "claim_superseded", term=claim.term, later_term=self.term
            )
            return
        self._namer.begin(claim.term, result.offset + 1)
        self._lead(claim, asked_s, newest.records)

    def _lead(
        self,
        claim: Claim,
        asked_s: float,
        records: tuple[logs.KeyedRecord, ...],
    ) -> None:
        """Begins to lead.

        Args:
            claim: The claim of this instance.
            asked_s: When it was sent to the log, on the monotonic clock.
            records: The newest records of the topic before it.
        """
        self._know(claim)
        self._leader_lost_log = False
        self._confirmed_s = asked_s
        self._basis = _Basis.LOG
        self._last_round = None
        self._begin_sole_lead(asked_s, records)
        self._half_known_s = float("inf")
        self._known_to_all_s = float("inf")
        self.is_leader = True
        self._journal.lifecycle("leads", term=claim.term)
        self._on_change()

    def _begin_sole_lead(
        self, asked_s: float, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Begins to count the voters that earlier leaders may count."""
        named = self._namer.find_named(records)
        if named is None:
            self._sole.begin(None, counts_list=True, asked_s=asked_s)
            return
        is_by_previous = self._read(records) == Claim(
            named.term, named.instance
        )
        self._sole.begin(
            named.voters, counts_list=not is_by_previous, asked_s=asked_s
        )

    async def _name_voters(self, counted: relay_rounds.RelayRound) -> None:
        """Names the voters in the log, if they have changed."""
        claim = self._claim

        def may_name() -> bool:
            return self.is_leader and self._claim == claim

        await self._namer.name_if_due(counted, may_name, self.confirm)

    def _follow(self, claim: Claim, timeout_s: float) -> None:
        """Follows a claim, and waits this long for the next heartbeat."""
        self._wait.restart(timeout_s)
        self._learn(claim)

    def _learn(self, claim: Claim) -> None:
        """Follows a claim, unless it is known or an earlier one."""
        if claim <= self._claim:
            return
        self._know(claim)
        self._journal.decision(
            "follows", term=claim.term, leader=claim.instance
        )
        if self.is_leader:
            self.is_leader = False
            self._journal.lifecycle("leads_no_more", term=claim.term)
            self._on_change()

    def _know(self, claim: Claim) -> None:
        """Records a claim; what is known never goes back to an earlier one."""
        self._claim = max(self._claim, claim)

    def _read(self, records: tuple[logs.KeyedRecord, ...]) -> Claim:
        """Returns the newest claim among records."""
        for record in records:
            if record.key != _KEY:
                continue
            try:
                return _CLAIMS.decode(record.value)
            except Exception as error:
                # An unreadable record by another writer must not prevent the
                # next claim.
                self._journal.lifecycle("claim_unreadable", reason=str(error))
        return _NO_CLAIM
