"""Whether a leader is certain that no other one considers itself alone.

A leader is certain while all of this holds:

1. The log names the voters (``voters``), and it is one of them.
2. No earlier leader can be certain any more. Half of the voters know of this
   leader, so no earlier one gets a majority, and the last majority of an
   earlier one is no longer valid. Or this leader has led for longer than an
   earlier one may be certain without the log.
3. No later leader is certain yet: a majority of the voters accepted a recent
   heartbeat. If some of that majority have just started, or refused the
   connection, a recent read of the log also showed no later claim, since they
   may follow a later leader. That one waits for as long as such a confirmation
   is valid.
4. The log showed no later claim for a bounded time; a longer one if all voters
   followed meanwhile.

Only a leader for which the second point holds replaces the voters, and only on
condition that the log has no later claim. So whatever majority an earlier
leader counts is one of a set of which the next one needs half.
"""

import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_entry import model
from bridgecross_entry import relay_rounds
from bridgecross_entry import voters as voters_lib


@dataclasses.dataclass(frozen=True, slots=True)
class SoleLeadSettings:
    """For how long what a leader was told keeps it certain to be alone."""

    # How long a confirmation by a majority, and by the log if need be, counts
    # from when it was requested. Heartbeats are sent every 0.4 s.
    confirmation_valid_s: float = 1.5
    # A confirmation that needs the log is renewed once it is older than this.
    confirmation_renew_age_s: float = 0.9
    # The pause between two reads for that.
    confirmation_read_interval_s: float = 0.5
    # How many times as long a later leader waits as an earlier one may be
    # certain: clocks may differ by 2%.
    wait_ratio: float = 1.04
    # How long a leader stays certain since the log last showed its claim as the
    # newest, or all voters followed. A voter that does not may lead itself, and
    # replace the voters after this time. Network failures last some seconds.
    missing_max_s: float = 10.0
    # How often the leader reads the log while some voters do not follow.
    missing_read_interval_s: float = 3.0
    # How long it stays certain without the log at the most, though all voters
    # follow it. If no voter is left anywhere, the next leader waits for as long
    # before it replaces them. Regions lose each other for minutes.
    log_absence_max_s: float = 300.0
    # The pause between two changes of the voters. Instances start in groups,
    # and each change is a call of the log.
    change_interval_s: float = 1.0
    # When the leader reads the log, in time to retry, so as not to reach that.
    log_read_age_s: float = 60.0


