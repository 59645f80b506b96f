"""Measures the effect of each overload policy, in virtual time.

    python -m benchmarks.load [--seeds N] [--jobs N] [--loads NAME ...]

Simulates different kinds of clusters under several loads: an outage of all
instances and their return, a burst, and a calm period. Each is simulated with
the default settings and with each policy disabled. Prints a table of the
achieved share of the attainable value: the mean over the seeds and, in
parentheses, the largest deviation from it.
"""

import argparse
import concurrent.futures
import dataclasses
import statistics
import sys

from bridgecross_entry import caller_age
from bridgecross_entry import dispatch
from bridgecross_entry import servers
from tests.load import loads
from tests.load import simulation

_UNLIMITED = 1_000

VARIANTS: dict[str, tuple[dict[str, object], dict[str, object]]] = {
    "as it is": ({}, {}),
    "late requests take any slot": ({"late_share_ratio": _UNLIMITED}, {}),
    "no queue a service": ({"extra_requests_count": _UNLIMITED}, {}),
    "three requests at an owner": ({"min_concurrency_count": 3}, {}),
    "every attempt is a first one": (
        {},
        {"caller_ages": caller_age.CallerAgeSettings(cluster_min_ratio=2.0)},
    ),
}
"""The fields of ``ServerSettings`` and of ``DispatchSettings`` that a variant
changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterKind:
    """The servers and callers of one kind of cluster."""

    servers: tuple[simulation.ServerKind, ...]
    callers: tuple[simulation.CallerKind, ...]
    instance_count: int


def _make_cluster_kind(
    kinds: tuple[simulation.CallerKind, ...],
    instance_count: int,
    slots: int,
    on_full: str,
) -> ClusterKind:
    """Returns a cluster whose servers are as busy as on a day of high load."""
    server_kinds = tuple(
        dataclasses.replace(kind, slots=slots, on_full=on_full)
        for kind in (loads.CATALOGUE, loads.BIDHOUSE, loads.TALLY)
    )
    return ClusterKind(server_kinds, kinds, instance_count)


def _make_callers(
    rate_ratio: float,
    target_ratio: float,
    patience_ratio: float,
    late_value_ratio: float,
) -> tuple[simulation.CallerKind, ...]:
    """Returns callers with other rates, times and values of late answers.

    Args:
        rate_ratio: The factor of the request rate.
        target_ratio: The factor of the target latency.
        patience_ratio: The factor of the patience and of the timeout.
        late_value_ratio: The value of a late answer as a share of the value
            in time.
    """
    return tuple(
        dataclasses.replace(
            kind,
            rate_per_s=kind.rate_per_s * rate_ratio,
            target_s=kind.target_s * target_ratio,
            patience_s=kind.patience_s * patience_ratio,
            timeout_s=kind.timeout_s * patience_ratio,
            late_value=kind.value * late_value_ratio,
        )
        for kind in (loads.READ, loads.BID, loads.SETTLE)
    )


CLUSTER_KINDS = {
    # Late answers have little value; callers wait six times their target
    # latency.
    "patient callers, silent servers": _make_cluster_kind(
        _make_callers(1.4, 1.0, 1.0, 0.3), 12, 6, "silent"
    ),
    # Late answers have half the value; callers wait 2.5 times their target
    # latency.
    "impatient callers, shedding servers": _make_cluster_kind(
        _make_callers(0.9, 1.0, 0.4, 0.5), 11, 4, "shed"
    ),
    # Late answers have almost no value.
    "impatient callers, resetting servers": _make_cluster_kind(
        _make_callers(1.4, 1.0, 0.4, 0.1), 8, 6, "reset"
    ),
}

LOADS: dict[str, dict[str, object]] = {
    "return": {"outage_s": (1.0, 2.6), "length_s": 6.0},
    "burst": {"surge_s": (1.0, 3.0), "surge_ratio": 1.5, "length_s": 5.0},
    "calm": {"length_s": 4.0},
}


def _run(job: tuple[str, str, str, int]) -> float:
    """Simulates one run; returns the achieved share of the attainable value."""
    kind_name, load_name, variant, seed = job
    cluster_kind = CLUSTER_KINDS[kind_name]
    server_changes, dispatch_changes = VARIANTS[variant]
    load = simulation.Load(
        cluster_kind.servers,
        cluster_kind.callers,
        instance_count=cluster_kind.instance_count,
        seed=seed,
        server_settings=dataclasses.replace(
            servers.ServerSettings(), **server_changes
        ),
        dispatch_settings=dataclasses.replace(
            dispatch.DispatchSettings(), **dispatch_changes
        ),
        **LOADS[load_name],
    )
    return simulation.run(load).total.ratio


def main(arguments: list[str] | None = None) -> int:
    """Runs all simulations and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--loads", nargs="+", choices=LOADS, default=LOADS)
    options = parser.parse_args(arguments)
    columns = [
        (kind_name, load)
        for kind_name in CLUSTER_KINDS
        for load in options.loads
    ]
    jobs = [
        (kind_name, load, variant, seed)
        for variant in VARIANTS
        for kind_name, load in columns
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        ratios = dict(zip(jobs, pool.map(_run, jobs), strict=True))
    headings = [f"{kind_name}: {load}" for kind_name, load in columns]
    print("| off | " + " | ".join(headings) + " |")
    print("| --- " * (len(headings) + 1) + "|")
    for variant in VARIANTS:
        cells = []
        for kind_name, load in columns:
            ratios_by_seed = [
                ratios[kind_name, load, variant, seed]
                for seed in range(1, options.seeds + 1)
            ]
            mean = statistics.fmean(ratios_by_seed)
            spread = max(abs(each - mean) for each in ratios_by_seed)
            cells.append(f"{mean:.3f} ({spread:.3f})")
        print(f"| {variant} | " + " | ".join(cells) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
