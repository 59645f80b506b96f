import entry_support as support
import pytest

from bridgecross_entry import heartbeat_wait

INTERVAL_S = 0.1


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def wait(clock):
    return heartbeat_wait.HeartbeatWait(INTERVAL_S, clock)


def _check_after(wait, clock, *passed_s: float):
    for each_s in passed_s:
        clock.now_s += each_s
        wait.check()


def test_checks_in_time_count_in_full(wait, clock):
    wait.restart(0.25)
    _check_after(wait, clock, 0.1, 0.05)
    assert wait.overdue_s == pytest.approx(-0.1)
    _check_after(wait, clock, 0.1, 0.1)
    assert wait.overdue_s == pytest.approx(0.1)


# Guards against a stall of this process that counts as silence of the leader.
@pytest.mark.parametrize("stalled_s", [0.11, 0.2, 5.0, 100_000.0])
def test_a_late_check_counts_for_one_interval(wait, clock, stalled_s):
    wait.restart(0.25)
    _check_after(wait, clock, stalled_s, stalled_s)
    assert wait.overdue_s == pytest.approx(-0.05)


def test_the_time_before_a_restart_does_not_count(wait, clock):
    clock.now_s += 0.09
    wait.restart(0.25)
    _check_after(wait, clock, 0.01)
    assert wait.overdue_s == pytest.approx(-0.24)


def test_a_wait_that_ends_early_is_over_at_once(wait, clock):
    wait.restart(0.25)
    wait.end()
    assert wait.overdue_s == 0.0
    _check_after(wait, clock, 0.1)
    wait.end()
    assert wait.overdue_s == pytest.approx(0.1)


def test_a_wait_can_be_extended(wait, clock):
    wait.restart(0.25)
    wait.extend(0.5)
    _check_after(wait, clock, 0.1)
    assert wait.overdue_s == pytest.approx(-0.65)
