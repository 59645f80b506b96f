"""What a request that ends servers is known by, way against way.

Callers of whom none comes more than twice ask for a request that ends servers,
beside harmless ones of the same target with another body and of other targets.
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

SIZES_COUNT = (11, 74, 195)
_LENGTH_S = 12.0
_KNOWN_WITHIN_S = 0.3
_ENDS_MAX_COUNT = 3
_HARMLESS_BODY = b"harmless"
_TARGET = f"/{instances.FREE_SERVICE}/deadly".encode()
_REFUSED = "servers ended while they ran it"

Name = Callable[[attempts.EntryRequest], poison_requests.Fingerprint]


def _with_address(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    host = f"{request.caller} {request.host}"
    return poison_requests.compute_fingerprint(
        host, request.method, request.target, request.body
    )


def _without_body(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    return poison_requests.compute_fingerprint(
        request.host, b"", request.target, b""
    )


def _by_host(request: attempts.EntryRequest) -> poison_requests.Fingerprint:
    return poison_requests.compute_fingerprint(request.host, b"", b"", b"")


class Way(NamedTuple):
    """One way to name requests."""

    name: str
    # None for the way that is in use.
    subject: Name | None


WAYS = (
    Way("address, host and request", _with_address),
    Way("host and request", None),
    Way("host and target", _without_body),
    Way("host", _by_host),
)


def run() -> list[rows.Row]:
    """Returns the figures of each way, by size."""
    return [row for count in SIZES_COUNT for row in measure(count)]


def measure(count: int) -> list[rows.Row]:
    """Returns the figures of each way in a house of a size."""
    found = []
    for way in WAYS:
        size = f"{way.name}, {count} instances"
        found += _measure_way(way, size, count)
    return found


def _measure_way(way: Way, size: str, count: int) -> list[rows.Row]:
    """Returns the figures of one way."""
    play = crash_scene.Play(
        instances.FREE_SERVICE, instance_count=count, server_count=12
    )
    if way.subject is None:
        return _make_rows(play.run(_act), size)
    with mock.patch.object(dispatch, "_compute_fingerprint", way.subject):
        return _make_rows(play.run(_act), size)


async def _act(scene: crash_scene.Scene) -> None:
    """Lets callers come for a while."""
    fleet = scene.cluster.fleet
    fleet.deadly.add(_TARGET)
    fleet.harmless_bodies.add(_HARMLESS_BODY)
    scene.cluster.network.carried_bytes.clear()
    async with anyio.create_task_group() as callers:
        for body in (b"", _HARMLESS_BODY):
            callers.start_soon(
                scene.ask_from_everywhere, _TARGET, 0.1, None, 10.0, body
            )
        callers.start_soon(scene.ask_at_rate, scene.service, 100.0)
        await anyio.sleep(_LENGTH_S)
        callers.cancel_scope.cancel()


def _make_rows(scene: crash_scene.Scene, size: str) -> list[rows.Row]:
    """Returns what came of a scene."""
    ends_s = scene.end_times_s(_TARGET)
    late_from_s = float("inf")
    if len(ends_s) >= _ENDS_MAX_COUNT:
        late_from_s = ends_s[_ENDS_MAX_COUNT - 1] + _KNOWN_WITHIN_S
    late = [
        run
        for run in scene.cluster.fleet.runs
        if run.is_deadly and run.at_s > late_from_s
    ]
    refused = [
        told
        for told in scene.told
        if (told.target != _TARGET or told.body)
        and getattr(told.outcome, "reason", "") == _REFUSED
    ]
    path = poison_broadcast.PATH.decode()
    told_kb = scene.cluster.network.carried_bytes[path] / 1e3
    ledgers = [each.parts.watch.ledger for each in scene.cluster.instances]
    suspects = max(len(each.known_subjects()) for each in ledgers)
    figures = (
        ("servers ended", len(ends_s), ""),
        ("sends too late", len(late), ""),
        ("innocent requests refused", len(refused), ""),
        ("suspects remembered, at most", suspects, ""),
        ("bodies told", told_kb, "KB"),
    )
    return [rows.Row("poison", size, *figure) for figure in figures]
