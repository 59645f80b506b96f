"""When a leader is certain that no other one considers itself alone."""

import entry_support as support
import leadership_support
import pytest

from bridgecross_entry import relay_rounds
from bridgecross_entry import sole_lead

_SETTINGS = sole_lead.SoleLeadSettings()
_OWN, *_OTHERS = [leadership_support.make_address(n) for n in range(5)]
_VOTERS = frozenset([_OWN, *_OTHERS])


class _Scene:
    """A leader of five voters, named by an earlier leader."""

    def __init__(self, named=_VOTERS, *, counts_list=False) -> None:
        self.clock = support.ManualClock()
        self.lead = sole_lead.SoleLead(_SETTINGS, _OWN, self.clock)
        self.lead.begin(
            named, counts_list=counts_list, asked_s=self.clock.now_s
        )

    def note_round(self, accepted, restarted=0, refused=0, listed=_VOTERS):
        """Lets the first others accept a heartbeat.

        The last ones have just started, and those before refuse connections.
        """
        others = sorted(listed - {_OWN}, key=str)
        running = others[: len(others) - restarted]
        self.lead.note_round(
            relay_rounds.RelayRound(
                0,
                self.clock.now_s,
                frozenset(others),
                frozenset(others[:accepted]),
                restarted=frozenset(others[len(others) - restarted :]),
                refused=frozenset(running[len(running) - refused :]),
                is_disputed=False,
            )
        )

    def pass_s(self, for_s, accepted, restarted=0, refused=0):
        """Lets time pass with a round each half second."""
        for _ in range(round(for_s / 0.5)):
            self.clock.now_s += 0.5
            self.note_round(accepted, restarted, refused)


def _make_certain():
    scene = _Scene()
    scene.note_round(accepted=4)
    assert scene.lead.is_certain
    return scene


# Guards against a leader that counts others than the log names.
def test_without_named_voters_no_leader_is_certain():
    scene = _Scene(named=None, counts_list=True)
    scene.note_round(accepted=4)
    assert scene.lead.is_settled
    assert not scene.lead.is_certain
    scene.lead.begin_change(_VOTERS)
    assert not scene.lead.is_certain
    scene.lead.complete_change(_VOTERS)
    assert scene.lead.is_certain


# Guards against a leader that joined and that earlier ones do not miss.
def test_a_leader_that_is_no_voter_is_not_certain():
    scene = _Scene(named=frozenset(_OTHERS))
    scene.note_round(accepted=4)
    assert scene.lead.is_settled
    assert not scene.lead.is_certain


# Guards against joined instances that make up for voters that are missing.
def test_joined_instances_do_not_count():
    # Of those that accept, which are the first by address, none is a voter.
    scene = _Scene(named=frozenset(_OTHERS[-2:]) | {_OWN})
    scene.note_round(accepted=2)
    scene.clock.now_s += 2.0
    scene.note_round(accepted=2)
    assert not scene.lead.is_settled


@pytest.mark.parametrize(
    ("accepted", "restarted", "refused", "settles"),
    [
        pytest.param(1, 0, 0, False, id="2 of 5"),
        pytest.param(2, 0, 0, True, id="3 of 5"),
        pytest.param(1, 1, 0, True, id="2 of 5 and one has just started"),
        pytest.param(1, 0, 3, False, id="2 of 5, the others refuse"),
    ],
)
def test_earlier_leaders_are_waited_for(accepted, restarted, refused, settles):
    scene = _Scene()
    scene.note_round(accepted, restarted, refused)
    scene.clock.now_s += _SETTINGS.confirmation_valid_s
    scene.note_round(accepted, restarted, refused)
    scene.lead.note_newest_in_log(scene.clock.now_s)
    assert not scene.lead.is_settled
    assert not scene.lead.is_certain
    scene.clock.now_s += 0.1
    assert scene.lead.is_settled is settles
    assert scene.lead.is_certain is settles


# Guards against a set that is replaced while an earlier leader counts it.
@pytest.mark.parametrize(
    ("named", "waited_s"),
    [
        pytest.param(_VOTERS, _SETTINGS.missing_max_s, id="a voter"),
        pytest.param(
            frozenset(_OTHERS), _SETTINGS.log_absence_max_s, id="no voter"
        ),
    ],
)
def test_without_voters_a_leader_waits_until_earlier_ones_stop(named, waited_s):
    scene = _Scene(named)
    scene.clock.now_s += waited_s * 1.03
    assert not scene.lead.needs_change(frozenset([_OWN]))
    scene.clock.now_s += waited_s * 0.02
    assert scene.lead.needs_change(frozenset([_OWN]))


