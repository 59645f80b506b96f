"""Keys of servers that hang, were cut off, or limit their requests."""

import anyio
import entry_fakes as fakes
import entry_support as support
import pytest
import test_coordinator as scenes

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import keymap
from bridgecross_entry import load

pytestmark = pytest.mark.anyio


class HungServers(fakes.LeaseServers):
    """Silent servers still accept connections, as their kernels do."""

    async def can_connect(self, server):
        return server.name not in self.ended


EVEN_KEYS = range(scenes.KEY, keymap.LAST_KEY, 8_192)


async def _report_even_load(bench):
    """Reports 16 requests per second, evenly over the keys."""
    counts = tuple(load.KeyCount(key, 1) for key in EVEN_KEYS)
    while True:
        bench.loads.add_report(counts, ())
        await anyio.sleep(0.5)


def _owned_keys_count(bench, name):
    """Returns how many of the keys with load a server owns."""
    ranges = bench.table.newest(fakes.SERVICE).ranges
    return sum(
        r.first_key <= key <= r.last_key
        for r in ranges
        if r.owner == name
        for key in EVEN_KEYS
    )


# Guards against refusing what a limited owner does not take but others could.
async def test_keys_of_a_limited_server_go_to_others():
    _, lease_servers, bench = scenes._make("a", "b")
    async with scenes._running(bench), anyio.create_task_group() as tasks:
        await fakes.wait_until(lambda: lease_servers.holder(scenes.KEY) == "a")
        tasks.start_soon(_report_even_load, bench)
        await anyio.sleep(1.5)
        assert _owned_keys_count(bench, "a") == len(EVEN_KEYS) / 2
        bench.registry.notices.record(
            support.make_server("a"), attempts.Notice(limit_per_s=1.0)
        )
        await fakes.wait_until(
            lambda: _owned_keys_count(bench, "a") <= 1, timeout_s=8.0
        )
        tasks.cancel_scope.cancel()


# Keys stayed forever with a server that accepts connections but never answers.
async def test_keys_of_a_server_that_hangs_go_elsewhere():
    hung = HungServers()
    bench = fakes.CoordinatorHarness(fakes.MemoryLog(), hung)
    for name in "ab":
        bench.registry.put(support.make_server(name))
    async with scenes._running(bench):
        await fakes.wait_until(lambda: hung.holder(scenes.KEY) == "a")
        hung.silent.add("a")
        await fakes.wait_until(
            lambda: hung.holder(scenes.KEY) == "b", timeout_s=5.0
        )


# Guards against a server that hung for a while and is never used again.
async def test_a_server_that_hung_is_used_again_once_it_answers():
    hung = HungServers()
    bench = fakes.CoordinatorHarness(fakes.MemoryLog(), hung)
    for name in "ab":
        bench.registry.put(support.make_server(name))
    async with scenes._running(bench):
        await fakes.wait_until(lambda: hung.holder(scenes.KEY) == "a")
        hung.silent.add("a")
        await fakes.wait_until(
            lambda: hung.holder(scenes.KEY) == "b", timeout_s=5.0
        )
        hung.silent.clear()
        hung.silent.add("b")
        await fakes.wait_until(
            lambda: hung.holder(scenes.KEY) == "a", timeout_s=8.0
        )
    assert not hung.overlaps


# Guards against a server that was cut off and is left alone when it is back.
async def test_a_server_that_was_cut_off_for_long_is_heard_at_once():
    cut_off = fakes.LeaseServers()
    bench = fakes.CoordinatorHarness(fakes.MemoryLog(), cut_off)
    for name in "ab":
        bench.registry.put(support.make_server(name))
    async with scenes._running(bench):
        await fakes.wait_until(lambda: cut_off.holder(scenes.KEY) == "a")
        cut_off.silent.add("a")
        await fakes.wait_until(lambda: cut_off.holder(scenes.KEY) == "b")
        # Longer than a server that hangs is waited for.
        await anyio.sleep(1.5)
        cut_off.silent.clear()
        manager = bench.coordinator._lease_manager
        await fakes.wait_until(
            lambda: manager.is_responsive(ids.ServerId("a")), timeout_s=0.3
        )
