"""Runs a case and returns its exit code."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
import sys
import traceback

from lab import record

BROKEN = 1
_HELD = 0
_COULD_NOT_RUN = 2


def run(
    play: Callable[[record.Record], Awaitable[None]],
    judge: Callable[[record.Record], int],
    path: pathlib.Path,
) -> int:
    """Plays a case; returns 1 if the rule was broken, 0 if not, else 2.

    Args:
        play: Runs the system.
        judge: Writes each breach into the record, and returns their number.
        path: The record to write.
    """
    # The processes that were started are ended also if this one is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_COULD_NOT_RUN))
    log = record.Record(path)
    try:
        asyncio.run(_wait(play, log))
        count = judge(log)
    except Exception:
        traceback.print_exc()
        return _COULD_NOT_RUN
    summary = f"{len(log.runs)} requests ran, {count} breaches"
    log.write("result", summary)
    log.close()
    print(summary)
    if count:
        return BROKEN
    return _HELD if "200" in log.answers.values() else _COULD_NOT_RUN


async def _wait(
    play: Callable[[record.Record], Awaitable[None]], log: record.Record
) -> None:
    """Plays a case to its end."""
    await play(log)


def judge_twice(log: record.Record) -> int:
    """Counts requests that ran more than once, though they must not."""
    doubled = [each for each, runs in log.runs.items() if len(runs) > 1]
    for request_id in doubled:
        runs = log.runs[request_id]
        answer = log.answers.get(request_id)
        log.write("TWICE", request_id, "ran at", *runs, "answered", answer)
    return len(doubled)


def judge_refused(log: record.Record) -> int:
    """Counts requests that ran although a refusal said that they did not."""
    promises = {"408", "421", "429", "503"}
    refused = [
        request_id
        for request_id, answer in log.answers.items()
        if answer in promises and log.runs.get(request_id)
    ]
    for request_id in refused:
        answer = log.answers[request_id]
        log.write(
            "REFUSED", request_id, answer, "ran at", *log.runs[request_id]
        )
    return len(refused)


def judge_cut(log: record.Record) -> int:
    """Counts requests that a backend answered and whose answer was cut off."""
    cut = [
        request_id
        for request_id, answer in log.answers.items()
        if "cut off" in answer and log.runs.get(request_id)
    ]
    for request_id in cut:
        log.write("LOST", request_id, "ran at", *log.runs[request_id])
    return len(cut)
