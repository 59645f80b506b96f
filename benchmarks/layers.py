"""Measures the processor time of a request in each library layer."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import subprocess
import sys
import time

import anyio
import httpcore
import httpx
import psutil

from benchmarks import rows
from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_daemon import peer_client
from bridgecross_daemon import peer_protocol
from bridgecross_standins import cluster_tools
from bridgecross_standins import processes

_CALLS = 600
_WARM_UP_CALLS = 60
_CONCURRENCY = (1, 8, 32)
_STARTUP_S = 1.5
_FOLDER = pathlib.Path("out/bench")
_SHAPE = processes.ClusterShape(
    settings_file=pathlib.Path("settings/karatas.jsonc"),
    place="anadolu",
    services=tuple(
        processes.ServiceShape(name, 4, service_ms=0.0)
        for name in ("rapor", "bulgu", "kapama", "cizim")
    ),
    instances=2,
    folder=_FOLDER,
)
Call = Callable[[], Awaitable[object]]


def run() -> list[rows.Row]:
    """Measures the layers separately, then a whole cluster."""
    found = anyio.run(_measure_clients)
    found += anyio.run(_measure_servers)
    with processes.Cluster(_SHAPE) as cluster:
        found += anyio.run(_measure_cluster, cluster)
    return found


@contextlib.contextmanager
def _serve_in_subprocess(kind: str, port: int) -> Iterator[psutil.Process]:
    """Runs a minimal server in a process of its own."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.layer_server", kind, str(port)]
    )
    try:
        time.sleep(_STARTUP_S)
        yield psutil.Process(process.pid)
    finally:
        process.kill()
        process.wait()


async def _call_repeatedly(call: Call, calls: int, concurrency: int) -> None:
    """Makes calls with the given concurrency."""
    left = iter(range(calls))

    async def work() -> None:
        for _ in left:
            await call()

    async with anyio.create_task_group() as tasks:
        for _ in range(concurrency):
            tasks.start_soon(work)


def _cpu_s(process: psutil.Process) -> float:
    """Returns the processor time that a process has used."""
    times = process.cpu_times()
    return float(times.user + times.system)


@contextlib.asynccontextmanager
async def _open_clients(port: int) -> AsyncIterator[dict[str, Call]]:
    """Opens one client of each HTTP library."""
    url = f"http://127.0.0.1:{port}/"
    async with (
        httpx.AsyncClient(trust_env=False) as high,
        httpcore.AsyncConnectionPool() as low,
    ):
        yield {
            "httpx client": lambda: high.get(url),
            "httpcore client": lambda: low.request("GET", url),
        }


async def _measure_clients() -> list[rows.Row]:
    """Measures the clients: this process, while it calls other processes."""
    found = []
    port = processes.find_free_port()
    with _serve_in_subprocess("http", port):
        async with _open_clients(port) as clients:
            for name, call in clients.items():
                found += await _measure_caller(name, call)
    port = processes.find_free_port()
    with _serve_in_subprocess("grpc", port):
        client = peer_client.PeerClient(
            hybrid_clock.HybridClock(clocks.SystemClock())
        )

        async def call_peer() -> object:
            return await client.call(
                f"127.0.0.1:{port}",
                peer_protocol.DRAIN,
                peer_protocol.DrainRequest(),
                5.0,
            )

        found += await _measure_caller("grpc client", call_peer)
        await client.aclose()
    return found


async def _measure_caller(name: str, call: Call) -> list[rows.Row]:
    """Measures one client at each concurrency."""
    found = []
    for concurrency in _CONCURRENCY:
        await _call_repeatedly(call, _WARM_UP_CALLS, concurrency)
        started_s = time.process_time()
        await _call_repeatedly(call, _CALLS, concurrency)
        spent_ms = (time.process_time() - started_s) * 1_000 / _CALLS
        size = f"{concurrency} at a time"
        found.append(rows.Row("layer", size, name, spent_ms, "ms a call"))
    return found


async def _measure_servers() -> list[rows.Row]:
    """Measures the servers: other processes, while this one calls them."""
    found = []
    for kind in ("http", "caller-api"):
        port = processes.find_free_port()
        with _serve_in_subprocess(kind, port) as server:
            async with httpcore.AsyncConnectionPool() as pool:

                async def call(
                    pool: httpcore.AsyncConnectionPool = pool, port: int = port
                ) -> object:
                    return await pool.request(
                        "GET",
                        f"http://127.0.0.1:{port}/v1/rapor/kopru-1",
                        headers={"Authorization": "Bearer demir-secret"},
                    )

                for concurrency in _CONCURRENCY:
                    await _call_repeatedly(call, _WARM_UP_CALLS, concurrency)
                    before_s = _cpu_s(server)
                    await _call_repeatedly(call, _CALLS, concurrency)
                    spent_ms = (_cpu_s(server) - before_s) * 1_000 / _CALLS
                    found.append(
                        rows.Row(
                            "layer",
                            f"{concurrency} at a time",
                            f"hypercorn, {kind}",
                            spent_ms,
                            "ms a request",
                        )
                    )
    return found


async def _measure_cluster(cluster: processes.Cluster) -> list[rows.Row]:
    """Measures both instances of a cluster, idle and under requests."""
    await cluster_tools.start_cluster(cluster)
    await anyio.sleep(3.0)
    instances = {
        name: psutil.Process(entry.process.pid)
        for name, entry in cluster.entries.items()
    }
    found = await _measure_idle(cluster, instances)
    entry = next(iter(cluster.entries.values()))
    for concurrency in _CONCURRENCY:
        found += await _measure_request_path(entry, instances, concurrency)
    return found


async def _measure_idle(
    cluster: processes.Cluster, instances: dict[str, psutil.Process]
) -> list[rows.Row]:
    """Measures processor time and memory of instances without requests."""
    before = {name: _cpu_s(process) for name, process in instances.items()}
    seconds = 10.0
    await anyio.sleep(seconds)
    servers = len(cluster.servers) / len(instances)
    found = []
    for name, process in instances.items():
        spent = (_cpu_s(process) - before[name]) / seconds * 100
        size = f"{servers:.0f} servers fronted"
        resident_mb = process.memory_info().rss / 1e6
        found += [
            rows.Row("rest", size, f"{name} processor", spent, "% of a core"),
            rows.Row("rest", size, f"{name} resident", resident_mb, "MB"),
        ]
    return found


async def _measure_request_path(
    entry: processes.Entry,
    instances: dict[str, psutil.Process],
    concurrency: int,
) -> list[rows.Row]:
    """Measures whole requests, of which half are forwarded to queue owners."""
    numbers = iter(range(1_000_000))
    async with httpcore.AsyncConnectionPool() as pool:

        async def call() -> object:
            return await pool.request(
                "GET",
                f"{entry.caller_url}/v1/rapor/kopru-{next(numbers)}",
                headers={"Authorization": "Bearer demir-secret"},
            )

        await _call_repeatedly(call, _WARM_UP_CALLS, concurrency)
        before = {name: _cpu_s(process) for name, process in instances.items()}
        started_s = time.monotonic()
        await _call_repeatedly(call, _CALLS, concurrency)
        rate = _CALLS / (time.monotonic() - started_s)
        spent_s = sum(_cpu_s(p) - before[n] for n, p in instances.items())
    size = f"{concurrency} at a time"
    return [
        rows.Row(
            "path",
            size,
            "both instances together",
            spent_s * 1_000 / _CALLS,
            "ms a request",
        ),
        rows.Row("path", size, "through one instance", rate, "requests/s"),
    ]
