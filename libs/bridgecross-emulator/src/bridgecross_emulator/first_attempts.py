"""Callers' first attempts, where some instances reach no server."""

from collections.abc import Container
from collections.abc import Iterable
from typing import NamedTuple

from bridgecross_core import outcomes
from bridgecross_emulator import checks
from bridgecross_emulator import cluster as clusters

_FIRST_ERROR_STATUS = 500

SERVED_RATIO = 2 / 3
FAILED_MAX_COUNT = 10
FAILED_MAX_RATIO = 1 / 50
"""First attempts at cut instances are served at least so often as at the
others, unless no more than so many of all fail."""


class FirstAttempt(NamedTuple):
    """The outcome of a caller's first attempt."""

    at_s: float
    # The name of the instance that received it.
    instance: str
    target: bytes
    outcome: outcomes.Outcome

    @property
    def is_served(self) -> bool:
        """Whether a server ran it and did not fail."""
        answer = self.outcome
        if not isinstance(answer, outcomes.Answered):
            return False
        return answer.status < _FIRST_ERROR_STATUS


class Served(NamedTuple):
    """How many first attempts were served."""

    served_count: int
    total_count: int

    @property
    def ratio(self) -> float:
        """The share that was served; 1 if there was none."""
        return self.served_count / self.total_count if self.total_count else 1.0


def count_served(
    found: Iterable[FirstAttempt], names: Container[str]
) -> tuple[Served, Served]:
    """Returns what was served at some instances, and at the others."""
    counts = {True: [0, 0], False: [0, 0]}
    for each in found:
        count = counts[each.instance in names]
        count[0] += each.is_served
        count[1] += 1
    return Served(*counts[True]), Served(*counts[False])


def check_served(
    found: Iterable[FirstAttempt], cut: Container[str], at_s: float
) -> list[checks.Violation]:
    """Returns a violation if cut instances serve far worse than others."""
    at_cut, at_others = count_served(found, cut)
    if not at_others.total_count:
        return []
    total = at_cut.total_count + at_others.total_count
    failed = total - at_cut.served_count - at_others.served_count
    is_worse = at_cut.ratio < SERVED_RATIO * at_others.ratio
    if not is_worse or failed <= FAILED_MAX_COUNT + FAILED_MAX_RATIO * total:
        return []
    detail = (
        f"cut instances served {at_cut.served_count} of "
        f"{at_cut.total_count}, the "
        f"others {at_others.served_count} of {at_others.total_count}"
    )
    return [checks.Violation("cut instances serve", at_s, detail)]


def check_truth(
    cluster: clusters.Cluster,
    found: Iterable[FirstAttempt],
    runs_max_count: int,
) -> list[checks.Violation]:
    """Returns requests that ran although refused, or too often.

    Each request must have a target of its own.
    """
    counts: dict[bytes, int] = {}
    for run in cluster.fleet.runs:
        counts[run.target] = counts.get(run.target, 0) + 1
    violations = []
    for each in found:
        count = counts.get(each.target, 0)
        allowed = runs_max_count
        if isinstance(each.outcome, outcomes.NotRun):
            allowed = 0
        if count > allowed:
            name = each.target.decode()
            detail = f"{name} ran {count} times: {each.outcome}"
            violations.append(
                checks.Violation("what is told is true", each.at_s, detail)
            )
    return violations
