"""In-memory fakes of the platform's log and of servers."""

import collections
import dataclasses
import time

import anyio
import anyio.lowlevel
import entry_support as support

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import coordinator
from bridgecross_entry import follower
from bridgecross_entry import keymap
from bridgecross_entry import leases
from bridgecross_entry import load_view
from bridgecross_entry import log
from bridgecross_entry import metrics
from bridgecross_entry import planner
from bridgecross_entry import server_registry
from bridgecross_entry import servers

SERVICE = ids.ServiceName("rapor")
TOPIC = "keys"


class MemoryLog:
    """A ``log.PlatformLog`` that keeps its records in memory."""

    def __init__(self) -> None:
        self.records: dict[str, list[log.KeyedRecord]]
        self.records = collections.defaultdict(list)
        self.unavailable = False
        # Topics that are unavailable while the others are available.
        self.unavailable_topics: set[str] = set()
        # The first available offset of a topic whose history was dropped.
        self.first: dict[str, int] = {}
        # Set while calls for the newest records are answered.
        self.may_answer_newest = anyio.Event()
        self.may_answer_newest.set()
        # Whether the next append is executed but its answer is lost.
        self.lose_answer = False

    async def read_newest(self, topic):
        await self.may_answer_newest.wait()
        if self.unavailable or topic in self.unavailable_topics:
            return log.Unreachable("away")
        newest = {record.key: record for record in self.records[topic]}
        # An empty value deletes its key.
        records = tuple(record for record in newest.values() if record.value)
        return log.Newest(records, len(self.records[topic]))

    async def read(self, topic, offset, wait_ms):
        await anyio.lowlevel.checkpoint()
        if self.unavailable or topic in self.unavailable_topics:
            return log.Unreachable("away")
        if offset < self.first.get(topic, 0):
            return log.Forgotten()
        records = tuple(self.records[topic][offset:])
        end = offset + len(records)
        return log.Batch(records, end, end)

    async def append(self, topic, record, expected_end, may_send=log.always):
        if not may_send():
            return log.Withheld()
        if self.unavailable:
            return log.Unreachable("away")
        end = len(self.records[topic])
        if end != expected_end:
            return log.Conflict(end)
        self.records[topic].append(record)
        if self.lose_answer:
            self.lose_answer = False
            return log.Uncertain("the answer was lost")
        return log.Appended(end)

    async def put(self, topic, record):
        if self.unavailable:
            return False
        self.records[topic].append(record)
        return True

    def forget(self, topic):
        """Drops the history; the newest record of each key stays."""
        self.first[topic] = len(self.records[topic])


class PartialLog(MemoryLog):
    """One instance's connection to a shared log, which may fail by topic."""

    def __init__(self, shared: MemoryLog) -> None:
        super().__init__()
        self.records = shared.records
        self.first = shared.first
        # The events that held answers wait for.
        self.held_answers: list[anyio.Event] = []
        self.holds_answers = False

    def release_all(self) -> None:
        self.holds_answers = False
        for gate in self.held_answers:
            gate.set()

    async def _wait_if_held(self):
        if self.holds_answers:
            gate = anyio.Event()
            self.held_answers.append(gate)
            await gate.wait()

    async def read_newest(self, topic):
        answer = await super().read_newest(topic)
        await self._wait_if_held()
        return answer

    async def read(self, topic, offset, wait_ms):
        answer = await super().read(topic, offset, wait_ms)
        await self._wait_if_held()
        return answer


class Grant:
    """A lease of a key range."""

    def __init__(self, server, first, last, token, until_s) -> None:
        self.server = server
        self.first = first
        self.last = last
        self.token = token
        self.until_s = until_s


