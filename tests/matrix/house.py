"""A small house of whole instances in one process, and its checks."""

import dataclasses
import pathlib
import random
from typing import Any

import anyio
import anyio.abc
import simpy

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_daemon import control
from bridgecross_daemon import instance
from bridgecross_daemon import ports
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_ownership import membership
from bridgecross_request import requests
from bridgecross_settings import check
from bridgecross_settings import process
from bridgecross_settings import versions
from bridgecross_standins import checker
from bridgecross_timeline import ring as rings
from tests.matrix import fakes

SERVICE = ids.ServiceName("rapor")
STREAM = instance.name_control_stream("karatas", "anadolu")
DEADLINE_S = 1.0
_DOMAINS = ("ankara-hall", "kayseri-hall", "konya-hall")
_SAMPLE = pathlib.Path(__file__).parents[2] / "settings" / "karatas.jsonc"
_KEYS = 12
_PACE_S = 0.02


def build_document(*, slots: int = 4, checks: bool = True) -> dict[str, Any]:
    """Returns the sample settings cut down to one small service."""
    text = _SAMPLE.read_text(encoding="utf-8")
    document = check.check_text(text, "karatas").document
    place = document["places"]["anadolu"]
    place["services"] = {"rapor": place["services"]["rapor"]}
    place["services"]["rapor"] |= {
        "slice_count": 8,
        "checks_fences": checks,
        "max_deadline_ms": 2_000,
    }
    place["drain_notice_ms"] = 500
    # Long, so that a front that is cut off has time to do harm.
    place["authority_ms"] = 3_000
    document["slots_per_server"] = slots
    for caller in document["callers"].values():
        caller["tiers"] = {"anadolu/rapor": caller["tiers"]["anadolu/rapor"]}
    return document


@dataclasses.dataclass
class Node:
    """One instance and what became of what it was asked."""

    # How it is connected.
    link: fakes.Link
    # The instance itself.
    entry: instance.Instance
    # Its folded state.
    state: control.ControlState
    # The settings versions that it had in force, in order.
    versions: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Told:
    """What a caller was told."""

    # When the request was sent, in virtual seconds.
    sent_s: float
    # Its key.
    key: str
    # Its id.
    request_id: str
    # What the caller was told; None if no answer came.
    outcome: outcomes.Outcome | None


