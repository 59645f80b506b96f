"""How soon all instances know that a request is refused, whatever is wrong.

Three servers end under one request, each seen by another instance. From the
third end on, whoever can be reached by who saw it has to know within 0.3 s,
also without the log or the leader, after a restart, and once a cut heals.

The longest way, added up: ends are gathered for 5 ms, a round waits 30 ms for
the one before, those who keep the first ends are asked for 60 ms; with what
they know the next round begins after another 35 ms at most, an instance that
should pass the word on is given up after 80 ms, and who is then told directly
after 60 ms; that is 270 ms. After a cut the next try comes within 100
ms and may itself wait 60 ms for those still away; telling all the others takes
another 80 ms, and 60 ms for whoever should have passed the word on and did not.
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
SUBJECT = poison_requests.compute_fingerprint("host", b"GET", b"/deadly", b"")


class Scene:
    """A cluster in which servers end under one request."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.leader = cluster.leader
        self._count = 0

    def end_server(self, seen_by: instances.EmulatedInstance) -> None:
        """Lets a server end under the request, as one instance sees it."""
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
        watch = seen_by.parts.watch
        visit = watch.begin(SUBJECT, f"id-{self._count}", server)
        watch.end(visit, attempts.Interrupted("the connection ended"))
        watch.note_ended(server.server_id)

    async def end_servers(
        self, *seen_by: instances.EmulatedInstance, gap_s: float = 0.4
    ) -> None:
        """Lets servers end, one after the other."""
        for number, each in enumerate(seen_by):
            if number:
                await anyio.sleep(gap_s)
            self.end_server(each)

    def knowing(self) -> set[str]:
        """Returns the instances that refuse the request."""
        return {
            each.settings.name
            for each in self.cluster.instances
            if each.parts.watch.ledger.refused_for_s(SUBJECT) > 0
        }

    def running(self) -> set[str]:
        """Returns the instances that take requests."""
        return {
            each.settings.name
            for each in self.cluster.instances
            if not each.host.is_paused and each.configuration_version
        }


async def _all_is_well(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.end_servers(*others[:3])


async def _log_away(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await anyio.sleep(3.0)
    await _all_is_well(scene)


async def _leader_dead(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    scene.leader.kill()
    scene.end_server(others[2])


async def _leader_frozen(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    scene.cluster.pause(scene.leader)
    scene.end_server(others[2])


async def _leader_dead_and_log_away(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await _leader_dead(scene)


async def _many_frozen(scene: Scene) -> None:
    """Some of those who should pass a word on say nothing."""
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    for each in others[3::3]:
        scene.cluster.pause(each)
    scene.end_server(others[2])


async def _many_dead(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    for each in others[3::3]:
        each.kill()
    scene.end_server(others[2])


async def _seen_by_who_is_dead(scene: Scene) -> None:
    """Those who saw the first two ends are gone when the third comes."""
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    await anyio.sleep(0.4)
    for each in others[:2]:
        each.kill()
    scene.end_server(others[2])


async def _connections_silent(scene: Scene) -> None:
    others = scene.cluster.others()
    await scene.end_servers(*others[:2])
    await anyio.sleep(0.4)
    scene.cluster.silence()
    scene.end_server(others[2])


def _halves(scene: Scene) -> tuple[list[instances.EmulatedInstance], ...]:
    others = scene.cluster.others()
    middle = len(others) // 2
    return [scene.leader, *others[:middle]], others[middle:]


async def _cut(scene: Scene, for_s: float) -> None:
    """Separates the halves of a cluster for a while."""
    network = scene.cluster.network
    for one in _halves(scene)[0]:
        for other in _halves(scene)[1]:
            pair = (one.settings.peer_address, other.settings.peer_address)
            network.cut(*pair)
            network.cut(*reversed(pair))
    await anyio.sleep(for_s)
    network.heal()


async def _cut_heals(scene: Scene) -> None:
    near = _halves(scene)[0]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cut, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.end_servers(*near[:3])


async def _cut_heals_without_leader(scene: Scene) -> None:
    far = _halves(scene)[1]
    scene.leader.kill()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cut, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.end_servers(*(far * 3)[:3])


async def _ends_on_both_sides_of_a_cut(scene: Scene) -> None:
    near, far = _halves(scene)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cut, scene, 6.0)
        await anyio.sleep(1.0)
        await scene.end_servers(near[1], far[0], near[2])


async def _restart(scene: Scene) -> None:
    """A process that was not there takes requests."""
    others = scene.cluster.others()
    killed = others[3 % len(others)]
    killed.kill()
    await scene.end_servers(*others[:3])
    await anyio.sleep(1.0)
    await _restart_all(scene, [killed])


async def _restart_with_log_away(scene: Scene) -> None:
    scene.cluster.log.is_unavailable = True
    await _restart(scene)


async def _restart_of_all(scene: Scene) -> None:
    """Only the log knows what was."""
    await scene.end_servers(*scene.cluster.others()[:3])
    await anyio.sleep(1.0)
    killed = list(scene.cluster.instances)
    for each in killed:
        each.kill()
    await anyio.sleep(1.0)
    await _restart_all(scene, killed)


async def _restart_all(
    scene: Scene, killed: list[instances.EmulatedInstance]
) -> None:
    """Starts instances anew; returns once they take requests."""
    for each in killed:
        scene.cluster.restart(each)
    count = len(scene.running()) + len(killed)
    while len(scene.running()) < count:
        await anyio.sleep(0.001)


Happen = Callable[[Scene], Awaitable[None]]


def _find_ignorant(happen: Happen, count: int, seed: int) -> set[str]:
    """Returns who takes requests and does not know, 0.3 s after it is due."""
    environment = simpy.Environment()

    async def main() -> set[str]:
        async with anyio.create_task_group() as tasks:
            settings = clusters.ClusterSettings(instance_count=count, seed=seed)
            cluster = clusters.Cluster(settings, environment, tasks)
            await cluster.start(5.0 + 0.13 * seed)
            scene = Scene(cluster)
            await happen(scene)
            await anyio.sleep(KNOWN_WITHIN_S)
            ignorant = scene.running() - scene.knowing()
            cluster.stop()
        return ignorant

    return virtual.run(environment, main)


CASES = [
    pytest.param(_all_is_well, id="all is well"),
    pytest.param(_log_away, id="log away"),
    pytest.param(_leader_dead, id="leader dead"),
    pytest.param(_leader_frozen, id="leader frozen"),
    pytest.param(_leader_dead_and_log_away, id="leader dead, log away"),
    pytest.param(_many_frozen, id="many frozen"),
    pytest.param(_many_dead, id="many dead"),
    pytest.param(_seen_by_who_is_dead, id="seen by who is dead"),
    pytest.param(_connections_silent, id="connections silent"),
    pytest.param(_cut_heals, id="a cut heals"),
    pytest.param(_cut_heals_without_leader, id="a cut heals, no leader"),
    pytest.param(_ends_on_both_sides_of_a_cut, id="ends on both sides"),
    pytest.param(_restart, id="restart"),
    pytest.param(_restart_with_log_away, id="restart, log away"),
    pytest.param(_restart_of_all, id="restart of all"),
]


@pytest.mark.parametrize("happen", CASES)
def test_whoever_is_reached_knows_in_time(happen):
    for seed in range(6):
        assert _find_ignorant(happen, 11, seed) == set()


@pytest.mark.parametrize("happen", CASES)
def test_whoever_is_reached_knows_in_time_among_many(happen):
    assert _find_ignorant(happen, 40, 1) == set()
