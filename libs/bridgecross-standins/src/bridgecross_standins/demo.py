"""The demo: a whole house, the loss of a server, and what came of it.

It starts the stand-ins and three entry instances as separate processes,
publishes the sample settings, sends requests of several tiers, kills a
backend server and shows that its keys are served again. It ends by itself.
"""

import argparse
import collections
import math
import pathlib
import statistics
import sys
import time
from typing import NamedTuple

import anyio
import anyio.abc
import anyio.to_thread

from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_standins import balancer
from bridgecross_standins import checker
from bridgecross_standins import house_tools
from bridgecross_standins import probing
from bridgecross_standins import processes
from bridgecross_timeline import events
from bridgecross_timeline import render

_INSTANCES = 3
_BEFORE_S = 4.0
_AFTER_S = 6.0
_RATE_PER_S = 15.0
_WATCH_PER_KEY_S = 10.0
_WATCH_WAITING_S = 0.2
_KEYS = 60
_REASONS = 6
_DEADLINE_MS = 1_500


class DemoHouse(NamedTuple):
    """One of the sample houses."""

    settings_file: str
    place: str
    services: tuple[processes.ServiceShape, ...]
    lost_service: str
    tiers: tuple["DemoTier", ...]


class DemoTier(NamedTuple):
    """A caller of a tier, with the credential of the sample settings."""

    tier: str
    caller: str
    credential: str


HOUSES = {
    "karatas": DemoHouse(
        settings_file="karatas.jsonc",
        place="anadolu",
        services=(
            processes.ServiceShape("rapor", 10),
            processes.ServiceShape("bulgu", 7),
            processes.ServiceShape("kapama", 6),
            processes.ServiceShape("cizim", 10),
        ),
        lost_service="rapor",
        tiers=(
            DemoTier("authority", "karayollari", "karayollari-secret"),
            DemoTier("inspector", "mufettis-demir", "demir-secret"),
            DemoTier("contractor", "yapi-anadolu", "yapi-secret"),
        ),
    ),
    "valdivieso": DemoHouse(
        settings_file="valdivieso.jsonc",
        place="santiago",
        services=(
            processes.ServiceShape("disponibilidad", 9),
            processes.ServiceShape("reservas", 8),
            processes.ServiceShape("garantias", 8),
            processes.ServiceShape("informes", 8),
        ),
        lost_service="disponibilidad",
        tiers=(
            DemoTier("concierge", "hotel-plaza", "plaza-secret"),
            DemoTier("host", "casa-nunoa", "casa-nunoa-secret"),
            DemoTier("diner", "comensales-web", "web-secret"),
        ),
    ),
}
"""The sample houses, with as many servers as in the brief."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the demo.

    Returns:
        0 if every check held, else 1.
    """
    parser = argparse.ArgumentParser(prog="bridgecross-demo")
    parser.add_argument("--house", choices=HOUSES, default="karatas")
    parser.add_argument(
        "--settings", type=pathlib.Path, default=pathlib.Path("settings")
    )
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("out/demo")
    )
    options = parser.parse_args(arguments)
    demo_house = HOUSES[options.house]
    shape = processes.HouseShape(
        settings_file=options.settings / demo_house.settings_file,
        place=demo_house.place,
        services=demo_house.services,
        instances=_INSTANCES,
        folder=options.out,
    )
    print(f"starting {options.house}: {_count_processes(shape)} processes")
    with processes.House(shape) as house:
        return anyio.run(_Demo(demo_house, house).run)


def _count_processes(shape: processes.HouseShape) -> int:
    """Returns how many processes the house has."""
    servers = sum(service.servers for service in shape.services)
    return servers + shape.instances + 2


