"""Compares ways to compute the fingerprint of requests that crash servers.

Many callers, each at most twice, send a request that crashes servers. They also
send harmless requests: to the same target with another body, and to other
targets.
"""

from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

import anyio

from benchmarks import rows
from bridgecross_emulator import instances
from bridgecross_entry import attempts
from bridgecross_entry import dispatch
from bridgecross_entry import poison_broadcast
from bridgecross_request import poison_requests
from tests.emulated import crash_scene

INSTANCE_COUNTS = (11, 74, 195)
_LENGTH_S = 12.0
_KNOWN_WITHIN_S = 0.3
_ENDS_MAX_COUNT = 3
_HARMLESS_BODY = b"harmless"
_TARGET = f"/{instances.FREE_SERVICE}/deadly".encode()
_REFUSED = "servers ended while they ran it"

FingerprintFunction = Callable[
    [attempts.EntryRequest], poison_requests.Fingerprint
]


def _name_by_address_and_request(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    host = f"{request.caller} {request.host}"
    return poison_requests.compute_fingerprint(
        host, request.method, request.target, request.body
    )


def _name_by_target(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    return poison_requests.compute_fingerprint(
        request.host, b"", request.target, b""
    )


def _name_by_host(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    return poison_requests.compute_fingerprint(request.host, b"", b"", b"")


class Variant(NamedTuple):
    """One way to compute the fingerprint of a request."""

    name: str
    # None for the function that ``dispatch`` uses.
    compute_fingerprint: FingerprintFunction | None


VARIANTS = (
    Variant("address, host and request", _name_by_address_and_request),
    Variant("host and request", None),
    Variant("host and target", _name_by_target),
    Variant("host", _name_by_host),
)


def run() -> list[rows.Row]:
    """Measures each variant at each number of instances."""
    return [row for count in INSTANCE_COUNTS for row in measure(count)]


def measure(count: int) -> list[rows.Row]:
    """Measures each variant in a cluster with the given number of instances."""
    found = []
    for variant in VARIANTS:
        size = f"{variant.name}, {count} instances"
        found += _measure_variant(variant, size, count)
    return found


def _measure_variant(variant: Variant, size: str, count: int) -> list[rows.Row]:
    """Measures one variant."""
    play = crash_scene.Simulation(
        instances.FREE_SERVICE, instance_count=count, server_count=12
    )
    if variant.compute_fingerprint is None:
        return _make_rows(play.run(_run_callers), size)
    with mock.patch.object(
        dispatch, "_compute_fingerprint", variant.compute_fingerprint
    ):
        return _make_rows(play.run(_run_callers), size)


async def _run_callers(scene: crash_scene.Scene) -> None:
    """Runs the callers for ``_LENGTH_S`` seconds."""
    fleet = scene.cluster.fleet
    fleet.poison_targets.add(_TARGET)
    fleet.harmless_bodies.add(_HARMLESS_BODY)
    scene.cluster.network.message_bytes.clear()
    async with anyio.create_task_group() as callers:
        for body in (b"", _HARMLESS_BODY):
            callers.start_soon(
                scene.send_from_many_callers, _TARGET, 0.1, None, 10.0, body
            )
        callers.start_soon(scene.send_at_rate, scene.service, 100.0)
        await anyio.sleep(_LENGTH_S)
        callers.cancel_scope.cancel()


def _make_rows(scene: crash_scene.Scene, size: str) -> list[rows.Row]:
    """Returns the rows of one simulation."""
    ends_s = scene.end_times_s(_TARGET)
    late_from_s = float("inf")
    if len(ends_s) >= _ENDS_MAX_COUNT:
        late_from_s = ends_s[_ENDS_MAX_COUNT - 1] + _KNOWN_WITHIN_S
    sent_too_late = [
        run
        for run in scene.cluster.fleet.runs
        if run.is_poison and run.at_s > late_from_s
    ]
    refused = [
        result
        for result in scene.results
        if (result.target != _TARGET or result.body)
        and getattr(result.outcome, "reason", "") == _REFUSED
    ]
    path = poison_broadcast.PATH.decode()
    broadcast_kb = scene.cluster.network.message_bytes[path] / 1e3
    ledgers = [each.parts.watch.ledger for each in scene.cluster.instances]
    suspects = max(len(each.list_known()) for each in ledgers)
    figures = (
        ("servers ended", len(ends_s), ""),
        ("sends too late", len(sent_too_late), ""),
        ("innocent requests refused", len(refused), ""),
        ("suspects remembered, at most", suspects, ""),
        ("bodies told", broadcast_kb, "KB"),
    )
    return [rows.Row("poison", size, *figure) for figure in figures]
