import dataclasses
import math

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import model
from bridgecross_entry import permits
from bridgecross_entry import warmups

SETTINGS = warmups.WarmupSettings()
BOUNDS = dataclasses.replace(
    support.BOUNDS, warmup_overage_ratio=1.5, warmup_slack=8
)
RAPOR = ids.ServiceName("rapor")
A, B = ids.ServerId("a"), ids.ServerId("b")
RATE_PER_S = 5.8
ALLOWED = RATE_PER_S * 1.5 + 8
INSTANCES = tuple(model.Address("10.1.0.1", port) for port in (1, 2, 3))


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def ledger(clock):
    return warmups.WarmupLedger(SETTINGS, BOUNDS, clock)


def test_two_issuers_at_once_stay_within_the_limit():
    issued = warmups.count_issued(SETTINGS, BOUNDS, RATE_PER_S)
    assert 0 < 2 * issued <= ALLOWED


def test_no_window_holds_more_than_is_issued(ledger, clock):
    issued = warmups.count_issued(SETTINGS, BOUNDS, RATE_PER_S)
    granted_s = []
    for _ in range(4_000):
        clock.now_s += 0.003
        if not ledger.wait_s(A, RATE_PER_S):
            ledger.record_grant(A)
            granted_s.append(clock.now_s)
    for first_s, next_s in zip(granted_s, granted_s[issued:], strict=False):
        assert next_s - first_s >= SETTINGS.window_s
    # Nor are fewer issued than allowed.
    assert len(granted_s) >= issued * int(12.0 / SETTINGS.window_s)


def test_a_permit_may_be_granted_after_the_returned_wait(ledger, clock):
    while not ledger.wait_s(A, RATE_PER_S):
        ledger.record_grant(A)
        clock.now_s += 0.05
    clock.now_s += ledger.wait_s(A, RATE_PER_S) + 0.001
    assert ledger.wait_s(A, RATE_PER_S) == 0.0


def test_excessive_rates_are_bounded():
    issued = warmups.count_issued(SETTINGS, BOUNDS, 1e308)
    assert issued == warmups.count_issued(SETTINGS, BOUNDS, 1e9) < 100_000


def test_each_server_has_a_budget_of_its_own(ledger):
    while not ledger.wait_s(A, RATE_PER_S):
        ledger.record_grant(A)
    assert ledger.wait_s(B, RATE_PER_S) == 0.0


def test_a_server_with_rate_zero_gets_nothing(clock):
    bounds = support.BOUNDS
    ledger = warmups.WarmupLedger(SETTINGS, bounds, clock)
    assert ledger.wait_s(A, 0.0) == math.inf


def test_permits_outside_the_window_are_dropped(ledger, clock):
    ledger.record_grant(A)
    clock.now_s += SETTINGS.window_s + 0.1
    ledger.sweep()
    assert ledger._granted_s == {}


@pytest.mark.parametrize(
    ("own", "age_s", "unchanged_s", "expected"),
    [
        pytest.param(0, 0.5, 60.0, True, id="first of a list that is known"),
        pytest.param(1, 0.5, 60.0, False, id="second"),
        pytest.param(0, 3.1, 60.0, False, id="the list is old"),
        pytest.param(0, math.inf, 60.0, False, id="no list"),
        pytest.param(0, 0.5, 3.0, False, id="the list has just changed"),
        pytest.param(None, 0.5, 60.0, False, id="not on the list"),
    ],
)
def test_only_the_first_of_an_unchanged_list_is_sole_issuer(
    own, age_s, unchanged_s, expected
):
    ranked = permits.rank_issuers(RAPOR, "hall-1", INSTANCES)
    elsewhere = model.Address("10.1.0.9", 9)
    check = warmups.SoleIssuerCheck(
        SETTINGS,
        elsewhere if own is None else ranked[own],
        lambda _: INSTANCES,
        lambda: age_s,
        lambda: unchanged_s,
    )
    assert check.is_sole_issuer(RAPOR, "hall-1") is expected


def test_no_instance_is_sole_issuer_without_candidates():
    check = warmups.SoleIssuerCheck(
        SETTINGS, INSTANCES[0], lambda _: (), lambda: 0.0, lambda: 60.0
    )
    assert not check.is_sole_issuer(RAPOR, "hall-1")


def test_two_sole_issuers_would_have_read_a_common_list():
    assert SETTINGS.list_stable_s > SETTINGS.list_age_max_s
