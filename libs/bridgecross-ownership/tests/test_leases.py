import dataclasses

import hypothesis
from hypothesis import strategies as st

from bridgecross_ownership import leases

LEASE_MS = 1_000
DRIFT_RATIO = 0.01


class _Server:
    """The server's side of a lease, with a clock of a different rate."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._until_ms = 0.0

    def exchange(
        self, echo: leases.ClockEcho | None, now_s: float
    ) -> leases.LeaseReply:
        if echo is not None:
            self._until_ms = max(self._until_ms, echo.reading_ms + LEASE_MS)
        clock = leases.ClockEcho("run", now_s * 1_000 * self._rate)
        return leases.LeaseReply(True, "", clock, [], False)

    def has_lease(self, now_s: float) -> bool:
        return now_s * 1_000 * self._rate < self._until_ms


_delays = st.floats(0, 5)
_exchanges = st.lists(
    st.tuples(_delays, _delays, st.booleans()), min_size=1, max_size=8
)


@hypothesis.given(
    exchanges=_exchanges, rate=st.floats(1 - DRIFT_RATIO / 2, 1.0)
)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_no_delay_lets_a_lease_outlive_what_the_queue_owner_expects(
    exchanges, rate
):
    """Delays requests and replies, and loses some replies."""
    server = _Server(rate)
    term = leases.LeaseTerm(DRIFT_RATIO)
    now_s = 100.0
    for there_s, back_s, reply_lost in exchanges:
        echo = term.begin_exchange(LEASE_MS)
        sent_s = now_s
        now_s += there_s
        reply = server.exchange(echo, now_s)
        assert not server.has_lease(max(term.over_at_s, now_s) + 1e-6)
        now_s += back_s
        if not reply_lost:
            term.end_exchange(echo, reply, sent_s, now_s, LEASE_MS)
            if term.confirmed_until_s > now_s:
                assert server.has_lease(now_s)


def test_a_first_exchange_renews_nothing():
    server = _Server(1.0)
    term = leases.LeaseTerm(DRIFT_RATIO)
    assert term.begin_exchange(LEASE_MS) is None
    reply = server.exchange(None, 5.0)
    term.end_exchange(None, reply, 5.0, 5.0, LEASE_MS)
    assert not server.has_lease(5.0)
    assert term.confirmed_until_s == 0.0


def test_another_run_of_the_server_confirms_no_lease():
    term = leases.LeaseTerm(DRIFT_RATIO)
    first = leases.LeaseReply(True, "", leases.ClockEcho("one", 0.0), [], False)
    term.end_exchange(None, first, 1.0, 1.0, LEASE_MS)
    echo = term.begin_exchange(LEASE_MS)
    second = dataclasses.replace(first, clock=leases.ClockEcho("two", 0.0))
    term.end_exchange(echo, second, 2.0, 2.0, LEASE_MS)
    assert term.confirmed_until_s == 0.0


def test_after_forgetting_the_echo_the_lease_ends():
    term = leases.LeaseTerm(DRIFT_RATIO)
    reply = leases.LeaseReply(True, "", leases.ClockEcho("one", 0.0), [], False)
    term.end_exchange(None, reply, 1.0, 1.0, LEASE_MS)
    term.begin_exchange(LEASE_MS)
    over_at_s = term.over_at_s
    term.forget_echo()
    assert term.begin_exchange(LEASE_MS) is None
    assert term.over_at_s == over_at_s
    assert over_at_s == 1.0 + 1.0 * (1 + DRIFT_RATIO)
