"""The rows of benchmark results."""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

_RUN_COUNT = 5


class Row(NamedTuple):
    """One measured figure."""

    benchmark: str
    size: str
    figure: str
    value: float
    unit: str


def render(rows: list[Row]) -> str:
    """Returns the rows as an aligned table."""
    return "\n".join(
        f"{row.benchmark:<10} {row.size:<28} {row.figure:<34} "
        f"{row.value:>12,.3f} {row.unit}"
        for row in rows
    )


def measure_cpu_s(action: Callable[[], object]) -> float:
    """Returns the median processor time of several runs of an action."""
    times = []
    for _ in range(_RUN_COUNT):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return statistics.median(times)
