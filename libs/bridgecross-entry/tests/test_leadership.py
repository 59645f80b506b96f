import contextlib
import dataclasses
import time

import anyio
import entry_fakes as fakes
import entry_support as support
import leadership_support
import pytest

from bridgecross_core import clock
from bridgecross_entry import leadership
from bridgecross_entry import log
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

SETTINGS = leadership.LeadershipSettings(
    heartbeat_timeout_s=0.15,
    first_heartbeat_timeout_s=0.2,
    claim_interval_s=0.02,
    retry_pause_s=0.05,
    check_interval_s=0.01,
    log_lost_interval_s=0.1,
)


def _make_round(
    term,
    peers,
    *,
    accepted=0,
    restarted=0,
    refused=0,
    disputed=False,
    sent_s=None,
):
    if sent_s is None:
        sent_s = clock.SystemClock().monotonic_s()
    return leadership_support.make_round(
        term,
        sent_s,
        peers,
        accepted=accepted,
        restarted=restarted,
        refused=refused,
        disputed=disputed,
    )


class Member:
    """One instance, which sends heartbeats to the others while it leads."""

    def __init__(
        self, platform_log: fakes.MemoryLog, number: int, weak=()
    ) -> None:
        self.address = model.Address("127.0.0.1", 7_000 + number)
        self.others: list[Member] = []
        self.reachable: list[Member] = []
        self.leadership = leadership.Leadership(
            SETTINGS,
            dataclasses.replace(
                support.INSTANCE,
                name=f"entry-{number}",
                peer_address=self.address,
            ),
            platform_log,
            lambda: [other.address for other in self.others],
            lambda: weak,
            lambda: False,
            lambda: None,
            support.make_journal(clock.SystemClock()),
            clock.SystemClock(),
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.leadership.run)
            while True:
                await anyio.sleep(0.04)
                if self.leadership.is_leader:
                    self.send_heartbeats()

    def send_heartbeats(self) -> None:
        claim = self.leadership.claim
        for other in self.reachable:
            other.leadership.handle_heartbeat(claim)
        count = len(self.reachable)
        self.leadership.note_relay_round(
            _make_round(claim.term, count, accepted=count)
        )


@contextlib.asynccontextmanager
async def _running(count: int, platform_log: fakes.MemoryLog):
    members = [Member(platform_log, number) for number in range(count)]
    for member in members:
        member.others = [m for m in members if m is not member]
        member.reachable = list(member.others)
    async with anyio.create_task_group() as tasks:
        for member in members:
            tasks.start_soon(member.run)
        yield members
        tasks.cancel_scope.cancel()


def _leaders(members):
    return [m for m in members if m.leadership.is_leader]


async def test_one_of_many_leads():
    async with _running(5, fakes.MemoryLog()) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        first = _leaders(members)
        await anyio.sleep(0.4)
        assert _leaders(members) == first


@pytest.mark.parametrize("blocked_s", [0.2, 0.3, 0.6])
async def test_a_suspended_process_reads_heartbeats_before_it_claims(blocked_s):
    """A suspended process mistook its own pause for silence of the leader.

    When it resumed, its timers were due at once, and so was its claim, while
    the heartbeats that had arrived meanwhile were still unread. Seen as a
    change of leader on a busy machine, and in each run in which the event loop
    is blocked for 0.2 s.
    """
    async with _running(5, fakes.MemoryLog()) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        first = _leaders(members)
        await anyio.sleep(0.1)
        time.sleep(blocked_s)  # noqa: ASYNC251 (nothing else may run)
        await anyio.sleep(0.4)
        assert _leaders(members) == first


async def test_another_leads_once_the_leader_is_silent():
    async with _running(5, fakes.MemoryLog()) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        (first,) = _leaders(members)
        first.reachable = []
        await fakes.wait_until(lambda: len(_leaders(first.others)) == 1)
        await fakes.wait_until(lambda: not first.leadership.is_leader)


async def test_a_leader_that_resigns_is_followed_at_once():
    async with _running(3, fakes.MemoryLog()) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        await anyio.sleep(0.1)
        (first,) = _leaders(members)
        first.leadership.resign()
        claim = first.leadership.claim
        first.reachable = []
        for other in first.others:
            other.leadership.handle_heartbeat(claim, resigns=True)
        await fakes.wait_until(lambda: _leaders(first.others), 0.12)


async def test_nobody_claims_while_the_log_is_away_and_one_does_after():
    platform_log = fakes.MemoryLog()
    platform_log.unavailable = True
    async with _running(3, platform_log) as members:
        await anyio.sleep(0.3)
        assert not _leaders(members)
        platform_log.unavailable = False
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)


