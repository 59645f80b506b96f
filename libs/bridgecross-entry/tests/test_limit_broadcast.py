import anyio
import pytest

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_entry import limit_broadcast
from bridgecross_entry import model
from bridgecross_entry import quotas

pytestmark = pytest.mark.anyio

PEERS = tuple(model.Address("127.0.0.1", 7_000 + n) for n in range(3))
LIMITS = (quotas.KnownLimit(ids.ServerId("a"), 6.0),)
SETTINGS = limit_broadcast.LimitBroadcastSettings(
    interval_s=0.05, min_interval_s=0.01
)


class Client:
    """A ``peers.PeerClient`` that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[model.Address, bytes]] = []

    async def post_urgent(self, address, path, body, timeout_s):
        assert path == quotas.LIMITS_PATH
        self.sent.append((address, body))


class Scene:
    """A broadcaster and what it applies."""

    def __init__(self) -> None:
        self.client = Client()
        self.limits: tuple[quotas.KnownLimit, ...] = ()
        self.knows_limits = False
        self.applied: list[tuple[quotas.KnownLimit, ...]] = []
        self.broadcaster = limit_broadcast.LimitBroadcaster(
            SETTINGS,
            self.client,
            lambda: PEERS,
            lambda: self.limits,
            lambda: self.knows_limits or bool(self.limits),
            self.applied.append,
        )

    async def run_for(self, for_s):
        with anyio.move_on_after(for_s):
            await self.broadcaster.run()


async def test_nothing_is_sent_without_limits():
    scene = Scene()
    await scene.run_for(0.1)
    assert scene.client.sent == []


async def test_all_instances_hear_of_a_limit_repeatedly():
    scene = Scene()
    scene.limits = LIMITS
    await scene.run_for(0.2)
    rounds = len(scene.client.sent) / len(PEERS)
    assert rounds >= 2
    assert {address for address, _ in scene.client.sent} == set(PEERS)
    assert scene.applied[0] == LIMITS


async def test_a_new_limit_is_sent_at_once():
    scene = Scene()
    scene.broadcaster._settings = limit_broadcast.LimitBroadcastSettings(
        interval_s=60.0, min_interval_s=0.01
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.run_for, 0.1)
        await anyio.sleep(0.03)
        scene.limits = LIMITS
        scene.broadcaster.changed.notify()
    assert len(scene.client.sent) == len(PEERS)


# Guards against a leader that falls silent after it was unconfirmed once.
async def test_limits_are_repeated_again_after_a_moment_without_the_right():
    scene = Scene()
    scene.knows_limits = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.run_for, 0.2)
        await anyio.sleep(0.02)
        scene.limits = LIMITS
    assert scene.client.sent


def test_a_receiver_applies_what_it_is_sent():
    scene = Scene()
    scene.broadcaster.receive(quotas.LIMITS.encode(LIMITS))
    assert scene.applied == [LIMITS]


def test_an_unreadable_message_is_rejected():
    with pytest.raises(codec.CodecError):
        Scene().broadcaster.receive(b"\xc1")
