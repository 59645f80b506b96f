"""Servers that restart under the same name: each start begins a new run.

Leases and everything known about a server belong to one run. A newer start time
proves that the earlier run has ended; it does not prove that no order for the
earlier run has reached the new one.
"""

import contextlib
import itertools
from typing import NamedTuple

import anyio
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_entry import feeds
from bridgecross_entry import follower
from bridgecross_entry import keymap
from bridgecross_entry import log
from bridgecross_entry import server_list
from bridgecross_entry import server_registry
from bridgecross_entry import servers

pytestmark = pytest.mark.anyio

KEY = 100
TOPIC = "servers"


class Listing:
    """One instance's list of servers, read from a log in memory."""

    def __init__(self) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        self.log = fakes.MemoryLog()
        self.feed = feeds.Feed(TOPIC)
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.list = server_list.ServerList(
            self.feed, self._decode, self.registry, journal, real
        )
        self.feed.follower = follower.Follower(
            follower.FollowSettings(TOPIC, 0, 0.01),
            self.log,
            self.list.apply_all,
            self.list.apply_changes,
            journal,
            real,
        )

    def _decode(self, record):
        started = record.value.decode()
        return support.make_server(
            record.key, started_ms=None if started == "-" else int(started)
        )

    def write(self, name, *starts: int | str) -> None:
        """Writes entries: a start time, "-" for none, empty for a removal."""
        for start in starts:
            record = log.KeyedRecord(name, str(start).encode())
            self.log.records[TOPIC].append(record)

    async def read(self) -> None:
        await self.feed.follower.catch_up()

    def used(self) -> list[str]:
        """Returns the runs that get new requests."""
        now_s = clock.SystemClock().monotonic_s()
        of_service = self.registry.of_service(ids.ServiceName("rapor"))
        return sorted(
            str(each.listed.server_id)
            for each in of_service
            if self.registry.is_staying(each, now_s)
        )


class Case(NamedTuple):
    """Entries of a server, and the runs that get new requests after them."""

    entries: list[int | str]
    used: list[str]
    # The same if only the newest entry is read, as after an outage of the log.
    used_after_outage: list[str]


CASES = {
    "a restart": Case([16, 32], ["a@20"], ["a@20"]),
    "two restarts in a read": Case([16, 32, 48], ["a@30"], ["a@30"]),
    "a late entry of an earlier run": Case([32, 16], ["a@20"], ["a@20"]),
    "removed in between": Case([16, "", 32], ["a@20"], ["a@20"]),
    # The removal is not read, so the newest entry might be an earlier run's.
    "removed, and the clock set back": Case([32, "", 16], ["a@10"], ["a@20"]),
    "no start time, where there was one": Case([16, "-"], [], []),
    "and its own entry again": Case([16, "-", 16], ["a@10"], ["a@10"]),
    "it begins to report its start time": Case(["-", 16], ["a@10"], ["a@10"]),
    "it never reports a start time": Case(["-", "-"], ["a"], ["a"]),
    "far future": Case(
        [16, 2**53 - 1], ["a@1fffffffffffff"], ["a@1fffffffffffff"]
    ),
}


@pytest.mark.parametrize("after_outage", [False, True])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_the_latest_run_is_used(case, after_outage):
    listing = Listing()
    listing.write("a", case.entries[0])
    await listing.read()
    listing.write("a", *case.entries[1:])
    if after_outage:
        listing.feed.follower.lost_since_s = 0.0
    await listing.read()
    assert listing.used() == (
        case.used_after_outage if after_outage else case.used
    )


async def test_single_reads_give_the_same_result_as_one_read():
    for entries in itertools.product([16, 32, ""], repeat=4):
        each, whole = Listing(), Listing()
        for entry in entries:
            each.write("a", entry)
            await each.read()
        whole.write("a", *entries[:1])
        await whole.read()
        whole.write("a", *entries[1:])
        await whole.read()
        assert set(each.list.listed) == set(whole.list.listed), entries
        assert each.used() == whole.used(), entries


async def test_failures_of_the_earlier_run_do_not_affect_the_new_one():
    listing = Listing()
    listing.write("a", 16)
    await listing.read()
    earlier = ids.ServerId("a@10")
    listing.registry.get(earlier).note_refused(
        clock.SystemClock().monotonic_s()
    )
    listing.registry.end(earlier, "another server has its address")
    assert listing.used() == []
    listing.write("a", 32)
    await listing.read()
    assert listing.used() == ["a@20"]
    assert listing.registry.get(ids.ServerId("a@20")).paused_until_s == 0
    assert listing.registry.has_ended(earlier)
    assert listing.registry.latest_run(earlier) == "a@20"


