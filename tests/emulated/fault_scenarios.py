"""Faults of a cluster, for tests of when a change is in force everywhere."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances

UNDISTURBED_AFTER_S = 3.0
"""How long an instance must be undisturbed for checks of delays to apply."""


class Scene:
    """A cluster and the disturbances of its instances."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.leader = cluster.leader
        self.others = cluster.others()
        # When an instance was last disturbed, for those that ever were.
        self.disturbed_s: dict[instances.EmulatedInstance, float] = {}

    def disturb(self, *disturbed: instances.EmulatedInstance) -> None:
        """Records that instances are disturbed at this moment."""
        for each in disturbed:
            self.disturbed_s[each] = self.cluster.now_s


async def inject_nothing(scene: Scene) -> None:
    """Injects no fault."""


async def cut_leader_off_log(scene: Scene) -> None:
    scene.leader.log_client.cut()
    scene.disturb(scene.leader)


async def cut_leader_off_log_with_dead_instance(scene: Scene) -> None:
    """Messages to an instance that is down delay those to the others."""
    dead = scene.others.pop()
    scene.cluster.isolate(dead)
    scene.cluster.pause(dead)
    await anyio.sleep(0.3)
    await cut_leader_off_log(scene)


async def reject_leader(scene: Scene) -> None:
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


async def pause_leader(scene: Scene) -> None:
    scene.cluster.pause(scene.leader)
    scene.disturb(scene.leader)


async def pause_leader_for_a_while(scene: Scene) -> None:
    """What the leader sent before the pause arrives after it."""
    await pause_leader(scene)
    await anyio.sleep(1.0)
    scene.cluster.resume(scene.leader)
    scene.disturb(scene.leader)


async def isolate_leader(scene: Scene) -> None:
    """The leader reaches the log, but none of the other instances."""
    scene.cluster.isolate(scene.leader)
    scene.disturb(scene.leader)


async def delay_messages(scene: Scene) -> None:
    """The leader's messages all arrive late."""
    leader = scene.leader.settings.peer_address
    for _ in range(8):
        for other in scene.others:
            scene.cluster.network.cut(leader, other.settings.peer_address)
        await anyio.sleep(0.35)
        scene.cluster.network.heal()
        await anyio.sleep(0.01)


async def silence_connections(scene: Scene) -> None:
    """All open connections become permanently silent."""
    scene.cluster.silence()
    scene.disturb(*scene.cluster.instances)


async def silence_connections_and_kill_leader(scene: Scene) -> None:
    """Instances notice the silent connections only when they call the log."""
    await silence_connections(scene)
    await anyio.sleep(UNDISTURBED_AFTER_S)
    await kill_leader(scene)


async def leave_circuits_open_and_kill_leader(scene: Scene) -> None:
    """The log was unreachable for all until shortly before the kill.

    The circuit breakers of the other instances are still open.
    """
    for other in scene.others:
        other.log_client.cut()
    scene.leader.log_client.cut()
    await anyio.sleep(6.0)
    for each in scene.cluster.instances:
        each.log_client.heal()
    scene.disturb(*scene.cluster.instances)
    await anyio.sleep(1.5)
    await kill_leader(scene)


async def pause_leader_and_then_the_next(scene: Scene) -> None:
    """The next leader is paused as soon as it has claimed."""
    await pause_leader(scene)
    while scene.cluster.leader is scene.leader:
        await anyio.sleep(0.01)
    following = scene.cluster.leader
    scene.cluster.pause(following)
    scene.disturb(following)


async def delay_first_message_of_next_leader(scene: Scene) -> None:
    """The first message of the next leader arrives 1 s after it was sent."""
    await pause_leader(scene)
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
    "all is well": inject_nothing,
    "and an instance is dead": cut_leader_off_log_with_dead_instance,
    "leader turned away": reject_leader,
    "leader gone": kill_leader,
    "leader restarts": restart_leader,
    "leader frozen": pause_leader,
    "leader frozen and back": pause_leader_for_a_while,
    "leader cut off the others": isolate_leader,
    "words held up": delay_messages,
    "connections silent": silence_connections,
    "connections silent, then leader gone": silence_connections_and_kill_leader,
    "log back, then leader gone": leave_circuits_open_and_kill_leader,
    "two leaders frozen": pause_leader_and_then_the_next,
    "first word late": delay_first_message_of_next_leader,
}
"""The scenarios, by name."""
