"""Shared by all tests of the workspace, and the list of known failures."""

from collections.abc import Generator
from collections.abc import Iterable
import pathlib
import re
import shutil
from typing import NamedTuple

# It asks the standard library's module platform for the interpreter; once a
# test in the folder platform is loaded, the folder has that name.
import hypothesis  # noqa: F401
import pytest

KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
"""Tests that fail for a fault that is not mended yet."""

KNOWN_RED_MAX_COUNT = 3
"""Lines that the list may have."""

_SEEN_ONCE = "SEEN ONCE:"
"""Begins the cause of a test that failed once and is not traced yet.

It runs and must pass like any other; it is listed and printed until traced.
"""


KEPT_LOGS = pathlib.Path(__file__).with_name("out") / "failed"
"""Where the logs of processes are kept when a test with them fails."""

_LOG_PATTERNS = ("log", "*.log", "*.journal")
_TAIL_LINES_COUNT = 40
"""Lines of each log that are printed, for runs whose files are lost."""


class KnownFailure(NamedTuple):
    """One line of the list: ``TEST | CAUSE | ISSUE``."""

    # As pytest names it, with its file.
    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownFailure]:
    """Returns the known failures by the name of their test.

    Raises:
        pytest.UsageError: A line is malformed, or there are too many.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_MAX_COUNT:
        raise pytest.UsageError(
            f"{KNOWN_RED.name}: {len(lines)} lines; "
            f"{KNOWN_RED_MAX_COUNT} at most"
        )
    known: dict[str, KnownFailure] = {}
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownFailure._fields) or not all(parts):
            raise pytest.UsageError(
                f"{KNOWN_RED.name}:{number}: TEST | CAUSE | ISSUE is needed"
            )
        failure = KnownFailure(*parts)
        known[failure.test] = failure
    return known


def _load() -> dict[str, KnownFailure]:
    """Returns the known failures; none if there is no list."""
    if not KNOWN_RED.exists():
        return {}
    return read_known_red(KNOWN_RED.read_text(encoding="utf-8"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Passes over known failures, but not over one that has been mended.

    Nor over one that was seen once only.
    """
    known = _load()
    for item in items:
        failure = known.get(item.nodeid)
        if failure is not None and not failure.cause.startswith(_SEEN_ONCE):
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=failure.cause)
            )


def keep_logs(
    name: str, folders: Iterable[pathlib.Path], into: pathlib.Path
) -> str:
    """Copies the logs of a failed test, so that it can be explained.

    Args:
        name: The test.
        folders: Where its processes wrote.
        into: Where logs are kept; those of an earlier failure are replaced.

    Returns:
        Where they are and the end of each; empty if there are none.
    """
    kept = into / re.sub(r"[^A-Za-z0-9.-]+", "-", name)
    shutil.rmtree(kept, ignore_errors=True)
    lines: list[str] = []
    for number, folder in enumerate(folders, 1):
        for pattern in _LOG_PATTERNS:
            for log in sorted(folder.rglob(pattern)):
                kept.mkdir(parents=True, exist_ok=True)
                copy = kept / f"{number}-{log.name}"
                shutil.copy(log, copy)
                text = copy.read_text(encoding="utf-8", errors="replace")
                tail = text.splitlines()[-_TAIL_LINES_COUNT:]
                lines += [f"{copy.name}:", *tail]
    return "\n".join([f"kept in {kept}", *lines]) if lines else ""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Keeps the logs of the processes of a failed test."""
    report = yield
    if report.failed:
        values = getattr(item, "funcargs", {}).values()
        folders = [
            folder
            for value in values
            for folder in (value, *getattr(value, "log_folders", ()))
            if isinstance(folder, pathlib.Path) and folder.is_dir()
        ]
        kept = keep_logs(item.nodeid, folders, KEPT_LOGS)
        if kept:
            report.sections.append(("logs of its processes", kept))
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the list, so that nobody takes it for green."""
    for failure in _load().values():
        terminalreporter.write_line("KNOWN RED: " + " | ".join(failure))


@pytest.fixture
def anyio_backend() -> str:
    """Runs every asynchronous test on asyncio, as the daemon does."""
    return "asyncio"