# Guards against a leader that is alone beside an earlier one, since it takes
# refused connections of voters behind a cut for their ends.
def test_voters_that_refuse_connections_settle_nothing():
    scene = _Scene()
    scene.note_round(accepted=2, refused=2)
    assert not scene.lead.is_settled
    scene.note_round(accepted=2, restarted=2)
    assert scene.lead.is_settled


# Guards against a leader behind a cut that stays alone without the log.
def test_voters_that_refuse_connections_do_not_follow():
    scene = _make_certain()
    scene.pass_s(_SETTINGS.missing_max_s - 0.5, accepted=3, refused=1)
    assert scene.lead.is_certain
    scene.pass_s(0.5, accepted=3, refused=1)
    assert not scene.lead.is_certain


# Guards against two that are alone while voters end and start again.
@pytest.mark.parametrize("state", ["restarted", "refused"])
def test_voters_that_do_not_follow_confirm_only_with_the_log(state):
    scene = _make_certain()
    scene.pass_s(4.0, accepted=1, **{state: 3})
    assert not scene.lead.is_certain
    assert scene.lead.should_read(is_needed=True)
    scene.lead.note_newest_in_log(scene.clock.now_s)
    assert scene.lead.is_certain


# Guards against a leader that returns after its voters were replaced.
def test_after_a_gap_voters_that_have_restarted_do_not_stand_for_the_log():
    scene = _make_certain()
    scene.pass_s(9.0, accepted=3)
    assert scene.lead.is_certain
    scene.note_round(accepted=3, restarted=1)
    scene.pass_s(11.0, accepted=3)
    assert not scene.lead.is_certain
    scene.note_round(accepted=3, restarted=1)
    assert not scene.lead.is_certain
    scene.note_round(accepted=4)
    assert scene.lead.is_certain


# Guards against a set that nobody may replace since its leader never stops.
def test_without_the_log_a_leader_stops_though_all_follow():
    scene = _make_certain()
    scene.pass_s(_SETTINGS.log_absence_max_s - 1.0, accepted=4)
    assert scene.lead.is_certain
    assert scene.lead.should_read(is_needed=False)
    scene.pass_s(1.0, accepted=4)
    assert not scene.lead.is_certain
    scene.lead.note_newest_in_log(scene.clock.now_s)
    assert scene.lead.is_certain


# Guards against a log that is read though nothing depends on it.
def test_a_leader_that_all_follow_seldom_reads_the_log():
    scene = _make_certain()
    scene.pass_s(_SETTINGS.log_read_age_s - 1.0, accepted=4)
    assert not scene.lead.should_read(is_needed=True)
    scene.pass_s(1.0, accepted=4)
    assert scene.lead.should_read(is_needed=False)
    scene.lead.note_read_begun()
    assert not scene.lead.should_read(is_needed=True)


# Guards against a change whose answer is lost and that the log names later.
def test_during_a_change_both_sets_count():
    scene = _make_certain()
    joined = {leadership_support.make_address(n) for n in range(5, 12)}
    scene.lead.begin_change(_VOTERS | joined)
    scene.clock.now_s += 2.0
    scene.note_round(accepted=4)
    assert not scene.lead.is_certain
    scene.note_round(accepted=11, listed=_VOTERS | joined)
    assert scene.lead.is_certain
    scene.lead.note_named(_VOTERS | joined)
    assert scene.lead.sets.sets == (_VOTERS | joined,)


# Guards against an earlier version's leader that counts the list.
def test_beside_an_earlier_version_the_list_counts_too():
    scene = _Scene(named=frozenset([_OWN]), counts_list=True)
    scene.note_round(accepted=1)
    scene.clock.now_s += 2.0
    assert not scene.lead.is_settled
    scene.note_round(accepted=4)
    assert scene.lead.is_certain


def test_a_dispute_ends_until_the_log_or_all_voters_confirm():
    scene = _make_certain()
    asked_s = scene.clock.now_s
    scene.clock.now_s += 0.1
    scene.lead.note_dispute()
    scene.lead.note_newest_in_log(asked_s)
    scene.note_round(accepted=3)
    assert not scene.lead.is_certain
    scene.note_round(accepted=4)
    assert scene.lead.is_certain
