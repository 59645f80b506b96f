"""Checks of the requests that servers with a limit get from all instances."""

import math

from bridgecross_emulator import checks
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import rate_windows


def check_limits(cluster: clusters.Cluster) -> list[checks.Violation]:
    """Returns the runs of servers that got more than their limit allows."""
    found = []
    for run, arrivals in cluster.fleet.arrivals.items():
        counted_s = [
            each.at_s
            for each in arrivals
            if each.at_s >= each.told_s + rate_windows.TOLD_BEFORE_S
        ]
        changes = cluster.fleet.limit_changes[run]
        excess = rate_windows.find_excess(counted_s, changes)
        if excess is not None:
            detail = f"{run.server} got {excess}"
            found.append(
                checks.Violation("a limit is kept", excess.until_s, detail)
            )
    return found


def used_ratio(
    cluster: clusters.Cluster, server: str, from_s: float, until_s: float
) -> float:
    """Returns the share of a server's limit that is used in some time.

    Args:
        cluster: The cluster.
        server: The name of a server whose last run names a limit throughout.
        from_s: The start of the time.
        until_s: The end of the time.
    """
    run, changes = next(
        (run, changes)
        for run, changes in reversed(cluster.fleet.limit_changes.items())
        if run.server == server
    )
    arrivals = cluster.fleet.arrivals.get(run, [])
    used = sum(from_s <= each.at_s < until_s for each in arrivals)
    ends_s = [*(change.at_s for change in changes[1:]), math.inf]
    allowed = sum(
        change.limit_per_s * max(min(end_s, until_s) - start_s, 0.0)
        for change, end_s in zip(changes, ends_s, strict=True)
        for start_s in [max(change.at_s, from_s)]
        if math.isfinite(change.limit_per_s)
    )
    return used / allowed
