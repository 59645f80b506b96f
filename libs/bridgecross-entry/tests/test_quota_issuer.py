import math

import entry_support as support
import pytest
import test_notices

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import metrics
from bridgecross_entry import quota_issuer
from bridgecross_entry import quotas
from bridgecross_entry import rate_limits

SERVER = ids.ServerId("a")
SETTINGS = quota_issuer.QuotaSettings()
HIGH, LOW = 0, 1
STEP_S = 0.01


class Harness:
    """An issuer with a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = support.ManualClock()
        self.lines = test_notices.RecordingJournal()
        self.limits = rate_limits.ReportedLimits(self.lines, self.clock)
        self.issuer = quota_issuer.QuotaIssuer(
            SETTINGS, self.limits, self.lines, metrics.Metrics(), self.clock
        )
        self.term: int | None = 1
        self.issuer.sole_term = lambda: self.term
        self.stamp: quotas.Stamp | None = None

    def ask(
        self,
        limit_per_s=6.0,
        *,
        priority=HIGH,
        wanted_count=1,
        read_ago_s=0.0,
        sent_after=None,
    ):
        report = (
            None
            if limit_per_s is None
            else quotas.Report(limit_per_s, read_ago_s, sent_after)
        )
        reply = self.issuer.handle(
            quotas.Request(SERVER, priority, wanted_count, report)
        )
        self.stamp = reply.stamp
        return reply

    def end(self, *, sent_after=None):
        """Reports that an answer without a limit was read."""
        return self.ask(math.inf, wanted_count=0, sent_after=sent_after)

    def count_granted(
        self, for_s, *, limit_per_s=6.0, priority=HIGH, wanted_count=1
    ):
        """Returns how many requests are granted to constant demand."""
        count = 0
        for _ in range(round(for_s / STEP_S)):
            self.clock.now_s += STEP_S
            count += self.ask(
                limit_per_s, priority=priority, wanted_count=wanted_count
            ).granted_count
        return count


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.0, 6.0, 9.2, 1e6])
@pytest.mark.parametrize("wanted_count", [1, 1_000_000_000])
def test_no_more_is_granted_than_a_server_takes(
    harness, limit_per_s, wanted_count
):
    """Counts from an idle server on: 4 s, and 0.75 s to use a quota."""
    harness.ask(limit_per_s)
    harness.clock.now_s += 60.0
    window_s = 4.0 + SETTINGS.use_within_s + 0.25
    granted = harness.count_granted(
        window_s, limit_per_s=limit_per_s, wanted_count=wanted_count
    )
    assert granted <= 1.5 * limit_per_s * 4.0 + 5


def test_what_a_server_takes_is_granted(harness):
    harness.ask()
    assert harness.count_granted(10.0) == pytest.approx(60, abs=2)


def test_a_server_that_takes_nothing_is_asked_now_and_then(harness):
    harness.ask(0.0)
    assert 1 <= harness.count_granted(10.0, limit_per_s=0.0) <= 3


def test_nothing_is_granted_by_an_instance_that_may_not_be_alone(harness):
    harness.term = None
    reply = harness.ask()
    assert reply.verdict is quotas.Verdict.UNAVAILABLE
    assert harness.issuer.list_limits() == ()


# Guards against leaders in quick succession that each begin with a request.
@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.0, 6.0])
def test_the_bound_holds_for_any_number_of_leaders(harness, limit_per_s):
    harness.ask(limit_per_s)
    harness.clock.now_s += 60.0
    granted = harness.ask(limit_per_s, wanted_count=9).granted_count
    for term in range(2, 49):
        harness.term = term
        granted += harness.count_granted(
            0.1, limit_per_s=limit_per_s, wanted_count=9
        )
    assert granted <= 1.5 * limit_per_s * 4.0 + 5


# Guards against a leader that counts on after another one has led in between.
def test_each_term_starts_with_an_empty_bucket(harness):
    harness.ask()
    harness.clock.now_s += 60.0
    harness.term = None
    harness.ask()
    harness.term = 3
    assert harness.ask(wanted_count=100).granted_count == 0
    harness.clock.now_s += 0.2
    assert harness.ask(wanted_count=100).granted_count == 1


def test_a_new_leader_knows_the_limits_that_it_was_told_of(harness):
    notice = attempts.Notice(limit_per_s=6.0)
    harness.limits.record(support.make_server("a"), notice)
    harness.limits.hear({ids.ServerId("b"): 2.0}, 5.0)
    assert dict(harness.issuer.list_limits()) == {"a": 6.0, "b": 2.0}


def test_refused_callers_return_one_after_the_other(harness):
    harness.ask()
    waits_s = [harness.ask().retry_after_s for _ in range(40)]
    assert waits_s == sorted(waits_s)
    assert waits_s[1] - waits_s[0] == pytest.approx(1 / 6.0)
    assert waits_s[-1] == SETTINGS.retry_after_max_s


def test_the_next_request_is_granted_when_the_refusal_said(harness):
    harness.ask()
    refused = harness.ask()
    assert refused.verdict is quotas.Verdict.REFUSED
    harness.clock.now_s += refused.next_in_s - 0.01
    assert not harness.ask().granted_count
    harness.clock.now_s += 0.02
    assert harness.ask().granted_count == 1


def test_a_higher_priority_goes_first(harness):
    """Both ask all the time; the lower one gets nothing meanwhile."""
    harness.ask()
    granted = {HIGH: 0, LOW: 0}
    for _ in range(300):
        harness.clock.now_s += 0.01
        for priority in (LOW, HIGH):
            granted[priority] += harness.ask(priority=priority).granted_count
    assert granted[HIGH] >= 17
    assert granted[LOW] <= 1


def test_a_lower_priority_gets_what_the_higher_one_leaves(harness):
    harness.ask()
    assert harness.count_granted(5.0, priority=LOW) >= 29


def test_an_end_is_believed_if_its_request_was_sent_after_the_naming(harness):
    harness.ask()
    harness.clock.now_s += 1.0
    stamp = harness.ask().stamp
    harness.clock.now_s += 0.2
    assert harness.end().verdict is quotas.Verdict.REFUSED
    reply = harness.end(sent_after=stamp)
    assert reply.verdict is quotas.Verdict.UNLIMITED
    assert harness.issuer.list_limits() == ()
    # Whoever was told before is told that it is over.
    late = harness.ask(read_ago_s=1.5)
    assert late.verdict is quotas.Verdict.UNLIMITED


# Guards against an end taken from an answer that is older than the naming.
def test_an_end_of_before_a_naming_does_not_end_it(harness):
    harness.ask()
    harness.clock.now_s += 1.0
    stamp = harness.ask().stamp
    harness.clock.now_s += 0.2
    harness.ask(limit_per_s=2.0)
    harness.end(sent_after=stamp)
    assert dict(harness.issuer.list_limits()) == {SERVER: 2.0}


def test_a_stamp_of_another_process_proves_nothing(harness):
    harness.ask()
    harness.clock.now_s += 1.0
    harness.end(sent_after=quotas.Stamp(-1, harness.clock.now_s))
    assert dict(harness.issuer.list_limits()) == {SERVER: 6.0}


def test_a_limit_that_returns_finds_the_bucket_as_it_was(harness):
    """A server that names a limit now and then gets no more by that."""
    granted = 0
    for _ in range(100):
        granted += harness.ask(wanted_count=9).granted_count
        harness.clock.now_s += 0.01
        harness.end(sent_after=harness.stamp)
    assert 1 < granted <= 1 + 6.0 * 1.0


def test_who_knows_of_no_limit_may_send(harness):
    assert harness.ask(None).verdict is quotas.Verdict.UNLIMITED
    assert harness.end().verdict is quotas.Verdict.UNLIMITED
    assert not harness.lines.written


def test_limits_are_logged_and_passed_on_when_they_change(harness):
    changes = []
    harness.issuer.on_change = lambda: changes.append(1)
    harness.ask()
    harness.ask()
    harness.clock.now_s += 1.0
    harness.end(sent_after=harness.ask().stamp)
    assert harness.lines.events() == ["quota_begins", "quota_ends"]
    assert len(changes) == 2


def test_servers_that_nobody_asks_for_are_forgotten(harness):
    harness.ask()
    harness.clock.now_s += SETTINGS.idle_s - 1.0
    harness.issuer.sweep()
    assert harness.issuer.list_limits()
    harness.clock.now_s += 1.0
    harness.issuer.sweep()
    assert not harness.issuer.list_limits()
