"""The requests that a server with a limit gets from all instances together.

The sums are in ``docs/design/limited-servers.md``.
"""

from unittest import mock

import anyio
import pytest

from bridgecross_emulator import instances
from bridgecross_emulator import limit_checks
from bridgecross_entry import leadership
from bridgecross_entry import quota_client
from bridgecross_entry import quota_issuer
from bridgecross_entry import rate_limits
from tests.emulated import crash_scene

LIMIT_PER_S = 6.0
CALLS_PER_S = 120.0
SERVERS_COUNT = 3
LIMITED_FOR_S = 12.0


def _find_servers(scene, count=SERVERS_COUNT):
    """Returns some servers of each service."""
    every = scene.cluster.fleet.servers.values()
    return [
        server
        for service in (instances.SERVICE, instances.FREE_SERVICE)
        for server in [s for s in every if s.service == service][:count]
    ]


def name_limits(scene, count=SERVERS_COUNT, limit_per_s=LIMIT_PER_S):
    """Makes some servers of each service name a limit; returns them."""
    limited = _find_servers(scene, count)
    for server in limited:
        server.name_limit(limit_per_s)
    return limited


def simulate(act, *, instance_count=11, seed=1, server_count=SERVERS_COUNT):
    """Simulates a cluster while an asynchronous function acts on it."""
    return crash_scene.Simulation(
        settle_s=6.0,
        instance_count=instance_count,
        server_count=server_count,
        requests_per_s=CALLS_PER_S,
        seed=seed,
    ).run(act)


# Guards against servers that get more requests than they say that they take.
def test_the_requests_of_two_instances_stay_within_a_limit():
    async def act(scene):
        name_limits(scene, 1)
        await anyio.sleep(LIMITED_FOR_S)

    scene = simulate(act, instance_count=2)
    assert limit_checks.check_limits(scene.cluster) == []


async def _do_nothing(scene):
    """All servers keep their limits."""


async def _change_limits(scene):
    for limit_per_s in (2.0, 9.2, 0.2, 6.0, 0.0, 9.2, 1.0, 6.0):
        await anyio.sleep(0.7)
        name_limits(scene, limit_per_s=limit_per_s)


async def _end_and_name_again(scene):
    for _ in range(4):
        await anyio.sleep(1.3)
        name_limits(scene, limit_per_s=None)
        await anyio.sleep(0.6)
        name_limits(scene)


async def _kill_leader(scene):
    await anyio.sleep(2.0)
    leader = scene.cluster.leader
    leader.kill()
    await anyio.sleep(2.0)
    scene.cluster.restart(leader)


async def _pause_leader(scene):
    await anyio.sleep(1.0)
    leader = scene.cluster.leader
    scene.cluster.pause(leader)
    await anyio.sleep(3.0)
    scene.cluster.resume(leader)


async def _suspend_leader_briefly(scene):
    """The leader is back before its confirmation seems to be too old."""
    for _ in range(3):
        await anyio.sleep(1.0)
        await scene.cluster.suspend(scene.cluster.leader, 1.4)


async def _isolate_leader(scene):
    """The leader reaches neither the log nor the others, but all servers."""
    await anyio.sleep(1.0)
    leader = scene.cluster.leader
    leader.log_client.cut()
    scene.cluster.isolate(leader)
    await anyio.sleep(5.0)
    scene.cluster.network.heal()
    leader.log_client.heal()


async def _isolate_leader_from_others(scene):
    """The leader reaches the log, but none of the others."""
    await anyio.sleep(1.0)
    scene.cluster.isolate(scene.cluster.leader)
    await anyio.sleep(5.0)
    scene.cluster.network.heal()


async def _isolate_some(scene):
    await anyio.sleep(1.0)
    for instance in scene.cluster.others()[:4]:
        instance.log_client.cut()
        scene.cluster.isolate(instance)
    await anyio.sleep(5.0)
    scene.cluster.network.heal()
    for instance in scene.cluster.instances:
        instance.log_client.heal()


