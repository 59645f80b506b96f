"""The delay until all instances know of a poison request, under any fault.

Three servers crash under one request, each observed by another instance. After
the third crash, every instance that its observer can reach must know within
0.3 s, also without the log or the leader, after a restart, and once a network
partition heals.

The longest delay: crashes are batched for 5 ms, a round waits 30 ms for the one
before, the instances that store the first crashes are queried for 60 ms; with
their answers the next round begins after another 35 ms at most, a relaying
instance that does not answer is given up after 80 ms, and a direct message to
those behind it after 60 ms; that is 270 ms. After a partition the next try
comes within 100 ms and may itself wait 60 ms for unreachable instances; sending
to all the others takes another 80 ms, and 60 ms for those behind a relaying
instance that failed.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest
import simpy

from bridgecross_core import ids
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import virtual
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_request import poison_requests

KNOWN_WITHIN_S = 0.3
FINGERPRINT = poison_requests.compute_fingerprint(
    "host", b"GET", b"/deadly", b""
)


class Scene:
    """A cluster in which servers crash under one request."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.leader = cluster.leader
        self._count = 0

    def report_crash(self, observer: instances.EmulatedInstance) -> None:
        """Reports to one instance that the request crashed a server."""
        self._count += 1
        name = f"i-{self._count}"
        server = model.BackendServer(
            ids.ServerId(name),
            instances.SERVICE,
            model.Address("10.2.9.9", self._count),
            "zone-0",
            4,
            False,
            0.0,
            name,
            None,
        )
        watch = observer.parts.watch
        visit = watch.begin(FINGERPRINT, f"id-{self._count}", server)
        watch.end(visit, attempts.Interrupted("the connection ended"))
        watch.note_ended(server.server_id)

    async def report_crashes(
        self, *observers: instances.EmulatedInstance, gap_s: float = 0.4
    ) -> None:
        """Reports a crash to each of some instances, one after the other."""
        for number, each in enumerate(observers):
            if number:
                await anyio.sleep(gap_s)
            self.report_crash(each)

    def knowing(self) -> set[str]:
        """Returns the instances that refuse the request."""
        return {
            each.settings.name
            for each in self.cluster.instances
            if each.parts.watch.ledger.refused_for_s(FINGERPRINT) > 0
        }

    def running(self) -> set[str]:
        """Returns the instances that take requests."""
        return {
            each.settings.name
            for each in self.cluster.instances
            if not each.host.is_paused and each.configuration_version
        }


