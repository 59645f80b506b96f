import math

import pytest

from bridgecross_entry import retry_budget

SETTINGS = retry_budget.RetryBudgetSettings(0.2, 10.0, 62, 1.0)


def _spend_all(budget: retry_budget.RetryBudget, now_s: float) -> int:
    count = 0
    while budget.spend(now_s):
        count += 1
    return count


@pytest.mark.parametrize("instances", [1, 11, 90])
def test_the_sum_over_all_instances_stays_within_the_limit(instances):
    spent = 0
    for _ in range(instances):
        budget = retry_budget.RetryBudget(SETTINGS, lambda: instances)
        for _ in range(50):
            budget.count_request(0.0)
        spent += _spend_all(budget, 1.0)
    assert spent <= 0.2 * 50 * instances + 62


def test_the_window_slides():
    budget = retry_budget.RetryBudget(SETTINGS, lambda: 1)
    assert _spend_all(budget, 0.0) == 62
    assert not budget.spend(9.9)
    assert _spend_all(budget, 10.1) == 62


def test_no_slack_is_used_while_the_instances_are_not_known():
    settings = retry_budget.RetryBudgetSettings(0.2, 10.0, 62.0)
    budget = retry_budget.RetryBudget(settings, lambda: math.inf)
    for _ in range(10):
        budget.count_request(0.0)
    assert sum(budget.spend(0.0) for _ in range(100)) == 1
