"""What a system earned, second by second, from the logs of its instances.

Every instance writes the sums of each route's requests once a second. Added up
over all instances they say how many callers came, how many were served in time
or late, and for what reason the others were not.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math
from typing import Any
from typing import NamedTuple

from bridgecross_cli import journals
from bridgecross_core import findings

EVENT = "requests"
"""The event of the lines that hold sums."""

_SERVED = frozenset({"in_time", "late"})
_LARGEST_COUNT = 10

_RUN_GAP_S = 60.0
"""Sums this far apart are of two runs: an outage of all instances lasts
seconds, and an instance without requests writes none."""


class Worth(NamedTuple):
    """What an answer is worth to its caller."""

    in_time: float = 1.0
    late: float = 0.5


@dataclasses.dataclass(slots=True)
class Row:
    """What became of some requests."""

    # Callers that came, each counted at its first attempt.
    owed_count: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    held_s: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    owed: float = 0.0
    earned: float = 0.0

    def add(self, line: "Sums", worth: Worth) -> None:
        """Adds the sums of one instance."""
        self.owed_count += line.first_count
        self.outcomes.update(line.outcomes)
        self.held_s.update(line.held_s)
        self.owed += line.first_count * worth.in_time
        self.earned += line.outcomes.get("in_time", 0) * worth.in_time
        self.earned += line.outcomes.get("late", 0) * worth.late

    @property
    def ratio(self) -> float:
        """The part of the worth that was earned."""
        return self.earned / self.owed if self.owed else math.nan


class Sums(NamedTuple):
    """One line of sums, read and checked."""

    second: int
    route: str
    service: str
    first_count: int
    outcomes: dict[str, int]
    held_s: dict[str, float]


class Loss(NamedTuple):
    """Worth that was lost in one second on one route."""

    second: int
    route: str
    # The worth of callers that came less what was earned.
    lost: float
    # Attempts that were not served in time, by outcome, the most frequent
    # first. A caller may have made several.
    causes: tuple[tuple[str, int], ...]


@dataclasses.dataclass(slots=True)
class Account:
    """The sums of all instances."""

    routes: dict[str, Row] = dataclasses.field(default_factory=dict)
    seconds: dict[int, dict[str, Row]] = dataclasses.field(default_factory=dict)
    # What was left out of the account, and where it stands.
    left_out: list[findings.Finding] = dataclasses.field(default_factory=list)

    def list_losses(self) -> list[Loss]:
        """Returns the largest losses of a second and a route."""
        losses = [
            Loss(
                second,
                route,
                row.owed - row.earned,
                tuple(
                    (name, count)
                    for name, count in row.outcomes.most_common()
                    if name != "in_time"
                ),
            )
            for second, rows in self.seconds.items()
            for route, row in rows.items()
        ]
        losses.sort(key=lambda loss: -loss.lost)
        return losses[:_LARGEST_COUNT]


def add_up(read: journals.Journals, worths: dict[str, Worth]) -> Account:
    """Returns the account of logs.

    Args:
        read: The logs.
        worths: What answers of a route are worth; others count 1 and 0.5.
    """
    account = Account()
    lines = _of_one_run(read.lines, account.left_out)
    begun_s = min((line.at_s for line in lines), default=0.0)
    for line in lines:
        sums = _read(line, begun_s, account.left_out)
        if sums is None:
            continue
        worth = worths.get(sums.route, Worth())
        by_route = account.seconds.setdefault(sums.second, {})
        for row in (
            account.routes.setdefault(sums.route, Row()),
            by_route.setdefault(sums.route, Row()),
        ):
            row.add(sums, worth)
    for route in sorted(worths.keys() - account.routes.keys()):
        account.left_out.append(
            _found(f"--worth {route}", "no request of this route")
        )
    return account


def render(account: Account) -> Iterator[str]:
    """Yields the account as text."""
    yield "route                  callers in time    late  worth"
    for name, row in sorted(account.routes.items()):
        yield (
            f"{name:<22} {row.owed_count:7} {row.outcomes['in_time']:7} "
            f"{row.outcomes['late']:7}  {row.ratio:.3f}"
        )
        for outcome, count in row.outcomes.most_common():
            if outcome in _SERVED:
                continue
            held_ms = 1_000 * row.held_s[outcome] / count
            yield f"    {outcome:<20} {count:7} attempts, held {held_ms:.0f} ms"
    yield ""
    yield "the largest losses"
    yield "second route                    lost  attempts not in time"
    for loss in account.list_losses():
        causes = ", ".join(f"{name} {count}" for name, count in loss.causes)
        yield f"{loss.second:6} {loss.route:<22} {loss.lost:7.1f}  {causes}"


def _of_one_run(
    lines: Iterable[journals.Line], left_out: list[findings.Finding]
) -> list[journals.Line]:
    """Returns the lines of sums, without those of another run."""
    found = [line for line in lines if line.event == EVENT]
    runs: list[list[journals.Line]] = []
    for line in found:
        if not runs or line.at_s - runs[-1][-1].at_s > _RUN_GAP_S:
            runs.append([])
        runs[-1].append(line)
    if not runs:
        return []
    kept = max(runs, key=len)
    for run in runs:
        if run is not kept:
            left_out.append(
                _found(
                    f"at_s {run[0].at_s:.3f} to {run[-1].at_s:.3f}",
                    f"{len(run)} line(s) of another run, which is over "
                    f"{_RUN_GAP_S:.0f} s away",
                )
            )
    return kept


def _read(
    line: journals.Line, begun_s: float, left_out: list[findings.Finding]
) -> Sums | None:
    """Returns the sums of a line; None if it holds none that can be used."""
    place = f"{line.instance} at_s {line.at_s:.3f}"
    fields: dict[str, Any] = line.fields
    if "left_out" in fields:
        problem = (
            f"{fields['left_out']} request(s) of routes beyond the busiest"
        )
        left_out.append(_found(place, problem))
        return None
    try:
        return Sums(
            int(line.at_s - begun_s),
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
        left_out.append(_found(place, problem))
        return None


def _found(source: str, problem: str) -> findings.Finding:
    """Returns something that was left out, with its place."""
    return findings.Finding(findings.Place(source), problem)
