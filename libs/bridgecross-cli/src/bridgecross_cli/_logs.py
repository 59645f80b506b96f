"""Commands that read the logs of many instances."""

import argparse
from collections.abc import Iterable
import sys

from bridgecross_cli import accounts
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


async def show_account(options: argparse.Namespace) -> int:
    """Shows what was earned and lost, by route, second and cause."""
    worths = dict(options.worth or ())
    account = accounts.add_up(_read(options), worths)
    for line in accounts.render(account):
        print(line)
    for finding in account.left_out:
        print(f"left out: {finding}", file=sys.stderr)
    return _EXIT_OK if account.routes else _EXIT_NOT_FOUND


def read_worth(text: str) -> tuple[str, accounts.Worth]:
    """Returns the worth of a route's answers, given as ``ROUTE=FULL,LATE``.

    Raises:
        argparse.ArgumentTypeError: The text is not of this form.
    """
    route, _, numbers = text.partition("=")
    try:
        in_time, late = (float(number) for number in numbers.split(","))
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not of the form ROUTE=FULL,LATE"
        ) from None
    if not route or not 0 <= late <= in_time:
        raise argparse.ArgumentTypeError(
            f"{text!r}: FULL must be LATE at least, and LATE not below 0"
        )
    return route, accounts.Worth(in_time, late)


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
