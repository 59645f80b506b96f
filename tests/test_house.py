"""Tests of clusters of real processes that communicate over loopback."""

import pathlib
import signal
import subprocess
import sys
from typing import Any

import anyio
import anyio.to_thread
import httpx
import pytest

from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_standins import balancer
from bridgecross_standins import checker
from bridgecross_standins import cluster_tools
from bridgecross_standins import log_standin
from bridgecross_standins import probing
from bridgecross_standins import processes

pytestmark = pytest.mark.anyio

SETTINGS = pathlib.Path(__file__).parents[1] / "settings"
KARATAS = processes.ClusterShape(
    settings_file=SETTINGS / "karatas.jsonc",
    place="anadolu",
    services=(
        processes.ServiceShape("rapor", 3),
        processes.ServiceShape("bulgu", 2),
        processes.ServiceShape("kapama", 2),
        processes.ServiceShape("cizim", 2),
    ),
    instances=3,
    folder=pathlib.Path(),
)
VALDIVIESO = processes.ClusterShape(
    settings_file=SETTINGS / "valdivieso.jsonc",
    place="santiago",
    services=(
        processes.ServiceShape("disponibilidad", 2),
        processes.ServiceShape("reservas", 2),
        processes.ServiceShape("garantias", 2),
        processes.ServiceShape("informes", 2),
    ),
    instances=2,
    folder=pathlib.Path(),
)
INSPECTOR = {"Authorization": "Bearer demir-secret"}
CONCIERGE = {"Authorization": "Bearer plaza-secret"}
RECOVERY_TIMEOUT_S = 20.0


def _set_folder(
    shape: processes.ClusterShape, folder: pathlib.Path
) -> processes.ClusterShape:
    return processes.ClusterShape(**{**vars(shape), "folder": folder / "house"})


@pytest.fixture(scope="module")
def karatas(tmp_path_factory):
    folder = tmp_path_factory.mktemp("karatas")
    with processes.Cluster(_set_folder(KARATAS, folder)) as cluster:
        anyio.run(cluster_tools.start_cluster, cluster)
        yield cluster


