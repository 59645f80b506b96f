"""The command line of bridgecrossd."""

import argparse
import pathlib
import sys

import anyio
import loguru

from bridgecross_core import findings
from bridgecross_core import signals
from bridgecross_daemon import serving
from bridgecross_settings import process

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1


def main(arguments: list[str] | None = None) -> int:
    """Runs an entry instance until it is told to stop.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code: 0 after a planned stop, 2 if the settings are not
        sound, 1 if an address cannot be bound.
    """
    options = _build_parser().parse_args(arguments)
    try:
        settings = _read_settings(options.settings)
    except findings.FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    _set_up_logs(settings)
    code = EXIT_OK
    try:
        anyio.run(_run, settings)
    except* (OSError, RuntimeError) as group:
        loguru.logger.opt(exception=group).error("cannot go on")
        code = EXIT_FAILED
    return code


def _build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bridgecrossd",
        description="An entry instance of bridgecross.",
        epilog="SIGTERM or SIGINT begins a planned stop.",
    )
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        help="the process's settings, as JSON with comments",
    )
    return parser


def _read_settings(path: pathlib.Path) -> process.ProcessSettings:
    """Reads and checks the process's settings.

    Raises:
        findings.FindingsError: The file is missing or not sound.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = findings.Place(str(path))
        finding = findings.Finding(place, f"cannot be read: {error}")
        raise findings.FindingsError([finding]) from error
    return process.check_process_text(text, str(path))


def _set_up_logs(settings: process.ProcessSettings) -> None:
    """Writes one JSON object a line to standard error."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr, level=settings.log_level, serialize=True, diagnose=False
    )
    loguru.logger.configure(extra={"instance": settings.instance})


async def _run(settings: process.ProcessSettings) -> None:
    """Runs the instance and turns signals into a planned stop."""
    daemon = serving.Daemon(settings)
    async with anyio.create_task_group() as tasks:
        await tasks.start(signals.watch_stop, daemon.stop)
        await daemon.run()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