class SoleLead:
    """Tracks what makes a leader certain that it is alone."""

    def __init__(
        self,
        settings: SoleLeadSettings,
        own: model.Address,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the state of an instance that does not lead.

        Args:
            settings: For how long it is certain.
            own: The peer address of this instance.
            clock: Measures all times; must advance while the machine is
                suspended.
        """
        self._settings = settings
        self._own = own
        self._clock = clock
        # The sets that count, whether the log names one of them, and whether
        # this leader has named it.
        self._sets = voters_lib.VoterSets(())
        self._is_named = False
        self._has_named = False
        # The sets that earlier leaders count, and whether the list of instances
        # counts beside them.
        self._inherited = voters_lib.VoterSets(())
        self._counts_list = False
        # When this instance began to lead.
        self._led_s = float("inf")
        # When half of the voters, and all of them, first knew of this leader.
        self._half_known_s = float("inf")
        self._all_known_s = float("inf")
        # Whether no earlier leader can be certain any more; stays true.
        self._is_settled = False
        # When the last heartbeat was sent that a majority accepted, and the
        # last one for which that holds if those are counted that have just
        # started or refused the connection.
        self._accepted_s = float("-inf")
        self._not_silent_s = float("-inf")
        # When the log last showed this instance's claim as the newest.
        self._log_s = float("-inf")
        # The same, or when all voters followed, without a gap that is too long.
        self._unrivalled_s = float("-inf")
        # When the log was last read for this.
        self._read_s = float("-inf")
        # When another instance was last found to know of a later claim.
        self._disputed_s = float("-inf")

    @property
    def sets(self) -> voters_lib.VoterSets:
        """The sets of voters that count."""
        return self._sets

    @property
    def _confirmed_s(self) -> float:
        """When the last confirmation that no later leader is certain began."""
        with_log_s = min(self._not_silent_s, self._log_s)
        return max(self._accepted_s, with_log_s)

    @property
    def confirmed_ago_s(self) -> float:
        """How long ago a majority, and the log if need be, were asked."""
        return self._clock.monotonic_s() - self._confirmed_s

    @property
    def unrivalled_ago_s(self) -> float:
        """How long ago all voters followed, or the log had no later claim."""
        return self._clock.monotonic_s() - self._unrivalled_s

    @property
    def is_settled(self) -> bool:
        """Whether no earlier leader can be certain to be alone any more."""
        if not self._is_settled:
            self._is_settled = self._are_earlier_over()
        return self._is_settled

    @property
    def is_certain(self) -> bool:
        """Whether no other leader can be certain to be alone now."""
        settings = self._settings
        now_s = self._clock.monotonic_s()
        return (
            self._is_named
            and self._sets.include(self._own)
            and self.is_settled
            and now_s - self._confirmed_s < settings.confirmation_valid_s
            and now_s - self._unrivalled_s < settings.missing_max_s
            and now_s - self._log_s < settings.log_absence_max_s
        )

    def _are_earlier_over(self) -> bool:
        """Whether the time is over for which earlier leaders are certain."""
        settings = self._settings
        now_s = self._clock.monotonic_s()
        if now_s >= self._all_known_s:
            return True
        waited_s = (now_s - self._half_known_s) / settings.wait_ratio
        if waited_s >= settings.confirmation_valid_s:
            return True
        led_s = (now_s - self._led_s) / settings.wait_ratio
        if self._sets.include(self._own):
            # Since then an earlier leader has missed this voter.
            return led_s >= settings.missing_max_s
        return led_s >= settings.log_absence_max_s

    def begin(
        self,
        named: voters_lib.VoterSet | None,
        *,
        counts_list: bool,
        asked_s: float,
    ) -> None:
        """Begins to lead.

        Args:
            named: The voters that the log names, if any.
            counts_list: Whether an earlier leader may be of a version that
                knows no voters and counts the list of instances.
            asked_s: When the claim was sent to the log.
        """
        self._sets = voters_lib.VoterSets((named,) if named else ())
        self._inherited = self._sets
        self._counts_list = counts_list
        self._is_named = named is not None
        self._has_named = False
        self._led_s = self._clock.monotonic_s()
        self._half_known_s = float("inf")
        self._all_known_s = float("inf")
        self._is_settled = False
        self._accepted_s = float("-inf")
        self._not_silent_s = float("-inf")
        self._log_s = asked_s
        self._unrivalled_s = asked_s
        self._read_s = float("-inf")
        self._disputed_s = float("-inf")

    def note_round(self, relay_round: relay_rounds.RelayRound) -> None:
        """Records a round of heartbeats that no instance disputed."""
        sent_s = relay_round.sent_s
        if sent_s < self._disputed_s:
            return
        if self._counts_list:
            listed = relay_round.listed(self._own)
            self._sets = self._inherited.add(listed)
        now_s = self._clock.monotonic_s()
        living = relay_round.accepted | {self._own}
        informed = living | relay_round.restarted
        if self._sets.have_majority(living):
            self._accepted_s = max(self._accepted_s, sent_s)
        if self._sets.have_majority(informed | relay_round.refused):
            self._not_silent_s = max(self._not_silent_s, sent_s)
        if self._sets.have_half(informed):
            self._half_known_s = min(self._half_known_s, now_s)
        if self._sets.are_within(informed):
            self._all_known_s = min(self._all_known_s, now_s)
            missing_s = sent_s - self._unrivalled_s
            # After that long, the earlier run of one that has just started may
            # have led.
            is_gap = missing_s >= self._settings.missing_max_s
            if not is_gap or self._sets.are_within(living):
                self._unrivalled_s = max(self._unrivalled_s, sent_s)

    def note_dispute(self) -> None:
        """Records that another instance knows of a later claim."""
        self._disputed_s = self._clock.monotonic_s()
        self._accepted_s = float("-inf")
        self._not_silent_s = float("-inf")
        self._unrivalled_s = float("-inf")

    def note_newest_in_log(self, asked_s: float) -> None:
        """Records that the log had no later claim.

        Args:
            asked_s: When the log was asked. An answer from before a dispute
                proves nothing.
        """
        if asked_s < self._disputed_s:
            return
        self._log_s = max(self._log_s, asked_s)
        self._unrivalled_s = max(self._unrivalled_s, asked_s)

    # Reads of the log.

    def should_read(self, *, is_needed: bool) -> bool:
        """Whether to read the log now, so as to be certain.

        Args:
            is_needed: Whether anything depends on it at present.
        """
        settings = self._settings
        now_s = self._clock.monotonic_s()
        read_ago_s = now_s - self._read_s
        if is_needed and self._not_silent_s > self._confirmed_s:
            is_old = self.confirmed_ago_s > settings.confirmation_renew_age_s
            if is_old and read_ago_s >= settings.confirmation_read_interval_s:
                return True
        if read_ago_s < settings.missing_read_interval_s:
            return False
        missing_s = now_s - self._unrivalled_s
        if is_needed and missing_s >= settings.missing_read_interval_s:
            return True
        return now_s - self._log_s >= settings.log_read_age_s

    def note_read_begun(self) -> None:
        """Records that the log is read for this."""
        self._read_s = self._clock.monotonic_s()

    # Changes of the voters.

    def needs_change(self, wanted: voters_lib.VoterSet) -> bool:
        """Whether this leader has yet to name some voters, and may do so now.

        A leader names them anew even if they are the same, so that the next one
        knows that it counted no others.
        """
        is_named = self._has_named and self._sets.sets == (wanted,)
        return not is_named and self.is_settled

    def begin_change(self, wanted: voters_lib.VoterSet) -> None:
        """Counts other voters too, as the log may name them from now on."""
        self._counts_list = False
        self._sets = self._sets.add(wanted)

    def complete_change(self, wanted: voters_lib.VoterSet) -> None:
        """Counts only the voters that this leader has just named in the log."""
        self._sets = voters_lib.VoterSets((wanted,))
        self._is_named = True
        self._has_named = True

    def note_named(self, named: voters_lib.VoterSet) -> None:
        """Records the voters that this leader has named, as read in the log."""
        self._sets = self._sets.drop_before(named)
        self._is_named = True
        self._has_named = True
