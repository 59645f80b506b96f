"""Simulates clusters with random faults, and shrinks schedules that fail."""

from collections.abc import Callable
import json
import pathlib
import random
import time
from typing import NamedTuple

import anyio
import simpy

from bridgecross_emulator import callers
from bridgecross_emulator import checks
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import faults
from bridgecross_emulator import instances
from bridgecross_emulator import link_faults
from bridgecross_emulator import move_faults
from bridgecross_emulator import virtual

FORMAT = "bridgecross-schedule-1"
"""The format of saved schedules; files of another format are refused."""

_KINDS = {**faults.KINDS, **move_faults.KINDS, **link_faults.KINDS}
_EVENTS_COUNT = 14
_LENGTH_S = 16.0
_SETTLE_S = 6.0
_RECOVERY_S = checks.SERVED_AGAIN_WITHIN_S


class SimulationResult(NamedTuple):
    """The result of simulating one cluster."""

    violations: tuple[checks.Violation, ...]
    lines: tuple[instances.Line, ...]


def simulate(
    events: tuple[faults.Event, ...],
    settings: clusters.ClusterSettings | None = None,
) -> SimulationResult:
    """Simulates one cluster in virtual time.

    Args:
        events: The faults, with times relative to when the cluster has settled.
        settings: The cluster; five instances and four servers if omitted.
    """
    environment = simpy.Environment()
    chosen = settings or clusters.ClusterSettings(
        server_count=4, server_domain_count=2
    )

    random.seed(chosen.seed)

    async def main() -> SimulationResult:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(chosen, environment, tasks)
            found = await _watch(cluster, events, tasks)
            # Taken before the tasks are cancelled, the order of which is not
            # determined by the seed.
            played = SimulationResult(tuple(found), tuple(cluster.lines))
            cluster.stop()
        return played

    return virtual.run(environment, main)


async def _watch(
    cluster: clusters.Cluster,
    events: tuple[faults.Event, ...],
    tasks: anyio.abc.TaskGroup,
) -> list[checks.Violation]:
    """Injects faults, and returns the violated guarantees."""
    scene = faults.Scene(cluster, faults.Disturbances(cluster))
    configurations = checks.ConfigurationCheck(scene)
    await cluster.start(_SETTLE_S)
    evacuations = checks.EvacuationCheck(scene)
    tasks.start_soon(configurations.run)
    tasks.start_soon(evacuations.run)
    tasks.start_soon(callers.PoisonCallers(cluster, len(events)).run)
    await faults.inject(scene, events, _KINDS)
    calm_s = cluster.now_s
    await anyio.sleep(_RECOVERY_S - checks.TOPICS_KNOWN_WITHIN_S)
    ends = checks.find_ends(cluster)
    await anyio.sleep(checks.TOPICS_KNOWN_WITHIN_S)
    return [
        *configurations.violations,
        *evacuations.violations,
        *checks.check_owners(cluster),
        *checks.check_poison_requests(cluster, calm_s),
        *checks.check_handovers(cluster),
        *checks.check_ends(cluster),
        *checks.check_topics(cluster, ends),
        *checks.check_served(cluster),
    ]


def shrink(
    events: tuple[faults.Event, ...], fails: Callable[..., bool]
) -> tuple[faults.Event, ...]:
    """Returns a subset of the events that still fails; all in it are needed."""
    changed = True
    while changed:
        changed = False
        for index in range(len(events)):
            fewer = events[:index] + events[index + 1 :]
            if fails(fewer):
                events, changed = fewer, True
                break
    return events


def save(
    path: pathlib.Path,
    events: tuple[faults.Event, ...],
    violations: tuple[checks.Violation, ...],
) -> None:
    """Writes a schedule to a file, from which it can be replayed."""
    document = {
        "format": FORMAT,
        "violations": [v._asdict() for v in violations],
        "events": [event._asdict() for event in events],
    }
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


class ScheduleError(ValueError):
    """A file contains no valid schedule; the message says where it is wrong."""


