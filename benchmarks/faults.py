"""Measures unavailability, churn and imbalance under faults.

Each scenario starts a cluster of processes, sends requests at a steady rate,
causes a fault, and then checks the servers' journals. The results are compared
with two baselines without coordination: consistent hashing and modulo over the
live servers. The baselines do not prevent that a key has two owners.
"""

import argparse
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import math
import pathlib
import random
import signal
import statistics
import sys
import time
from typing import NamedTuple

import anyio
import anyio.to_thread

from benchmarks import baselines
from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_ownership import cell as cells
from bridgecross_ownership import membership
from bridgecross_standins import balancer
from bridgecross_standins import checker
from bridgecross_standins import cluster_tools
from bridgecross_standins import log_standin
from bridgecross_standins import probing
from bridgecross_standins import processes

_SERVICE = ids.ServiceName("rapor")
_SERVERS = 10
_KEYS = 200
_RATE_PER_S = 160.0
_HOT_KEY_RATE_PER_S = 60.0
_DEADLINE_MS = 1_000
_SETTLE_S = 2.0
_RECOVERY_S = 6.0
_HOT_KEY_S = 20.0
_OTHERS = ("bulgu", "kapama", "cizim")


class Result(NamedTuple):
    """The result of one run of a scenario; times are seconds.

    ``churn`` is the share of keys whose owner after the scenario is not the
    owner before the fault. ``imbalance`` is the ratio of the most loaded
    server's requests to the mean.
    """

    scenario: str
    seed: int
    median_s: float
    p99_s: float
    longest_s: float
    failed: int
    sent: int
    churn: float
    imbalance: float
    violations: int


class Run:
    """A running cluster under load."""

    def __init__(
        self, cluster: processes.Cluster, seed: int, outage_s: float
    ) -> None:
        """Initializes the run.

        Args:
            cluster: The cluster.
            seed: The seed that selects the affected servers and instances.
            outage_s: The duration of an outage of the log.
        """
        self.cluster = cluster
        self.outage_s = outage_s
        self.random_source = random.Random(seed)
        self.extra_probers: list[probing.Prober] = []
        self.choose_url: Callable[[], str | None] = lambda: None
        self.load_tasks: anyio.abc.TaskGroup | None = None

    def server(self, number: int) -> processes.Server:
        """Returns a server of the measured service by its number from 1."""
        return self.cluster.servers[f"{_SERVICE}-{number}"]

    def pick_server(self) -> processes.Server:
        """Returns a random server of the measured service."""
        return self.server(self.random_source.randint(1, _SERVERS))

    async def pick_entry(self, *, coordinator: bool) -> processes.Entry:
        """Returns the coordinator, or a random instance other than it."""
        cell = await cluster_tools.read_cell(self.cluster, _SERVICE)
        names = [
            name
            for name in self.cluster.entries
            if (name == cell.coordinator) == coordinator
        ]
        return self.cluster.entries[self.random_source.choice(names)]

    def set_log_faults(self, faults: log_standin.LogFaults) -> None:
        """Sets the faults of the log."""
        self.cluster.set_faults(self.cluster.log_url, faults)


async def _lose_server(run: Run) -> None:
    run.pick_server().process.kill()
    await anyio.sleep(_RECOVERY_S)


async def _freeze_server(run: Run) -> None:
    process = run.pick_server().process
    process.signal(signal.SIGSTOP)
    await anyio.sleep(_RECOVERY_S)
    process.signal(signal.SIGCONT)
    await anyio.sleep(_SETTLE_S)


async def _lose_instance(run: Run) -> None:
    (await run.pick_entry(coordinator=False)).process.kill()
    await anyio.sleep(_RECOVERY_S)


async def _freeze_instance(run: Run) -> None:
    process = (await run.pick_entry(coordinator=False)).process
    process.signal(signal.SIGSTOP)
    await anyio.sleep(_RECOVERY_S)
    process.signal(signal.SIGCONT)
    await anyio.sleep(_SETTLE_S)


async def _lose_coordinator(run: Run) -> None:
    (await run.pick_entry(coordinator=True)).process.kill()
    await anyio.sleep(_RECOVERY_S)


async def _interrupt_log(run: Run) -> None:
    run.set_log_faults(log_standin.LogFaults(outage=True))
    await anyio.sleep(run.outage_s)
    run.set_log_faults(log_standin.LogFaults())
    await anyio.sleep(_RECOVERY_S)


