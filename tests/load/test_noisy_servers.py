"""Tests servers with noisy neighbours that report their pace in answers.

There are 74 instances in four failure domains and 34 servers of unequal speed
with 3 slots and a queue of 12; requests beyond these are reset. A fifth of the
time, in periods of 0.4 s, work at a server takes three times as long, and its
answers report that. Including this, the servers are about 0.85 utilized.

A server answers some twenty requests a second. One instance gets an answer from
it only once in several seconds, which is far too late; the permit issuer of the
failure domain receives the reports of all its instances.
"""

import dataclasses

import pytest

from tests.load import loads
from tests.load import simulation

REPORTS = simulation.ServerKind(
    "reports",
    (0.7, 0.7, 1.6) * 11 + (1.0,),
    3,
    12,
    "reset",
    noise_share=0.2,
    noise_ratio=3.0,
)
READ = simulation.CallerKind(
    "read", "reports", 660, 0.09, 0.3, 1.0, 0.9, True, 2, 1, 0.5, retries=1
)
NOT_REPORTING = dataclasses.replace(REPORTS, reports_pace=False)


def _run(kind: simulation.ServerKind, ratio: float, seed: int) -> float:
    load = simulation.Load(
        (kind,),
        (loads.scaled(READ, ratio),),
        instance_count=74,
        seed=seed,
        length_s=6.0,
    )
    return simulation.run(load).total.ratio


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("ratio", [0.6, 1.0])
def test_reported_pace_raises_value(ratio, seed):
    assert _run(REPORTS, ratio, seed) > _run(NOT_REPORTING, ratio, seed)
