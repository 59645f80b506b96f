import contextlib
import dataclasses
import time

import anyio
import anyio.lowlevel
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import log

pytestmark = pytest.mark.anyio

KEY = 100


@contextlib.asynccontextmanager
async def _running(*benches: fakes.CoordinatorHarness):
    async with anyio.create_task_group() as tasks:
        for bench in benches:
            tasks.start_soon(bench.follower.run)
            tasks.start_soon(bench.coordinator.run)
        yield
        tasks.cancel_scope.cancel()


def _make(
    *names: str,
) -> tuple[fakes.MemoryLog, fakes.LeaseServers, fakes.CoordinatorHarness]:
    platform_log = fakes.MemoryLog()
    lease_servers = fakes.LeaseServers()
    bench = fakes.CoordinatorHarness(platform_log, lease_servers)
    for name in names:
        bench.registry.put(support.make_server(name))
    return platform_log, lease_servers, bench


async def test_all_keys_are_granted_and_stay_granted():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY))
        await anyio.sleep(0.5)
        assert lease_servers.holder(KEY) == "a"
        assert lease_servers.holder(keymap.LAST_KEY) == "b"
    assert not lease_servers.overlaps


async def test_a_leaving_server_hands_its_keys_over():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        bench.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_a_server_whose_answers_say_it_leaves_hands_its_keys_over():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        leaving = attempts.Notice(is_leaving=True)
        bench.registry.notices.record(support.make_server("a"), leaving)
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_keys_stay_with_their_owner_while_an_earlier_leader_may_order():
    """A release proves nothing yet, and a leaving server still serves."""
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        bench.lead.half_known_s = time.monotonic()
        bench.lead.known_to_all_s = float("inf")
        bench.registry.put(support.make_server("a", leaving=True))
        await anyio.sleep(0.15)
        assert lease_servers.holder(KEY) == "a"
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_keys_of_a_server_replaced_by_another_run_move_at_once():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.replaced.add("a")
        lease_servers.grants = [
            g for g in lease_servers.grants if g.server != "a"
        ]
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b", 0.19)


async def test_keys_of_a_server_that_refuses_wait_for_its_lease():
    """It may still be working although it accepts no connections."""
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.ended.add("a")
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_keys_of_a_silent_server_wait_for_its_lease():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.silent.add("a")
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_a_server_that_the_list_does_not_show_may_still_hold_keys():
    """A coordinator with an old list took an unknown owner for terminated."""
    platform_log, lease_servers, first = _make("a", "b")
    async with _running(first):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
    second = fakes.CoordinatorHarness(platform_log, lease_servers, "entry-2")
    second.registry.put(support.make_server("b"))
    async with _running(second):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_nothing_moves_while_the_server_list_is_out_of_date():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        bench.list_is_fresh = False
        bench.registry.remove(ids.ServerId("a"), log_was_unavailable=False)
        await anyio.sleep(0.4)
        assert lease_servers.holder(KEY) == "a"


async def test_ranges_stay_held_while_the_log_is_unavailable():
    platform_log, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        platform_log.unavailable = True
        await anyio.sleep(0.6)
        assert lease_servers.holder(KEY) == "a"


async def test_two_coordinators_never_make_two_owners():
    platform_log, lease_servers, first = _make("a", "b", "c")
    second = fakes.CoordinatorHarness(platform_log, lease_servers, "entry-2")
    for name in "abc":
        second.registry.put(support.make_server(name))
    async with _running(first, second):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        for bench in (first, second):
            bench.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) in {"b", "c"})
        await anyio.sleep(0.3)
    assert not lease_servers.overlaps


async def test_an_append_whose_answer_is_lost_is_recognized():
    platform_log, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        platform_log.lose_answer = True
        bench.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_a_hot_range_is_split_without_two_owners():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        deadline_s = time.monotonic() + 2.0
        while lease_servers.holder(1_199) == lease_servers.holder(1_000):
            assert time.monotonic() < deadline_s
            bench.loads.add_report(
                tuple(load.KeyCount(key, 2) for key in range(1_000, 1_200)), ()
            )
            await anyio.sleep(0.05)
    assert not lease_servers.overlaps


async def test_tokens_rise_with_each_owner_of_a_key():
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        bench.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    grants = [
        o for o in lease_servers.orders if o[0] == "grant" and o[2] <= KEY
    ]
    tokens = [token for _, _, _, last, token in grants if last >= KEY]
    assert tokens == sorted(tokens)
    by_owner = {name: token for _, name, _, _, token in grants}
    assert by_owner["b"] > by_owner["a"]


