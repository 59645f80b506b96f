"""The entry point and the argument parser of the command-line tool."""

import argparse
import getpass
import pathlib
import sys

import anyio

from bridgecross_cli import _commands
from bridgecross_cli import _lab_commands
from bridgecross_cli import _log_commands
from bridgecross_cli import cluster_client
from bridgecross_core import findings

_DEFAULT_CONNECTION = pathlib.Path("bridgecross.jsonc")


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code: 0 on success, 1 on failure, 2 for invalid input, 3 if an
        instance, the instance list or the log could not be reached.
    """
    options = _build_parser().parse_args(arguments)
    try:
        code: int = anyio.run(options.command, options)
        return code
    except findings.FindingsError as error:
        _commands.print_findings(error, as_json=options.json)
        return _commands.EXIT_BAD_INPUT
    except cluster_client.UnreachableError as error:
        print(f"bridgecross: {error}", file=sys.stderr)
        return _commands.EXIT_UNREACHABLE


def _build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bridgecross",
        description="Operates the entry instances of a place.",
        epilog="Exit codes: 0 success, 1 failure, 2 bad input, 3 unreachable.",
    )
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--json", action="store_true", help="print JSON for scripts"
    )
    common.add_argument(
        "--connect",
        type=pathlib.Path,
        default=_DEFAULT_CONNECTION,
        metavar="FILE",
        help="settings file of an instance, which contains house, place, log "
        "and instance list (default: %(default)s)",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_settings_commands(commands, common)
    _add_instance_commands(commands, common)
    _add_log_commands(commands)
    _add_lab_commands(commands)
    return parser


def _add_lab_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Adds ``lab hunt`` and ``lab replay``."""
    lab = commands.add_parser(
        "lab", help="simulate clusters of emulated instances in virtual time"
    )
    actions = lab.add_subparsers(required=True, metavar="ACTION")
    hunt = actions.add_parser(
        "hunt", help="simulate random events to find broken promises"
    )
    hunt.add_argument(
        "--seeds",
        type=_lab_commands.parse_seeds,
        required=True,
        metavar="FIRST-LAST",
    )
    hunt.add_argument(
        "--minutes",
        type=float,
        default=60.0,
        help="start no new simulation after this time (default: %(default)s)",
    )
    hunt.add_argument(
        "--draw",
        choices=_lab_commands.DRAWS,
        default="planned",
        help="the kind of random events (default: %(default)s)",
    )
    hunt.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("out/lab"),
        metavar="FOLDER",
        help="folder for failing schedules (default: %(default)s)",
    )
    hunt.set_defaults(command=_lab_commands.hunt, json=False)
    replay = actions.add_parser(
        "replay", help="simulate a saved schedule again"
    )
    replay.add_argument("file", type=pathlib.Path)
    replay.add_argument(
        "--log",
        action="store_true",
        help="print the log lines of the instances",
    )
    replay.set_defaults(command=_lab_commands.replay, json=False)


def _add_log_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Adds ``logs explain``, ``keys``, ``timeline`` and ``account``."""
    logs = commands.add_parser("logs", help="analyse the logs of instances")
    actions = logs.add_subparsers(required=True, metavar="ACTION")
    explain = actions.add_parser(
        "explain", help="explain the outcome of a request"
    )
    explain.add_argument("request", help="the request's id")
    explain.set_defaults(command=_log_commands.explain)
    keys = actions.add_parser("keys", help="show the owners of a key over time")
    keys.add_argument("service")
    keys.add_argument("key", type=int)
    keys.set_defaults(command=_log_commands.trace_key)
    timeline = actions.add_parser(
        "timeline", help="show the events of all instances"
    )
    timeline.add_argument(
        "--event", action="append", help="show only this event; may be repeated"
    )
    timeline.set_defaults(command=_log_commands.show_timeline)
    account = actions.add_parser(
        "account",
        help="show achieved and lost value by route, second and cause",
    )
    account.add_argument(
        "--worth",
        action="append",
        type=_log_commands.parse_answer_value,
        metavar="ROUTE=FULL,LATE",
        help="the value of a route's answers, in time and late (default: 1 and "
        "0.5); may be repeated",
    )
    account.set_defaults(command=_log_commands.show_account)
    for action in (explain, keys, timeline, account):
        action.add_argument(
            "files",
            nargs="*",
            type=pathlib.Path,
            metavar="FILE",
            help="log files of any instances (default: standard input)",
        )
        action.set_defaults(json=False)


def _add_settings_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    """Adds ``settings check``, ``show`` and ``publish``."""
    settings = commands.add_parser(
        "settings", help="check, show and publish the settings of a house"
    )
    actions = settings.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser(
        "check",
        parents=[common],
        help="report every problem of a settings file",
    )
    check.add_argument("file", type=pathlib.Path)
    check.set_defaults(command=_commands.check_settings)
    show = actions.add_parser(
        "show",
        parents=[common],
        help="show the published settings or those of a file",
    )
    show.add_argument(
        "--file",
        type=pathlib.Path,
        help="show this file instead of the published settings",
    )
    show.add_argument(
        "--effective",
        metavar="PATH",
        help="show the effective values at house/place/service/tier, and the "
        "levels that set them",
    )
    show.set_defaults(command=_commands.show_settings)
    publish = actions.add_parser(
        "publish", parents=[common], help="publish a settings file to the place"
    )
    publish.add_argument("file", type=pathlib.Path)
    publish.add_argument(
        "--base",
        type=int,
        default=-1,
        metavar="VERSION",
        help="the version that the file edits; omit for the first one",
    )
    publish.add_argument("--author", default=getpass.getuser())
    publish.add_argument(
        "--summary", default="", help="what the change does and why"
    )
    publish.add_argument(
        "--wait-s",
        type=float,
        default=4.0,
        help="how long to wait until the settings are in force "
        "(default: %(default)s)",
    )
    publish.set_defaults(command=_commands.publish_settings)


def _add_instance_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    """Adds ``status``, ``owner``, ``drain`` and ``timeline``."""
    status = commands.add_parser(
        "status", parents=[common], help="show the status of all instances"
    )
    status.set_defaults(command=_commands.show_status)
    owner = commands.add_parser(
        "owner", parents=[common], help="show a key's owner and assignment"
    )
    owner.add_argument("service")
    owner.add_argument("key")
    owner.set_defaults(command=_commands.show_owner)
    drain = commands.add_parser(
        "drain",
        parents=[common],
        help="start the planned shutdown of an instance",
    )
    drain.add_argument("instance")
    drain.set_defaults(command=_commands.drain_instance)
    timeline = commands.add_parser(
        "timeline", parents=[common], help="show the events of all instances"
    )
    timeline.add_argument(
        "--html", type=pathlib.Path, metavar="FILE", help="write an HTML page"
    )
    timeline.add_argument(
        "--kind", action="append", help="show only this kind; may be repeated"
    )
    timeline.set_defaults(command=_commands.show_timeline)


if __name__ == "__main__":
    sys.exit(main())