async def _make_log_unavailable(scene):
    scene.cluster.log.is_unavailable = True
    await anyio.sleep(10.0)
    scene.cluster.log.is_unavailable = False


async def _kill_leader_without_log(scene):
    scene.cluster.log.is_unavailable = True
    await anyio.sleep(1.0)
    leader = scene.cluster.leader
    leader.kill()
    await anyio.sleep(5.0)
    scene.cluster.log.is_unavailable = False
    scene.cluster.restart(leader)


async def _restart_in_turn(scene):
    for number in range(min(4, len(scene.cluster.instances))):
        instance = scene.cluster.instances[number]
        instance.kill()
        await anyio.sleep(1.0)
        scene.cluster.restart(instance)
        await anyio.sleep(1.0)


async def _restart_all(scene):
    await anyio.sleep(2.0)
    for instance in scene.cluster.instances:
        instance.kill()
    await anyio.sleep(0.5)
    for instance in list(scene.cluster.instances):
        scene.cluster.restart(instance)


async def _restart_servers(scene):
    """The next runs name no limit, and are limited again later."""
    await anyio.sleep(2.0)
    for server in _find_servers(scene):
        server.crash()
    await anyio.sleep(0.7)
    for server in _find_servers(scene):
        server.start()
    await anyio.sleep(2.0)
    name_limits(scene)


async def _fail_half(scene):
    """Half of the answers are failures, which do not name the limit."""
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        target = f"/{service}/failing".encode()
        scene.cluster.fleet.failing.add(target)
        scene.cluster.run_in_background(
            scene.send_from_many_callers, target, 1 / CALLS_PER_S
        )


async def _lose_packets(scene):
    """Answers overtake one another."""
    every = [s.address for s in _find_servers(scene)]
    for instance in scene.cluster.instances:
        for address in every:
            own = instance.settings.peer_address
            scene.cluster.network.lose(address, own, 0.3)
    await _end_and_name_again(scene)


FAULTS = {
    "none": _do_nothing,
    "limits change": _change_limits,
    "limits end and return": _end_and_name_again,
    "the leader is killed": _kill_leader,
    "the leader is paused": _pause_leader,
    "the leader is suspended": _suspend_leader_briefly,
    "the leader is isolated": _isolate_leader,
    "the leader has only the log": _isolate_leader_from_others,
    "some are isolated": _isolate_some,
    "the log is unavailable": _make_log_unavailable,
    "the leader is killed without the log": _kill_leader_without_log,
    "instances restart in turn": _restart_in_turn,
    "all instances restart": _restart_all,
    "servers restart": _restart_servers,
    "half of the requests fail": _fail_half,
    "answers overtake one another": _lose_packets,
}


def _run_fault(inject, instance_count, *, limit_per_s=LIMIT_PER_S, seed=1):
    """Simulates a fault in a cluster in which all servers name a limit."""

    async def act(scene):
        name_limits(scene, limit_per_s=limit_per_s)
        with anyio.move_on_after(LIMITED_FOR_S):
            await inject(scene)
            await anyio.sleep(LIMITED_FOR_S)

    return simulate(act, instance_count=instance_count, seed=seed)


@pytest.mark.parametrize("instance_count", [2, 11])
@pytest.mark.parametrize("inject", FAULTS.values(), ids=FAULTS)
def test_a_limit_is_kept_in_spite_of_faults(inject, instance_count):
    scene = _run_fault(inject, instance_count)
    assert limit_checks.check_limits(scene.cluster) == []


@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.0, 9.2, 50.0])
def test_a_limit_is_kept_whatever_it_is(limit_per_s):
    scene = _run_fault(_kill_leader, 11, limit_per_s=limit_per_s)
    assert limit_checks.check_limits(scene.cluster) == []


@pytest.mark.parametrize(
    ("instance_count", "limit_per_s"),
    [
        pytest.param(74, 0.2, id="74 instances"),
        pytest.param(195, 1.0, id="195 instances"),
    ],
)
def test_a_limit_is_kept_at_every_size(instance_count, limit_per_s):
    scene = _run_fault(_kill_leader, instance_count, limit_per_s=limit_per_s)
    assert limit_checks.check_limits(scene.cluster) == []