async def test_a_follower_reloads_when_log_history_is_truncated():
    class ForgetfulLog(fakes.MemoryLog):
        async def read(self, topic, offset, wait_ms):
            return log.Forgotten()

    platform_log = ForgetfulLog()
    bench = fakes.CoordinatorHarness(platform_log, fakes.LeaseServers())
    for _ in range(3):
        platform_log.records[fakes.TOPIC].append(
            log.KeyedRecord(
                fakes.SERVICE,
                keymap.encode(
                    keymap.KeyMap(
                        fakes.SERVICE,
                        len(platform_log.records[fakes.TOPIC]) + 1,
                        ids.InstanceId("i"),
                        support.INSTANCE.peer_address,
                        (
                            keymap.KeyRange(
                                0, keymap.LAST_KEY, ids.ServerId("a"), 1
                            ),
                        ),
                    )
                ),
            )
        )
        assert await bench.follower.catch_up()
    newest = bench.table.newest(fakes.SERVICE)
    assert newest is not None
    assert newest.version == 3


async def test_completed_moves_are_recorded_in_the_log():
    platform_log, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        bench.registry.put(support.make_server("a", leaving=True))

        def is_written() -> bool:
            newest = keymap.decode(platform_log.records[fakes.TOPIC][-1].value)
            moved = all(r.owner == "b" for r in newest.ranges)
            return moved and not any(r.previous_owner for r in newest.ranges)

        await fakes.wait_until(is_written)


async def test_a_coordinator_builds_on_a_map_that_it_had_not_received():
    """The coordinator knows where the log ends, but not the last map.

    It wrote a second map of the same version, and a key had two owners.
    """
    platform_log, lease_servers, first = _make("a", "b")
    async with _running(first):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        second = fakes.CoordinatorHarness(
            platform_log, lease_servers, "entry-2"
        )
        for name in "ab":
            second.registry.put(support.make_server(name))
        await second.follower.catch_up()
        first.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
        second.follower.next_offset = first.follower.next_offset
    seen = first.table.newest(fakes.SERVICE)
    assert seen is not None
    async with _running(second):
        await fakes.wait_until(
            lambda: (
                keymap.decode(
                    platform_log.records[fakes.TOPIC][-1].value
                ).coordinator
                == "entry-2"
            )
        )
        versions = [
            keymap.decode(record.value).version
            for record in platform_log.records[fakes.TOPIC]
        ]
    assert versions == sorted(set(versions))
    assert not lease_servers.overlaps


async def test_leases_are_renewed_while_a_write_waits_for_the_log():
    """Writes delayed renewals, so keys were not served during a log outage."""

    class HangingLog(fakes.MemoryLog):
        hangs = False

        async def append(self, topic, record, expected_end):
            if self.hangs:
                await anyio.sleep(0.8)
                return log.Uncertain("no answer in time")
            return await super().append(topic, record, expected_end)

        async def read(self, topic, offset, wait_ms):
            if self.hangs:
                await anyio.sleep(0.8)
                return log.Unreachable("no answer in time")
            return await super().read(topic, offset, wait_ms)

    platform_log = HangingLog()
    lease_servers = fakes.LeaseServers()
    bench = fakes.CoordinatorHarness(platform_log, lease_servers)
    for name in "abc":
        bench.registry.put(support.make_server(name))
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        platform_log.hangs = True
        bench.registry.put(support.make_server("c", leaving=True))
        deadline_s = time.monotonic() + 2.0
        while time.monotonic() < deadline_s:
            assert lease_servers.holder(KEY) == "a"
            await anyio.sleep(0.02)


async def test_no_order_is_sent_once_a_newer_map_is_known():
    platform_log, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        platform_log.unavailable = True
        newest = bench.table.newest(fakes.SERVICE)
        foreign_map = newest._replace(
            version=newest.version + 1, coordinator=ids.InstanceId("entry-2")
        )
        bench.table.put(foreign_map, "peer")
        await anyio.lowlevel.checkpoint()
        orders_count = len(lease_servers.orders)
        await anyio.sleep(0.3)
        assert len(lease_servers.orders) == orders_count


async def test_completed_moves_are_not_repeated_by_the_next_leader():
    platform_log, lease_servers, first = _make("a", "b")
    async with _running(first):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        first.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
        moved = platform_log.records[fakes.TOPIC][-1]
    second = fakes.CoordinatorHarness(platform_log, lease_servers, "entry-2")
    for name in "ab":
        second.registry.put(support.make_server(name))
    platform_log.records[fakes.TOPIC].append(moved)
    await second.follower.catch_up()
    newest = second.table.newest(fakes.SERVICE)
    moving = [r for r in newest.ranges if r.previous_owner]
    assert moving
    for r in moving:
        second.table.mark_settled(fakes.SERVICE, r.token, r.first_key)
    lease_servers.orders.clear()
    async with _running(second):
        await fakes.wait_until(lambda: lease_servers.orders)
        await anyio.sleep(0.2)
    assert not [o for o in lease_servers.orders if o[0] == "release"]
    assert lease_servers.holder(KEY) == "b"