class _Demo:
    """One run of the demo."""

    def __init__(self, demo_house: DemoHouse, house: processes.House) -> None:
        self._demo_house = demo_house
        self._house = house
        self._probers: dict[str, probing.Prober] = {}
        self._lost_keys: set[str] = set()
        self._most_waiting: collections.Counter[str] = collections.Counter()

    async def run(self) -> int:
        """Runs all steps and prints the summary."""
        version = await house_tools.bring_up(self._house)
        print(f"settings version {version} is in force on all instances")
        entries = self._house.entries.values()
        chooser = balancer.Balancer(
            {e.caller_url: e.admin_url for e in entries}
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(chooser.run)
            tasks.start_soon(self._watch_waiting)
            async with anyio.create_task_group() as load:
                for prober in self._make_probers(chooser):
                    load.start_soon(prober.run)
                lost_at_s = await self._lose_server(chooser, load)
                for prober in self._probers.values():
                    prober.stop()
            tasks.cancel_scope.cancel()
        timeline = await house_tools.read_timeline(self._house)
        page = self._house.shape.folder / "timeline.html"
        page.write_text(render.render_html(timeline), encoding="utf-8")
        print(f"time line of {len(timeline)} events: {page}")
        return self._report(lost_at_s, timeline)

    async def _watch_waiting(self) -> None:
        """Notes the most requests of each tier that wait at one time."""
        while True:
            statuses = await house_tools.read_statuses(self._house)
            now: collections.Counter[str] = collections.Counter()
            for status in statuses.values():
                for service in status.services:
                    for tier, count in service.waiting.items():
                        now[f"{service.service}/{tier}"] += count
            self._most_waiting |= now
            await anyio.sleep(_WATCH_WAITING_S)

    def _make_probers(self, chooser: balancer.Balancer) -> list[probing.Prober]:
        """Returns a prober for each service and tier that it sells."""
        place = self._house.place
        for service in place.services.values():
            for tier in self._demo_house.tiers:
                if tier.tier not in service.tiers:
                    continue
                may_repeat = not service.policy.non_repeatable_methods
                settings = probing.ProbeSettings(
                    credential=tier.credential,
                    service=service.name,
                    keys=tuple(f"key-{i}" for i in range(_KEYS)),
                    rate_per_s=_RATE_PER_S if may_repeat else _RATE_PER_S / 4,
                    deadline_ms=_DEADLINE_MS,
                    method="PUT" if may_repeat else "POST",
                )
                self._probers[f"{service.name}/{tier.tier}"] = probing.Prober(
                    settings, chooser.choose
                )
        return list(self._probers.values())

    async def _lose_server(
        self, chooser: balancer.Balancer, load: anyio.abc.TaskGroup
    ) -> float:
        """Kills a server in the middle of the load; returns when.

        From then on its keys are asked for often, to see how soon each is
        served again.
        """
        await anyio.sleep(_BEFORE_S)
        service = self._demo_house.lost_service
        name = f"{service}-1"
        cell = await house_tools.read_cell(
            self._house, ids.ServiceName(service)
        )
        self._lost_keys = {
            key
            for key in (f"key-{i}" for i in range(_KEYS))
            if cell.slices[hashing.find_slice(key, len(cell.slices))].server
            == name
        }
        print(f"killing {name}, which owns {len(self._lost_keys)} of the keys")
        watch = probing.ProbeSettings(
            credential=self._demo_house.tiers[0].credential,
            service=service,
            keys=tuple(sorted(self._lost_keys)),
            rate_per_s=_WATCH_PER_KEY_S * len(self._lost_keys),
            deadline_ms=_DEADLINE_MS,
        )
        watcher = probing.Prober(watch, chooser.choose)
        self._probers[f"{service}/lost keys"] = watcher
        load.start_soon(watcher.run)
        lost_at_s = time.monotonic()
        await anyio.to_thread.run_sync(self._house.servers[name].process.kill)
        await anyio.sleep(_AFTER_S)
        return lost_at_s

    def _report(self, lost_at_s: float, timeline: list[events.Event]) -> int:
        """Prints the summary; returns the exit code."""
        self._print_tiers()
        unavailable = self._measure(lost_at_s)
        print("\nkeys of the lost server, from its loss to the next answer")
        if unavailable:
            print(
                f"  median {statistics.median(unavailable):.2f} s, "
                f"longest {max(unavailable):.2f} s"
            )
        moved = [e.detail for e in timeline if e.kind == "move"]
        slices = sum(
            m.slices for m in moved if isinstance(m, events.SlicesMoved)
        )
        print(f"owner moves: {slices} slices in {len(moved)} assignments")
        return self._print_checks(unavailable)

    def _print_tiers(self) -> None:
        """Prints what became of the requests of each tier."""
        print(f"\n{'service/tier':<28}{'sent':>6}{'answered':>10}", end="")
        print(f"{'not run':>9}{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}", end="")
        print(f"{'most waiting':>14}")
        for name, prober in self._probers.items():
            counts = collections.Counter(p.outcome for p in prober.probes)
            took_ms = sorted(
                (p.done_s - p.sent_s) * 1_000
                for p in prober.probes
                if p.outcome == "answered"
            )
            print(
                f"{name:<28}{len(prober.probes):>6}{counts['answered']:>10}"
                f"{counts['not-run']:>9}"
                f"{counts['unknown'] + counts['none']:>9}"
                f"{_percentile(took_ms, 0.5):>8.1f}"
                f"{_percentile(took_ms, 0.99):>8.1f}"
                f"{self._most_waiting[name]:>14}"
            )

    def _print_reasons(self) -> None:
        """Prints why requests were not answered, the commonest first."""
        reasons = collections.Counter(
            f"{probe.outcome}: {probe.detail}"
            for prober in self._probers.values()
            for probe in prober.probes
            if probe.outcome != "answered"
        )
        print("\nrequests that were not answered")
        for reason, count in reasons.most_common(_REASONS):
            print(f"  {count:>4} {reason}")

    def _measure(self, lost_at_s: float) -> list[float]:
        """Returns how long each key of the lost server was unavailable."""
        service = self._demo_house.lost_service
        probes = [
            probe
            for name, prober in self._probers.items()
            if name == f"{service}/lost keys"
            for probe in prober.probes
        ]
        return list(probing.measure_unavailable(probes, lost_at_s).values())

    def _print_checks(self, unavailable: list[float]) -> int:
        """Checks the journals; returns the exit code."""
        journal = self._house.read_journals()
        not_run = [
            probe.request_id
            for prober in self._probers.values()
            for probe in prober.probes
            if probe.outcome == "not-run"
        ]
        violations = [
            *checker.check_owners(journal),
            *checker.check_single_runs(journal),
            *checker.check_not_run(journal, not_run),
        ]
        self._print_reasons()
        print(f"\njournals: {len(journal)} entries, ", end="")
        print(f"{len(violations)} violations")
        for violation in violations:
            print(f"  {violation.rule}: {violation.detail}")
        served_again = all(math.isfinite(wait) for wait in unavailable)
        print("every key served again" if served_again else "KEYS NOT SERVED")
        return 0 if served_again and not violations else 1


def _percentile(ordered: list[float], share: float) -> float:
    """Returns the value below which a share of ordered values lies."""
    if not ordered:
        return math.nan
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


if __name__ == "__main__":
    sys.exit(main())
