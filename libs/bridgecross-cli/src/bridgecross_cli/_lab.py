"""``lab``: houses of emulated instances, played and searched for faults."""

import argparse
import json
import pathlib
import sys
import time

from anyio import to_thread

from bridgecross_cli import _commands
from bridgecross_emulator import checks
from bridgecross_emulator import faults
from bridgecross_emulator import search

DRAWS = search.DRAWS
"""What seeds may stand for, by name."""


def read_seeds(text: str) -> range:
    """Returns the seeds that ``FIRST-LAST`` names, both inside.

    Raises:
        argparse.ArgumentTypeError: It names none.
    """
    first, dash, last = text.partition("-")
    if not (first.isdecimal() and (last.isdecimal() or not dash)):
        raise argparse.ArgumentTypeError(f"{text!r} is not FIRST-LAST")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise argparse.ArgumentTypeError(f"{text!r} names no seed")
    return seeds


async def hunt(options: argparse.Namespace) -> int:
    """Plays houses with random events; keeps what breaks a promise."""
    # Virtual time needs an event loop of its own.
    return await to_thread.run_sync(_hunt, options)


async def replay(options: argparse.Namespace) -> int:
    """Plays a kept schedule again."""
    return await to_thread.run_sync(_replay, options)


def _hunt(options: argparse.Namespace) -> int:
    """Plays, shrinks and keeps; returns the exit code."""
    begun_s = time.monotonic()
    until_s = begun_s + 60 * options.minutes
    draw = DRAWS[options.draw]
    played_count, found = search.hunt(options.seeds, until_s, draw)
    took_s = time.monotonic() - begun_s
    for each in found:
        _keep(each, draw(each.seed), options.keep)
    print(
        f"{played_count} of {len(options.seeds)} houses played in "
        f"{took_s:.1f} s; {len(found)} broke a promise"
    )
    return _commands.EXIT_NOT_DONE if found else 0


def _keep(
    found: search.Found,
    drawn: tuple[faults.Event, ...],
    folder: pathlib.Path,
) -> None:
    """Writes the fewest events that still break the same promise."""
    promise = found.violations[0].promise

    def fails(events: tuple[faults.Event, ...]) -> bool:
        violations = search.play(events).violations
        return promise in {v.promise for v in violations}

    fewest = search.shrink(drawn, fails)
    violations = search.play(fewest).violations
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"seed-{found.seed}.json"
    search.save(path, fewest, violations)
    print(f"seed {found.seed}: {len(fewest)} events left, kept in {path}")
    _print(violations)


def _replay(options: argparse.Namespace) -> int:
    """Plays one file; returns the exit code."""
    try:
        events = search.load(options.file)
    except (OSError, search.ScheduleError) as error:
        print(f"bridgecross: {error}", file=sys.stderr)
        return _commands.EXIT_BAD_INPUT
    played = search.play(events)
    if options.log:
        for line in played.lines:
            print(json.dumps(line._asdict(), default=str))
    _print(played.violations)
    print(f"{len(played.violations)} violations")
    return _commands.EXIT_NOT_DONE if played.violations else 0


def _print(violations: tuple[checks.Violation, ...]) -> None:
    """Prints what did not hold."""
    for each in violations:
        print(f"  {each.at_s:8.3f} s  {each.promise}: {each.detail}")