async def _lose_server_in_outage(run: Run) -> None:
    run.set_log_faults(log_standin.LogFaults(outage=True))
    await anyio.sleep(_SETTLE_S)
    run.pick_server().process.kill()
    await anyio.sleep(run.outage_s)
    run.set_log_faults(log_standin.LogFaults())
    await anyio.sleep(_RECOVERY_S)


async def _lose_instance_in_outage(run: Run) -> None:
    entry = await run.pick_entry(coordinator=False)
    run.set_log_faults(log_standin.LogFaults(outage=True))
    await anyio.sleep(_SETTLE_S)
    entry.process.kill()
    await anyio.sleep(run.outage_s)
    run.set_log_faults(log_standin.LogFaults())
    await anyio.sleep(_RECOVERY_S)


async def _lose_fifth_of_servers(run: Run) -> None:
    for number in run.random_source.sample(range(1, _SERVERS + 1), 2):
        run.server(number).process.kill()
    await anyio.sleep(_RECOVERY_S)


async def _remove_server(run: Run) -> None:
    server = run.pick_server()
    run.cluster.put_listing(
        membership.Listing(
            name=server.name,
            role=membership.Role.BACKEND,
            service=server.service,
            failure_domain=run.cluster.place.failure_domains[0],
            address=server.address,
            state=membership.ListedState.LEAVING,
        )
    )
    await anyio.sleep(_RECOVERY_S)


async def _restart_instance(run: Run) -> None:
    entry = await run.pick_entry(coordinator=True)
    entry.process.terminate()
    await anyio.to_thread.run_sync(entry.process.wait)
    run.cluster.delete_listing(entry.name)
    run.cluster.start_entry("entry-new")
    await anyio.sleep(_RECOVERY_S)


async def _create_hot_key(run: Run) -> None:
    prober = probing.Prober(
        _make_probe_settings(("key-0",), _HOT_KEY_RATE_PER_S), run.choose_url
    )
    run.extra_probers.append(prober)
    if run.load_tasks is not None:
        run.load_tasks.start_soon(prober.run)
    await anyio.sleep(_HOT_KEY_S)


Scenario = Callable[[Run], Awaitable[None]]

SCENARIOS: dict[str, Scenario] = {
    "server lost": _lose_server,
    "server frozen": _freeze_server,
    "server leaves": _remove_server,
    "instance lost": _lose_instance,
    "instance frozen": _freeze_instance,
    "coordinator lost": _lose_coordinator,
    "coordinator restarted": _restart_instance,
    "log outage": _interrupt_log,
    "server lost in outage": _lose_server_in_outage,
    "instance lost in outage": _lose_instance_in_outage,
    "a fifth of servers lost": _lose_fifth_of_servers,
    "hot key": _create_hot_key,
}
"""The scenarios by name."""


def _make_probe_settings(
    keys: tuple[str, ...], rate_per_s: float
) -> probing.ProbeSettings:
    """Returns the settings of a prober of the measured service."""
    return probing.ProbeSettings(
        credential="demir-secret",
        service=_SERVICE,
        keys=keys,
        rate_per_s=rate_per_s,
        deadline_ms=_DEADLINE_MS,
        method="PUT",
    )


