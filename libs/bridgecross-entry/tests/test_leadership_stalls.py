import collections

import anyio
import entry_fakes as fakes
import leadership_support
import pytest
import stalled_loop

from bridgecross_entry import leadership

HEARTBEAT_S = 0.04
LOG_CALL_S = 0.002
# When the steps are counted from, after the start of a run, and how long it
# goes on at least before and after the last stall.
STEADY_S = 0.1
STALLED_S = 0.06
AFTERWARDS_S = 0.15
# More than the steps of one heartbeat interval, as the first test checks.
STEPS_COUNT = 180


class _SlowLog(fakes.MemoryLog):
    """A log whose calls take a while."""

    async def read_newest(self, topic):
        answer = await super().read_newest(topic)
        await anyio.sleep(LOG_CALL_S)
        return answer

    async def append(self, *call: object):
        answer = await super().append(*call)
        await anyio.sleep(LOG_CALL_S)
        return answer


async def _send_while_leading(loop, leader, send):
    while True:
        await anyio.sleep(HEARTBEAT_S)
        if leader.is_leader:
            loop.deliver(send)


async def _run_five(loop, *, is_leader_inside):
    """Returns the names of all that claim in the steady state."""
    platform_log = _SlowLog()
    leadership_support.write_claim(platform_log, leadership.Claim(0, "entry-0"))
    members = [
        leadership_support.make_leadership(n, platform_log, loop)
        for n in range(5)
    ]
    leader, *followers = members
    sent = leadership.Claim(0, "entry-0")

    def send():
        claim = leader.claim if is_leader_inside else sent
        for follower in followers:
            follower.handle_heartbeat(claim)
        if is_leader_inside:
            leader.note_relay_round(
                leadership_support.make_round(
                    claim.term, loop.now_s, 4, accepted=4
                )
            )

    async with anyio.create_task_group() as tasks:
        if is_leader_inside:
            tasks.start_soon(leader.run)
            tasks.start_soon(_send_while_leading, loop, leader, send)
        else:
            loop.send_outside = lambda: loop.deliver(send)
        for follower in followers:
            tasks.start_soon(follower.run)
        await anyio.sleep(STEADY_S)
        claims_count = len(leadership_support.list_claims(platform_log))
        await anyio.sleep(STALLED_S)
        while loop.steps_count <= max(loop.stalls, default=0):
            await anyio.sleep(HEARTBEAT_S)
        await anyio.sleep(AFTERWARDS_S)
        tasks.cancel_scope.cancel()
    records = leadership_support.list_claims(platform_log)[claims_count:]
    return [leadership._CLAIMS.decode(r.value).instance for r in records]


def _find_claims(stalls, *, is_leader_inside):
    loop = stalled_loop.StalledLoop(stalls, STEADY_S, HEARTBEAT_S)
    try:
        claims = loop.run_until_complete(
            _run_five(loop, is_leader_inside=is_leader_inside)
        )
    finally:
        loop.close()
    return claims, loop


def _place(first, lengths_s, gap):
    return {first + n * gap: s for n, s in enumerate(lengths_s)}


@pytest.mark.parametrize("is_leader_inside", [False, True])
def test_without_stalls_nobody_claims(is_leader_inside):
    claims, loop = _find_claims({}, is_leader_inside=is_leader_inside)
    assert claims == []
    intervals_count = (STALLED_S + AFTERWARDS_S) / HEARTBEAT_S
    assert loop.steps_count / intervals_count <= STEPS_COUNT


# Guards against a claim by a process that mistook its stall for silence.
@pytest.mark.parametrize("is_leader_inside", [False, True])
@pytest.mark.parametrize(
    ("lengths_s", "gap"),
    [
        pytest.param((0.008,), 1, id="below the check interval"),
        pytest.param((0.06,), 1, id="0.06 s"),
        pytest.param((0.12,), 1, id="0.12 s"),
        pytest.param((0.2,), 1, id="0.2 s"),
        pytest.param((0.6,), 1, id="0.6 s"),
        pytest.param((0.008,) * 60, 1, id="60 short, one a step"),
        pytest.param((0.2, 0.012), 5, id="long and short, 5 steps apart"),
        pytest.param((0.2, 0.2), 7, id="two of 0.2 s"),
    ],
)
def test_a_stall_at_any_step_lets_nobody_claim(
    lengths_s, gap, is_leader_inside
):
    claimed_at = {}
    for first in range(STEPS_COUNT):
        stalls = _place(first, lengths_s, gap)
        claims, loop = _find_claims(stalls, is_leader_inside=is_leader_inside)
        if claims:
            claimed_at[first] = (claims, loop.stalled_in[:2])
    places = collections.Counter(p[0] for _, p in claimed_at.values())
    assert claimed_at == {}, f"{len(claimed_at)} steps; first stall {places}"


def _run_superseded_leader(stall_at_step):
    """Returns the claims after a later leader is found in the log."""
    stalls = {} if stall_at_step is None else {stall_at_step: 0.3}
    loop = stalled_loop.StalledLoop(stalls, STEADY_S, HEARTBEAT_S)
    platform_log = _SlowLog()
    leadership_support.write_claim(platform_log, leadership.Claim(0, "entry-1"))
    leader = leadership_support.make_leadership(1, platform_log, loop)
    later = leadership.Claim(9, "entry-2")

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await anyio.sleep(STEADY_S)
            leadership_support.write_claim(platform_log, later)
            # Makes the leader read the log at its next check.
            leader.note_relay_round(
                leadership_support.make_round(
                    1, loop.now_s, 4, accepted=4, disputed=True, own=1
                )
            )
            # The log tells of the later leader before its first heartbeat.
            loop.next_send_s = loop.now_s + HEARTBEAT_S
            loop.send_outside = lambda: loop.deliver(
                lambda: leader.handle_heartbeat(later)
            )
            await anyio.sleep(STALLED_S)
            await anyio.sleep(AFTERWARDS_S)
            tasks.cancel_scope.cancel()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return leadership_support.list_claims(platform_log)[3:], loop.stalled_in


# Guards against a leader that finds a later one and claims after a stall.
def test_a_superseded_leader_does_not_claim_after_a_stall():
    claimed_at = {}
    for step in [None, *range(60)]:
        claims, stalled_in = _run_superseded_leader(step)
        if claims:
            claimed_at[step] = stalled_in
    assert claimed_at == {}
