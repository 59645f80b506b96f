"""Tests of relay messages, encoded as on the wire but without a network."""

import dataclasses

import anyio
import cluster_state_support
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import cluster_state
from bridgecross_entry import exchange
from bridgecross_entry import instance_list
from bridgecross_entry import leadership
from bridgecross_entry import log
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import poison_broadcast
from bridgecross_entry import relaying
from bridgecross_request import poison_requests

pytestmark = pytest.mark.anyio


class LocalPeerClient(peers.PeerClient):
    """A peer client that calls other instances in the same process."""

    def __init__(self, members) -> None:
        real = clock.SystemClock()
        super().__init__(peers.PeerSettings(), support.make_journal(real), real)
        self._members = members
        # Addresses that cannot be reached.
        self.unreachable: set[model.Address] = set()
        # The address and length of each message.
        self.sent: list[tuple[model.Address, int]] = []
        # How long each answer takes after it was given.
        self.answer_delay_s = 0.0

    async def _call(self, address, path, body):
        self.sent.append((address, len(body)))
        await anyio.lowlevel.checkpoint()
        if address in self.unreachable:
            return peers._CallResult(peers.Reception.UNKNOWN)
        reply = self._members[address].server.answer(path, body)
        await anyio.sleep(self.answer_delay_s)
        receptions = {
            200: peers.Reception.ACCEPTED,
            409: peers.Reception.DISPUTED,
        }
        return peers._CallResult(receptions[reply.status], reply.body)


