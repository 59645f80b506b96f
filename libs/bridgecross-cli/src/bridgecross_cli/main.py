"""The command line of bridgecross."""

import argparse
import getpass
import pathlib
import sys

import anyio

from bridgecross_cli import _commands
from bridgecross_cli import _lab
from bridgecross_cli import _logs
from bridgecross_cli import reach
from bridgecross_core import findings

_DEFAULT_CONNECTION = pathlib.Path("bridgecross.jsonc")


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: The command line without the program's name.

    Returns:
        0 if it did what was asked, 1 if it did not, 2 if its input is not
        sound, 3 if a part of the system could not be reached.
    """
    options = _build_parser().parse_args(arguments)
    try:
        code: int = anyio.run(options.command, options)
        return code
    except findings.FindingsError as error:
        _commands.print_findings(error, as_json=options.json)
        return _commands.EXIT_BAD_INPUT
    except reach.ReachError as error:
        print(f"bridgecross: {error}", file=sys.stderr)
        return _commands.EXIT_UNREACHABLE


def _build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bridgecross",
        description="Operates the entry instances of a place.",
        epilog="Exit codes: 0 done, 1 not done, 2 bad input, 3 unreachable.",
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
        help="a process's settings, which name house, place, log and list "
        "(default: %(default)s)",
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
        "lab", help="play houses of emulated instances in virtual time"
    )
    actions = lab.add_subparsers(required=True, metavar="ACTION")
    hunt = actions.add_parser(
        "hunt", help="random events, to find a promise that does not hold"
    )
    hunt.add_argument(
        "--seeds", type=_lab.read_seeds, required=True, metavar="FIRST-LAST"
    )
    hunt.add_argument(
        "--minutes",
        type=float,
        default=60.0,
        help="begin no house after this time (default: %(default)s)",
    )
    hunt.add_argument(
        "--draw",
        choices=_lab.DRAWS,
        default="planned",
        help="which events happen there (default: %(default)s)",
    )
    hunt.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("out/lab"),
        metavar="FOLDER",
        help="where schedules that fail are kept (default: %(default)s)",
    )
    hunt.set_defaults(command=_lab.hunt, json=False)
    replay = actions.add_parser("replay", help="play a kept schedule again")
    replay.add_argument("file", type=pathlib.Path)
    replay.add_argument(
        "--log", action="store_true", help="print the instances' lines"
    )
    replay.set_defaults(command=_lab.replay, json=False)


def _add_log_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Adds ``logs explain``, ``keys``, ``timeline`` and ``account``."""
    logs = commands.add_parser("logs", help="read logs of many instances")
    actions = logs.add_subparsers(required=True, metavar="ACTION")
    explain = actions.add_parser(
        "explain", help="why a request ended as it did"
    )
    explain.add_argument("request", help="the request's id")
    explain.set_defaults(command=_logs.explain)
    keys = actions.add_parser("keys", help="who held a key, and when")
    keys.add_argument("service")
    keys.add_argument("key", type=int)
    keys.set_defaults(command=_logs.trace_key)
    timeline = actions.add_parser("timeline", help="events over all processes")
    timeline.add_argument(
        "--event", action="append", help="only this event; may be repeated"
    )
    timeline.set_defaults(command=_logs.show_timeline)
    account = actions.add_parser(
        "account", help="what was earned and lost, by route, second and cause"
    )
    account.add_argument(
        "--worth",
        action="append",
        type=_logs.read_worth,
        metavar="ROUTE=FULL,LATE",
        help="what an answer of a route is worth in time and late; 1 and 0.5 "
        "if left out; may be repeated",
    )
    account.set_defaults(command=_logs.show_account)
    for action in (explain, keys, timeline, account):
        action.add_argument(
            "files",
            nargs="*",
            type=pathlib.Path,
            metavar="FILE",
            help="logs of any instances; standard input if left out",
        )
        action.set_defaults(json=False)


def _add_settings_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    """Adds ``settings check``, ``show`` and ``publish``."""
    settings = commands.add_parser("settings", help="the settings of a house")
    actions = settings.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser(
        "check", parents=[common], help="report every problem of a file"
    )
    check.add_argument("file", type=pathlib.Path)
    check.set_defaults(command=_commands.check_settings)
    show = actions.add_parser(
        "show", parents=[common], help="show settings, published or of a file"
    )
    show.add_argument("--file", type=pathlib.Path, help="show this file")
    show.add_argument(
        "--effective",
        metavar="PATH",
        help="show what is in effect at house/place/service/tier, and which "
        "level set it",
    )
    show.set_defaults(command=_commands.show_settings)
    publish = actions.add_parser(
        "publish", parents=[common], help="publish a file to the place"
    )
    publish.add_argument("file", type=pathlib.Path)
    publish.add_argument(
        "--base",
        type=int,
        default=-1,
        metavar="VERSION",
        help="the version that was edited; leave out for the first one",
    )
    publish.add_argument("--author", default=getpass.getuser())
    publish.add_argument("--summary", default="", help="what changes and why")
    publish.add_argument(
        "--wait-s",
        type=float,
        default=4.0,
        help="how long to wait until it is in force (default: %(default)s)",
    )
    publish.set_defaults(command=_commands.publish_settings)


def _add_instance_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    """Adds ``status``, ``owner``, ``drain`` and ``timeline``."""
    status = commands.add_parser(
        "status", parents=[common], help="how the instances are"
    )
    status.set_defaults(command=_commands.show_status)
    owner = commands.add_parser(
        "owner", parents=[common], help="who owns a key, and why"
    )
    owner.add_argument("service")
    owner.add_argument("key")
    owner.set_defaults(command=_commands.show_owner)
    drain = commands.add_parser(
        "drain", parents=[common], help="stop an instance as planned"
    )
    drain.add_argument("instance")
    drain.set_defaults(command=_commands.drain_instance)
    timeline = commands.add_parser(
        "timeline", parents=[common], help="events over all processes"
    )
    timeline.add_argument(
        "--html", type=pathlib.Path, metavar="FILE", help="write a page"
    )
    timeline.add_argument("--kind", action="append", help="only this kind")
    timeline.set_defaults(command=_commands.show_timeline)


if __name__ == "__main__":
    sys.exit(main())