async def test_a_range_that_its_new_owner_did_not_accept_is_granted_again():
    """The range stayed unserved for good when its owner was silent briefly."""
    _, lease_servers, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.silent.add("b")
        bench.registry.put(support.make_server("a", leaving=True))
        await fakes.wait_until(
            lambda: bench.coordinator._lease_manager.is_lost("b")
        )
        lease_servers.silent.clear()
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b")
    assert not lease_servers.overlaps


async def test_a_new_owner_is_recorded_before_the_lease_is_over():
    """The log becomes unavailable while a lost server's lease still runs."""
    platform_log, lease_servers = fakes.MemoryLog(), fakes.LeaseServers()
    long = dataclasses.replace(fakes.LEASES, lease_ms=600.0)
    bench = fakes.CoordinatorHarness(
        platform_log, lease_servers, lease_settings=long
    )
    for name in ("a", "b"):
        bench.registry.put(support.make_server(name))
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.silent.add("a")
        await fakes.wait_until(
            lambda: bench.table.find(fakes.SERVICE, KEY).server_id == "b"
        )
        assert lease_servers.holder(KEY) == "a"
        platform_log.unavailable = True
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "b", 1.0)
    assert not lease_servers.overlaps


async def test_a_lost_server_that_is_back_takes_keys_again():
    _, lease_servers, bench = _make("a", "b", "c")
    async with _running(bench):
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
        lease_servers.silent.add("a")
        await fakes.wait_until(lambda: lease_servers.holder(KEY) in {"b", "c"})
        lease_servers.silent.clear()
        await anyio.sleep(0.1)
        for name in ("b", "c"):
            bench.registry.put(support.make_server(name, leaving=True))
        await fakes.wait_until(lambda: lease_servers.holder(KEY) == "a")
    assert not lease_servers.overlaps


class WorkingServers(fakes.LeaseServers):
    """Answers a release once running requests have ended.

    A further release finds nothing held and is answered at once.
    """

    def __init__(self) -> None:
        super().__init__()
        # Servers that run a request on every range that they hold.
        self.busy: dict[str, anyio.Event] = {}
        # Releases that wait for running requests: the server, the first and
        # last key, and when the lease would have expired.
        self.pending_releases: list[tuple[str, int, int, float]] = []
        # Grants of ranges on which a previous holder still ran requests.
        self.conflicting_grants: list[str] = []

    def begin_request(self, name: str) -> None:
        self.busy[name] = anyio.Event()

    def end_request(self, name: str) -> None:
        self.busy.pop(name).set()

    async def grant(self, server, first_key, last_key, *rest: object):
        now_s = time.monotonic()
        self.conflicting_grants += [
            f"{server.name}, while {name} works"
            for name, first, last, until_s in self.pending_releases
            if first <= last_key and first_key <= last and now_s < until_s
        ]
        return await super().grant(server, first_key, last_key, *rest)

    async def release(self, server, first_key, last_key, *rest: object):
        name = server.name
        until_s = max(
            (
                held.until_s
                for held in self.grants
                if held.server == name
                and held.first <= last_key
                and first_key <= held.last
            ),
            default=0.0,
        )
        answer = await super().release(server, first_key, last_key, *rest)
        if until_s and name in self.busy:
            work = (name, first_key, last_key, until_s)
            self.pending_releases.append(work)
            await self.busy[name].wait()
            self.pending_releases.remove(work)
        return answer

    def released(self, name: str) -> list[tuple[str, str, int, int, int]]:
        """Returns the releases of the key that a server got, in order."""
        return [
            order
            for order in self.orders
            if order[:2] == ("release", name) and order[2] <= KEY <= order[3]
        ]


LONG_LEASES = dataclasses.replace(
    fakes.LEASES, lease_ms=1_000.0, release_timeout_s=2.0
)


def _make_working(*names: str):
    platform_log, working = fakes.MemoryLog(), WorkingServers()
    bench = fakes.CoordinatorHarness(
        platform_log, working, lease_settings=LONG_LEASES
    )
    for name in names:
        bench.registry.put(support.make_server(name))
    return platform_log, working, bench


async def _evacuate(bench, working, name: str) -> str:
    """Makes a server leave; returns the key's owner after its release."""
    bench.registry.put(support.make_server(name, leaving=True))
    await fakes.wait_until(lambda: working.released(name))
    return bench.table.find(fakes.SERVICE, KEY).server_id


def _complete_late_append(platform_log, bench) -> int:
    """Completes an append that this coordinator had given up."""
    newest = bench.table.newest(fakes.SERVICE)
    late = newest._replace(version=newest.version + 1)
    record = log.KeyedRecord(fakes.SERVICE, keymap.encode(late))
    platform_log.records[fakes.TOPIC].append(record)
    return late.version