async def test_a_leader_that_restarts_leads_again_at_once():
    platform_log = fakes.MemoryLog()
    async with _running(1, platform_log) as (first,):
        await fakes.wait_until(lambda: first.leadership.is_leader)
    async with _running(1, platform_log) as (again,):
        await fakes.wait_until(lambda: again.leadership.is_leader, 0.1)
        assert again.leadership.term == 1


async def test_a_claim_whose_answer_is_lost_is_found_again():
    platform_log = fakes.MemoryLog()
    platform_log.lose_answer = True
    async with _running(2, platform_log) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)


async def test_a_heartbeat_of_an_earlier_term_is_not_accepted():
    member = Member(fakes.MemoryLog(), 1)
    assert member.leadership.handle_heartbeat(leadership.Claim(5, "entry-2"))
    assert not member.leadership.handle_heartbeat(
        leadership.Claim(4, "entry-3")
    )


async def test_a_leader_that_has_been_followed_by_another_finds_out():
    platform_log = fakes.MemoryLog()
    async with _running(2, platform_log) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        (first,) = _leaders(members)
        first.reachable = []
        for other in first.others:
            other.reachable = []
        await fakes.wait_until(lambda: len(_leaders(members)) == 2)
        await first.leadership.confirm()
        assert not first.leadership.is_leader


async def test_while_the_leader_has_lost_the_log_the_others_try_one_by_one():
    platform_log = fakes.MemoryLog()
    async with _running(4, platform_log) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        platform_log.unavailable = True
        calls = []
        original = platform_log.read_newest

        async def counted(topic):
            calls.append(anyio.current_time())
            return await original(topic)

        platform_log.read_newest = counted
        (leader,) = _leaders(members)
        receivers, leader.reachable = leader.reachable, []
        leader.send_heartbeats = lambda: None
        for _ in range(25):
            for other in receivers:
                other.leadership.handle_heartbeat(
                    leader.leadership.claim, log_lost=True
                )
            claim = leader.leadership.claim
            relay_round = _make_round(claim.term, 3, accepted=3)
            leader.leadership.note_relay_round(relay_round)
            await anyio.sleep(0.04)
        # The interval between claims is 0.1 s here, and the heartbeat timeout
        # of 0.15 s passes before the first.
        assert 2 <= len(calls) <= 9


async def test_one_that_reaches_the_log_takes_over_from_a_leader_that_lost_it():
    platform_log = fakes.MemoryLog()
    async with _running(3, platform_log) as members:
        await fakes.wait_until(lambda: len(_leaders(members)) == 1)
        first = _leaders(members)[0]
        receivers = first.reachable
        first.reachable = []
        others = [m for m in members if m is not first]
        with anyio.fail_after(3):
            while not _leaders(others):
                for other in receivers:
                    other.leadership.handle_heartbeat(
                        first.leadership.claim, log_lost=True
                    )
                await anyio.sleep(0.04)
        assert _leaders(others)[0].leadership.term > 0


@pytest.mark.parametrize(
    ("peers", "accepted", "restarted", "refused", "expected"),
    [
        pytest.param(0, 0, 0, 0, True, id="alone"),
        pytest.param(10, 5, 0, 0, True, id="most follow"),
        pytest.param(10, 4, 0, 0, False, id="too few follow"),
        pytest.param(3, 1, 0, 0, False, id="half follow"),
        pytest.param(10, 1, 8, 0, True, id="most have just started"),
        pytest.param(10, 1, 0, 8, False, id="most refuse connections"),
        pytest.param(10, 4, 0, 6, False, id="all others refuse"),
        pytest.param(1, 0, 0, 0, False, id="the only other is silent"),
        pytest.param(1, 0, 1, 0, True, id="the only other has just started"),
        pytest.param(1, 0, 0, 1, False, id="the only other refuses"),
    ],
)
def test_a_majority_counts_who_follows_and_who_has_just_started(
    peers, accepted, restarted, refused, expected
):
    relay_round = _make_round(
        1, peers, accepted=accepted, restarted=restarted, refused=refused
    )
    assert relay_round.is_majority is expected


# Guards against a wait for an earlier leader's orders that ends too early.
@pytest.mark.parametrize(
    ("peers", "accepted", "restarted", "refused", "expected"),
    [
        pytest.param(1, 0, 0, 1, True, id="1 of 2, which refuses"),
        pytest.param(2, 0, 0, 2, False, id="1 of 3"),
        pytest.param(3, 1, 0, 2, True, id="2 of 4"),
        pytest.param(10, 4, 0, 6, False, id="5 of 11"),
        pytest.param(10, 2, 3, 5, True, id="6 of 11, some have just started"),
    ],
)
def test_half_of_the_instances_exclude_another_majority(
    peers, accepted, restarted, refused, expected
):
    relay_round = _make_round(
        1, peers, accepted=accepted, restarted=restarted, refused=refused
    )
    assert relay_round.excludes_others is expected


