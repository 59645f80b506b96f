"""Leaders that name the voters in the log."""

import entry_fakes as fakes
import entry_support as support
import leadership_support
import pytest

from bridgecross_entry import leadership
from bridgecross_entry import log
from bridgecross_entry import voters

pytestmark = pytest.mark.anyio

_FIVE = frozenset(leadership_support.make_address(n) for n in range(5))
_SEVEN = frozenset(leadership_support.make_address(n) for n in range(7))


class _Scene:
    """A leader with four others, of which all follow."""

    def __init__(self) -> None:
        self.clock = support.ManualClock()
        self.log = fakes.MemoryLog()
        self.leader = leadership_support.make_leadership(
            0, self.log, self.clock
        )

    async def lead(self):
        await self.leader._try_claim()
        return await self.note_round()

    async def note_round(self, *, others_count=4, accepted=4):
        """Counts a round a second later; the namer runs after it."""
        self.clock.now_s += 1.0
        self.leader.note_relay_round(
            leadership_support.make_round(
                self.leader.term,
                self.clock.now_s,
                others_count,
                accepted=accepted,
            )
        )
        await self.leader._name_voters(self.leader._last_round)
        return self

    def find_named(self):
        """Returns the voters that the log names last."""
        newest = {r.key: r for r in self.log.records[leadership.TOPIC]}
        return voters.find(newest.values())

    def count_records(self):
        records = self.log.records[leadership.TOPIC]
        return sum(record.key == voters.KEY for record in records)


async def test_a_leader_names_the_listed_instances_once():
    scene = await _Scene().lead()
    for _ in range(3):
        await scene.note_round()
    named = scene.find_named()
    assert (named.term, named.instance) == (0, "entry-0")
    assert named.voters == _FIVE
    assert scene.count_records() == 1


async def test_who_joins_is_named_once_most_follow():
    scene = await _Scene().lead()
    await scene.note_round(others_count=6, accepted=2)
    assert scene.find_named().voters == _FIVE
    assert scene.leader._sole.sets.sets == (_FIVE,)
    await scene.note_round(others_count=6, accepted=4)
    assert scene.find_named().voters == _SEVEN
    assert scene.leader._sole.sets.sets == (_SEVEN,)


# Guards against a leader that names voters while an earlier one is alone.
async def test_a_leader_names_nobody_before_earlier_ones_are_over():
    scene = _Scene()
    await scene.leader._try_claim()
    await scene.note_round(accepted=2)
    assert scene.find_named() is None
    await scene.note_round(accepted=2)
    await scene.note_round(accepted=2)
    assert scene.find_named().voters == _FIVE


# Guards against counting one set only while the log may name the other.
@pytest.mark.parametrize("is_appended", [True, False])
async def test_both_sets_count_until_the_log_tells_which_it_names(is_appended):
    scene = await _Scene().lead()
    if is_appended:
        scene.log.lose_answer = True
    else:
        scene.log.unavailable = True
    await scene.note_round(others_count=6, accepted=6)
    assert scene.leader._sole.sets.sets == (_FIVE, _SEVEN)
    scene.log.unavailable = False
    await scene.note_round(others_count=6, accepted=6)
    assert scene.leader._sole.sets.sets == (_SEVEN,)
    assert scene.find_named().voters == _SEVEN


# Guards against a second record for want of an answer to the first.
async def test_a_read_shows_that_the_log_names_the_voters():
    scene = await _Scene().lead()
    scene.log.lose_answer = True
    await scene.note_round(others_count=6, accepted=6)
    await scene.leader.confirm()
    assert scene.leader._sole.sets.sets == (_SEVEN,)
    await scene.note_round(others_count=6, accepted=6)
    assert scene.count_records() == 2


# Guards against a change by a leader that has been superseded.
async def test_nobody_names_voters_after_a_later_claim():
    scene = await _Scene().lead()
    later = leadership.Claim(1, "entry-1")
    leadership_support.write_claim(scene.log, later)
    await scene.note_round(others_count=6, accepted=6)
    assert scene.find_named().voters == _FIVE
    await scene.note_round(others_count=6, accepted=6)
    assert not scene.leader.is_leader
    assert scene.find_named().voters == _FIVE


async def test_the_next_leader_inherits_the_voters():
    scene = await _Scene().lead()
    await scene.note_round(others_count=6, accepted=6)
    following = leadership_support.make_leadership(1, scene.log, scene.clock)
    # The first look finds the leader.
    await following._try_claim()
    await following._try_claim()
    assert following._sole.sets.sets == (_SEVEN,)
    # Its list still lacks two of the voters, who are on another side.
    following.note_relay_round(
        leadership_support.make_round(
            1, scene.clock.now_s, 4, accepted=2, own=1
        )
    )
    scene.clock.now_s += 2.0
    assert not following._sole.is_settled


# Guards against an earlier version's leader, which counts the list.
async def test_after_a_leader_that_named_nobody_the_list_counts_too():
    scene = await _Scene().lead()
    later = leadership.Claim(1, "entry-1")
    leadership_support.write_claim(scene.log, later)
    await scene.leader.confirm()
    await scene.leader._try_claim()
    assert scene.leader.is_leader
    await scene.note_round(others_count=6, accepted=3)
    assert scene.leader._sole.sets.sets == (_FIVE, _SEVEN)
    assert scene.leader.sole_term is None


# Guards against a record that another writer damaged.
async def test_voters_that_are_unreadable_count_as_not_named():
    scene = _Scene()
    record = log.KeyedRecord(voters.KEY, b"\xff")
    scene.log.records[leadership.TOPIC].append(record)
    await scene.lead()
    assert scene.find_named().voters == _FIVE