class Member:
    """An instance with its own connection to the log."""

    def __init__(self, platform_log, members, settings) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        self.address = model.Address("127.0.0.1", 7_000 + len(members))
        members[self.address] = self
        self.reader = cluster_state_support.Reader(platform_log)
        self.peer_client = LocalPeerClient(members)
        self.lead = leadership.Leadership(
            leadership.LeadershipSettings(),
            dataclasses.replace(
                support.INSTANCE,
                name=str(self.address),
                peer_address=self.address,
            ),
            platform_log,
            lambda: self.reader.state.instances,
            lambda: (),
            lambda: False,
            lambda: None,
            journal,
            real,
        )
        self.relayer = relaying.Relayer(
            settings,
            self.reader.state,
            self.lead,
            self.peer_client,
            self.make_poison_broadcaster(platform_log, real),
            lambda: tuple(a for a in members if a != self.address),
            journal,
            real,
        )
        self.server = peers.PeerServer(
            lambda _: None,
            lambda _: None,
            lambda _: None,
            self.relayer.receive,
            journal,
        )

    def make_poison_broadcaster(
        self, platform_log, real
    ) -> poison_broadcast.PoisonBroadcaster:
        journal = support.make_journal(real)
        return poison_broadcast.PoisonBroadcaster(
            poison_broadcast.PoisonBroadcastSettings(),
            poison_requests.PoisonLedger(
                poison_requests.PoisonSettings(), real
            ),
            peers.PeerClient(peers.PeerSettings(), journal, real),
            tuple,
            lambda record: platform_log.put("instances", record),
            journal,
            real,
        )

    async def broadcast(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.relayer.broadcast(tasks)


class Scene:
    """Three instances, of which the first one leads."""

    def __init__(self, **settings: int) -> None:
        self.shared = fakes.MemoryLog()
        self.add("servers", "a", b"rapor")
        self.configure(1)
        listed = instance_list.INSTANCES.encode(
            instance_list.ListedInstance("x", False)
        )
        for port in range(3):
            self.add(
                cluster_state.INSTANCE_TOPIC,
                f"127.0.0.1:{7_000 + port}",
                listed,
            )
        self.logs = [fakes.PartialLog(self.shared) for _ in range(3)]
        members: dict[model.Address, Member] = {}
        relay_settings = relaying.RelaySettings(**settings)
        self.members = [
            Member(each, members, relay_settings) for each in self.logs
        ]
        self.leader, *self.others = self.members
        self.leader.lead._claim = leadership.Claim(3, "leader")
        self.leader.lead.is_leader = True
        self.set_knows_claims(True)

    def set_knows_claims(self, knows_claims: bool) -> None:
        """Sets whether the others have read the claims, and so count."""
        for other in self.others:
            other.lead.knows_claims = knows_claims

    def add(self, topic, key, value) -> None:
        self.shared.records[topic].append(log.KeyedRecord(key, value))

    def configure(self, version) -> None:
        self.add("configuration", "config", b"%d" % version)

    async def read(self) -> None:
        for member in self.members:
            await member.reader.read()
        # As a new leader does.
        self.leader.reader.state.start_relaying()

    def versions(self) -> list[int]:
        return [member.reader.versions[-1] for member in self.members]


async def test_leader_learns_unreadable_topics_from_a_follower():
    scene = Scene()
    await scene.read()
    await scene.leader.broadcast()
    # Two instances cannot read this topic any more; the third one can.
    for each in scene.logs[:2]:
        each.unavailable_topics = {"configuration"}
    scene.configure(2)
    await scene.read()
    assert scene.versions() == [1, 1, 2]
    for _ in range(2):
        await scene.leader.broadcast()
    assert scene.versions() == [2, 2, 2]
    # The leader still tries to read the topic itself.
    configurations = scene.leader.reader.state._configurations.follower
    assert not configurations._is_relayed()
    assert configurations.is_lost


# Guards against a list that counts as younger for an answer that came late.
async def test_a_topic_learned_from_a_follower_is_as_old_as_its_read():
    scene = Scene()
    await scene.read()
    await scene.leader.broadcast()
    for each in scene.logs[:2]:
        each.unavailable_topics = {"servers"}
    scene.add("servers", "b", b"rapor")
    await scene.read()
    scene.leader.peer_client.answer_delay_s = 0.2
    for _ in range(2):
        await scene.leader.broadcast()
    assert scene.leader.reader.knows("b")
    states = [scene.leader.reader.state, scene.others[1].reader.state]
    learned, read = (state.server_list_as_of_s for state in states)
    # Ages are sent in whole milliseconds.
    assert learned <= read + 0.001


async def test_instance_that_missed_messages_catches_up_immediately():
    scene = Scene()
    await scene.read()
    await scene.leader.broadcast()
    scene.leader.peer_client.unreachable = {scene.others[0].address}
    for version in range(2, 9):
        scene.configure(version)
        await scene.leader.reader.read()
        await scene.leader.broadcast()
    assert scene.versions() == [8, 1, 8]
    scene.leader.peer_client.unreachable = set()
    await scene.leader.broadcast()
    assert scene.versions() == [8, 8, 8]


async def test_instance_that_starts_without_the_log_is_sent_everything():
    scene = Scene()
    await scene.members[0].reader.read()
    await scene.members[2].reader.read()
    new = scene.others[0]
    assert not new.reader.state.is_complete
    await scene.leader.broadcast()
    assert new.reader.state.is_complete
    assert new.reader.knows("a")
    assert new.reader.versions == [1]
    assert len(new.reader.state.instances) == 3


async def test_long_changes_are_sent_separately():
    scene = Scene(message_max_bytes=400)
    await scene.read()
    await scene.leader.broadcast()
    for number in range(200):
        scene.add("servers", f"server-{number:03}", b"rapor")
    await scene.leader.reader.read()
    scene.leader.peer_client.sent.clear()
    await scene.leader.broadcast()
    lengths = sorted(length for _, length in scene.leader.peer_client.sent)
    assert lengths[1] <= 400 < lengths[2]
    assert all(m.reader.knows("server-199") for m in scene.members)


async def test_up_to_date_instance_answers_only_with_its_stamp():
    scene = Scene()
    await scene.read()
    other = scene.others[0]
    for _ in range(2):
        await scene.leader.broadcast()
    message = scene.leader.relayer._make_relay(
        scene.leader.lead.claim,
        scene.leader.reader.state.offsets(),
        wants_batches=True,
    )
    envelope = peers._ENVELOPES.encode(peers._Envelope(None, message.encoded))
    reply = other.server.answer(b"/relay", envelope)
    answer = peers._REPLIES.decode(reply.body)
    assert reply.status == 200
    assert (answer.offsets, answer.batches, answer.counts_for_majority) == (
        (),
        (),
        True,
    )
    assert answer.stamp.process_id == other.relayer._process_id
    # The answer to each message is sent across failure domains.
    assert len(reply.body) <= 25


def _deliver_late(scene, delay_s, *, process_id=None) -> float:
    """Delivers a delayed message to one instance; returns the topic's age."""
    other = scene.others[0]
    follower = other.reader.state._configurations.follower
    follower.as_of_s -= 60
    relay = peers.Relay(
        scene.leader.lead.claim,
        False,
        False,
        False,
        scene.leader.reader.state.changes_since(other.reader.state.offsets()),
    )
    now_s = clock.SystemClock().monotonic_s()
    stamp = peers.Stamp(
        process_id or other.relayer._process_id, now_s - delay_s - 0.5
    )
    other.relayer.receive(relay, peers.ReturnedStamp(stamp, 0.5))
    return follower.age_s


@pytest.mark.parametrize("delay_s", [0.0, 0.7, 5.0])
async def test_receiver_determines_the_age_of_a_message(delay_s):
    """The sender may have been suspended between writing and sending it."""
    scene = Scene()
    await scene.read()
    assert delay_s <= _deliver_late(scene, delay_s) < delay_s + 0.4


async def test_message_of_unknown_age_does_not_reduce_ages():
    """The echoed answer is that of an earlier process at the address."""
    scene = Scene()
    await scene.read()
    assert _deliver_late(scene, 0.0, process_id=1) > 60


async def test_first_message_of_a_leader_has_an_unknown_age():
    scene = Scene()
    await scene.read()
    follower = scene.others[0].reader.state._configurations.follower
    follower.as_of_s -= 60
    await scene.leader.broadcast()
    assert follower.age_s > 60
    await scene.leader.broadcast()
    assert follower.age_s < 1


async def test_peer_that_was_not_called_recently_is_not_lost():
    """It failed to answer once, and has not been called since."""
    manual = support.ManualClock()
    answers = [False, False, True]

    class Link:
        async def exchange(self, request, accepts):
            if answers.pop(0):
                return exchange.Reply(200, (), b"")
            return exchange.Broken("reset")

    client = peers.PeerClient(
        peers.PeerSettings(),
        support.make_journal(manual),
        manual,
        lambda _: Link(),
    )
    address = model.Address("10.0.0.1", 1)
    await client.push_map(address, b"")
    manual.now_s += 1.5
    assert client.unresponsive_for_s(address) == 1.5
    manual.now_s += 60
    assert client.unresponsive_for_s(address) == 0
    await client.push_map(address, b"")
    manual.now_s += 1.5
    assert client.unresponsive_for_s(address) == 1.5
    await client.push_map(address, b"")
    assert client.unresponsive_for_s(address) == 0


async def test_sole_instance_must_read_the_list_to_lead():
    """Others may have joined the list since it lost the log."""
    scene = Scene()
    scene.shared.records[cluster_state.INSTANCE_TOPIC].clear()
    await scene.read()
    scene.leader.peer_client.members = {}
    scene.leader.relayer._addresses = tuple
    scene.logs[0].unavailable_topics = {cluster_state.INSTANCE_TOPIC}
    await scene.leader.reader.read()
    await scene.leader.broadcast()
    assert scene.leader.lead.half_known_s == float("inf")
    scene.logs[0].unavailable_topics = set()
    await scene.leader.reader.read()
    await scene.leader.broadcast()
    assert scene.leader.lead.half_known_s < float("inf")


async def test_just_started_instance_counts_for_no_majority():
    """In its earlier run it may have followed a later leader."""
    scene = Scene()
    await scene.read()
    scene.set_knows_claims(False)
    scene.leader.peer_client.unreachable = {scene.others[1].address}
    await scene.leader.broadcast()
    assert not scene.leader.lead._last_round.is_majority
    # It knows of this leader now, and accepts no earlier one.
    assert scene.leader.lead._last_round.excludes_others
    assert scene.leader.lead.known_to_all_s == float("inf")
    scene.set_knows_claims(True)
    await scene.leader.broadcast()
    assert scene.leader.lead._last_round.is_majority


async def test_instance_without_the_list_counts_no_majority():
    scene = Scene()
    scene.logs[0].unavailable_topics = {cluster_state.INSTANCE_TOPIC}
    await scene.read()
    await scene.leader.broadcast()
    assert scene.leader.lead.half_known_s == float("inf")
    scene.logs[0].unavailable_topics = set()
    await scene.read()
    await scene.leader.broadcast()
    assert scene.leader.lead.half_known_s < float("inf")


class _HeldTasks:
    """Tasks that have been started and do not run yet."""

    def __init__(self) -> None:
        self._started = []

    def start_soon(self, call, *args: object):
        self._started.append((call, args))

    async def run(self):
        for call, args in self._started:
            await call(*args)


def _let_another_lead(scene):
    """Lets the first leader hear the heartbeat of a later one."""
    later = leadership.Claim(4, str(scene.others[1].address))
    scene.leader.lead.handle_heartbeat(later)
    return later


# Guards against a heartbeat of the next leader that the previous one sends.
async def test_a_previous_leader_sends_no_heartbeat_of_the_next_one():
    scene = Scene()
    await scene.read()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.leader.broadcast)
        await anyio.lowlevel.checkpoint()
        later = _let_another_lead(scene)
    assert scene.others[0].lead.claim != later


# Guards against a stopping leader that resigns the lead of the next one.
async def test_a_late_message_does_not_resign_the_lead_of_the_next_leader():
    scene = Scene(message_max_bytes=400)
    await scene.read()
    await scene.leader.broadcast()
    for number in range(200):
        scene.add("servers", f"server-{number:03}", b"rapor")
    await scene.leader.reader.read()
    scene.leader.relayer.resigns = True
    tasks = _HeldTasks()
    await scene.leader.relayer.broadcast(tasks)
    later = _let_another_lead(scene)
    for other in scene.others:
        other.lead.handle_heartbeat(later)
    await tasks.run()
    assert all(other.lead._wait.overdue_s < 0 for other in scene.others)
