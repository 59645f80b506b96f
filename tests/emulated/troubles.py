"""Faults of a cluster, for tests of when a change is in force everywhere."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances

UNDISTURBED_AFTER_S = 3.0
"""For so long nothing may have disturbed an instance that is in touch."""


class Scene:
    """A cluster in which something happens."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.leader = cluster.leader
        self.others = cluster.others()
        # When an instance was last disturbed, for those that ever were.
        self.disturbed_s: dict[instances.EmulatedInstance, float] = {}

    def disturb(self, *disturbed: instances.EmulatedInstance) -> None:
        """Notes that instances are disturbed at this moment."""
        for each in disturbed:
            self.disturbed_s[each] = self.cluster.now_s


async def nothing(scene: Scene) -> None:
    """All is well."""


async def cut_leader_off_log(scene: Scene) -> None:
    scene.leader.log_client.cut()
    scene.disturb(scene.leader)


async def cut_leader_off_log_beside_dead(scene: Scene) -> None:
    """Words to one that says nothing hold up those to the others."""
    dead = scene.others.pop()
    scene.cluster.isolate(dead)
    scene.cluster.pause(dead)
    await anyio.sleep(0.3)
    await cut_leader_off_log(scene)


async def turn_leader_away(scene: Scene) -> None:
    scene.leader.log_client.rejected = True
    scene.disturb(scene.leader)


async def kill_leader(scene: Scene) -> None:
    scene.leader.kill()
    scene.disturb(scene.leader)


async def restart_leader(scene: Scene) -> None:
    scene.leader.kill()
    scene.disturb(scene.leader)
    await anyio.sleep(1.0)
    scene.cluster.restart(scene.leader)


async def freeze_leader(scene: Scene) -> None:
    scene.cluster.pause(scene.leader)
    scene.disturb(scene.leader)


async def freeze_leader_for_a_while(scene: Scene) -> None:
    """What it had written before it stood still comes after that."""
    await freeze_leader(scene)
    await anyio.sleep(1.0)
    scene.cluster.resume(scene.leader)
    scene.disturb(scene.leader)


async def isolate_leader(scene: Scene) -> None:
    """It reaches the log, but none of the others."""
    scene.cluster.isolate(scene.leader)
    scene.disturb(scene.leader)


async def hold_words_up(scene: Scene) -> None:
    """The leader's words arrive, all of them late."""
    leader = scene.leader.settings.peer_address
    for _ in range(8):
        for other in scene.others:
            scene.cluster.network.cut(leader, other.settings.peer_address)
        await anyio.sleep(0.35)
        scene.cluster.network.heal()
        await anyio.sleep(0.01)


async def silence_connections(scene: Scene) -> None:
    """All open connections go silent for good."""
    scene.cluster.silence()
    scene.disturb(*scene.cluster.instances)


async def silence_connections_and_kill_leader(scene: Scene) -> None:
    """Who has not called the log since learns of it only by calling it."""
    await silence_connections(scene)
    await anyio.sleep(UNDISTURBED_AFTER_S)
    await kill_leader(scene)


async def leave_circuits_open_and_kill_leader(scene: Scene) -> None:
    """The log was away until just now, for all but the leader."""
    for other in scene.others:
        other.log_client.cut()
    scene.leader.log_client.cut()
    await anyio.sleep(6.0)
    for each in scene.cluster.instances:
        each.log_client.heal()
    scene.disturb(*scene.cluster.instances)
    await anyio.sleep(1.5)
    await kill_leader(scene)


async def freeze_leader_and_then_the_next(scene: Scene) -> None:
    """The next one stands still once it has claimed."""
    await freeze_leader(scene)
    while scene.cluster.leader is scene.leader:
        await anyio.sleep(0.01)
    following = scene.cluster.leader
    scene.cluster.pause(following)
    scene.disturb(following)


async def follow_one_that_claimed_and_stood_still(scene: Scene) -> None:
    """Its first word comes 1 s after it was written."""
    await freeze_leader(scene)
    while scene.cluster.leader is scene.leader:
        await anyio.sleep(0.0005)
    following = scene.cluster.leader
    address = following.settings.peer_address
    for other in scene.cluster.instances:
        scene.cluster.network.cut(address, other.settings.peer_address)
    scene.disturb(following)
    await anyio.sleep(1.0)
    scene.cluster.network.heal()
    scene.cluster.pause(following)
    scene.disturb(following)


Happen = Callable[[Scene], Awaitable[None]]

ALL = {
    "leader cut off the log": cut_leader_off_log,
    "all is well": nothing,
    "and an instance is dead": cut_leader_off_log_beside_dead,
    "leader turned away": turn_leader_away,
    "leader gone": kill_leader,
    "leader restarts": restart_leader,
    "leader frozen": freeze_leader,
    "leader frozen and back": freeze_leader_for_a_while,
    "leader cut off the others": isolate_leader,
    "words held up": hold_words_up,
    "connections silent": silence_connections,
    "connections silent, then leader gone": silence_connections_and_kill_leader,
    "log back, then leader gone": leave_circuits_open_and_kill_leader,
    "two leaders frozen": freeze_leader_and_then_the_next,
    "first word late": follow_one_that_claimed_and_stood_still,
}
"""What may happen to instances, by name."""