class LeaseServers:
    """An ``attempts.LeaseClient`` that records the leases of all servers."""

    def __init__(self) -> None:
        self.grants: list[Grant] = []
        self.orders: list[tuple[str, str, int, int, int]] = []
        self.overlaps: list[str] = []
        # Servers that do not answer, and those whose process has ended.
        self.silent: set[str] = set()
        self.ended: set[str] = set()
        # Servers whose address now belongs to another run.
        self.replaced: set[str] = set()
        self.fences: dict[str, int] = collections.defaultdict(lambda: -1)

    async def grant(
        self, server, first_key, last_key, token, lease_ms, handover, may_order
    ):
        if not may_order():
            return attempts.Withheld()
        name = server.name
        self.orders.append(("grant", name, first_key, last_key, token))
        if name in self.replaced:
            return attempts.Gone("another server has its address")
        if name in self.ended:
            return attempts.Refused("ended")
        if name in self.silent:
            await anyio.sleep_forever()
        now_s = time.monotonic()
        until_s = now_s + lease_ms / 1_000
        for held in self.grants:
            crosses = held.first <= last_key and first_key <= held.last
            if crosses and held.until_s > now_s and held.server != name:
                self.overlaps.append(f"{held.server} and {name}")
        self.grants = [
            g
            for g in self.grants
            if (g.server, g.first, g.last) != (name, first_key, last_key)
        ]
        self.grants.append(Grant(name, first_key, last_key, token, until_s))
        return attempts.Granted()

    async def release(self, server, first_key, last_key, token, may_order):
        if not may_order():
            return attempts.Withheld()
        name = server.name
        self.orders.append(("release", name, first_key, last_key, token))
        if name in self.replaced:
            return attempts.Gone("another server has its address")
        if name in self.ended:
            return attempts.Refused("ended")
        if name in self.silent:
            await anyio.sleep_forever()
        kept = []
        for held in self.grants:
            outside = held.last < first_key or held.first > last_key
            if held.server != name or outside:
                kept.append(held)
            else:
                args = (held.token, held.until_s)
                if held.first < first_key:
                    kept.append(Grant(name, held.first, first_key - 1, *args))
                if held.last > last_key:
                    kept.append(Grant(name, last_key + 1, held.last, *args))
        self.grants = kept
        return attempts.Released("state")

    async def can_connect(self, server):
        return server.name not in self.silent | self.ended

    def sweep(self, known):
        return

    def restart(self, name: str) -> None:
        """Restarts a server, which loses its leases and its state."""
        self.grants = [g for g in self.grants if g.server != name]

    def holder(self, key: int) -> str | None:
        """Returns the server that currently holds a key."""
        now_s = time.monotonic()
        for grant in self.grants:
            if grant.first <= key <= grant.last and grant.until_s > now_s:
                return grant.server
        return None


class Lead:
    """The permission to send orders, which a test may revoke."""

    def __init__(self) -> None:
        self.may_order = True
        # In the past, so that no earlier leader sends orders any more.
        self.half_known_s = float("-inf")
        self.known_to_all_s = float("-inf")


LEASES = leases.LeaseSettings(
    lease_ms=200.0,
    expiry_margin_s=0.02,
    previous_leader_s=0.2,
    previous_order_s=0.05,
    grant_timeout_s=0.03,
    release_timeout_s=0.05,
    order_pause_s=0.01,
)
COORDINATION = coordinator.CoordinatorSettings(
    renew_interval_s=0.05,
    plan_interval_s=0.05,
    settled_write_delay_s=0.1,
    list_stable_s=0.0,
    log_retry_interval_s=0.01,
)


class CoordinatorHarness:
    """One coordinator with the parts that it needs."""

    def __init__(
        self,
        platform_log: MemoryLog,
        lease_servers: LeaseServers,
        name: str = "entry-1",
        lease_settings: leases.LeaseSettings = LEASES,
    ) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.table = keymap.KeyTable(journal)
        self.loads = load_view.LoadView(load_view.LoadSettings())
        self.list_is_fresh = True
        self.follower = follower.Follower(
            follower.FollowSettings(TOPIC, 0, 0.01),
            platform_log,
            self._take,
            self._take,
            journal,
            real,
        )
        self.lead = Lead()
        lease_manager = leases.LeaseManager(
            SERVICE,
            lease_settings,
            support.BOUNDS,
            self.lead,
            lease_servers,
            self.registry,
            journal,
            metrics.Metrics(),
            real,
        )
        self.coordinator = coordinator.Coordinator(
            SERVICE,
            COORDINATION,
            planner.PlanSettings(),
            dataclasses.replace(support.INSTANCE, name=name),
            platform_log,
            TOPIC,
            self.follower,
            lease_manager,
            self.registry,
            self.table,
            self.loads,
            lambda: self.list_is_fresh,
            self._ignore,
            lambda _: None,
            journal,
            metrics.Metrics(),
            real,
        )

    def _take(self, records) -> None:
        for record in records:
            self.table.put(keymap.decode(record.value), "log")

    async def _ignore(self, _) -> None:
        return


async def wait_until(condition, timeout_s: float = 3.0) -> None:
    """Waits until a condition holds."""
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.005)