async def _lead_alone(manual, platform_log):
    """Returns a leader whose clock the test sets."""
    leading = leadership.Leadership(
        leadership.LeadershipSettings(),
        support.INSTANCE,
        platform_log,
        lambda: [],
        lambda: [],
        lambda: False,
        lambda: None,
        support.make_journal(manual),
        manual,
    )
    await leading._try_claim()
    return leading


async def test_a_lead_expires_without_confirmation():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    assert leading.may_order
    manual.now_s += 1.4
    assert leading.may_order
    # As after a suspended process: time passed without a confirmation.
    manual.now_s += 0.2
    assert not leading.may_order
    leading.note_relay_round(
        _make_round(leading.term, 4, accepted=1, sent_s=manual.now_s)
    )
    assert not leading.may_order
    leading.note_relay_round(
        _make_round(leading.term, 4, accepted=2, sent_s=manual.now_s)
    )
    assert leading.may_order


async def test_a_confirmation_counts_from_when_it_was_asked_for():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    manual.now_s += 5
    relay_round = _make_round(
        leading.term, 2, accepted=2, sent_s=manual.now_s - 1.6
    )
    leading.note_relay_round(relay_round)
    assert not leading.may_order


async def test_a_dispute_suspends_the_lead_until_the_log_is_read():
    manual = support.ManualClock()
    platform_log = fakes.MemoryLog()
    leading = await _lead_alone(manual, platform_log)
    relay_round = _make_round(leading.term, 4, accepted=3, disputed=True)
    leading.note_relay_round(relay_round)
    assert not leading.may_order
    await leading.confirm()
    assert leading.may_order
    leading.note_relay_round(relay_round)
    rival = leadership.Claim(leading.term + 1, "rival")
    record = log.KeyedRecord("leader", leadership._CLAIMS.encode(rival))
    platform_log.records[leadership.TOPIC].append(record)
    await leading.confirm()
    assert not leading.may_order
    assert not leading.is_leader


async def test_a_majority_counts_only_once_it_accepted_a_heartbeat():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    assert leading.half_known_s == float("inf")
    leading.note_relay_round(_make_round(leading.term, 2, accepted=0))
    assert leading.half_known_s == float("inf")
    leading.note_relay_round(_make_round(leading.term, 2, accepted=1))
    assert leading.half_known_s == manual.now_s


def test_weak_machines_come_after_all_others():
    strong = model.Address("127.0.0.1", 7_000)
    weak = [model.Address("127.0.0.1", 7_000 + n) for n in range(1, 30)]
    members = [Member(fakes.MemoryLog(), n, weak) for n in range(30)]
    for member in members:
        member.others = [m for m in members if m is not member]
    ranks = {m.address: m.leadership._rank() for m in members[:1]}
    assert ranks[strong] == 0


def test_a_weak_machine_knows_that_it_is_weak():
    member = Member(fakes.MemoryLog(), 1)
    member.leadership._instance = dataclasses.replace(
        support.INSTANCE, link_mbps=5.0
    )
    member.others = [Member(fakes.MemoryLog(), n) for n in range(2, 20)]
    assert member.leadership._rank() == 18


# Guards against a shorter wait while an earlier leader is behind a cut that
# refuses connections.
async def test_all_know_of_a_leader_once_each_has_accepted_or_restarted():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    leading.note_relay_round(_make_round(leading.term, 4, accepted=3))
    assert leading.known_to_all_s == float("inf")
    leading.note_relay_round(
        _make_round(leading.term, 4, accepted=2, refused=2)
    )
    assert leading.known_to_all_s == float("inf")
    leading.note_relay_round(
        _make_round(leading.term, 4, accepted=2, restarted=2)
    )
    assert leading.known_to_all_s == manual.now_s


async def test_a_change_of_confirmation_is_logged():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    events = []
    leading._journal.lifecycle = lambda event, **fields: events.append(event)
    for passed_s in (0.0, 1.0, 1.0, 1.0):
        manual.now_s += passed_s
        leading._log_confirmation_change()
    assert events == ["lead_confirmed", "lead_unconfirmed"]


async def test_what_confirms_the_lead_is_logged():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    lines = []
    leading._journal.lifecycle = lambda event, **fields: lines.append(fields)
    leading._log_confirmation_change()
    manual.now_s += 1.0
    _note_majority(leading, manual)
    for _ in range(2):
        leading._log_confirmation_change()
    assert [line["by"] for line in lines] == ["the log", "a majority"]
    assert lines[1]["listed"] == 5
    assert lines[1]["accepted"] == 3


