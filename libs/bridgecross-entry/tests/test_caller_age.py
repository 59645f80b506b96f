import random

import pytest

from bridgecross_entry import caller_age


def _make_estimator(*stated_ms: float) -> caller_age.CallerAgeEstimator:
    estimator = caller_age.CallerAgeEstimator(caller_age.CallerAgeSettings())
    for timeout_ms in stated_ms:
        estimator.add(timeout_ms)
    return estimator


@pytest.mark.parametrize(
    ("sample_ms", "stated_ms", "age_s"),
    [
        pytest.param([], 400.0, 0.0, id="no attempts yet"),
        pytest.param([2_500.0], 400.0, 0.0, id="one attempt is not enough"),
        pytest.param([2_500.0] * 9, 2_500.0, 0.0, id="a first attempt"),
        pytest.param([2_500.0] * 9, 2_481.0, 0.0, id="on a new connection"),
        pytest.param([2_500.0] * 9, 2_100.0, 0.4, id="comes back"),
        pytest.param([2_500.0] * 9, 9_000.0, 0.0, id="waits for longer"),
        pytest.param([2_500.0] * 9, None, 0.0, id="states nothing"),
    ],
)
def test_age_is_the_difference_from_the_initial_timeout(
    sample_ms, stated_ms, age_s
):
    assert _make_estimator(*sample_ms).age_s(stated_ms) == pytest.approx(
        age_s, abs=0.05
    )


def test_first_attempts_on_new_connections_have_age_zero():
    """After a restart all callers reconnect, which takes different times."""
    rng = random.Random(1)
    sample_ms = [rng.uniform(2_474, 2_485) for _ in range(30)]
    sample_ms += [rng.uniform(100, 2_300) for _ in range(60)]
    rng.shuffle(sample_ms)
    estimator = _make_estimator(*sample_ms)
    assert estimator.age_s(2_476.0) == 0.0
    assert estimator.age_s(1_480.0) == pytest.approx(1.0, abs=0.05)


def test_initial_timeout_is_found_among_many_retries():
    rng = random.Random(1)
    sample_ms = [2_500.0] * 60 + [rng.uniform(100, 2_400) for _ in range(140)]
    rng.shuffle(sample_ms)
    assert _make_estimator(*sample_ms).age_s(1_500.0) == pytest.approx(
        1.0, abs=0.05
    )


def test_age_is_zero_if_all_timeouts_differ():
    rng = random.Random(1)
    estimator = _make_estimator(*(rng.uniform(100, 2_500) for _ in range(200)))
    assert estimator.age_s(300.0) == 0.0


def test_new_initial_timeout_is_adopted_once_the_old_one_is_gone():
    estimator = _make_estimator(*[2_500.0] * 200, *[800.0] * 190)
    assert estimator.age_s(700.0) == pytest.approx(0.1, abs=0.02)