# Keys.


@contextlib.asynccontextmanager
async def _running(*names: str):
    platform_log = fakes.MemoryLog()
    lease_servers = fakes.LeaseServers()
    bench = fakes.CoordinatorHarness(platform_log, lease_servers)
    for name in names:
        bench.registry.put(support.make_server(name, started_ms=16))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.follower.run)
        tasks.start_soon(bench.coordinator.run)
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        yield platform_log, lease_servers, bench
        tasks.cancel_scope.cancel()
    assert not lease_servers.overlaps


def _list_restart(bench, started_ms=32) -> None:
    """Lists the restarted owner, as the coordinator would read it."""
    _apply(bench, support.make_server("a", started_ms=started_ms))


def _apply(bench, listed) -> None:
    earlier = ids.ServerId(f"a@{listed.started_ms - 16:x}")
    bench.registry.end(earlier, "it has started again")
    bench.registry.put(listed)


def _token(lease_servers) -> int:
    return max(g.token for g in lease_servers.grants if g.first <= KEY)


async def test_the_new_run_gets_the_keys_at_once_with_a_higher_token():
    async with _running("a", "b") as (_, lease_servers, bench):
        before = _token(lease_servers)
        lease_servers.restart("a")
        _list_restart(bench)
        # A lease lasts 0.2 s here; the coordinator does not wait for its
        # expiry.
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a", 0.1)
        await fakes.wait_until(lambda: _token(lease_servers) > before, 0.1)
        owner = bench.table.find(fakes.SERVICE, KEY).server_id
        assert owner == "a@20"


async def test_two_restarts_in_a_row():
    async with _running("a", "b") as (_, lease_servers, bench):
        for started_ms in (32, 48):
            lease_servers.restart("a")
            _list_restart(bench, started_ms)
        await fakes.wait_until(
            lambda: bench.table.find(fakes.SERVICE, KEY).server_id == "a@30",
            0.2,
        )
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a", 0.1)


async def test_an_unnoticed_restart_is_repaired_by_the_next_renewal():
    """The order intended for the earlier run reaches the new one."""
    async with _running("a", "b") as (_, lease_servers, _):
        lease_servers.restart("a")
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a", 0.1)


async def test_a_late_order_that_reached_the_new_run_is_revoked():
    """Its keys are assigned to another server, since the new run is leaving."""
    async with _running("a", "b") as (_, lease_servers, bench):
        lease_servers.restart("a")
        # The renewal intended for the earlier run reaches the new one.
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a", 0.1)
        new = support.make_server("a", started_ms=32, leaving=True)
        _apply(bench, new)
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b", 1.0)
        released = [o for o in lease_servers.orders if o[0] == "release"]
        assert {order[1] for order in released} == {"a"}


async def test_the_lease_of_a_silent_new_run_is_waited_for():
    """An order that reached it may have granted a lease."""
    async with _running("a", "b") as (_, lease_servers, bench):
        lease_servers.silent.add("a")
        new = support.make_server("a", started_ms=32, leaving=True)
        _apply(bench, new)
        begun_s = anyio.current_time()
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b", 2.0)
        assert anyio.current_time() - begun_s > 0.15


async def test_the_next_leader_learns_of_a_restart_from_the_map():
    async with _running("a", "b") as (platform_log, lease_servers, first):
        await fakes.wait_until(lambda: lease_servers.holder(keymap.LAST_KEY))
        before = _token(lease_servers)
        first.lead.may_order = False
        lease_servers.restart("a")
        following = fakes.CoordinatorHarness(
            platform_log, lease_servers, "entry-2"
        )
        # This instance has never read a list with the earlier run.
        following.registry.put(support.make_server("a", started_ms=32))
        following.registry.put(support.make_server("b", started_ms=16))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(following.follower.run)
            tasks.start_soon(following.coordinator.run)
            await fakes.wait_until(
                lambda: (
                    lease_servers.holder(KEY) is not None
                    and _token(lease_servers) > before
                ),
                2.0,
            )
            tasks.cancel_scope.cancel()
