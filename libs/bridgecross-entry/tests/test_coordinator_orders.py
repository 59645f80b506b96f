import anyio
import entry_fakes as fakes
import entry_support as support
import pytest
import test_coordinator as scenes

from bridgecross_entry import keymap
from bridgecross_entry import log

pytestmark = pytest.mark.anyio


class _HeldLog(fakes.MemoryLog):
    """A log whose answer to an append a test holds back."""

    def __init__(self) -> None:
        super().__init__()
        self.holds_next = False
        # Whether the map's way to the peers is held instead of the answer.
        self.holds_publishing = False
        # Set once the record is written, and when the answer may come.
        self.is_written = anyio.Event()
        self.may_answer = anyio.Event()

    async def append(self, *call: object):
        answer = await super().append(*call)
        if self.holds_next and not self.holds_publishing:
            await self._hold()
        return answer

    async def publish(self, _):
        if self.holds_next and self.holds_publishing:
            await self._hold()

    async def _hold(self):
        self.holds_next = False
        self.is_written.set()
        await self.may_answer.wait()

    def append_foreign(self):
        """Appends a map of another coordinator on top of the newest one."""
        newest = keymap.decode(self.records[fakes.TOPIC][-1].value)
        foreign = newest._replace(
            version=newest.version + 1, coordinator="entry-9"
        )
        record = log.KeyedRecord(fakes.SERVICE, keymap.encode(foreign))
        self.records[fakes.TOPIC].append(record)


# Guards against orders that follow from a map that is no longer the newest.
@pytest.mark.parametrize("holds_publishing", [False, True])
async def test_a_map_that_was_replaced_meanwhile_starts_no_moves(
    holds_publishing,
):
    held = _HeldLog()
    held.holds_publishing = holds_publishing
    lease_servers = fakes.LeaseServers()
    bench = fakes.CoordinatorHarness(held, lease_servers)
    bench.coordinator._publish_map = held.publish
    for name in "ab":
        bench.registry.put(support.make_server(name))
    async with scenes._running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(scenes.KEY) == "a")
        held.holds_next = True
        bench.registry.put(support.make_server("a", leaving=True))
        await held.is_written.wait()
        held.append_foreign()
        version = len(held.records[fakes.TOPIC])
        await fakes.wait_until(
            lambda: bench.table.newest(fakes.SERVICE).version == version
        )
        orders_count = len(lease_servers.orders)
        held.may_answer.set()
        await fakes.wait_until(lambda: bench.coordinator._superseded)
        await anyio.sleep(0.1)
        assert lease_servers.orders[orders_count:] == []
