"""The requests that a server still receives after it has asked for backoff."""

import collections
from unittest import mock

import anyio
import pytest

from bridgecross_emulator import instances
from bridgecross_entry import notices
from tests.emulated import crash_scene

BACKOFF_S = 3.0
# How long requests that were in transit may still arrive.
IN_TRANSIT_S = 0.5
ALLOWED_COUNT = 2
FULL_FOR_S = 8.0


def _find_most(cluster):
    """Returns the most requests of a sender to a server in any backoff."""
    by_pair = collections.defaultdict(list)
    for each in cluster.fleet.rejections:
        by_pair[each.sender, each.server].append(each.at_s)
    return max(
        sum(
            told_s + IN_TRANSIT_S < at_s < told_s + BACKOFF_S
            for at_s in times_s
        )
        for times_s in by_pair.values()
        for told_s in times_s
    )


def _simulate(service, full_count):
    """Simulates a cluster in which some servers ask for backoff for a while."""

    async def act(scene):
        servers = [
            server
            for server in scene.cluster.fleet.servers.values()
            if server.service == service
        ]
        for server in servers[:full_count]:
            server.backoff_s = BACKOFF_S
        await anyio.sleep(FULL_FOR_S)
        for server in servers:
            server.backoff_s = 0.0
        await anyio.sleep(BACKOFF_S + 1.0)

    return crash_scene.Simulation(
        settle_s=6.0, instance_count=4, server_count=3, requests_per_s=120.0
    ).run(act)


# Guards against a fault in which each of eleven instances sent up to 15 more
# requests to servers that had rejected its requests and asked for 3 s of
# backoff.
@pytest.mark.parametrize("full_count", [1, 3])
@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="keyed"),
        pytest.param(instances.FREE_SERVICE, id="any"),
    ],
)
def test_a_server_that_asks_for_rest_is_left_alone(service, full_count):
    scene = _simulate(service, full_count)
    assert scene.cluster.fleet.rejections
    assert _find_most(scene.cluster) <= ALLOWED_COUNT
    # Once the servers accept requests again, they are used again.
    recovered_s = scene.cluster.now_s - 0.5
    assert scene.served_ratio(recovered_s, f"/{service}/".encode()) > 0.95


def _ignore_notices():
    return mock.patch.object(notices.Notices, "record", return_value=None)


def _shorten_backoff():
    """The backoff lasts only 0.3 of the time that was asked for."""
    settings = notices.NoticeSettings(backoff_clock_ratio=0.3)
    return mock.patch.object(notices, "NoticeSettings", return_value=settings)


@pytest.mark.parametrize(
    "put_back",
    [
        pytest.param(_ignore_notices, id="nobody hears it"),
        pytest.param(_shorten_backoff, id="kept for too short"),
    ],
)
def test_a_known_fault_is_found(put_back):
    with put_back():
        scene = _simulate(instances.SERVICE, 3)
    assert _find_most(scene.cluster) > ALLOWED_COUNT
