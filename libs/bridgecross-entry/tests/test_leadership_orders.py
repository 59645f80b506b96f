import asyncio
import dataclasses

import anyio
import entry_fakes as fakes
import entry_support as support
import leadership_support
import pytest
import stalled_loop

from bridgecross_entry import leadership


class _HeldLog(fakes.MemoryLog):
    """A log whose answers a test holds back after the call took effect."""

    def __init__(self) -> None:
        super().__init__()
        self.held_calls: set[str] = set()
        # Set once a call is held, and when it may return.
        self.is_held = anyio.Event()
        self.may_return = anyio.Event()

    async def _hold(self, call):
        if call in self.held_calls:
            self.held_calls.remove(call)
            self.is_held.set()
            await self.may_return.wait()

    async def read_newest(self, topic):
        answer = await super().read_newest(topic)
        await self._hold("read_newest")
        return answer

    async def append(self, *call: object):
        await self._hold("connect")
        answer = await super().append(*call)
        await self._hold("append")
        return answer


class _Scene:
    """One instance, its log and its clock."""

    def __init__(self) -> None:
        self.clock = support.ManualClock()
        self.log = _HeldLog()
        self.leadership = leadership_support.make_leadership(
            1, self.log, self.clock
        )

    def hear(self, term, instance="entry-2"):
        claim = leadership.Claim(term, instance)
        return self.leadership.handle_heartbeat(claim)

    def note_round(self, *, sent_s, accepted=4, disputed=False):
        term = self.leadership.term
        relay_round = leadership_support.make_round(
            term, sent_s, 4, accepted=accepted, disputed=disputed, own=1
        )
        self.leadership.note_relay_round(relay_round)
        leadership_support.name_voters(self.leadership)

    async def do_during(self, call, waiting, action):
        """Runs a call of the leadership, and acts while the log is slow."""
        self.log.held_calls = {call}
        self.log.is_held = anyio.Event()
        self.log.may_return = anyio.Event()
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(waiting)
                await self.log.is_held.wait()
                action()
                self.log.may_return.set()

    def claims_count(self):
        return len(leadership_support.list_claims(self.log))


async def _lead():
    scene = _Scene()
    await scene.leadership._try_claim()
    assert scene.leadership.is_leader
    return scene


def _call_later(turns_count, call, *args: object):
    """Calls something after some turns of the loop."""
    if turns_count == 0:
        call(*args)
    else:
        loop = asyncio.get_running_loop()
        loop.call_soon(_call_later, turns_count - 1, call, *args)


# Guards against a claim although the leader is heard while the log is read.
@pytest.mark.anyio
async def test_a_heartbeat_during_the_read_stops_the_claim():
    scene = _Scene()
    leadership_support.write_claim(scene.log, leadership.Claim(0, "entry-2"))
    scene.hear(0)
    scene.clock.now_s += leadership_support.SETTINGS.heartbeat_timeout_s
    await scene.do_during(
        "read_newest", scene.leadership._try_claim, lambda: scene.hear(0)
    )
    assert not scene.leadership.is_leader
    assert scene.claims_count() == 1


# Guards against a claim before input that came with the answer is handled.
@pytest.mark.anyio
async def test_a_heartbeat_that_came_with_the_answer_stops_the_claim():
    scene = _Scene()
    leadership_support.write_claim(scene.log, leadership.Claim(0, "entry-2"))
    scene.hear(0)
    await scene.do_during(
        "read_newest",
        scene.leadership._try_claim,
        lambda: _call_later(stalled_loop.INPUT_TURNS_COUNT, scene.hear, 0),
    )
    assert not scene.leadership.is_leader
    assert scene.claims_count() == 1


# Guards against a claim above a leader that the log's answer did not contain.
@pytest.mark.anyio
async def test_a_later_heartbeat_during_the_read_stops_the_claim():
    scene = _Scene()
    leadership_support.write_claim(scene.log, leadership.Claim(0, "entry-2"))
    await scene.do_during(
        "read_newest",
        scene.leadership._try_claim,
        lambda: scene.hear(3, "entry-3"),
    )
    assert scene.leadership.claim == leadership.Claim(3, "entry-3")
    assert scene.claims_count() == 1


