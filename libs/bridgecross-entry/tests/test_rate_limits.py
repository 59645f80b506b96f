import math

import entry_support as support
import pytest
import test_notices

from bridgecross_entry import attempts
from bridgecross_entry import rate_limits

SERVER = support.make_server("a")
RUN = SERVER.server_id


def _report(limit_per_s, sent_s, read_s):
    return rate_limits.LimitReport(limit_per_s, sent_s, read_s)


NONE = math.inf


@pytest.mark.parametrize(
    ("known", "new", "limit_per_s"),
    [
        pytest.param(None, _report(6.0, 1, 2), 6.0, id="first"),
        pytest.param(_report(6.0, 1, 2), _report(9.2, 2, 3), 9.2, id="raised"),
        pytest.param(_report(9.2, 1, 2), _report(6.0, 2, 3), 6.0, id="lowered"),
        pytest.param(_report(6.0, 1, 2), _report(NONE, 2, 3), NONE, id="ended"),
        pytest.param(
            _report(6.0, 1, 3), _report(NONE, 2, 4), 6.0, id="end may be older"
        ),
        pytest.param(
            _report(NONE, 2, 4), _report(6.0, 1, 5), 6.0, id="end may be newer"
        ),
        pytest.param(
            _report(NONE, 2, 3), _report(6.0, 0, 1), NONE, id="end is newer"
        ),
        pytest.param(
            _report(6.0, 1, 2),
            _report(NONE, -math.inf, 9),
            6.0,
            id="a rejection without a limit",
        ),
        pytest.param(
            _report(6.0, 1, 2),
            _report(2.0, -math.inf, 9),
            2.0,
            id="a rejection with a limit",
        ),
    ],
)
def test_reports_are_merged_in_the_order_of_the_answers(
    known, new, limit_per_s
):
    assert rate_limits.merge(known, new).limit_per_s == limit_per_s


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def lines():
    return test_notices.RecordingJournal()


@pytest.fixture
def limits(clock, lines):
    return rate_limits.ReportedLimits(lines, clock)


def _record(limits, clock, limit_per_s, took_s=0.1):
    """Records an answer that is read now."""
    sent_s = clock.now_s - took_s
    notice = attempts.Notice(limit_per_s=limit_per_s, sent_s=sent_s)
    limits.record(SERVER, notice)


def test_a_limit_holds_until_a_later_request_shows_none(limits, clock, lines):
    _record(limits, clock, 6.0)
    _record(limits, clock, None)
    assert limits.limit_per_s(RUN) == 6.0
    clock.now_s += 0.2
    _record(limits, clock, None)
    assert not limits.is_limited(RUN)
    assert lines.events() == ["server_limit", "server_limit_ended"]


def test_servers_without_a_limit_are_not_stored(limits, clock, lines):
    _record(limits, clock, None)
    assert not limits._reports
    assert not lines.written


def test_an_end_known_elsewhere_ends_only_earlier_reports(limits, clock):
    ended = []
    limits.on_end = ended.append
    _record(limits, clock, 6.0)
    limits.end(RUN, clock.now_s - 0.01)
    assert limits.limit_per_s(RUN) == 6.0
    limits.end(RUN, clock.now_s)
    assert not limits.is_limited(RUN)
    # This instance has no answer that proves it to others.
    assert ended == []
    assert limits.get(RUN) is None


def test_an_answer_from_before_the_end_does_not_bring_a_limit_back(
    limits, clock
):
    _record(limits, clock, 6.0)
    clock.now_s += 5.0
    _record(limits, clock, None)
    limits._store(
        RUN,
        SERVER.service,
        rate_limits.merge(limits._reports[RUN], _report(6.0, 0, 1)),
    )
    assert not limits.is_limited(RUN)


def test_ends_are_forgotten_once_no_answer_can_be_older(limits, clock):
    _record(limits, clock, 6.0)
    clock.now_s += 5.0
    _record(limits, clock, None)
    limits.sweep()
    assert limits.any_known
    clock.now_s += 120.0
    limits.sweep()
    assert not limits.any_known


def test_limits_are_not_forgotten(limits, clock):
    _record(limits, clock, 6.0)
    clock.now_s += 1_000.0
    limits.sweep()
    assert limits.is_limited(RUN)


def test_a_limit_is_known_by_an_answer_or_from_the_leader(limits, clock):
    assert limits.get_age(RUN) is None
    limits.hear({RUN: 9.0}, 5.0)
    clock.now_s += 2.0
    assert limits.get_age(RUN) == rate_limits.LimitAge(9.0, 2.0, is_told=False)
    _record(limits, clock, 6.0)
    clock.now_s += 1.0
    assert limits.get_age(RUN) == rate_limits.LimitAge(6.0, 1.0, is_told=True)
    _record(limits, clock, None)
    clock.now_s += 5.0
    assert limits.get_age(RUN) is None
