"""The command line that runs a single stand-in."""

import argparse
import sys
from typing import Any

import anyio

from bridgecross_core import codec
from bridgecross_core import signals
from bridgecross_standins import backend_standin
from bridgecross_standins import list_standin
from bridgecross_standins import log_standin
from bridgecross_standins import serving


def main(arguments: list[str] | None = None) -> int:
    """Runs one stand-in until SIGTERM or SIGINT.

    Args:
        arguments: The command line without the program's name.
    """
    options = _build_parser().parse_args(arguments)
    anyio.run(_run, options.address, _build_app(options))
    return 0


def _build_parser() -> argparse.ArgumentParser:
    """Returns the command-line parser."""
    parser = argparse.ArgumentParser(prog="bridgecross-standin")
    parser.add_argument("kind", choices=["log", "list", "backend"])
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument(
        "--settings", default="{}", help="the stand-in's settings as JSON"
    )
    return parser


def _build_app(options: argparse.Namespace) -> Any:
    """Returns the application of the requested kind."""
    settings_json: str = options.settings
    if options.kind == "log":
        log_settings = codec.from_json(
            settings_json, log_standin.LogStandinSettings
        )
        return log_standin.LogStandin(log_settings).build_app()
    if options.kind == "list":
        return list_standin.ListStandin().build_app()
    settings = codec.from_json(
        settings_json, backend_standin.BackendStandinSettings
    )
    return backend_standin.BackendStandin(settings).build_app()


async def _run(address: str, app: Any) -> None:
    """Serves the application until a signal arrives."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(signals.watch_stop, stop.set)
        await serving.serve(address, app, stop)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
