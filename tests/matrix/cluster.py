"""A small cluster of complete instances in one process, and its checks."""

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
_KEY_COUNT = 12
_LOAD_INTERVAL_S = 0.02


def build_document(*, slots: int = 4, checks: bool = True) -> dict[str, Any]:
    """Returns the sample settings, reduced to one small service."""
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
    # Long, so that a queue owner that is cut off could still violate
    # guarantees.
    place["authority_ms"] = 3_000
    document["slots_per_server"] = slots
    for caller in document["callers"].values():
        caller["tiers"] = {"anadolu/rapor": caller["tiers"]["anadolu/rapor"]}
    return document


@dataclasses.dataclass
class Node:
    """An instance and the settings versions that it had in force."""

    # Its connections, and whether its process runs.
    link: fakes.Link
    # The instance itself.
    entry: instance.Instance
    # Its state according to the log.
    state: control.ControlState
    # The settings versions that it had in force, in order.
    versions: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class SentRequest:
    """A request and its outcome."""

    # When the request was sent, in virtual seconds.
    sent_s: float
    # Its key.
    key: str
    # Its id.
    request_id: str
    # The outcome that the caller got; None if no answer arrived.
    outcome: outcomes.Outcome | None


class Cluster:
    """Instances, servers, log and instance list in virtual time."""

    def __init__(
        self,
        environment: simpy.Environment,
        tasks: anyio.abc.TaskGroup,
        *,
        checks: bool,
        seed: int = 0,
    ) -> None:
        """Initializes an empty cluster."""
        self.environment = environment
        self.tasks = tasks
        self.log = fakes.FakeLog()
        self.listing = fakes.FakeList(environment)
        self.peers = fakes.FakePeers()
        self.servers: dict[str, fakes.FakeServer] = {}
        self.nodes: dict[str, Node] = {}
        self.sent_requests: list[SentRequest] = []
        self.published: list[int] = []
        # The version that each accepted change was based on.
        self._base_versions: list[int] = []
        self.on_lease: Any = lambda server, link, request: None
        self.checks = checks
        self._random_source = random.Random(seed)

    async def start(self, instances: int = 4, servers: int = 3) -> None:
        """Starts servers and instances and waits until all keys are served."""
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
        """Starts a backend server and adds it to the instance list."""
        rate = self._random_source.uniform(0.9997, 1.0003)
        clock = fakes.VirtualClock(self.environment, rate)
        server = fakes.FakeServer(name, clock, checks=self.checks)
        server.on_lease = lambda link, request: self.on_lease(
            name, link, request
        )
        self.servers[name] = server
        self.put_listing(name, membership.ListedState.LIVE)

    def put_listing(self, name: str, state: membership.ListedState) -> None:
        """Adds or replaces a server or an instance in the instance list."""
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
        """Starts an instance and adds it to the instance list."""
        rate = self._random_source.uniform(0.9997, 1.0003)
        clock = fakes.VirtualClock(self.environment, rate)
        link = fakes.Link(name)
        connection = fakes.ServerConnection(self.servers, link, clock)
        instance_ports = ports.InstancePorts(
            clock=clock,
            stamps=hybrid_clock.HybridClock(clock),
            log=self.log.connect(link),
            listing=self.listing.connect(link),
            peers=self.peers.connect(link),
            make_leases=lambda addresses: connection,
            make_backend=lambda settings: connection,
        )
        entry = instance.Instance(_process_settings(name), instance_ports)
        node = Node(link, entry, entry.control)
        self.nodes[name] = node
        self.peers.nodes[name] = (link, entry)
        self.put_listing(name, membership.ListedState.LIVE)
        self.tasks.start_soon(entry.run)
        self.tasks.start_soon(self._watch_versions, node)
        return node

    async def publish(self, base: int, *, slots: int) -> int:
        """Appends a settings change, as the command-line tool would."""
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
        if self.replay_log().settings.offset == offset:
            self.published.append(offset)
            self._base_versions.append(base)
        return offset

    def replay_log(self) -> control.ControlState:
        """Returns the state after all records of the log."""
        clock = hybrid_clock.HybridClock(fakes.VirtualClock(self.environment))
        state = control.ControlState(
            rings.Ring(rings.RingSettings("checker"), clock)
        )
        for offset, data in enumerate(self.log.streams.get(STREAM, [])):
            state.apply(log_service.StoredRecord(ids.Offset(offset), data))
        return state

    def find_coordinator(self) -> Node:
        """Returns the instance that coordinates the service."""
        return self.nodes[self.replay_log().find_cell(SERVICE).coordinator]

    def find_queue_owner(self, server: str) -> Node:
        """Returns the queue owner of a server."""
        cell = self.replay_log().find_cell(SERVICE)
        return self.nodes[cell.queue_owners[ids.ServerId(server)].instance]

    def list_ready(self) -> list[Node]:
        """Returns the running instances that are ready."""
        return [
            node
            for node in self.nodes.values()
            if not (node.link.lost or node.link.paused)
            and not node.entry.describe().not_ready
        ]

    async def is_served(self) -> bool:
        """Returns whether a request for every key is answered.

        The requests are spread over all ready instances.
        """
        nodes = self.list_ready()
        if not nodes:
            return False
        sent_requests = []
        async with anyio.create_task_group() as tasks:
            for number in range(_KEY_COUNT):
                sent = self._record_request(f"key-{number}")
                sent_requests.append(sent)
                node = nodes[number % len(nodes)]
                tasks.start_soon(self._send, node, sent)
        return all(
            isinstance(sent.outcome, outcomes.Answered)
            for sent in sent_requests
        )

    def _record_request(self, key: str) -> SentRequest:
        """Records a request that is about to be sent."""
        number = len(self.sent_requests)
        sent = SentRequest(float(self.environment.now), key, f"r{number}", None)
        self.sent_requests.append(sent)
        return sent

    async def _send(self, node: Node, sent: SentRequest) -> None:
        """Sends a request and records its outcome."""
        request = requests.Request(
            request_id=sent.request_id,
            service=SERVICE,
            key=sent.key,
            caller="mufettis-demir",
            tier="inspector",
            method="PUT",
            target=f"/v1/rapor/{sent.key}",
            headers=(),
            body=b"",
            deadline_s=node.entry.now_s() + DEADLINE_S,
            idempotency_key="",
        )
        with anyio.move_on_after(DEADLINE_S * 1.5):
            outcome = await node.entry.handle(request)
            await node.link.wait_until_running()
            sent.outcome = outcome

    async def _load(self) -> None:
        """Sends requests through random instances until cancelled."""
        number = 0
        while True:
            nodes = self.list_ready()
            if nodes:
                # Requests for a key must come through every instance: only then
                # does it show if two instances send them to different servers.
                node = self._random_source.choice(nodes)
                sent = self._record_request(f"key-{number % _KEY_COUNT}")
                self.tasks.start_soon(self._send, node, sent)
            number += 1
            await anyio.sleep(_LOAD_INTERVAL_S)

    async def _watch_versions(self, node: Node) -> None:
        """Records the settings versions that an instance has in force."""
        while True:
            version = node.state.settings.offset
            if not node.versions or node.versions[-1] != version:
                node.versions.append(version)
            await node.state.changed.wait(0.5)

    def list_violations(self) -> list[str]:
        """Returns all violations of the guarantees."""
        journal = [e for s in self.servers.values() for e in s.journal]
        not_run = [
            sent.request_id
            for sent in self.sent_requests
            if isinstance(sent.outcome, outcomes.NotRun)
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
        return found + self._list_lost_records()

    def _list_lost_records(self) -> list[str]:
        """Returns violations by records that are lost or read differently."""
        full_state = self.replay_log()
        found = []
        if self.published and self.published[-1] > full_state.settings.offset:
            found.append("a published version is lost")
        if len(set(self._base_versions)) < len(self._base_versions):
            found.append("two changes based on the same version were accepted")
        expected = full_state.find_cell(SERVICE).to_snapshot()
        for name, node in self.nodes.items():
            if (
                node.link.lost
                or node.state.next_offset < full_state.next_offset
            ):
                continue
            if node.state.find_cell(SERVICE).to_snapshot() != expected:
                found.append(f"{name} read the whole log but has another state")
        return found


def _process_settings(name: str) -> process.ProcessSettings:
    """Returns the settings of an instance, with addresses that are not used."""
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
