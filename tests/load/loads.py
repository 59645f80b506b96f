"""The loads that the decisions are tested with."""

import dataclasses

from tests.load import scene

CATALOGUE = scene.ServerKind(
    "catalogue", (0.6, 1.0, 1.4) * 7 + (1.0,), keyed=True
)
BIDHOUSE = scene.ServerKind(
    "bidhouse", (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5, 0.5, 1.0)
)
TALLY = scene.ServerKind("tally", (0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0))
READ = scene.CallerKind(
    "read", "catalogue", 555, 0.12, 0.4, 2.5, 1.2, True, 2, 1, 0.3
)
BID = scene.CallerKind(
    "bid", "bidhouse", 200, 0.16, 0.5, 3.0, 1.5, False, 1, 2, 0.6
)
SETTLE = scene.CallerKind(
    "settle", "tally", 145, 0.084, 0.25, 1.5, 0.8, False, 0, 3, 0.9
)


def scaled(kind: scene.CallerKind, ratio: float) -> scene.CallerKind:
    """Returns a kind that comes more or less often."""
    return dataclasses.replace(kind, rate_per_s=kind.rate_per_s * ratio)
