"""What a server gets that turned requests away and asked to be left alone."""

import collections
from unittest import mock

import anyio
import pytest

from bridgecross_emulator import instances
from bridgecross_entry import notices
from tests.emulated import crash_scene

REST_S = 3.0
# What was on the way may still come for so long.
ON_THE_WAY_S = 0.5
ALLOWED_COUNT = 2
FULL_FOR_S = 8.0


def _find_most(cluster):
    """Returns the most requests of one sender to one server in any rest."""
    by_pair = collections.defaultdict(list)
    for each in cluster.fleet.rejections:
        by_pair[each.sender, each.server].append(each.at_s)
    return max(
        sum(told_s + ON_THE_WAY_S < at_s < told_s + REST_S for at_s in times_s)
        for times_s in by_pair.values()
        for told_s in times_s
    )


def _play(service, full_count):
    """Plays a cluster in which some servers are full for a while."""

    async def act(scene):
        servers = [
            server
            for server in scene.cluster.fleet.servers.values()
            if server.service == service
        ]
        for server in servers[:full_count]:
            server.backoff_s = REST_S
        await anyio.sleep(FULL_FOR_S)
        for server in servers:
            server.backoff_s = 0.0
        await anyio.sleep(REST_S + 1.0)

    return crash_scene.Play(
        settle_s=6.0, instance_count=4, server_count=3, asks_per_s=120.0
    ).run(act)


# Guards against: each of eleven instances went on to send up to 15 requests to
# servers that had turned it away and asked for 3 s of rest.
@pytest.mark.parametrize("full_count", [1, 3])
@pytest.mark.parametrize(
    "service",
    [
        pytest.param(instances.SERVICE, id="keyed"),
        pytest.param(instances.FREE_SERVICE, id="any"),
    ],
)
def test_a_server_that_asks_for_rest_is_left_alone(service, full_count):
    scene = _play(service, full_count)
    assert scene.cluster.fleet.rejections
    assert _find_most(scene.cluster) <= ALLOWED_COUNT
    # Once they work again, they are used again.
    calm_s = scene.cluster.now_s - 0.5
    assert scene.served_ratio(calm_s, f"/{service}/".encode()) > 0.95


def _hear_nothing():
    return mock.patch.object(notices.Notices, "record", return_value=None)


def _keep_it_for_a_moment():
    """As a pause that has nothing to do with what was asked for."""
    settings = notices.NoticeSettings(backoff_clock_ratio=0.3)
    return mock.patch.object(notices, "NoticeSettings", return_value=settings)


@pytest.mark.parametrize(
    "put_back",
    [
        pytest.param(_hear_nothing, id="nobody hears it"),
        pytest.param(_keep_it_for_a_moment, id="kept for too short"),
    ],
)
def test_a_known_fault_is_found(put_back):
    with put_back():
        scene = _play(instances.SERVICE, 3)
    assert _find_most(scene.cluster) > ALLOWED_COUNT
