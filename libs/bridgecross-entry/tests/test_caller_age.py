import random

import pytest

from bridgecross_entry import caller_age


def _ages(*stated_ms: float) -> caller_age.CallerAgeEstimator:
    ages = caller_age.CallerAgeEstimator(caller_age.CallerAgeSettings())
    for each in stated_ms:
        ages.add(each)
    return ages


@pytest.mark.parametrize(
    ("seen", "stated_ms", "age_s"),
    [
        pytest.param([], 400.0, 0.0, id="nobody was seen"),
        pytest.param([2_500.0], 400.0, 0.0, id="one alone says nothing"),
        pytest.param([2_500.0] * 9, 2_500.0, 0.0, id="a first attempt"),
        pytest.param([2_500.0] * 9, 2_481.0, 0.0, id="on a new connection"),
        pytest.param([2_500.0] * 9, 2_100.0, 0.4, id="comes back"),
        pytest.param([2_500.0] * 9, 9_000.0, 0.0, id="waits for longer"),
        pytest.param([2_500.0] * 9, None, 0.0, id="states nothing"),
    ],
)
def test_age_is_what_is_missing_from_the_usual_patience(seen, stated_ms, age_s):
    assert _ages(*seen).age_s(stated_ms) == pytest.approx(age_s, abs=0.05)


def test_first_attempts_on_new_connections_agree():
    """After a restart nobody has a connection, and each takes its own time."""
    rng = random.Random(1)
    seen = [rng.uniform(2_474, 2_485) for _ in range(30)]
    seen += [rng.uniform(100, 2_300) for _ in range(60)]
    rng.shuffle(seen)
    ages = _ages(*seen)
    assert ages.age_s(2_476.0) == 0.0
    assert ages.age_s(1_480.0) == pytest.approx(1.0, abs=0.05)


def test_first_attempts_stand_out_among_many_that_come_back():
    rng = random.Random(1)
    seen = [2_500.0] * 60 + [rng.uniform(100, 2_400) for _ in range(140)]
    rng.shuffle(seen)
    assert _ages(*seen).age_s(1_500.0) == pytest.approx(1.0, abs=0.05)


def test_nobody_is_old_where_all_callers_differ():
    rng = random.Random(1)
    ages = _ages(*(rng.uniform(100, 2_500) for _ in range(200)))
    assert ages.age_s(300.0) == 0.0


def test_another_patience_is_learned_once_the_old_one_is_gone():
    ages = _ages(*[2_500.0] * 200, *[800.0] * 190)
    assert ages.age_s(700.0) == pytest.approx(0.1, abs=0.02)
