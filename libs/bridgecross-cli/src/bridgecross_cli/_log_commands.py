"""The ``logs`` commands, which analyse the logs of several instances."""

import argparse
from collections.abc import Iterable
import sys

from bridgecross_cli import cluster_client
from bridgecross_cli import log_analysis
from bridgecross_cli import value_report

_EXIT_OK = 0
_EXIT_NOT_FOUND = 1


async def explain(options: argparse.Namespace) -> int:
    """Explains the outcome of a request."""
    logs = _read_logs(options)
    for line in log_analysis.explain(logs, options.request):
        print(line)
    found = any(
        line.fields.get("request") == options.request for line in logs.lines
    )
    return _EXIT_OK if found else _EXIT_NOT_FOUND


async def trace_key(options: argparse.Namespace) -> int:
    """Shows the owners of a key over time."""
    moves = frozenset({"keys_move", "keys_moved"})
    return _print_lines(
        log_analysis.trace_key(
            _read_logs(options), options.service, options.key, moves
        )
    )


async def show_timeline(options: argparse.Namespace) -> int:
    """Shows the events of all instances; requests only if selected."""
    selected = set(options.event or ())
    return _print_lines(
        line
        for line in _read_logs(options).lines
        if (line.event in selected if selected else line.event != "request")
    )


async def show_account(options: argparse.Namespace) -> int:
    """Shows the achieved and the lost value by route, second and cause."""
    answer_values = dict(options.worth or ())
    report = value_report.build_report(_read_logs(options), answer_values)
    for line in value_report.render(report):
        print(line)
    for finding in report.skipped:
        print(f"left out: {finding}", file=sys.stderr)
    return _EXIT_OK if report.routes else _EXIT_NOT_FOUND


def parse_answer_value(text: str) -> tuple[str, value_report.AnswerValue]:
    """Parses ``ROUTE=FULL,LATE``, the value of a route's answers.

    Raises:
        argparse.ArgumentTypeError: The text does not have this form.
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
    return route, value_report.AnswerValue(in_time, late)


def _print_lines(lines: Iterable[log_analysis.LogLine]) -> int:
    """Prints lines; returns the exit code for whether there were any."""
    code = _EXIT_NOT_FOUND
    for line in lines:
        print(line)
        code = _EXIT_OK
    return code


def _read_logs(options: argparse.Namespace) -> log_analysis.ParsedLogs:
    """Returns the logs in the files, or on standard input without files."""
    if not options.files:
        logs = log_analysis.parse_logs(sys.stdin)
    else:
        texts = [
            line
            for path in options.files
            for line in cluster_client.read_text(path).splitlines()
        ]
        logs = log_analysis.parse_logs(texts)
    if logs.unreadable_count:
        print(
            f"{logs.unreadable_count} line(s) are no log lines of bridgecross",
            file=sys.stderr,
        )
    return logs
