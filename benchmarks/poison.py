"""Measures the cost of detecting requests that crash servers.

The benchmarks measure the processor time in the path of each request. For a
crash of a server they measure the messages, bytes and time until all instances
know about it, over links of half a millisecond in virtual time.
"""

import math

import anyio
import simpy

from benchmarks import rows
from bridgecross_core import clock as clocks
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import network as networks
from bridgecross_emulator import virtual
from bridgecross_entry import poison_broadcast
from bridgecross_request import poison_requests

_INSTANCE_COUNTS = (11, 74, 195, 780)
_REQUEST_COUNT = 20_000
_BODY = b"x" * 1_000


def run() -> list[rows.Row]:
    """Measures the request path, then crashes by the number of instances."""
    found = [_measure_path()]
    for count in _INSTANCE_COUNTS:
        found += _measure_crash(count)
    return found


def _measure_path() -> rows.Row:
    """Measures the processor time for a request that is answered at once."""
    ledger = poison_requests.PoisonLedger(
        poison_requests.PoisonSettings(), clocks.SystemClock()
    )

    def serve() -> None:
        for number in range(_REQUEST_COUNT):
            subject = poison_requests.compute_fingerprint(
                "house", b"GET", b"/a/%d" % number, _BODY
            )
            if ledger.refused_for_s(subject) or ledger.refused_for_s(subject):
                raise AssertionError("nothing is refused here")
            ledger.record_answer_now(subject)

    cpu_s = rows.measure_cpu_s(serve)
    return rows.Row(
        "poison",
        "a request of 1 KB",
        "processor time",
        cpu_s / _REQUEST_COUNT * 1e6,
        "us",
    )


def _measure_crash(count: int) -> list[rows.Row]:
    """Measures what it takes until all instances know about a crash."""
    environment = simpy.Environment()

    async def main() -> list[rows.Row]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(instance_count=count)
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(6.0)
            found = await _crash_servers(cluster, count)
            cluster.stop()
        return found

    return virtual.run(environment, main)


async def _crash_servers(
    cluster: clusters.Cluster, count: int
) -> list[rows.Row]:
    """Records three crashes of servers, each on one instance."""
    subject = poison_requests.compute_fingerprint("h", b"GET", b"/deadly", b"")
    network = cluster.network
    found = []
    for number, name in enumerate(("first", "second", "third"), 1):
        observer = cluster.others()[number].parts
        network.message_count.clear()
        network.message_bytes.clear()
        now_s = observer.clock.monotonic_s()
        end = poison_requests.RunEnd(
            subject, f"i-{number}", now_s - 0.05, now_s
        )
        observer.watch.ledger.record_end(end)
        started_s = cluster.now_s
        observer.watch.on_ends([end])
        known_s = await _wait_until_known(cluster, subject, number)
        size = f"{name} end, {count} instances"
        found += _make_rows(size, network, known_s - started_s)
    return found


async def _wait_until_known(
    cluster: clusters.Cluster, subject: poison_requests.Fingerprint, number: int
) -> float:
    """Waits until the broadcast is over; returns when all knew of the crash."""
    known_s = math.nan
    until_s = cluster.now_s + 0.25
    while cluster.now_s < until_s:
        await anyio.sleep(0.0005)
        ledgers = [each.parts.watch.ledger for each in cluster.instances]
        if math.isnan(known_s) and all(
            len(ledger.ends_of(subject)) >= number for ledger in ledgers
        ):
            known_s = cluster.now_s
    return known_s


def _make_rows(
    size: str, network: networks.Network, took_s: float
) -> list[rows.Row]:
    """Returns the rows of one crash."""
    path = poison_broadcast.PATH.decode()
    count = network.message_count[path]
    size_kb = network.message_bytes[path] / 1e3
    return [
        rows.Row("poison", size, "until all know", took_s * 1e3, "ms"),
        rows.Row("poison", size, "messages", count, ""),
        rows.Row("poison", size, "bodies", size_kb, "KB"),
    ]