async def _run_scenario(name: str, run: Run, seed: int) -> Result:
    """Runs one scenario on a cluster that has just been started."""
    cluster = run.cluster
    await cluster_tools.start_cluster(cluster)
    chooser = balancer.Balancer(
        {e.caller_url: e.admin_url for e in cluster.entries.values()}
    )
    run.choose_url = chooser.choose
    keys = tuple(f"key-{i}" for i in range(_KEYS))
    prober = probing.Prober(
        _make_probe_settings(keys, _RATE_PER_S), chooser.choose
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(chooser.run)
        async with anyio.create_task_group() as load:
            run.load_tasks = load
            load.start_soon(prober.run)
            await anyio.sleep(_SETTLE_S)
            before = await cluster_tools.read_cell(cluster, _SERVICE)
            started_s = time.monotonic()
            await SCENARIOS[name](run)
            ended_s = time.monotonic()
            for each in (prober, *run.extra_probers):
                each.stop()
        tasks.cancel_scope.cancel()
    after = await cluster_tools.read_cell(cluster, _SERVICE)
    return _evaluate(
        name,
        seed,
        cluster,
        [prober, *run.extra_probers],
        before,
        after,
        started_s,
        ended_s,
    )


def _evaluate(
    name: str,
    seed: int,
    cluster: processes.Cluster,
    probers: list[probing.Prober],
    before: cells.Cell,
    after: cells.Cell,
    started_s: float,
    ended_s: float,
) -> Result:
    """Returns the result of a run."""
    probes = sorted(
        (p for prober in probers for p in prober.probes),
        key=lambda probe: probe.sent_s,
    )
    gaps = sorted(_find_gaps(probes, started_s, ended_s).values())
    journal = cluster.read_journals()
    not_run = [p.request_id for p in probes if p.outcome == "not-run"]
    violations = [
        *checker.check_owners(journal),
        *checker.check_not_run(journal, not_run),
    ]
    changed_keys = [
        key
        for key in {p.key for p in probes}
        if _find_owner(before, key) != _find_owner(after, key)
    ]
    balance_from_s = ended_s - 4.0
    served = collections.Counter(
        entry.server
        for entry in checker.list_executed(journal)
        if entry.service == _SERVICE and entry.ended_s > balance_from_s
    )
    live = {state.server for state in after.slices}
    failed = [
        p for p in probes if p.sent_s >= started_s and p.outcome != "answered"
    ]
    return Result(
        scenario=name,
        seed=seed,
        median_s=statistics.median(gaps),
        p99_s=gaps[min(int(len(gaps) * 0.99), len(gaps) - 1)],
        longest_s=gaps[-1],
        failed=len(failed),
        sent=sum(1 for p in probes if p.sent_s >= started_s),
        churn=len(changed_keys) / _KEYS,
        imbalance=max(served.values()) / (sum(served.values()) / len(live)),
        violations=len(violations),
    )


def _find_gaps(
    probes: list[probing.Probe], started_s: float, ended_s: float
) -> dict[str, float]:
    """Returns the longest time without an answer of each key.

    A gap extends from the sending of the first request that failed, or that
    took long, to the first answer after it. It is 0 for a key whose requests
    were all answered in time.
    """
    longest: dict[str, float] = {}
    open_since: dict[str, float] = {}
    for probe in probes:
        if not started_s <= probe.sent_s <= ended_s:
            continue
        longest.setdefault(probe.key, 0.0)
        since_s = open_since.setdefault(probe.key, probe.sent_s)
        if probe.outcome == "answered":
            gap_s = probe.done_s - since_s
            longest[probe.key] = max(longest[probe.key], gap_s)
            del open_since[probe.key]
    for key in open_since:
        longest[key] = math.inf
    return longest


def _find_owner(cell: cells.Cell, key: str) -> ids.ServerId:
    """Returns the owner of a key."""
    return cell.slices[hashing.find_slice(key, len(cell.slices))].server


def main(arguments: list[str] | None = None) -> int:
    """Runs scenarios and prints a table of their results."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.faults")
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    parser.add_argument("--seeds", type=int, default=1, metavar="COUNT")
    parser.add_argument("--outage-s", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args(arguments)
    unknown = set(options.scenarios) - set(SCENARIOS)
    if unknown:
        parser.error(f"unknown: {unknown}; known: {', '.join(SCENARIOS)}")
    results = []
    print(_HEADER)
    for name in options.scenarios or SCENARIOS:
        for seed in range(options.seeds):
            results.append(_run_once(name, seed, options))
            print(_render(results[-1]), flush=True)
    print(baselines.render(_KEYS, _SERVERS))
    if options.json:
        options.json.write_text(codec.to_readable_json(results, indent=2))
    return 1 if any(result.violations for result in results) else 0


def _run_once(name: str, seed: int, options: argparse.Namespace) -> Result:
    """Starts a cluster and runs one scenario on it."""
    shape = processes.ClusterShape(
        settings_file=pathlib.Path("settings/karatas.jsonc"),
        place="anadolu",
        services=(
            processes.ServiceShape(_SERVICE, _SERVERS),
            *(processes.ServiceShape(other, 1) for other in _OTHERS),
        ),
        instances=options.instances,
        folder=pathlib.Path("out/faults"),
    )
    with processes.Cluster(shape) as cluster:
        run = Run(cluster, seed, options.outage_s)
        return anyio.run(_run_scenario, name, run, seed)


_HEADER = (
    f"{'scenario':<26}{'seed':>5}{'median s':>9}{'p99 s':>8}{'max s':>8}"
    f"{'failed':>8}{'sent':>7}{'churn':>7}{'imbal.':>7}{'viol.':>6}"
)


def _render(result: Result) -> str:
    """Returns the table row of a result."""
    return (
        f"{result.scenario:<26}{result.seed:>5}{result.median_s:>9.3f}"
        f"{result.p99_s:>8.3f}{result.longest_s:>8.3f}{result.failed:>8}"
        f"{result.sent:>7}{result.churn:>7.3f}{result.imbalance:>7.2f}"
        f"{result.violations:>6}"
    )


if __name__ == "__main__":
    sys.exit(main())