# Guards against two leaders whose lists of instances have become disjoint.
def test_a_limit_is_kept_by_both_sides_of_a_lasting_partition():
    """The side with the log removes the other one from the list after 20 s."""

    async def act(scene):
        cluster = scene.cluster
        name_limits(scene)
        await anyio.sleep(3.0)
        cut_off = [cluster.leader, *cluster.others()[:5]]
        for instance in cut_off:
            instance.log_client.cut()
            for other in cluster.instances:
                if other not in cut_off:
                    cut = cluster.network.cut
                    addresses = (
                        instance.settings.peer_address,
                        other.settings.peer_address,
                    )
                    cut(*addresses)
                    cut(*reversed(addresses))
        await anyio.sleep(35.0)

    scene = simulate(act)
    assert "instance_dropped" in {line.event for line in scene.cluster.lines}
    assert limit_checks.check_limits(scene.cluster) == []


@pytest.mark.parametrize("inject", [_do_nothing, _make_log_unavailable])
def test_what_limited_servers_take_is_used(inject):
    async def act(scene):
        limited = name_limits(scene)
        scene.cluster.run_in_background(inject, scene)
        await anyio.sleep(3.0)
        from_s = scene.cluster.now_s
        await anyio.sleep(6.0)
        used.extend(
            limit_checks.used_ratio(
                scene.cluster, server.name, from_s, scene.cluster.now_s
            )
            for server in limited
        )

    used: list[float] = []
    simulate(act)
    assert min(used) > 0.8


def test_a_limit_that_ends_is_over_everywhere():
    async def act(scene):
        limited = name_limits(scene, limit_per_s=0.2)
        await anyio.sleep(5.0)
        for server in limited:
            server.name_limit(None)
        # A server that takes so few gets a request in 5 s, and the answer to
        # one that was sent before the end may prove nothing.
        await anyio.sleep(12.0)

    scene = simulate(act)
    recovered_s = scene.cluster.now_s - 1.0
    for service in (instances.SERVICE, instances.FREE_SERVICE):
        assert scene.served_ratio(recovered_s, f"/{service}/".encode()) > 0.95


def _never_ask():
    """An instance that is told of a limit sends on as before."""

    async def grant(self, server_id, priority):
        return quota_client.Quota(server_id, self._clock.monotonic_s())

    return mock.patch.object(quota_client.QuotaClient, "obtain", grant)


def _lead_without_majority():
    """An instance issues quotas as soon as it believes that it leads."""
    leads = property(lambda self: self.term if self.is_leader else None)
    return mock.patch.object(leadership.Leadership, "sole_term", leads)


def _fill_bucket_at_each_naming():
    """A bucket is full again whenever an instance reports the limit."""
    apply = quota_issuer.QuotaIssuer._apply_report

    def refill(self, request):
        bucket = apply(self, request)
        if bucket is not None:
            bucket._tokens = 1.0 + bucket.rate_per_s * 0.25
        return bucket

    return mock.patch.object(quota_issuer.QuotaIssuer, "_apply_report", refill)


def _trust_any_answer():
    """A limit ends with any answer that does not name it."""
    return mock.patch.object(rate_limits, "merge", lambda _, new: new)


@pytest.mark.parametrize(
    ("put_back", "inject", "instance_count"),
    [
        pytest.param(_never_ask, _do_nothing, 11, id="nobody asks"),
        pytest.param(
            _lead_without_majority, _isolate_leader, 2, id="no majority"
        ),
        pytest.param(
            _fill_bucket_at_each_naming, _do_nothing, 11, id="full bucket"
        ),
        pytest.param(_trust_any_answer, _fail_half, 11, id="any answer"),
    ],
)
def test_a_known_fault_is_found(put_back, inject, instance_count):
    with put_back():
        scene = _run_fault(inject, instance_count)
    assert limit_checks.check_limits(scene.cluster)
