"""Tests every fault at every step, and pairs of overlapping faults."""

import loguru
import pytest

from tests.matrix import cases


@pytest.fixture(autouse=True)
def _silence_logs():
    loguru.logger.remove()


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
@pytest.mark.parametrize("fault", cases.FAULTS)
@pytest.mark.parametrize("step", cases.STEPS)
def test_fault_at_step(step, fault, checks):
    assert cases.run_case(step, cases.FAULTS[fault], checks=checks) == []


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
@pytest.mark.parametrize("pair", cases.PAIRS)
@pytest.mark.parametrize("step", ["assign", "renew", "move"])
def test_pair_at_step(step, pair, checks):
    assert cases.run_case(step, cases.PAIRS[pair], checks=checks) == []
