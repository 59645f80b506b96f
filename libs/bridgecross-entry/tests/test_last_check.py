"""Tests that nothing is sent if it became inadmissible during the last wait.

Each code path that leads to a server is run up to its last wait, and at this
point an event occurs after which nothing may be sent.
"""

import dataclasses
import time

import anyio.lowlevel
import entry_support as support
import pytest
import test_dispatch as scenes
import test_dispatch_notices as notices

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import evacuations
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

NAMES = ("a", "b")
RAPOR = ids.ServiceName("rapor")


def _always() -> bool:
    return True


class RecordingBackends(scenes.Backends):
    """An ``attempts.BackendClient`` that records what reaches servers.

    An event can be triggered while a connection is being opened, or before a
    server's health check is requested.
    """

    def __init__(self, *script: attempts.Attempt | None) -> None:
        super().__init__(*script)
        # Called during the last wait of attempt number ``event_attempt``.
        self.on_last_wait = lambda: None
        self.event_attempt = 1
        self.asks_health = False
        self.attempt_count = 0

    async def _wait(self):
        await anyio.lowlevel.checkpoint()
        self.attempt_count += 1
        if self.attempt_count == self.event_attempt:
            self.on_last_wait()

    async def send(self, server, request, remaining_ms, may_send=_always):
        if not self.asks_health:
            await self._wait()
        if not may_send():
            return attempts.Withheld()
        self.sent.append(server.name)
        await anyio.lowlevel.checkpoint()
        return self.script.pop(0)

    async def query_warmup_left_s(
        self, server, path, known_s, may_send=_always, request_id=""
    ):
        await self._wait()
        if not may_send():
            return None
        self.sent.append(f"health of {server.name}")
        return 0.0


def _leave(scene):
    for name in NAMES:
        server = support.make_server(name)
        scene.registry.notices.record(server, attempts.Notice(is_leaving=True))
    time.sleep(scene.registry.bounds.drain_ms / 1_000)


def _ask_backoff(scene):
    for name in NAMES:
        server = support.make_server(name)
        scene.registry.notices.record(server, attempts.Notice(backoff_s=3.0))


def _name_limit(scene):
    for name in NAMES:
        server = support.make_server(name)
        scene.registry.notices.record(server, attempts.Notice(limit_per_s=1.0))


def _evacuate(scene):
    change = evacuations.EvacuationChange("hall-1", is_evacuated=True)
    long_ago_s = time.clock_gettime(time.CLOCK_BOOTTIME) - 60.0
    scene.registry.evacuate([change], long_ago_s)


def _refuse_poison(scene):
    scene.dispatcher.watch.ledger.refused_for_s = lambda _: 60.0


def _mark_cold(scene):
    for name in NAMES:
        server = scene.registry.get(ids.ServerId(name))
        server.mark_cold(server.joined_s + 60.0)


def _move(scene):
    scene.put_map(9, scenes._owned_by("nobody", 9))


def _pass_deadline(scene):
    time.sleep(0.25)


EVENTS = {
    "it left": _leave,
    "it rests": _ask_backoff,
    "it names a limit": _name_limit,
    "evacuated": _evacuate,
    "harmful": _refuse_poison,
    "cold": _mark_cold,
    "its time is over": _pass_deadline,
}
KEYLESS_PATHS = ("first try", "after a failure", "permit", "health question")
KEYED_PATHS = ("owner", "after a denial", "owner by permit", "health of owner")
SCRIPTS = {
    "after a failure": [scenes.FAILED],
    "after a denial": [scenes.NOT_OWNER],
}


def _make_scene(path, bounds):
    """Returns a scene whose next request takes the given code path."""
    wire = RecordingBackends(*SCRIPTS.get(path, []), scenes.OK)
    wire.event_attempt = 2 if path in SCRIPTS else 1
    scene = scenes.Scene(wire, keyed=path in KEYED_PATHS, bounds=bounds)
    scene.put_map(1, scenes._owned_by("a"))
    warming = model.Service(
        RAPOR,
        130,
        path in KEYED_PATHS,
        0,
        health_path="/health",
        warmup_ms=3_000,
        warmup_rate_per_s=5.0,
    )
    scene.registry.configure({RAPOR: warming})
    if "permit" in path:
        scene.dispatcher._permits = notices.Permits("a")
    if "health" in path:
        wire.asks_health = True
        now_s = scene.dispatcher._clock.monotonic_s()
        scene.dispatcher.warmups.list_as_of_s = lambda: now_s - 60.0
    return wire, scene


async def _run_path(path, on_last_wait):
    """Returns what reached servers up to the event, and altogether."""
    # A drain bound that is shorter than a request.
    bounds = dataclasses.replace(
        support.BOUNDS, drain_ms=20, evacuation_ms=5_000
    )
    wire, scene = _make_scene(path, bounds)
    before = []

    def trigger():
        before.extend(wire.sent)
        on_last_wait(scene)

    wire.on_last_wait = trigger
    outcome = await scene.ask(caller_timeout_ms=200.0)
    assert wire.attempt_count >= wire.event_attempt
    assert outcome is not scenes.OK
    return before, wire.sent


# Guards against a request that is checked, waits for a connection, and then
# reaches a server that asked for a backoff, or left, in between.
@pytest.mark.parametrize("on_last_wait", EVENTS.values(), ids=EVENTS)
@pytest.mark.parametrize("path", [*KEYLESS_PATHS, *KEYED_PATHS])
async def test_nothing_is_sent_after_the_event(path, on_last_wait):
    before, sent = await _run_path(path, on_last_wait)
    assert sent == before


@pytest.mark.parametrize("path", KEYED_PATHS)
async def test_nothing_is_sent_to_a_former_owner(path):
    before, sent = await _run_path(path, _move)
    assert sent == before


@pytest.mark.parametrize("path", [*KEYLESS_PATHS, *KEYED_PATHS])
async def test_each_path_reaches_a_server(path):
    wire, scene = _make_scene(path, support.BOUNDS)
    assert await scene.ask() is scenes.OK
    assert wire.sent[-1] in NAMES


async def test_withheld_request_has_no_side_effects():
    """The outcome is NotRun, and the server's statistics are unaffected."""
    wire, scene = _make_scene("first try", support.BOUNDS)
    wire.on_last_wait = lambda: _ask_backoff(scene)
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert not scene.dispatcher.watch._sent_requests
    for name in NAMES:
        server = scene.registry.get(ids.ServerId(name))
        assert server.failure_ratio == 0.0
        assert server.paused_until_s == 0.0


async def test_withheld_request_goes_to_another_server():
    wire, scene = _make_scene("first try", support.BOUNDS)
    backoff = attempts.Notice(backoff_s=3.0)
    wire.on_last_wait = lambda: scene.registry.notices.record(
        support.make_server("a"), backoff
    )
    assert await scene.ask() is scenes.OK
    assert wire.sent == ["b"]
