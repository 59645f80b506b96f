"""The delay until a server whose answers say that it leaves gets no requests.

The bound is 2 s at an instance that forwarded such an answer, whatever the list
of servers says. The delays are added up in ``docs/design/what-servers-say.md``.
"""

from unittest import mock

import anyio
import pytest

from bridgecross_emulator import instances
from bridgecross_entry import notices
from bridgecross_entry import server_registry
from tests.emulated import crash_scene

WITHIN_S = 2.0
# How long after the bound no request may arrive.
QUIET_S = 4.0


async def _answer_only(scene, server):
    """The server keeps writing entries which say that it stays."""


async def _make_log_unavailable(scene, server):
    for each in scene.cluster.instances:
        each.log_client.cut()


async def _make_log_unavailable_for_a_while(scene, server):
    await _make_log_unavailable(scene, server)
    await anyio.sleep(3.0)
    for each in scene.cluster.instances:
        each.log_client.heal()


async def _expire_entry(scene, server):
    server.reaches_log = False


async def _expire_entry_for_a_while(scene, server):
    server.reaches_log = False
    await anyio.sleep(5.0)
    server.reaches_log = True


async def _make_log_unavailable_and_kill_leader(scene, server):
    await _make_log_unavailable(scene, server)
    await anyio.sleep(0.5)
    scene.cluster.leader.kill()


async def _write_leaving_entry_late(scene, server):
    await anyio.sleep(1.2)
    server.is_leaving = True
    server.write_entry()


FAULTS = {
    "only its answers say so": _answer_only,
    "the log is away": _make_log_unavailable,
    "the log is away for a while": _make_log_unavailable_for_a_while,
    "its entry lapses": _expire_entry,
    "its entry goes and comes back": _expire_entry_for_a_while,
    "the log is away, then the leader": _make_log_unavailable_and_kill_leader,
    "its entry says so late": _write_leaving_entry_late,
}


def _find_late(cluster):
    """Returns requests sent too late after their sender learned of it."""
    reported_s = {
        (sender, name): at_s
        for (sender, name, _), at_s in cluster.fleet.leaving_reported_s.items()
    }
    return [
        run
        for run in cluster.fleet.runs
        if run.at_s - reported_s.get((run.sender, run.server), run.at_s)
        > WITHIN_S
    ]


def _simulate(scenario):
    return crash_scene.Simulation(
        settle_s=6.0, instance_count=4, server_count=4, requests_per_s=80.0
    ).run(scenario)


def _find_server(scene, service):
    """Returns the first server of a service."""
    servers = scene.cluster.fleet.servers.values()
    return next(s for s in servers if s.service == service)


# Guards against ignoring what answers say: a server divided by key said in its
# answers for 12 s that it leaves while the log was unavailable, and got as many
# requests as before.
@pytest.mark.parametrize("inject", FAULTS.values(), ids=FAULTS)
@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="keyed"),
        pytest.param(instances.FREE_SERVICE, id="any"),
    ],
)
def test_a_leaving_server_gets_no_requests_after_the_bound(service, inject):
    async def scenario(scene):
        server = _find_server(scene, service)
        server.answers_leaving = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject, scene, server)
            await anyio.sleep(WITHIN_S + QUIET_S)
            tasks.cancel_scope.cancel()

    scene = _simulate(scenario)
    assert scene.cluster.fleet.leaving_reported_s
    assert _find_late(scene.cluster) == []
    assert scene.cluster.fleet.overlaps == []


def test_requests_are_served_while_a_server_leaves():
    """Its keys move away although the list does not say that it leaves."""

    async def scenario(scene):
        for service in (instances.SERVICE, instances.FREE_SERVICE):
            _find_server(scene, service).answers_leaving = True
        await anyio.sleep(6.0)

    scene = _simulate(scenario)
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        prefix = f"/{service}/".encode()
        assert scene.served_ratio(6.0, prefix) > 0.99
    assert _find_late(scene.cluster) == []


def test_the_next_run_of_a_server_that_left_is_used():
    names = []

    async def scenario(scene):
        server = _find_server(scene, instances.FREE_SERVICE)
        server.answers_leaving = True
        await anyio.sleep(3.0)
        server.crash()
        server.start()
        started_s = scene.cluster.now_s
        await anyio.sleep(4.0)
        names.extend(
            run.server
            for run in scene.cluster.fleet.runs
            if run.at_s > started_s and run.server == server.name
        )

    _simulate(scenario)
    assert names


def _ignore_notices():
    return mock.patch.object(notices.Notices, "record", return_value=None)


def _override_by_entry():
    """Makes an entry override what the server said in its answers."""
    put = server_registry.ServerRegistry.put

    def undo(self, listed):
        self.notices._leaving_since_s.pop(listed.server_id, None)
        put(self, listed)

    return mock.patch.object(server_registry.ServerRegistry, "put", undo)


def _use_without_limit():
    return mock.patch.object(
        notices.Notices, "is_past_drain_limit", return_value=False
    )


@pytest.mark.parametrize(
    ("put_back", "inject", "service"),
    [
        pytest.param(
            _ignore_notices,
            _answer_only,
            instances.SERVICE,
            id="nobody hears it",
        ),
        # Keys that have moved away do not return, whatever an entry says.
        pytest.param(
            _override_by_entry,
            _answer_only,
            instances.FREE_SERVICE,
            id="an entry undoes it",
        ),
        pytest.param(
            _use_without_limit,
            _make_log_unavailable,
            instances.SERVICE,
            id="used until its keys move",
        ),
    ],
)
def test_a_known_fault_is_found(put_back, inject, service):
    async def scenario(scene):
        server = _find_server(scene, service)
        server.answers_leaving = True
        await inject(scene, server)
        await anyio.sleep(WITHIN_S + QUIET_S)

    with put_back():
        scene = _simulate(scenario)
    assert _find_late(scene.cluster)
