"""Commands that read the logs of many instances."""

import argparse
from collections.abc import Iterable
import sys

from bridgecross_cli import journals
from bridgecross_cli import reach

_EXIT_OK = 0
_EXIT_NOT_FOUND = 1


async def explain(options: argparse.Namespace) -> int:
    """Tells why a request ended as it did."""
    read = _read(options)
    for line in journals.explain(read, options.request):
        print(line)
    found = any(
        line.fields.get("request") == options.request for line in read.lines
    )
    return _EXIT_OK if found else _EXIT_NOT_FOUND


async def trace_key(options: argparse.Namespace) -> int:
    """Tells who held a key, and when."""
    moves = frozenset({"keys_move", "keys_moved"})
    return _print(
        journals.trace_key(_read(options), options.service, options.key, moves)
    )


async def show_timeline(options: argparse.Namespace) -> int:
    """Shows events over all processes; requests only if asked for."""
    wanted = set(options.event or ())
    return _print(
        line
        for line in _read(options).lines
        if (line.event in wanted if wanted else line.event != "request")
    )


def _print(lines: Iterable[journals.Line]) -> int:
    """Prints lines; returns whether there were any, as an exit code."""
    code = _EXIT_NOT_FOUND
    for line in lines:
        print(line)
        code = _EXIT_OK
    return code


def _read(options: argparse.Namespace) -> journals.Journals:
    """Returns the logs in the files, or of standard input."""
    if not options.files:
        read = journals.read(sys.stdin)
    else:
        texts = [
            line
            for path in options.files
            for line in reach.read_text(path).splitlines()
        ]
        read = journals.read(texts)
    if read.unreadable_count:
        print(
            f"{read.unreadable_count} line(s) are no log lines of bridgecross",
            file=sys.stderr,
        )
    return read
