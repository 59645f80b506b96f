"""Leaders that consider themselves alone in clusters that change at random."""

import random

import anyio
import pytest
import simpy

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual

_SETTLE_S = 6.0
_WATCHED_S = 60.0
_CHECK_INTERVAL_S = 0.05
_CUT_INTERVAL_S = 0.2


class _Scene:
    """A cluster that is cut in two while instances join and restart."""

    def __init__(self, seed, environment, tasks) -> None:
        self._rng = random.Random(seed)
        self._tasks = tasks
        self._count = self._rng.randint(2, 7)
        settings = clusters.ClusterSettings(self._count, seed=seed)
        self.cluster = clusters.Cluster(settings, environment, tasks)
        # The addresses of the leader and of those that are cut off with it.
        self._staying = set()

    def _is_staying(self, instance) -> bool:
        return instance.settings.peer_address in self._staying

    def _cut(self) -> None:
        """Cuts links, also those of processes that have just started."""
        for each in self.cluster.instances:
            if self._is_staying(each) and not each.log_client.is_cut:
                each.log_client.cut()
            for other in self.cluster.instances:
                if self._is_staying(each) != self._is_staying(other):
                    self.cluster.network.cut(
                        each.settings.peer_address, other.settings.peer_address
                    )

    def _heal(self) -> None:
        self._staying.clear()
        self.cluster.network.heal()
        for each in self.cluster.instances:
            if each.log_client.is_cut:
                each.log_client.heal()

    async def cut_twice(self) -> None:
        for _ in range(2):
            leader = self.cluster.leader
            others = [e for e in self.cluster.instances if e is not leader]
            least = (len(others) + 1) // 2
            followers = self._rng.sample(
                others, self._rng.randint(least, len(others))
            )
            self._staying = {
                each.settings.peer_address for each in (leader, *followers)
            }
            end_s = self.cluster.now_s + self._rng.uniform(4.0, 26.0)
            while self.cluster.now_s < end_s:
                self._cut()
                await anyio.sleep(_CUT_INTERVAL_S)
            self._heal()
            await anyio.sleep(self._rng.uniform(0.1, 9.0))

    async def join(self) -> None:
        for _ in range(self._rng.randint(1, 4)):
            new = self.cluster._make(len(self.cluster.instances))
            self.cluster.instances.append(new)
            self._tasks.start_soon(new.run)
            await anyio.sleep(self._rng.choice([0.0, 1.0, 8.0]))

    async def restart_some(self) -> None:
        for _ in range(self._rng.randint(0, 4)):
            await anyio.sleep(self._rng.uniform(0.2, 10.0))
            lost = self._rng.choice(self.cluster.instances)
            if lost.is_killed or self._is_staying(lost):
                continue
            lost.kill()
            await anyio.sleep(self._rng.choice([0.05, 0.5, 2.0]))
            self.cluster.restart(lost)

    def names_alone(self) -> list[str]:
        return [
            each.settings.name
            for each in self.cluster.instances
            if not each.is_killed
            and each.parts.cluster_tasks._leadership.sole_term is not None
        ]


def _find_two_alone(seed) -> list[str]:
    """Returns the first leaders that are alone at the same time."""
    environment = simpy.Environment()

    async def main() -> list[str]:
        async with anyio.create_task_group() as tasks:
            scene = _Scene(seed, environment, tasks)
            await scene.cluster.start(_SETTLE_S)
            for work in (scene.cut_twice, scene.join, scene.restart_some):
                tasks.start_soon(work)
            found: list[str] = []
            end_s = _SETTLE_S + _WATCHED_S
            while len(found) < 2 and scene.cluster.now_s < end_s:
                found = scene.names_alone()
                await anyio.sleep(_CHECK_INTERVAL_S)
            scene.cluster.stop()
        return found if len(found) > 1 else []

    return virtual.run(environment, main)


# Guards against majorities that do not meet, whatever joins and restarts.
@pytest.mark.parametrize("seed", [1, 10, 14, 15, 18, 19, 22, 23])
def test_two_leaders_are_never_alone_in_a_changing_cluster(seed):
    assert _find_two_alone(seed) == []
