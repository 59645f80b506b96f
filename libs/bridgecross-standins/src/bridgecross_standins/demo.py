"""The demo, which kills a backend server of a cluster under load.

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
from bridgecross_standins import cluster_tools
from bridgecross_standins import probing
from bridgecross_standins import processes
from bridgecross_timeline import events
from bridgecross_timeline import render

_INSTANCES = 3
_LOAD_BEFORE_KILL_S = 4.0
_LOAD_AFTER_KILL_S = 6.0
_RATE_PER_S = 15.0
_LOST_KEY_RATE_PER_S = 10.0
_STATUS_INTERVAL_S = 0.2
_KEY_COUNT = 60
_MAX_PRINTED_REASONS = 6
_DEADLINE_MS = 1_500


class DemoHouse(NamedTuple):
    """A sample house, with the processes that the demo starts for it."""

    settings_file: str
    place: str
    services: tuple[processes.ServiceShape, ...]
    lost_service: str
    tiers: tuple["DemoTier", ...]


class DemoTier(NamedTuple):
    """A caller of a tier, with its credential from the sample settings."""

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
"""The sample houses, with the numbers of servers of the requirements."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the demo.

    Returns:
        0 if all checks pass, else 1.
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
    shape = processes.ClusterShape(
        settings_file=options.settings / demo_house.settings_file,
        place=demo_house.place,
        services=demo_house.services,
        instances=_INSTANCES,
        folder=options.out,
    )
    print(f"starting {options.house}: {_count_processes(shape)} processes")
    with processes.Cluster(shape) as cluster:
        return anyio.run(_Demo(demo_house, cluster).run)


def _count_processes(shape: processes.ClusterShape) -> int:
    """Returns the number of processes, including log and instance list."""
    servers = sum(service.servers for service in shape.services)
    return servers + shape.instances + 2


