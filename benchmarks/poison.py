"""What it costs to remember which requests servers end under.

In the path of each request, and when one server ends: the messages, bytes and
time until all instances know, over links of half a millisecond in virtual time.
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

_SIZES_COUNT = (11, 74, 195, 780)
_REQUESTS_COUNT = 20_000
_BODY = b"x" * 1_000


def run() -> list[rows.Row]:
    """Returns the figures of the path, then those of an end by size."""
    found = [_measure_path()]
    for count in _SIZES_COUNT:
        found += _measure_end(count)
    return found


def _measure_path() -> rows.Row:
    """Returns what a request costs that is answered at once."""
    ledger = poison_requests.PoisonLedger(
        poison_requests.PoisonSettings(), clocks.SystemClock()
    )

    def serve() -> None:
        for number in range(_REQUESTS_COUNT):
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
        cpu_s / _REQUESTS_COUNT * 1e6,
        "us",
    )


def _measure_end(count: int) -> list[rows.Row]:
    """Returns what it takes until all instances know of an end."""
    environment = simpy.Environment()

    async def main() -> list[rows.Row]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(instance_count=count)
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(6.0)
            found = await _end_server(cluster, count)
            cluster.stop()
        return found

    return virtual.run(environment, main)


async def _end_server(cluster: clusters.Cluster, count: int) -> list[rows.Row]:
    """Lets a server end under a request, as one instance sees it."""
    subject = poison_requests.compute_fingerprint("h", b"GET", b"/deadly", b"")
    network = cluster.network
    found = []
    for number, name in enumerate(("first", "second", "third"), 1):
        seen_by = cluster.others()[number].parts
        network.carried_count.clear()
        network.carried_bytes.clear()
        now_s = seen_by.clock.monotonic_s()
        end = poison_requests.RunEnd(
            subject, f"i-{number}", now_s - 0.05, now_s
        )
        seen_by.watch.ledger.record_end(end)
        begun_s = cluster.now_s
        seen_by.watch.on_ends([end])
        known_s = await _wait_until_known(cluster, subject, number)
        size = f"{name} end, {count} instances"
        found += _make_rows(size, network, known_s - begun_s)
    return found


async def _wait_until_known(
    cluster: clusters.Cluster, subject: poison_requests.Fingerprint, number: int
) -> float:
    """Waits until words are over; returns when all knew of an end."""
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
    """Returns what an end cost."""
    path = poison_broadcast.PATH.decode()
    count = network.carried_count[path]
    size_kb = network.carried_bytes[path] / 1e3
    return [
        rows.Row("poison", size, "until all know", took_s * 1e3, "ms"),
        rows.Row("poison", size, "messages", count, ""),
        rows.Row("poison", size, "bodies", size_kb, "KB"),
    ]