async def test_a_claim_is_above_all_that_are_known_though_the_log_lost_them():
    member = Member(fakes.MemoryLog(), 1)
    member.leadership.handle_heartbeat(leadership.Claim(7, "entry-9"))
    await member.leadership._try_claim()
    assert member.leadership.claim.term == 8


@pytest.mark.parametrize(
    ("reads_log", "delay_s"),
    [
        pytest.param(True, 16 * SETTINGS.claim_interval_s, id="reads the log"),
        pytest.param(False, 60 * SETTINGS.log_lost_interval_s, id="does not"),
    ],
)
def test_an_instance_that_can_read_the_log_claims_before_others(
    reads_log, delay_s
):
    member = Member(fakes.MemoryLog(), 0)
    member.leadership._reads_log = lambda: reads_log
    member.leadership.handle_heartbeat(
        leadership.Claim(7, "entry-9"), log_lost=True
    )
    member.leadership._rank = lambda: 60
    assert member.leadership._claim_delay_s() == pytest.approx(delay_s)


async def test_an_instance_that_has_not_read_the_claims_does_not_count():
    platform_log = fakes.MemoryLog()
    member = Member(platform_log, 1)
    assert not member.leadership.knows_claims
    member.leadership.handle_heartbeat(leadership.Claim(0, "entry-9"))
    assert not member.leadership.knows_claims
    await member.leadership._read_first_claim()
    assert member.leadership.knows_claims


def _note_majority(leading, manual, *, accepted=2, restarted=0, peers=4):
    """Records that a majority of five accepts a heartbeat that is sent now."""
    leading.note_relay_round(
        _make_round(
            leading.term,
            peers,
            accepted=accepted,
            restarted=restarted,
            sent_s=manual.now_s,
        )
    )
    leadership_support.name_voters(leading)


# Guards against two leaders that both grant what only one of them may grant.
async def test_a_leader_is_alone_once_an_earlier_one_cannot_be():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    _note_majority(leading, manual)
    waited_s = 0.0
    while leading.sole_term is None:
        assert waited_s < 2.0
        manual.now_s += 0.1
        waited_s += 0.1
        _note_majority(leading, manual)
    assert leading.sole_term == leading.term
    assert waited_s >= leadership.LeadershipSettings().confirmation_valid_s


async def test_a_leader_is_alone_as_soon_as_all_follow_it():
    manual = support.ManualClock()
    leading = await _lead_alone(manual, fakes.MemoryLog())
    _note_majority(leading, manual, accepted=3, restarted=1)
    assert leading.sole_term == leading.term


async def _lead_as_only_one(manual, platform_log):
    leading = await _lead_alone(manual, platform_log)
    _note_majority(leading, manual, accepted=4)
    assert leading.sole_term is not None
    return leading


async def test_a_leader_that_stood_still_is_not_alone():
    manual = support.ManualClock()
    leading = await _lead_as_only_one(manual, fakes.MemoryLog())
    manual.now_s += 1.5
    assert leading.sole_term is None


async def test_the_log_alone_does_not_show_that_a_leader_is_alone():
    manual = support.ManualClock()
    leading = await _lead_as_only_one(manual, fakes.MemoryLog())
    manual.now_s += 1.5
    await leading.confirm()
    assert leading.may_order
    assert leading.sole_term is None


async def test_a_disputed_leader_is_not_alone():
    manual = support.ManualClock()
    leading = await _lead_as_only_one(manual, fakes.MemoryLog())
    leading.note_relay_round(
        _make_round(leading.term, 4, accepted=3, disputed=True)
    )
    assert leading.sole_term is None


async def test_who_follows_another_is_not_alone():
    manual = support.ManualClock()
    leading = await _lead_as_only_one(manual, fakes.MemoryLog())
    leading.handle_heartbeat(leadership.Claim(leading.term + 1, "rival"))
    assert leading.sole_term is None


async def _miss_one(leading, manual, *, for_s):
    """Lets time pass in which one of five does not answer."""
    for _ in range(round(for_s)):
        manual.now_s += 1.0
        _note_majority(leading, manual, accepted=3)


# Guards against leaders whose majorities share no instance after removals.
async def test_a_leader_that_misses_some_is_alone_only_with_the_log():
    manual = support.ManualClock()
    platform_log = fakes.MemoryLog()
    leading = await _lead_as_only_one(manual, platform_log)
    await _miss_one(leading, manual, for_s=9.0)
    assert leading.sole_term == leading.term
    await _miss_one(leading, manual, for_s=2.0)
    assert leading.may_order
    assert leading.sole_term is None
    await leading.confirm()
    assert leading.sole_term == leading.term
    platform_log.unavailable = True
    await _miss_one(leading, manual, for_s=11.0)
    await leading.confirm()
    assert leading.sole_term is None
    _note_majority(leading, manual, accepted=4)
    assert leading.sole_term == leading.term