# Guards against a claim by an instance that resigned while it read the log.
@pytest.mark.anyio
async def test_an_instance_that_resigns_during_the_read_does_not_claim():
    scene = _Scene()
    await scene.do_during(
        "read_newest", scene.leadership._try_claim, scene.leadership.resign
    )
    assert not scene.leadership.is_leader
    assert scene.claims_count() == 0


# Guards against a claim that goes on while its append waits for a connection.
@pytest.mark.anyio
async def test_a_heartbeat_before_the_append_is_sent_stops_the_claim():
    scene = _Scene()
    leadership_support.write_claim(scene.log, leadership.Claim(0, "entry-2"))
    scene.hear(0)
    await scene.do_during(
        "connect", scene.leadership._try_claim, lambda: scene.hear(0)
    )
    assert not scene.leadership.is_leader
    assert scene.claims_count() == 1


# Guards against an instance that leads in a term before one that it has heard.
@pytest.mark.anyio
async def test_an_appended_claim_does_not_undo_a_later_heartbeat():
    scene = _Scene()
    await scene.do_during(
        "append", scene.leadership._try_claim, lambda: scene.hear(3)
    )
    assert scene.leadership.claim == leadership.Claim(3, "entry-2")
    assert not scene.leadership.is_leader


# Guards against a start that forgets the leader heard during its first read.
@pytest.mark.anyio
@pytest.mark.parametrize("has_led", [False, True])
async def test_the_first_read_does_not_undo_a_heartbeat(has_led):
    scene = _Scene()
    if has_led:
        leadership_support.write_claim(
            scene.log, leadership.Claim(1, "entry-1")
        )
    before = scene.claims_count()
    await scene.do_during(
        "read_newest",
        scene.leadership._read_first_claim,
        lambda: scene.hear(5),
    )
    assert scene.leadership.claim == leadership.Claim(5, "entry-2")
    assert not scene.hear(4, "entry-3")
    assert scene.claims_count() == before


# Guards against a follower of an earlier leader after a slow confirmation.
@pytest.mark.anyio
async def test_a_slow_confirmation_does_not_undo_a_later_heartbeat():
    scene = await _lead()
    await scene.do_during(
        "read_newest", scene.leadership.confirm, lambda: scene.hear(4)
    )
    assert scene.leadership.claim == leadership.Claim(4, "entry-2")
    assert not scene.leadership.is_leader
    assert not scene.leadership.may_order


# Guards against answers to an earlier term that confirm a later one.
@pytest.mark.anyio
async def test_answers_to_an_earlier_term_do_not_confirm_a_later_one():
    scene = await _lead()
    earlier = leadership_support.make_round(
        0, scene.clock.now_s, 4, accepted=4, own=1
    )
    scene.hear(1)
    await scene.leadership._try_claim()
    assert scene.leadership.term == 2
    scene.leadership.note_relay_round(earlier)
    assert scene.leadership.half_known_s == float("inf")


# Guards against a leader that counts for the majority of another one.
@pytest.mark.anyio
async def test_a_leader_accepts_no_other_leader_of_its_own_term():
    scene = await _lead()
    accepted = scene.hear(scene.leadership.term, "entry-3")
    assert not (accepted and scene.leadership.is_leader)


# Guards against a confirmation that a slow read replaces with an earlier one.
@pytest.mark.anyio
async def test_a_slow_read_does_not_replace_a_later_confirmation():
    scene = await _lead()

    def confirm_by_others():
        scene.clock.now_s += 1.2
        scene.note_round(sent_s=scene.clock.now_s)

    await scene.do_during(
        "read_newest", scene.leadership.confirm, confirm_by_others
    )
    scene.clock.now_s += 0.5
    assert scene.leadership.may_order


# Guards against a dispute that is settled by a read asked for before it.
@pytest.mark.anyio
async def test_a_read_asked_for_before_a_dispute_does_not_confirm():
    scene = await _lead()
    await scene.do_during(
        "read_newest",
        scene.leadership.confirm,
        lambda: scene.note_round(sent_s=scene.clock.now_s, disputed=True),
    )
    assert not scene.leadership.may_order


# Guards against a dispute that is settled by an earlier heartbeat's answers.
def test_answers_asked_for_before_a_dispute_do_not_confirm():
    scene = anyio.run(_lead)
    asked_s = scene.clock.now_s
    scene.clock.now_s += 0.1
    scene.note_round(sent_s=scene.clock.now_s, disputed=True)
    scene.note_round(sent_s=asked_s)
    assert not scene.leadership.may_order


