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
        The exit code: 0 after a planned shutdown, 2 if the settings are
        invalid, 1 if an address cannot be bound.
    """
    options = _build_parser().parse_args(arguments)
    try:
        settings = _read_settings(options.settings)
    except findings.FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    _configure_logging(settings)
    code = EXIT_OK
    try:
        anyio.run(_run, settings)
    except* (OSError, RuntimeError) as group:
        loguru.logger.opt(exception=group).error("the instance failed")
        code = EXIT_FAILED
    return code


def _build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bridgecrossd",
        description="An entry instance of bridgecross.",
        epilog="SIGTERM or SIGINT starts a planned shutdown.",
    )
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        help="the file with the process's settings, JSON with comments",
    )
    return parser


def _read_settings(path: pathlib.Path) -> process.ProcessSettings:
    """Reads and validates the process's settings.

    Raises:
        findings.FindingsError: The file cannot be read or is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = findings.Place(str(path))
        finding = findings.Finding(place, f"cannot be read: {error}")
        raise findings.FindingsError([finding]) from error
    return process.check_process_text(text, str(path))


def _configure_logging(settings: process.ProcessSettings) -> None:
    """Configures logging of one JSON object per line to standard error."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr, level=settings.log_level, serialize=True, diagnose=False
    )
    loguru.logger.configure(extra={"instance": settings.instance})


async def _run(settings: process.ProcessSettings) -> None:
    """Runs the instance; signals start a planned shutdown."""
    daemon = serving.Daemon(settings)
    async with anyio.create_task_group() as tasks:
        await tasks.start(signals.watch_stop, daemon.stop)
        await daemon.run()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
