"""Computes the value of the answers that callers received, from logs.

Once per second, each instance logs the totals of the requests of each route.
The report sums them over all instances: the number of callers, how many of them
were served in time or late, and why the others were not served.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math
from typing import Any
from typing import NamedTuple

from bridgecross_cli import log_analysis
from bridgecross_core import findings

EVENT = "requests"
"""The event name of the log lines that hold totals."""

_SERVED = frozenset({"in_time", "late"})
_LOSSES_MAX_COUNT = 10

_RUN_GAP_S = 60.0
"""Totals further apart than this belong to different runs of the system. Gaps
within a run are shorter: an outage of all instances lasts seconds. An instance
without requests writes no totals."""


class AnswerValue(NamedTuple):
    """The value of an answer to its caller, in time and late."""

    in_time: float = 1.0
    late: float = 0.5


@dataclasses.dataclass(slots=True)
class Aggregate:
    """Outcomes and value of the requests of several log lines."""

    # The number of callers, each counted at its first attempt.
    caller_count: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    held_s: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    attainable_value: float = 0.0
    achieved_value: float = 0.0

    def add(self, totals: "RouteTotals", value: AnswerValue) -> None:
        """Adds the totals of one log line."""
        self.caller_count += totals.first_count
        self.outcomes.update(totals.outcomes)
        self.held_s.update(totals.held_s)
        self.attainable_value += totals.first_count * value.in_time
        self.achieved_value += totals.outcomes.get("in_time", 0) * value.in_time
        self.achieved_value += totals.outcomes.get("late", 0) * value.late

    @property
    def ratio(self) -> float:
        """The achieved share of the attainable value; NaN without callers."""
        return (
            self.achieved_value / self.attainable_value
            if self.attainable_value
            else math.nan
        )


class RouteTotals(NamedTuple):
    """The totals of one route and second on one instance, from a log line."""

    second: int
    route: str
    service: str
    first_count: int
    outcomes: dict[str, int]
    held_s: dict[str, float]


class Loss(NamedTuple):
    """The value that was lost on one route in one second."""

    second: int
    route: str
    # The attainable value minus the achieved value.
    lost_value: float
    # The number of attempts not served in time by outcome, the most frequent
    # outcome first. A caller may have made several attempts.
    causes: tuple[tuple[str, int], ...]


@dataclasses.dataclass(slots=True)
class ValueReport:
    """The totals of all instances by route, and by second and route."""

    routes: dict[str, Aggregate] = dataclasses.field(default_factory=dict)
    seconds: dict[int, dict[str, Aggregate]] = dataclasses.field(
        default_factory=dict
    )
    # What is not included in the report, with its place in the logs.
    skipped: list[findings.Finding] = dataclasses.field(default_factory=list)

    def list_largest_losses(self) -> list[Loss]:
        """Returns the largest losses, the largest first."""
        losses = [
            Loss(
                second,
                route,
                aggregate.attainable_value - aggregate.achieved_value,
                tuple(
                    (name, count)
                    for name, count in aggregate.outcomes.most_common()
                    if name != "in_time"
                ),
            )
            for second, aggregates in self.seconds.items()
            for route, aggregate in aggregates.items()
        ]
        losses.sort(key=lambda loss: -loss.lost_value)
        return losses[:_LOSSES_MAX_COUNT]


def build_report(
    logs: log_analysis.ParsedLogs, answer_values: dict[str, AnswerValue]
) -> ValueReport:
    """Builds the report from logs.

    Args:
        logs: The logs.
        answer_values: The values of answers by route; 1 in time and 0.5 late
            for other routes.
    """
    report = ValueReport()
    lines = _select_largest_run(logs.lines, report.skipped)
    started_s = min((line.at_s for line in lines), default=0.0)
    for line in lines:
        totals = _parse_totals(line, started_s, report.skipped)
        if totals is None:
            continue
        value = answer_values.get(totals.route, AnswerValue())
        by_route = report.seconds.setdefault(totals.second, {})
        for aggregate in (
            report.routes.setdefault(totals.route, Aggregate()),
            by_route.setdefault(totals.route, Aggregate()),
        ):
            aggregate.add(totals, value)
    for route in sorted(answer_values.keys() - report.routes.keys()):
        report.skipped.append(
            _make_finding(f"--worth {route}", "no request of this route")
        )
    return report


def render(report: ValueReport) -> Iterator[str]:
    """Yields the lines of the report as text."""
    yield "route                  callers in time    late  worth"
    for name, total in sorted(report.routes.items()):
        yield (
            f"{name:<22} {total.caller_count:7} {total.outcomes['in_time']:7} "
            f"{total.outcomes['late']:7}  {total.ratio:.3f}"
        )
        for outcome, count in total.outcomes.most_common():
            if outcome in _SERVED:
                continue
            held_ms = 1_000 * total.held_s[outcome] / count
            yield f"    {outcome:<20} {count:7} attempts, held {held_ms:.0f} ms"
    yield ""
    yield "the largest losses"
    yield "second route                    lost  attempts not in time"
    for loss in report.list_largest_losses():
        causes = ", ".join(f"{name} {count}" for name, count in loss.causes)
        yield (
            f"{loss.second:6} {loss.route:<22} {loss.lost_value:7.1f}  {causes}"
        )


def _select_largest_run(
    lines: Iterable[log_analysis.LogLine], skipped: list[findings.Finding]
) -> list[log_analysis.LogLine]:
    """Returns the lines with totals of the run that has the most of them."""
    found = [line for line in lines if line.event == EVENT]
    runs: list[list[log_analysis.LogLine]] = []
    for line in found:
        if not runs or line.at_s - runs[-1][-1].at_s > _RUN_GAP_S:
            runs.append([])
        runs[-1].append(line)
    if not runs:
        return []
    kept = max(runs, key=len)
    for run in runs:
        if run is not kept:
            skipped.append(
                _make_finding(
                    f"at_s {run[0].at_s:.3f} to {run[-1].at_s:.3f}",
                    f"{len(run)} line(s) of another run, which is over "
                    f"{_RUN_GAP_S:.0f} s away",
                )
            )
    return kept


def _parse_totals(
    line: log_analysis.LogLine,
    started_s: float,
    skipped: list[findings.Finding],
) -> RouteTotals | None:
    """Returns the totals of a line, or None if they cannot be used."""
    place = f"{line.instance} at_s {line.at_s:.3f}"
    fields: dict[str, Any] = line.fields
    if "left_out" in fields:
        problem = (
            f"{fields['left_out']} request(s) of routes beyond the busiest"
        )
        skipped.append(_make_finding(place, problem))
        return None
    try:
        return RouteTotals(
            int(line.at_s - started_s),
            str(fields["route"]),
            str(fields["service"]),
            int(fields["first"]),
            {
                str(name): int(count)
                for name, count in fields["outcomes"].items()
            },
            {str(name): float(held) for name, held in fields["held_s"].items()},
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        problem = f"no sums that can be read: {error!r}"
        skipped.append(_make_finding(place, problem))
        return None


def _make_finding(source: str, problem: str) -> findings.Finding:
    """Returns a finding about something that the report does not include."""
    return findings.Finding(findings.Place(source), problem)