# Guards against a lead that counts from when the log answered.
@pytest.mark.anyio
@pytest.mark.parametrize("call", ["_try_claim", "confirm"])
async def test_a_slow_answer_counts_from_when_it_was_asked_for(call):
    scene = await _lead()
    held = "append" if call == "_try_claim" else "read_newest"

    def let_time_pass():
        scene.clock.now_s += leadership_support.SETTINGS.confirmation_valid_s

    waiting = getattr(scene.leadership, call)
    await scene.do_during(held, waiting, let_time_pass)
    assert not scene.leadership.may_order


# Guards against a confirmation that an earlier round's late answers undo.
def test_rounds_that_are_counted_out_of_order_confirm_by_the_latest():
    scene = anyio.run(_lead)
    asked_s = scene.clock.now_s
    scene.clock.now_s += 1.2
    scene.note_round(sent_s=scene.clock.now_s)
    scene.note_round(sent_s=asked_s)
    scene.clock.now_s += 0.5
    assert scene.leadership.sole_term == scene.leadership.term


def _miss_one(scene, for_s):
    """Lets time pass in which one of five instances does not answer."""
    for _ in range(round(for_s)):
        scene.clock.now_s += 1.0
        scene.note_round(sent_s=scene.clock.now_s, accepted=3)


# Guards against a slow read that makes a lead count as rivalled too early.
@pytest.mark.anyio
async def test_a_slow_read_does_not_replace_a_later_unanimous_round():
    scene = await _lead()

    def be_followed_by_all():
        scene.clock.now_s += 5.0
        scene.note_round(sent_s=scene.clock.now_s)

    await scene.do_during(
        "read_newest", scene.leadership.confirm, be_followed_by_all
    )
    _miss_one(scene, for_s=9.0)
    assert scene.leadership.sole_term == scene.leadership.term


# Guards against a dispute that an incomplete majority settles for quotas.
def test_after_a_dispute_a_majority_alone_does_not_show_that_none_rivals():
    scene = anyio.run(_lead)
    scene.note_round(sent_s=scene.clock.now_s)
    assert scene.leadership.sole_term is not None
    scene.note_round(sent_s=scene.clock.now_s, disputed=True)
    scene.note_round(sent_s=scene.clock.now_s, accepted=3)
    assert scene.leadership.may_order
    assert scene.leadership.sole_term is None


# Guards against a slow append whose answer counts as a look at the log.
@pytest.mark.anyio
async def test_a_slow_claim_is_unrivalled_from_when_it_was_sent():
    scene = _Scene()

    def let_time_pass():
        scene.clock.now_s += 5.0

    await scene.do_during("append", scene.leadership._try_claim, let_time_pass)
    _miss_one(scene, for_s=4.0)
    assert scene.leadership.sole_term == scene.leadership.term
    _miss_one(scene, for_s=2.0)
    assert scene.leadership.may_order
    assert scene.leadership.sole_term is None


# Guards against a leader whose task starts again and claims once more.
@pytest.mark.anyio
async def test_a_task_that_starts_again_does_not_read_its_first_claim_anew():
    scene = await _lead()
    scene.leadership.knows_claims = True
    with anyio.move_on_after(0.05):
        await scene.leadership.run()
    assert scene.leadership.is_leader
    assert scene.claims_count() == 1


# Guards against logs that do not tell over which list a leader counted.
@pytest.mark.anyio
async def test_what_was_counted_is_logged_when_a_leader_becomes_alone():
    scene = await _lead()
    lines = []
    scene.leadership._journal.lifecycle = lambda event, **fields: lines.append(
        (event, fields)
    )
    counted = leadership_support.make_round(
        scene.leadership.term, scene.clock.now_s, 4, accepted=4, own=1
    )
    counted = dataclasses.replace(counted, list_offset=7, list_age_s=0.25)
    scene.leadership.note_relay_round(counted)
    leadership_support.name_voters(scene.leadership)
    scene.leadership._log_sole_change()
    scene.clock.now_s += leadership_support.SETTINGS.confirmation_valid_s
    scene.leadership._log_sole_change()
    assert [event for event, _ in lines] == [
        "voters_named",
        "lead_alone",
        "lead_not_alone",
    ]
    fields = lines[1][1]
    assert (fields["listed"], fields["accepted"]) == (5, 5)
    assert (fields["list_offset"], fields["list_age_s"]) == (7, 0.25)