async def _inject_nothing(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.report_crashes(*others[:3])


async def _make_log_unavailable(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await anyio.sleep(3.0)
    await _inject_nothing(scene)


async def _kill_leader(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    scene.leader.kill()
    scene.report_crash(others[2])


async def _pause_leader(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    scene.cluster.pause(scene.leader)
    scene.report_crash(others[2])


async def _kill_leader_without_log(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await _kill_leader(scene)


async def _pause_many(scene: Scene) -> None:
    """Some of the relaying instances do not answer."""
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    for each in others[3::3]:
        scene.cluster.pause(each)
    scene.report_crash(others[2])


async def _kill_many(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    for each in others[3::3]:
        each.kill()
    scene.report_crash(others[2])


async def _kill_first_observers(scene: Scene) -> None:
    """The observers of the first two crashes are down at the third."""
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    await anyio.sleep(0.4)
    for each in others[:2]:
        each.kill()
    scene.report_crash(others[2])


async def _silence_connections(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.report_crashes(*others[:2])
    await anyio.sleep(0.4)
    scene.cluster.silence()
    scene.report_crash(others[2])


def _halves(scene: Scene) -> tuple[list[instances.EmulatedInstance], ...]:
    others = scene.cluster.others()
    middle = len(others) // 2
    return [scene.leader, *others[:middle]], others[middle:]


async def _partition(scene: Scene, for_s: float) -> None:
    """Partitions the network between the halves of a cluster for a while."""
    network = scene.cluster.network
    for one in _halves(scene)[0]:
        for other in _halves(scene)[1]:
            pair = (one.settings.peer_address, other.settings.peer_address)
            network.cut(*pair)
            network.cut(*reversed(pair))
    await anyio.sleep(for_s)
    network.heal()


async def _heal_partition(scene: Scene) -> None:
    near = _halves(scene)[0]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_partition, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.report_crashes(*near[:3])


async def _heal_partition_without_leader(scene: Scene) -> None:
    far = _halves(scene)[1]
    scene.leader.kill()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_partition, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.report_crashes(*(far * 3)[:3])


async def _crash_on_both_sides_of_partition(scene: Scene) -> None:
    near, far = _halves(scene)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_partition, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.report_crashes(near[1], far[0], near[2])


async def _restart_one(scene: Scene) -> None:
    """An instance that was down during the crashes takes requests."""
    others = scene.cluster.others()
    killed = others[3 % len(others)]
    killed.kill()
    await scene.report_crashes(*others[:3])
    await anyio.sleep(1.0)
    await _restart_and_wait(scene, [killed])


async def _restart_one_without_log(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await _restart_one(scene)


async def _restart_whole_cluster(scene: Scene) -> None:
    """Only the log still holds the crashes."""
    await scene.report_crashes(*scene.cluster.others()[:3])
    await anyio.sleep(1.0)
    killed = list(scene.cluster.instances)
    for each in killed:
        each.kill()
    await anyio.sleep(1.0)
    await _restart_and_wait(scene, killed)


async def _restart_and_wait(
    scene: Scene, killed: list[instances.EmulatedInstance]
) -> None:
    """Restarts instances; returns once they take requests."""
    for each in killed:
        scene.cluster.restart(each)
    count = len(scene.running()) + len(killed)
    while len(scene.running()) < count:
        await anyio.sleep(0.001)


Inject = Callable[[Scene], Awaitable[None]]


def _find_unaware(inject: Inject, count: int, seed: int) -> set[str]:
    """Returns instances that take requests and do not know after 0.3 s."""
    environment = simpy.Environment()

    async def main() -> set[str]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(instance_count=count, seed=seed)
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(5.0 + 0.13 * seed)
            scene = Scene(cluster)
            await inject(scene)
            await anyio.sleep(KNOWN_WITHIN_S)
            unaware = scene.running() - scene.knowing()
            cluster.stop()
        return unaware

    return virtual.run(environment, main)


CASES = [
    pytest.param(_inject_nothing, id="all is well"),
    pytest.param(_make_log_unavailable, id="log away"),
    pytest.param(_kill_leader, id="leader dead"),
    pytest.param(_pause_leader, id="leader frozen"),
    pytest.param(_kill_leader_without_log, id="leader dead, log away"),
    pytest.param(_pause_many, id="many frozen"),
    pytest.param(_kill_many, id="many dead"),
    pytest.param(_kill_first_observers, id="observed by who is dead"),
    pytest.param(_silence_connections, id="connections silent"),
    pytest.param(_heal_partition, id="a cut heals"),
    pytest.param(_heal_partition_without_leader, id="a cut heals, no leader"),
    pytest.param(_crash_on_both_sides_of_partition, id="ends on both sides"),
    pytest.param(_restart_one, id="restart"),
    pytest.param(_restart_one_without_log, id="restart, log away"),
    pytest.param(_restart_whole_cluster, id="restart of all"),
]


@pytest.mark.parametrize("inject", CASES)
def test_reachable_instances_know_in_time(inject):
    for seed in range(6):
        assert _find_unaware(inject, 11, seed) == set()


@pytest.mark.parametrize("inject", CASES)
def test_reachable_instances_know_in_time_in_a_large_cluster(inject):
    assert _find_unaware(inject, 40, 1) == set()
