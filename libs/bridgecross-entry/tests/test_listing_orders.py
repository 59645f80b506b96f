import anyio
import entry_fakes as fakes
import entry_support as support
import pytest
import test_cluster_tasks as scenes

from bridgecross_entry import cluster_state
from bridgecross_entry import instance_list
from bridgecross_entry import log
from bridgecross_entry import model

pytestmark = pytest.mark.anyio

OWN = support.INSTANCE.peer_address
PEER = model.Address("127.0.0.1", 7_001)


class _HeldLog(fakes.MemoryLog):
    """A log whose answer to the first put a test holds back."""

    def __init__(self) -> None:
        super().__init__()
        # Set once the record is written, and when the answer may come.
        self.is_written = anyio.Event()
        self.may_answer = anyio.Event()

    async def put(self, topic, record):
        answer = await super().put(topic, record)
        self.is_written.set()
        await self.may_answer.wait()
        return answer

    def write(self, address, *, listed):
        published = instance_list.ListedInstance(str(address), False)
        value = instance_list.INSTANCES.encode(published) if listed else b""
        record = log.KeyedRecord(str(address), value)
        self.records[cluster_state.INSTANCE_TOPIC].append(record)

    def is_listed(self, address):
        records = self.records[cluster_state.INSTANCE_TOPIC]
        values = [r.value for r in records if r.key == str(address)]
        return bool(values and values[-1])


# Guards against a leader that forgets an instance which listed itself again.
@pytest.mark.parametrize("is_history_kept", [True, False])
async def test_an_instance_listed_again_during_its_removal_stays(
    is_history_kept,
):
    held = _HeldLog()
    held.write(PEER, listed=True)
    scene = scenes.Scene(held)
    await scene.reader.read()
    peer_client = scene.cluster_tasks._peer_client
    peer_client.unresponsive_for_s = lambda _: 60.0
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.cluster_tasks._drop_lost_peers)
            await held.is_written.wait()
            held.write(PEER, listed=True)
            if not is_history_kept:
                held.forget(cluster_state.INSTANCE_TOPIC)
            await scene.reader.read()
            held.may_answer.set()
    assert held.is_listed(PEER)
    assert PEER in scene.reader.state.instances


async def test_a_lost_instance_is_removed_before_its_removal_is_read():
    held = _HeldLog()
    held.write(PEER, listed=True)
    held.may_answer.set()
    scene = scenes.Scene(held)
    await scene.reader.read()
    peer_client = scene.cluster_tasks._peer_client
    peer_client.unresponsive_for_s = lambda _: 60.0
    await scene.cluster_tasks._drop_lost_peers()
    assert not held.is_listed(PEER)
    assert PEER not in scene.reader.state.instances


# Guards against an instance that takes itself for listed after its removal.
async def test_an_instance_removed_while_it_lists_itself_does_so_again():
    held = _HeldLog()
    scene = scenes.Scene(held)
    await scene.reader.read()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.cluster_tasks._keep_registered)
        await held.is_written.wait()
        held.write(OWN, listed=False)
        await scene.reader.read()
        held.may_answer.set()
        await fakes.wait_until(lambda: held.is_listed(OWN))
        tasks.cancel_scope.cancel()
