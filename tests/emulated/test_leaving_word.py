"""When a server gets nothing more whose answers say that it leaves.

The bound is 2 s at an instance that passed such an answer on, whatever the list
of servers says. How the times add up: ``docs/design/what-servers-say.md``.
"""

from unittest import mock

import anyio
import pytest

from bridgecross_emulator import instances
from bridgecross_entry import notices
from bridgecross_entry import servers
from tests.emulated import crash_scene

WITHIN_S = 2.0
# For so long after the bound nothing may come.
QUIET_S = 4.0


async def _answer_only(scene, server):
    """Its entry goes on to say that it stays, in newer and newer words."""


async def _make_log_unavailable(scene, server):
    for each in scene.cluster.instances:
        each.log_client.cut()


async def _take_log_away_for_a_while(scene, server):
    await _make_log_unavailable(scene, server)
    await anyio.sleep(3.0)
    for each in scene.cluster.instances:
        each.log_client.heal()


async def _lapse(scene, server):
    server.reaches_log = False


async def _lapse_for_a_while(scene, server):
    server.reaches_log = False
    await anyio.sleep(5.0)
    server.reaches_log = True


async def _take_log_away_and_kill_leader(scene, server):
    await _make_log_unavailable(scene, server)
    await anyio.sleep(0.5)
    scene.cluster.leader.kill()


async def _state_it_late(scene, server):
    await anyio.sleep(1.2)
    server.is_leaving = True
    server.write_entry()


HAPPENS = {
    "only its answers say so": _answer_only,
    "the log is away": _make_log_unavailable,
    "the log is away for a while": _take_log_away_for_a_while,
    "its entry lapses": _lapse,
    "its entry goes and comes back": _lapse_for_a_while,
    "the log is away, then the leader": _take_log_away_and_kill_leader,
    "its entry says so late": _state_it_late,
}


def _find_late(cluster):
    """Returns requests to servers that had told their sender long before."""
    told_s = {
        (sender, name): at_s
        for (sender, name, _), at_s in cluster.fleet.leaving_reported_s.items()
    }
    return [
        run
        for run in cluster.fleet.runs
        if run.at_s - told_s.get((run.sender, run.server), run.at_s) > WITHIN_S
    ]


def _play(act):
    return crash_scene.Simulation(
        settle_s=6.0, instance_count=4, server_count=4, requests_per_s=80.0
    ).run(act)


def _pick(scene, service):
    """Returns a server of a service."""
    servers = scene.cluster.fleet.servers.values()
    return next(s for s in servers if s.service == service)


# Guards against: a server divided by key said for 12 s in its answers that it
# leaves while the log was away, and got as many requests as before.
@pytest.mark.parametrize("happen", HAPPENS.values(), ids=HAPPENS)
@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="keyed"),
        pytest.param(instances.FREE_SERVICE, id="any"),
    ],
)
def test_a_server_that_says_it_leaves_gets_nothing_after_the_bound(
    service, happen
):
    async def act(scene):
        server = _pick(scene, service)
        server.answers_leaving = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(happen, scene, server)
            await anyio.sleep(WITHIN_S + QUIET_S)
            tasks.cancel_scope.cancel()

    scene = _play(act)
    assert scene.cluster.fleet.leaving_reported_s
    assert _find_late(scene.cluster) == []
    assert scene.cluster.fleet.overlaps == []


def test_the_rest_is_served_while_a_server_says_that_it_leaves():
    """Its keys move away without a word of the list."""

    async def act(scene):
        for service in (instances.SERVICE, instances.FREE_SERVICE):
            _pick(scene, service).answers_leaving = True
        await anyio.sleep(6.0)

    scene = _play(act)
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        prefix = f"/{service}/".encode()
        assert scene.served_ratio(6.0, prefix) > 0.99
    assert _find_late(scene.cluster) == []


def test_the_next_run_of_a_server_that_left_is_used():
    names = []

    async def act(scene):
        server = _pick(scene, instances.FREE_SERVICE)
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

    _play(act)
    assert names


def _hear_nothing():
    return mock.patch.object(notices.Notices, "record", return_value=None)


def _believe_the_newest_entry():
    """What an entry says of a server undoes what the server said before."""
    put = servers.ServerRegistry.put

    def undo(self, listed):
        self.notices._leaving_since_s.pop(listed.server_id, None)
        put(self, listed)

    return mock.patch.object(servers.ServerRegistry, "put", undo)


def _use_it_for_good():
    return mock.patch.object(
        notices.Notices, "is_past_drain_limit", return_value=False
    )


@pytest.mark.parametrize(
    ("put_back", "happen", "service"),
    [
        pytest.param(
            _hear_nothing, _answer_only, instances.SERVICE, id="nobody hears it"
        ),
        # Keys that have moved away do not come back, whatever an entry says.
        pytest.param(
            _believe_the_newest_entry,
            _answer_only,
            instances.FREE_SERVICE,
            id="an entry undoes it",
        ),
        pytest.param(
            _use_it_for_good,
            _make_log_unavailable,
            instances.SERVICE,
            id="used until its keys move",
        ),
    ],
)
def test_a_known_fault_is_found(put_back, happen, service):
    async def act(scene):
        server = _pick(scene, service)
        server.answers_leaving = True
        await happen(scene, server)
        await anyio.sleep(WITHIN_S + QUIET_S)

    with put_back():
        scene = _play(act)
    assert _find_late(scene.cluster)
