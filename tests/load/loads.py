"""Servers and callers that the load tests and benchmarks share."""

import dataclasses

from tests.load import simulation

CATALOGUE = simulation.ServerKind(
    "catalogue", (0.6, 1.0, 1.4) * 7 + (1.0,), keyed=True
)
BIDHOUSE = simulation.ServerKind(
    "bidhouse", (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5, 0.5, 1.0)
)
TALLY = simulation.ServerKind("tally", (0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0))
READ = simulation.CallerKind(
    "read", "catalogue", 555, 0.12, 0.4, 2.5, 1.2, True, 2, 1, 0.3
)
BID = simulation.CallerKind(
    "bid", "bidhouse", 200, 0.16, 0.5, 3.0, 1.5, False, 1, 2, 0.6
)
SETTLE = simulation.CallerKind(
    "settle", "tally", 145, 0.084, 0.25, 1.5, 0.8, False, 0, 3, 0.9
)


def scaled(kind: simulation.CallerKind, ratio: float) -> simulation.CallerKind:
    """Returns callers of the same kind with a scaled request rate."""
    return dataclasses.replace(kind, rate_per_s=kind.rate_per_s * ratio)