class House:
    """Instances, servers, log and list in virtual time."""

    def __init__(
        self,
        environment: simpy.Environment,
        tasks: anyio.abc.TaskGroup,
        *,
        checks: bool,
        seed: int = 0,
    ) -> None:
        """Starts nothing yet."""
        self.environment = environment
        self.tasks = tasks
        self.log = fakes.FakeLog()
        self.listing = fakes.FakeList(environment)
        self.peers = fakes.FakePeers()
        self.servers: dict[str, fakes.FakeServer] = {}
        self.nodes: dict[str, Node] = {}
        self.told: list[Told] = []
        self.published: list[int] = []
        # The version that each accepted change was an edit of.
        self._edited: list[int] = []
        self.on_lease: Any = lambda server, link, request: None
        self.checks = checks
        self._randomness = random.Random(seed)

    async def start(self, instances: int = 4, servers: int = 3) -> None:
        """Starts everything and waits until all slices are served."""
        for number in range(1, servers + 1):
            self.add_server(f"rapor-{number}")
        for number in range(1, instances + 1):
            self.add_node(f"entry-{number}")
        await self.publish(ids.NO_OFFSET, slots=4)
        with anyio.fail_after(30):
            while not await self.is_served():
                await anyio.sleep(0.2)
        self.tasks.start_soon(self._load)

    def add_server(self, name: str) -> None:
        """Starts a backend server and lists it."""
        rate = self._randomness.uniform(0.9997, 1.0003)
        clock = fakes.VirtualClock(self.environment, rate)
        server = fakes.FakeServer(name, clock, checks=self.checks)
        server.on_lease = lambda link, request: self.on_lease(
            name, link, request
        )
        self.servers[name] = server
        self.list_one(name, membership.ListedState.LIVE)

    def list_one(self, name: str, state: membership.ListedState) -> None:
        """Puts a server or an instance on the list."""
        is_server = name in self.servers
        self.listing.put(
            membership.Listing(
                name=name,
                role=membership.Role.BACKEND
                if is_server
                else membership.Role.ENTRY,
                service=SERVICE if is_server else "",
                failure_domain=_DOMAINS[int(name[-1]) % 3],
                address=name,
                state=state,
            )
        )

    def add_node(self, name: str) -> Node:
        """Starts an instance and lists it."""
        rate = self._randomness.uniform(0.9997, 1.0003)
        clock = fakes.VirtualClock(self.environment, rate)
        link = fakes.Link(name)
        connection = fakes.ServerConnection(self.servers, link, clock)
        outside = ports.InstancePorts(
            clock=clock,
            stamps=hybrid_clock.HybridClock(clock),
            log=self.log.connect(link),
            listing=self.listing.connect(link),
            peers=self.peers.connect(link),
            make_leases=lambda addresses: connection,
            make_backend=lambda settings: connection,
        )
        entry = instance.Instance(_process_settings(name), outside)
        node = Node(link, entry, entry.control)
        self.nodes[name] = node
        self.peers.nodes[name] = (link, entry)
        self.list_one(name, membership.ListedState.LIVE)
        self.tasks.start_soon(entry.run)
        self.tasks.start_soon(self._watch_versions, node)
        return node

    async def publish(self, base: int, *, slots: int) -> int:
        """Appends a change of the settings, as the tool would."""
        document = build_document(slots=slots, checks=self.checks)
        change = versions.SettingsChange(
            ids.Offset(base), "ayse", "", codec.to_json(document).encode()
        )
        connection = self.log.connect(fakes.Link("tool"))
        envelope = log_records.Envelope(
            log_records.new_record_id(),
            versions.CHANGE_KIND,
            "tool",
            hybrid_clock.Timestamp(0, 0),
            versions.encode_change(change),
        )
        try:
            offset = await connection.append(
                STREAM, log_records.encode_envelope(envelope)
            )
        except log_service.LogError:
            return ids.NO_OFFSET
        if self.fold().settings.offset == offset:
            self.published.append(offset)
            self._edited.append(base)
        return offset

    def fold(self) -> control.ControlState:
        """Returns what the whole log folds to."""
        clock = hybrid_clock.HybridClock(fakes.VirtualClock(self.environment))
        state = control.ControlState(
            rings.Ring(rings.RingSettings("checker"), clock)
        )
        for offset, data in enumerate(self.log.streams.get(STREAM, [])):
            state.apply(log_service.StoredRecord(ids.Offset(offset), data))
        return state

    def find_coordinator(self) -> Node:
        """Returns the instance that coordinates the service."""
        return self.nodes[self.fold().find_cell(SERVICE).coordinator]

    def find_front(self, server: str) -> Node:
        """Returns the instance that fronts a server."""
        cell = self.fold().find_cell(SERVICE)
        return self.nodes[cell.fronts[ids.ServerId(server)].front]

    def list_running(self) -> list[Node]:
        """Returns the instances that take requests at the moment."""
        return [
            node
            for node in self.nodes.values()
            if not (node.link.lost or node.link.paused)
            and not node.entry.describe().not_ready
        ]

    async def is_served(self) -> bool:
        """Returns whether every key is answered through every instance."""
        nodes = self.list_running()
        if not nodes:
            return False
        asked = []
        async with anyio.create_task_group() as tasks:
            for number in range(_KEYS):
                told = self._note(f"key-{number}")
                asked.append(told)
                node = nodes[number % len(nodes)]
                tasks.start_soon(self._send, node, told)
        return all(
            isinstance(told.outcome, outcomes.Answered) for told in asked
        )

    def _note(self, key: str) -> Told:
        """Keeps a request that is about to be sent."""
        number = len(self.told)
        told = Told(float(self.environment.now), key, f"r{number}", None)
        self.told.append(told)
        return told

    async def _send(self, node: Node, told: Told) -> None:
        """Sends one request and keeps what was told."""
        request = requests.Request(
            request_id=told.request_id,
            service=SERVICE,
            key=told.key,
            caller="mufettis-demir",
            tier="inspector",
            method="PUT",
            target=f"/v1/rapor/{told.key}",
            headers=(),
            body=b"",
            deadline_s=node.entry.now_s() + DEADLINE_S,
            idempotency_key="",
        )
        with anyio.move_on_after(DEADLINE_S * 1.5):
            outcome = await node.entry.handle(request)
            await node.link.gate()
            told.outcome = outcome

    async def _load(self) -> None:
        """Sends requests for ever, through any of the instances."""
        number = 0
        while True:
            nodes = self.list_running()
            if nodes:
                # Every key must come through every instance, or nobody sees
                # that two of them send it to different servers.
                node = self._randomness.choice(nodes)
                told = self._note(f"key-{number % _KEYS}")
                self.tasks.start_soon(self._send, node, told)
            number += 1
            await anyio.sleep(_PACE_S)

    async def _watch_versions(self, node: Node) -> None:
        """Keeps the versions that an instance had in force."""
        while True:
            version = node.state.settings.offset
            if not node.versions or node.versions[-1] != version:
                node.versions.append(version)
            await node.state.changed.wait(0.5)

    def list_violations(self) -> list[str]:
        """Returns everything that must never happen and did."""
        journal = [e for s in self.servers.values() for e in s.journal]
        not_run = [
            told.request_id
            for told in self.told
            if isinstance(told.outcome, outcomes.NotRun)
        ]
        found = [
            f"{violation.rule}: {violation.detail}"
            for violation in (
                *checker.check_owners(journal),
                *checker.check_not_run(journal, not_run),
            )
        ]
        for name, node in self.nodes.items():
            if node.versions != sorted(node.versions):
                found.append(f"{name} reverted settings: {node.versions}")
        return found + self._list_lost()

    def _list_lost(self) -> list[str]:
        """Returns acknowledged records that a reader does not have."""
        whole = self.fold()
        found = []
        if self.published and self.published[-1] > whole.settings.offset:
            found.append("a published version is lost")
        if len(set(self._edited)) < len(self._edited):
            found.append("two changes of one version were accepted")
        expected = whole.find_cell(SERVICE).to_snapshot()
        for name, node in self.nodes.items():
            if node.link.lost or node.state.next_offset < whole.next_offset:
                continue
            if node.state.find_cell(SERVICE).to_snapshot() != expected:
                found.append(f"{name} folds the log to another state")
        return found


def _process_settings(name: str) -> process.ProcessSettings:
    """Returns the settings of an instance; its addresses are not used."""
    return process.ProcessSettings(
        instance=name,
        house="karatas",
        place="anadolu",
        failure_domain=_DOMAINS[int(name[-1]) % 3],
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:1",
        admin_address="127.0.0.1:1",
        log_url="http://127.0.0.1:1",
        instance_list_url="http://127.0.0.1:1",
        snapshot_interval_s=6,
    )