def _run_tool(cluster: processes.Cluster, *arguments: str):
    entry = next(iter(cluster.entries.values()))
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "bridgecross_cli.main",
            *arguments,
            "--connect",
            str(entry.settings_path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


def _send(
    entry: processes.Entry, service: str, key: str, **options: Any
) -> httpx.Response:
    headers = options.pop("headers", INSPECTOR)
    with httpx.Client(trust_env=False, timeout=15.0) as client:
        return client.request(
            options.pop("method", "GET"),
            f"{entry.caller_url}/v1/{service}/{key}",
            headers={"Bridgecross-Deadline-Ms": "10000"} | headers,
            **options,
        )


@pytest.mark.parametrize("service", ["rapor", "bulgu", "kapama", "cizim"])
def test_every_instance_reaches_every_service(karatas, service):
    for number, entry in enumerate(karatas.entries.values()):
        answer = _send(entry, service, f"kopru-{number}")
        assert answer.status_code == 200
        assert answer.headers["bridgecross-outcome"] == "answered"
        assert answer.json()["key"] == f"kopru-{number}"


def test_requests_for_every_service_of_the_second_sample_house(tmp_path):
    with processes.Cluster(_set_folder(VALDIVIESO, tmp_path)) as cluster:
        anyio.run(cluster_tools.start_cluster, cluster)
        entry = cluster.entries["entry-1"]
        for service in cluster.place.services:
            answer = _send(entry, service, "cena", headers=CONCIERGE)
            assert answer.status_code == 200
        first_answer = _post_deposit(entry)
        repeated_answer = _post_deposit(entry)
        assert first_answer.json()["value"] == 1
        assert repeated_answer.headers["bridgecross-outcome"] == "unknown"
        assert not checker.check_single_runs(cluster.read_journals())


def _post_deposit(entry: processes.Entry) -> httpx.Response:
    return _send(
        entry,
        "garantias",
        "cena",
        method="POST",
        headers=CONCIERGE | {"Idempotency-Key": "deposit-1"},
    )


REFUSALS = {
    "no credential": ({"Authorization": ""}, "rapor", "GET", 401),
    "unknown credential": (
        {"Authorization": "Bearer nobody"},
        "rapor",
        "GET",
        401,
    ),
    "caller not in a tier": (
        {"Authorization": "Bearer yapi-secret"},
        "kapama",
        "GET",
        403,
    ),
    "no such service": (INSPECTOR, "rapport", "GET", 404),
    "no idempotency key": (INSPECTOR, "kapama", "POST", 400),
    "bad deadline": (
        INSPECTOR | {"Bridgecross-Deadline-Ms": "soon"},
        "rapor",
        "GET",
        400,
    ),
}


@pytest.mark.parametrize(
    ("headers", "service", "method", "status"),
    REFUSALS.values(),
    ids=REFUSALS.keys(),
)
def test_refusals_state_the_reason(karatas, headers, service, method, status):
    entry = karatas.entries["entry-1"]
    answer = _send(entry, service, "k", headers=headers, method=method)
    assert answer.status_code == status
    assert answer.headers["bridgecross-outcome"] == "not-run"
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.json()["detail"]


def test_a_body_that_is_too_large_is_refused(karatas):
    entry = karatas.entries["entry-1"]
    answer = _send(entry, "rapor", "k", method="PUT", content=b"x" * 1_100_000)
    assert answer.status_code == 413


def test_health_checks_and_metrics(karatas):
    entry = karatas.entries["entry-1"]
    with httpx.Client(trust_env=False) as client:
        assert client.get(f"{entry.admin_url}/livez").status_code == 200
        assert client.get(f"{entry.admin_url}/readyz").json()["ready"]
        _send(entry, "rapor", "k")
        text = client.get(f"{entry.admin_url}/metrics").text
    assert "bridgecross_requests_total{" in text
    assert "bridgecross_request_seconds_bucket" in text


def test_the_tool_shows_owner_status_and_timeline(karatas, tmp_path):
    owner = _run_tool(karatas, "owner", "rapor", "kopru-1")
    assert owner.returncode == 0
    assert owner.stdout.count("is owned by rapor-") == 3
    status = _run_tool(karatas, "status", "--json")
    assert status.returncode == 0
    assert len(codec.from_json(status.stdout, list[dict[str, object]])) == 3
    page = tmp_path / "timeline.html"
    rendered = _run_tool(karatas, "timeline", "--html", str(page))
    assert rendered.returncode == 0
    text = page.read_text(encoding="utf-8")
    assert "entry-3" in text
    assert "SlicesMoved" not in text
    assert "restore" in text
    missing = _run_tool(karatas, "owner", "rapport", "k")
    assert missing.returncode == 1


def test_the_second_of_two_operators_is_shown_the_conflict(karatas, tmp_path):
    shown = _run_tool(karatas, "settings", "show")
    base = shown.stdout.split()[2].rstrip(":")
    first = tmp_path / "first.jsonc"
    second = tmp_path / "second.jsonc"
    slots = '"slots_per_server": 4'
    first.write_text(shown.stdout.replace(slots, '"slots_per_server": 5'))
    second.write_text(shown.stdout.replace(slots, '"slots_per_server": 6'))
    publish = ["settings", "publish", "--base", base, "--author", "ayse"]
    accepted = _run_tool(karatas, *publish, str(first))
    assert accepted.returncode == 0
    assert "changed slots_per_server" in accepted.stdout
    assert accepted.stdout.count("in force") == 3
    refused = _run_tool(karatas, *publish, str(second))
    assert refused.returncode == 1
    assert "both changed slots_per_server" in refused.stdout
    effective = _run_tool(
        karatas, "settings", "show", "--effective", "karatas/anadolu/rapor"
    )
    assert "slots_per_server               5" in effective.stdout


async def test_a_graceful_stop_interrupts_no_request(tmp_path):
    with processes.Cluster(_set_folder(KARATAS, tmp_path)) as cluster:
        await cluster_tools.start_cluster(cluster)
        probes = await _run_load(
            cluster,
            "rapor",
            "PUT",
            cluster.entries["entry-2"].process.terminate,
        )
        code = await anyio.to_thread.run_sync(
            cluster.entries["entry-2"].process.wait
        )
        assert code == 0
        assert [p for p in probes if p.outcome != "answered"] == []
        assert not checker.check_owners(cluster.read_journals())


@pytest.mark.parametrize(
    ("service", "number"),
    [
        ("rapor", signal.SIGKILL),
        ("rapor", signal.SIGSTOP),
        ("cizim", signal.SIGKILL),
    ],
)
async def test_keys_of_a_lost_server_are_served_again(
    tmp_path, service, number
):
    with processes.Cluster(_set_folder(KARATAS, tmp_path)) as cluster:
        await cluster_tools.start_cluster(cluster)
        keys = await _find_keys(cluster, service, f"{service}-1")
        server = cluster.servers[f"{service}-1"].process
        probes = await _run_load(
            cluster, service, "PUT", lambda: server.signal(number), keys
        )
        server.signal(signal.SIGCONT)
        await anyio.sleep(1.0)
        _check_journals(cluster, probes)
        assert {p.key for p in probes[-len(keys) :]} == set(keys)
        assert all(p.outcome == "answered" for p in probes[-len(keys) :])


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize("is_coordinator", [True, False])
async def test_keys_are_served_again_after_the_loss_of_an_instance(
    tmp_path, number, is_coordinator
):
    with processes.Cluster(_set_folder(KARATAS, tmp_path)) as cluster:
        await cluster_tools.start_cluster(cluster)
        cell = await cluster_tools.read_cell(cluster, ids.ServiceName("rapor"))
        lost = next(
            name
            for name in cluster.entries
            if (name == cell.coordinator) == is_coordinator
        )
        process = cluster.entries[lost].process
        probes = await _run_load(
            cluster, "rapor", "PUT", lambda: process.signal(number), (), lost
        )
        process.signal(signal.SIGCONT)
        await anyio.sleep(1.0)
        _check_journals(cluster, probes)
        assert all(p.outcome == "answered" for p in probes[-40:])


async def test_a_lost_acknowledgement_causes_no_second_run(tmp_path):
    with processes.Cluster(_set_folder(KARATAS, tmp_path)) as cluster:
        await cluster_tools.start_cluster(cluster)
        cluster.set_faults(
            cluster.log_url, log_standin.LogFaults(lose_acknowledgements=3)
        )
        answers = [
            await anyio.to_thread.run_sync(
                lambda i=i: _send(
                    cluster.entries["entry-1"],
                    "kapama",
                    f"kopru-{i}",
                    method="POST",
                    headers=INSPECTOR | {"Idempotency-Key": f"order-{i}"},
                )
            )
            for i in range(6)
        ]
        assert all(a.status_code == 200 for a in answers)
        journal = cluster.read_journals()
        assert not checker.check_single_runs(journal)
        assert len(checker.list_executed(journal)) == 6


async def _find_keys(
    cluster: processes.Cluster, service: str, server: str
) -> tuple[str, ...]:
    cell = await cluster_tools.read_cell(cluster, ids.ServiceName(service))
    keys = (f"key-{i}" for i in range(200))
    return tuple(
        key
        for key in keys
        if cell.slices[hashing.find_slice(key, len(cell.slices))].server
        == server
    )[:10]


async def _run_load(
    cluster: processes.Cluster,
    service: str,
    method: str,
    fault,
    keys: tuple[str, ...] = (),
    avoid: str = "",
) -> list[probing.Probe]:
    """Sends requests, causes a fault, and continues until recovery."""
    load_balancer = balancer.Balancer(
        {
            e.caller_url: e.admin_url
            for e in cluster.entries.values()
            if e.name != avoid
        }
    )
    settings = probing.ProbeSettings(
        credential="demir-secret",
        service=service,
        keys=keys or tuple(f"key-{i}" for i in range(20)),
        rate_per_s=60.0,
        deadline_ms=3_000,
        method=method,
    )
    prober = probing.Prober(settings, load_balancer.choose)
    async with anyio.create_task_group() as tasks:
        await tasks.start(load_balancer.run)
        async with anyio.create_task_group() as load:
            load.start_soon(prober.run)
            await anyio.sleep(1.0)
            fault()
            await anyio.sleep(1.0)
            await _await_recovery(prober)
            prober.stop()
        tasks.cancel_scope.cancel()
    probes = sorted(prober.probes, key=lambda probe: probe.sent_s)
    await _write_records(cluster, probes, load_balancer)
    return probes


async def _write_records(
    cluster: processes.Cluster,
    probes: list[probing.Probe],
    load_balancer: balancer.Balancer,
) -> None:
    """Writes events and unanswered requests, to diagnose failed tests."""
    records = {
        "timeline": await cluster_tools.read_timeline(cluster),
        "callers": [p for p in probes if p.outcome != "answered"],
        "balancer": load_balancer.changed_checks,
    }
    for name, lines in records.items():
        path = cluster.shape.folder / f"{name}.journal"
        text = "".join(f"{codec.to_json(line)}\n" for line in lines)
        path.write_text(text, encoding="utf-8")


async def _await_recovery(prober: probing.Prober) -> None:
    """Waits until all requests of at least two seconds were answered."""
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        while True:
            old_count = len(prober.probes)
            await anyio.sleep(2.5)
            newest = prober.probes[old_count:]
            if newest and all(p.outcome == "answered" for p in newest):
                return


def _check_journals(
    cluster: processes.Cluster, probes: list[probing.Probe]
) -> None:
    journal = cluster.read_journals()
    not_run = [p.request_id for p in probes if p.outcome == "not-run"]
    assert not checker.check_owners(journal)
    assert not checker.check_not_run(journal, not_run)
