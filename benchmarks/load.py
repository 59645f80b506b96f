"""What each decision under load is worth, in virtual time.

    python -m benchmarks.load [--seeds N] [--jobs N] [--loads NAME ...]

Plays houses of different kinds through a return of all instances, a burst and
a calm spell, once as the settings are and once with each decision switched
off, and prints the part of the worth that was earned as a table: the mean over
the seeds, and in brackets the largest distance from it.
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
from tests.load import scene

_FAR_MORE = 1_000

SWITCHED_OFF: dict[str, tuple[dict[str, object], dict[str, object]]] = {
    "as it is": ({}, {}),
    "late requests take any slot": ({"late_room_ratio": _FAR_MORE}, {}),
    "no queue a service": ({"extra_room_count": _FAR_MORE}, {}),
    "three requests at an owner": ({"min_room_count": 3}, {}),
    "every attempt is a first one": (
        {},
        {"caller_ages": caller_age.CallerAgeSettings(cluster_min_ratio=2.0)},
    ),
}
"""Fields of the settings of servers and of the dispatcher, by what is off."""


@dataclasses.dataclass(frozen=True, slots=True)
class House:
    """Servers and callers of one kind of house."""

    servers: tuple[scene.ServerKind, ...]
    callers: tuple[scene.CallerKind, ...]
    instance_count: int


def _house(
    kinds: tuple[scene.CallerKind, ...],
    instance_count: int,
    slots: int,
    on_full: str,
) -> House:
    """Returns a house whose servers are as busy as on a day of high load."""
    listed = tuple(
        dataclasses.replace(kind, slots=slots, on_full=on_full)
        for kind in (loads.CATALOGUE, loads.BIDHOUSE, loads.TALLY)
    )
    return House(listed, kinds, instance_count)


def _callers(
    ratio: float, target: float, patience: float, late_worth: float
) -> tuple[scene.CallerKind, ...]:
    """Returns callers with other rates, times and worths."""
    return tuple(
        dataclasses.replace(
            kind,
            rate_per_s=kind.rate_per_s * ratio,
            target_s=kind.target_s * target,
            patience_s=kind.patience_s * patience,
            timeout_s=kind.timeout_s * patience,
            late_worth=kind.worth * late_worth,
        )
        for kind in (loads.READ, loads.BID, loads.SETTLE)
    )


HOUSES = {
    # Late answers are worth little, callers wait for six times their target.
    "patient callers, silent servers": _house(
        _callers(1.4, 1.0, 1.0, 0.3), 12, 6, "silent"
    ),
    # Late answers are worth half, callers wait for 2.5 times their target.
    "impatient callers, shedding servers": _house(
        _callers(0.9, 1.0, 0.4, 0.5), 11, 4, "shed"
    ),
    # Late answers are worth next to nothing.
    "impatient callers, resetting servers": _house(
        _callers(1.4, 1.0, 0.4, 0.1), 8, 6, "reset"
    ),
}

LOADS: dict[str, dict[str, object]] = {
    "return": {"outage_s": (1.0, 2.6), "length_s": 6.0},
    "burst": {"surge_s": (1.0, 3.0), "surge_ratio": 1.5, "length_s": 5.0},
    "calm": {"length_s": 4.0},
}


def _play(job: tuple[str, str, str, int]) -> float:
    """Returns the part of the worth that one run earns."""
    house_name, load_name, off, seed = job
    house = HOUSES[house_name]
    judging, trying = SWITCHED_OFF[off]
    load = scene.Load(
        house.servers,
        house.callers,
        instance_count=house.instance_count,
        seed=seed,
        judging=dataclasses.replace(servers.ServerSettings(), **judging),
        trying=dataclasses.replace(dispatch.DispatchSettings(), **trying),
        **LOADS[load_name],
    )
    return scene.play(load).total.ratio


def main(arguments: list[str] | None = None) -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--loads", nargs="+", choices=LOADS, default=LOADS)
    options = parser.parse_args(arguments)
    columns = [(house, load) for house in HOUSES for load in options.loads]
    jobs = [
        (house, load, off, seed)
        for off in SWITCHED_OFF
        for house, load in columns
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        ratios = dict(zip(jobs, pool.map(_play, jobs), strict=True))
    heads = [f"{house}: {load}" for house, load in columns]
    print("| off | " + " | ".join(heads) + " |")
    print("| --- " * (len(heads) + 1) + "|")
    for off in SWITCHED_OFF:
        cells = []
        for house, load in columns:
            found = [
                ratios[house, load, off, seed]
                for seed in range(1, options.seeds + 1)
            ]
            mean = statistics.fmean(found)
            spread = max(abs(each - mean) for each in found)
            cells.append(f"{mean:.3f} ({spread:.3f})")
        print(f"| {off} | " + " | ".join(cells) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