class _Demo:
    """One run of the demo."""

    def __init__(
        self, demo_house: DemoHouse, cluster: processes.Cluster
    ) -> None:
        self._demo_house = demo_house
        self._cluster = cluster
        self._probers: dict[str, probing.Prober] = {}
        self._lost_keys: set[str] = set()
        self._peak_waiting: collections.Counter[str] = collections.Counter()

    async def run(self) -> int:
        """Runs all steps and prints the summary."""
        version = await cluster_tools.start_cluster(self._cluster)
        print(f"settings version {version} is in force on all instances")
        entries = self._cluster.entries.values()
        load_balancer = balancer.Balancer(
            {e.caller_url: e.admin_url for e in entries}
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(load_balancer.run)
            tasks.start_soon(self._record_waiting)
            async with anyio.create_task_group() as load:
                for prober in self._make_probers(load_balancer):
                    load.start_soon(prober.run)
                killed_at_s = await self._kill_server(load_balancer, load)
                for prober in self._probers.values():
                    prober.stop()
            tasks.cancel_scope.cancel()
        timeline = await cluster_tools.read_timeline(self._cluster)
        page = self._cluster.shape.folder / "timeline.html"
        page.write_text(render.render_html(timeline), encoding="utf-8")
        print(f"time line of {len(timeline)} events: {page}")
        return self._report(killed_at_s, timeline)

    async def _record_waiting(self) -> None:
        """Records the highest number of waiting requests of each tier."""
        while True:
            statuses = await cluster_tools.read_statuses(self._cluster)
            current: collections.Counter[str] = collections.Counter()
            for status in statuses.values():
                for service in status.services:
                    for tier, count in service.waiting.items():
                        current[f"{service.service}/{tier}"] += count
            self._peak_waiting |= current
            await anyio.sleep(_STATUS_INTERVAL_S)

    def _make_probers(
        self, load_balancer: balancer.Balancer
    ) -> list[probing.Prober]:
        """Returns a prober for each service and each of its tiers."""
        place = self._cluster.place
        for service in place.services.values():
            for tier in self._demo_house.tiers:
                if tier.tier not in service.tiers:
                    continue
                may_repeat = not service.policy.non_repeatable_methods
                settings = probing.ProbeSettings(
                    credential=tier.credential,
                    service=service.name,
                    keys=tuple(f"key-{i}" for i in range(_KEY_COUNT)),
                    rate_per_s=_RATE_PER_S if may_repeat else _RATE_PER_S / 4,
                    deadline_ms=_DEADLINE_MS,
                    method="PUT" if may_repeat else "POST",
                )
                self._probers[f"{service.name}/{tier.tier}"] = probing.Prober(
                    settings, load_balancer.choose
                )
        return list(self._probers.values())

    async def _kill_server(
        self, load_balancer: balancer.Balancer, load: anyio.abc.TaskGroup
    ) -> float:
        """Kills a server under load and returns the monotonic time of the kill.

        From then on, its keys are requested at a higher rate in order to
        measure how soon each is served again.
        """
        await anyio.sleep(_LOAD_BEFORE_KILL_S)
        service = self._demo_house.lost_service
        name = f"{service}-1"
        cell = await cluster_tools.read_cell(
            self._cluster, ids.ServiceName(service)
        )
        self._lost_keys = {
            key
            for key in (f"key-{i}" for i in range(_KEY_COUNT))
            if cell.slices[hashing.find_slice(key, len(cell.slices))].server
            == name
        }
        print(f"killing {name}, which owns {len(self._lost_keys)} of the keys")
        lost_key_settings = probing.ProbeSettings(
            credential=self._demo_house.tiers[0].credential,
            service=service,
            keys=tuple(sorted(self._lost_keys)),
            rate_per_s=_LOST_KEY_RATE_PER_S * len(self._lost_keys),
            deadline_ms=_DEADLINE_MS,
        )
        lost_key_prober = probing.Prober(
            lost_key_settings, load_balancer.choose
        )
        self._probers[f"{service}/lost keys"] = lost_key_prober
        load.start_soon(lost_key_prober.run)
        killed_at_s = time.monotonic()
        await anyio.to_thread.run_sync(self._cluster.servers[name].process.kill)
        await anyio.sleep(_LOAD_AFTER_KILL_S)
        return killed_at_s

    def _report(self, killed_at_s: float, timeline: list[events.Event]) -> int:
        """Prints the summary and returns the exit code."""
        self._print_tiers()
        unavailable = self._measure_unavailable(killed_at_s)
        print("\nkeys of the lost server, from its loss to the next answer")
        if unavailable:
            print(
                f"  median {statistics.median(unavailable):.2f} s, "
                f"longest {max(unavailable):.2f} s"
            )
        moves = [e.detail for e in timeline if e.kind == "move"]
        slices = sum(
            m.slices for m in moves if isinstance(m, events.SlicesMoved)
        )
        print(f"owner moves: {slices} slices in {len(moves)} assignments")
        return self._check_journals(unavailable)

    def _print_tiers(self) -> None:
        """Prints outcomes and latencies of the requests of each tier."""
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
                f"{self._peak_waiting[name]:>14}"
            )

    def _print_reasons(self) -> None:
        """Prints why requests were not answered, most frequent first."""
        reasons = collections.Counter(
            f"{probe.outcome}: {probe.detail}"
            for prober in self._probers.values()
            for probe in prober.probes
            if probe.outcome != "answered"
        )
        print("\nrequests that were not answered")
        for reason, count in reasons.most_common(_MAX_PRINTED_REASONS):
            print(f"  {count:>4} {reason}")

    def _measure_unavailable(self, killed_at_s: float) -> list[float]:
        """Returns how long each key of the lost server was unavailable."""
        service = self._demo_house.lost_service
        probes = [
            probe
            for name, prober in self._probers.items()
            if name == f"{service}/lost keys"
            for probe in prober.probes
        ]
        return list(probing.measure_unavailable(probes, killed_at_s).values())

    def _check_journals(self, unavailable: list[float]) -> int:
        """Checks the journals, prints the violations, returns the exit code."""
        journal = self._cluster.read_journals()
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


def _percentile(sorted_values: list[float], share: float) -> float:
    """Returns the value below which a share of sorted values lies."""
    if not sorted_values:
        return math.nan
    return sorted_values[
        min(int(len(sorted_values) * share), len(sorted_values) - 1)
    ]


if __name__ == "__main__":
    sys.exit(main())
