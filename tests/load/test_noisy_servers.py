"""Servers share their machines with others, and say how long work takes there.

The pattern: 74 instances in four failure domains, 34 servers of unequal speed
with 3 slots, a queue of 12 and a reset beyond it. A fifth of the time, in
spells of 0.4 s, work takes three times as long at a server; its answers say so.
With that the servers are busy to about 0.85.

A server answers some twenty requests a second. One instance hears of it once in
seconds, far too late; the one that counts for its failure domain hears all.
"""

import dataclasses

import pytest

from tests.load import loads
from tests.load import scene

REPORTS = scene.ServerKind(
    "reports",
    (0.7, 0.7, 1.6) * 11 + (1.0,),
    3,
    12,
    "reset",
    noise_share=0.2,
    noise_ratio=3.0,
)
READ = scene.CallerKind(
    "read", "reports", 660, 0.09, 0.3, 1.0, 0.9, True, 2, 1, 0.5, retries=1
)
SILENT = dataclasses.replace(REPORTS, tells_pace=False)


def _play(kind: scene.ServerKind, ratio: float, seed: int) -> float:
    load = scene.Load(
        (kind,),
        (loads.scaled(READ, ratio),),
        instance_count=74,
        seed=seed,
        length_s=6.0,
    )
    return scene.play(load).total.ratio


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("ratio", [0.6, 1.0])
def test_what_servers_say_of_their_pace_is_worth_having(ratio, seed):
    assert _play(REPORTS, ratio, seed) > _play(SILENT, ratio, seed)