def load(path: pathlib.Path) -> tuple[faults.Event, ...]:
    """Returns the schedule in a file.

    Raises:
        OSError: The file cannot be read.
        ScheduleError: The file contains no valid schedule.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        if document["format"] != FORMAT:
            raise ScheduleError(f"{path}: format: {FORMAT} is needed")
        events = tuple(faults.Event(**event) for event in document["events"])
    except (json.JSONDecodeError, TypeError, KeyError) as error:
        raise ScheduleError(f"{path}: {error!r}") from error
    for index, event in enumerate(events):
        problem = _find_problem(event)
        if problem:
            raise ScheduleError(f"{path}: events[{index}].{problem}")
    return events


def _find_problem(event: faults.Event) -> str:
    """Returns what is wrong with an event; "" if it is valid."""
    if event.kind not in _KINDS:
        return f"kind: {event.kind!r} is not known"
    if not isinstance(event.target, int) or event.target < 0:
        return "target: a whole number of 0 or more is needed"
    for name in ("at_s", "for_s"):
        value = getattr(event, name)
        if not isinstance(value, int | float) or not 0 <= value < 3_600:  # noqa: PLR2004 (an hour)
            return f"{name}: seconds from 0 to 3,600 are needed"
    return ""


class FailedSeed(NamedTuple):
    """A seed whose simulation violated a guarantee."""

    seed: int
    violations: tuple[checks.Violation, ...]


Draw = Callable[[int], tuple[faults.Event, ...]]
"""Returns the events of a seed."""


def draw(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, without planned evacuations."""
    return faults.draw(seed, _EVENTS_COUNT, _LENGTH_S)


def draw_with_planned(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, including planned evacuations."""
    return tuple(sorted(draw(seed) + faults.draw_planned(seed, _LENGTH_S)))


def draw_all(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, with evacuations and poison requests."""
    poison = faults.draw_poison_requests(seed, _LENGTH_S)
    return tuple(sorted(draw_with_planned(seed) + poison))


def draw_key_moves(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, with moving keys and requests for them."""
    return move_faults.draw(seed, _EVENTS_COUNT, _LENGTH_S)


def draw_links(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, with cuts of links to servers."""
    cuts = link_faults.draw(seed, _LENGTH_S)
    return tuple(sorted(draw_all(seed) + cuts))


def draw_moves_and_links(seed: int) -> tuple[faults.Event, ...]:
    """Returns moving keys and requests for them, with cuts of links."""
    cuts = link_faults.draw(seed, _LENGTH_S)
    return tuple(sorted(draw_key_moves(seed) + cuts))


def draw_domain_cuts(seed: int) -> tuple[faults.Event, ...]:
    """Returns the events of a seed, with cuts of failure domains."""
    cuts = link_faults.draw_domain_cuts(seed, _LENGTH_S)
    return tuple(sorted(draw_all(seed) + cuts))


def _draw_key_moves_with(name: str) -> Draw:
    """Returns a draw that adds events of one kind to ``draw_key_moves``."""

    def draw_both(seed: int) -> tuple[faults.Event, ...]:
        apart = move_faults.draw_kind(seed, name, _LENGTH_S)
        return tuple(sorted(draw_key_moves(seed) + apart))

    return draw_both


DRAWS = {
    "all": draw_all,
    "planned": draw_with_planned,
    "moving": draw_key_moves,
    "links": draw_links,
    "moving links": draw_moves_and_links,
    "domains": draw_domain_cuts,
    "lossy": _draw_key_moves_with(move_faults.LOSSY),
    "mistaken": _draw_key_moves_with(move_faults.MISTAKEN),
    "unlisted": _draw_key_moves_with(move_faults.UNLISTED),
}
"""The available draws, by name."""


def search_seeds(
    seeds: range,
    until_s: float | None = None,
    draw_events: Draw = draw_all,
) -> tuple[int, list[FailedSeed]]:
    """Simulates one cluster per seed.

    Args:
        seeds: The seeds.
        until_s: When to stop, by ``time.monotonic``; after the last seed if
            omitted.
        draw_events: Draws the events of a seed.

    Returns:
        The number of simulated clusters, and the seeds that failed.
    """
    found = []
    played_count = 0
    for seed in seeds:
        if until_s is not None and time.monotonic() > until_s:
            break
        violations = simulate(draw_events(seed)).violations
        played_count += 1
        if violations:
            found.append(FailedSeed(seed, violations))
    return played_count, found
