"""The ``lab`` commands, which simulate clusters of emulated instances."""

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
"""The functions that turn a seed into a schedule of events, by name."""


def parse_seeds(text: str) -> range:
    """Parses ``FIRST-LAST``, an inclusive range of seeds, or a single seed.

    Raises:
        argparse.ArgumentTypeError: The text is malformed or the range is empty.
    """
    first, dash, last = text.partition("-")
    if not (first.isdecimal() and (last.isdecimal() or not dash)):
        raise argparse.ArgumentTypeError(f"{text!r} is not FIRST-LAST")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise argparse.ArgumentTypeError(f"{text!r} is an empty range")
    return seeds


async def hunt(options: argparse.Namespace) -> int:
    """Simulates random events and saves schedules that break a promise."""
    # Virtual time needs an event loop of its own.
    return await to_thread.run_sync(_hunt, options)


async def replay(options: argparse.Namespace) -> int:
    """Simulates a saved schedule again."""
    return await to_thread.run_sync(_replay, options)


def _hunt(options: argparse.Namespace) -> int:
    """Runs ``hunt`` in this thread; returns the exit code."""
    started_s = time.monotonic()
    until_s = started_s + 60 * options.minutes
    draw = DRAWS[options.draw]
    played_count, found = search.search_seeds(options.seeds, until_s, draw)
    took_s = time.monotonic() - started_s
    for each in found:
        _shrink_and_save(each, draw(each.seed), options.keep)
    print(
        f"{played_count} of {len(options.seeds)} clusters played in "
        f"{took_s:.1f} s; {len(found)} broke a promise"
    )
    return _commands.EXIT_NOT_DONE if found else 0


def _shrink_and_save(
    found: search.FailedSeed,
    drawn: tuple[faults.Event, ...],
    folder: pathlib.Path,
) -> None:
    """Shrinks a schedule that breaks a promise, and saves it."""
    promise = found.violations[0].promise

    def breaks_same_promise(events: tuple[faults.Event, ...]) -> bool:
        violations = search.simulate(events).violations
        return promise in {v.promise for v in violations}

    shrunk = search.shrink(drawn, breaks_same_promise)
    violations = search.simulate(shrunk).violations
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"seed-{found.seed}.json"
    search.save(path, shrunk, violations)
    print(f"seed {found.seed}: {len(shrunk)} events left, kept in {path}")
    _print_violations(violations)


def _replay(options: argparse.Namespace) -> int:
    """Runs ``replay`` in this thread; returns the exit code."""
    try:
        events = search.load(options.file)
    except (OSError, search.ScheduleError) as error:
        print(f"bridgecross: {error}", file=sys.stderr)
        return _commands.EXIT_BAD_INPUT
    played = search.simulate(events)
    if options.log:
        for line in played.lines:
            print(json.dumps(line._asdict(), default=str))
    _print_violations(played.violations)
    print(f"{len(played.violations)} violations")
    return _commands.EXIT_NOT_DONE if played.violations else 0


def _print_violations(violations: tuple[checks.Violation, ...]) -> None:
    """Prints violations."""
    for each in violations:
        print(f"  {each.at_s:8.3f} s  {each.promise}: {each.detail}")