async def _adopt_late_append(platform_log, bench) -> None:
    """Completes such an append and waits until the coordinator adopts it."""
    version = _complete_late_append(platform_log, bench)
    await bench.follower.catch_up()
    await fakes.wait_until(lambda: bench.coordinator._version >= version)


# A move was executed twice, and a key was granted again while its last holder
# still ran requests on it.
async def test_a_range_that_is_being_reclaimed_is_not_moved_again():
    platform_log, working, bench = _make_working(*"abcd")
    async with _running(bench):
        await fakes.wait_until(lambda: working.holder(KEY) == "a")
        working.begin_request("a")
        second = await _evacuate(bench, working, "a")
        await _adopt_late_append(platform_log, bench)
        late_s = time.monotonic()
        working.end_request("a")
        await fakes.wait_until(lambda: working.holder(KEY) == second)
        working.begin_request(second)
        await anyio.sleep(late_s + 0.8 - time.monotonic())
        third = await _evacuate(bench, working, second)
        working.replaced.add(third)
        bench.registry.end(
            ids.ServerId(third), "another server has its address"
        )
        await anyio.sleep(late_s + 1.6 - time.monotonic())
        assert not working.conflicting_grants
        working.end_request(second)
        await fakes.wait_until(
            lambda: working.holder(KEY) not in {None, second}
        )
    assert not working.conflicting_grants


class OutrankingServers(fakes.LeaseServers):
    """One server rejects the next renewal, as if it knew a higher token.

    This also happens normally, when a release of a part of the range overtakes
    the renewal.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        # Called when the server rejects a renewal; None if it accepts them.
        self.on_refusal = None

    async def grant(self, server, *order: object):
        if self.on_refusal and server.name == self.name:
            self.on_refusal()
            self.on_refusal = None
            return attempts.Outranked()
        return await super().grant(server, *order)


# A key was granted to a new owner without a release by its last holder, which
# still ran requests on it.
async def test_a_range_is_reclaimed_before_an_outranked_server_gets_it():
    outranking = OutrankingServers("b")
    bench = fakes.CoordinatorHarness(fakes.MemoryLog(), outranking)
    for name in "ab":
        bench.registry.put(support.make_server(name))
    async with _running(bench):
        await fakes.wait_until(lambda: outranking.holder(KEY) == "a")
        outranking.on_refusal = lambda: bench.registry.put(
            support.make_server("a", leaving=True)
        )
        await fakes.wait_until(lambda: outranking.holder(KEY) == "b")
    asked = [order[1] for order in outranking.orders if order[0] == "release"]
    assert "a" in asked
    assert not outranking.overlaps


# A completed move was repeated and waited for a lease, leaving keys unserved.
async def test_a_move_that_completes_during_an_append_is_not_repeated():
    class SlowLog(fakes.MemoryLog):
        slow_s = 0.0

        async def append(self, topic, record, expected_end):
            await anyio.sleep(self.slow_s)
            return await super().append(topic, record, expected_end)

    platform_log, working = SlowLog(), WorkingServers()
    bench = fakes.CoordinatorHarness(
        platform_log, working, lease_settings=LONG_LEASES
    )
    for name in "abcd":
        bench.registry.put(support.make_server(name))
    async with _running(bench):
        await fakes.wait_until(lambda: working.holder(KEY) == "a")
        working.begin_request("a")
        second = await _evacuate(bench, working, "a")
        platform_log.slow_s = 0.2
        other = next(n for n in "bcd" if n != second)
        bench.registry.put(support.make_server(other, leaving=True))
        await anyio.sleep(0.1)
        working.end_request("a")
        await fakes.wait_until(lambda: working.holder(KEY) == second)
        platform_log.slow_s = 0.0
        asked_count = len(working.released("a"))
        deadline_s = time.monotonic() + 1.5
        while time.monotonic() < deadline_s:
            assert working.holder(KEY) == second
            await anyio.sleep(0.02)
    assert len(working.released("a")) == asked_count
    assert not working.conflicting_grants


# A server's rejection of a token was cleared although no higher token had been
# written to the log.
async def test_a_rejection_is_kept_until_a_new_token_is_in_the_log():
    platform_log, _, bench = _make("a", "b")
    async with _running(bench):
        await fakes.wait_until(lambda: bench.table.newest(fakes.SERVICE))
        await anyio.sleep(0.3)
        coordinating, owner = bench.coordinator, ids.ServerId("a")
        version = _complete_late_append(platform_log, bench)
        coordinating._lease_manager.outranked.add(owner)
        async with anyio.create_task_group() as tasks:
            await coordinating._append_moves(tasks, (), "test")
            tokens = {r.token for r in coordinating._ranges if r.owner == owner}
            assert (
                version in tokens
                or owner in coordinating._lease_manager.outranked
            )
