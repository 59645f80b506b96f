"""Callers of instances whose links to backend servers are broken.

The ways that were weighed are in ``docs/design/broken-links.md``.
"""

import dataclasses
from unittest import mock

import anyio
import pytest

from bridgecross_core import outcomes
from bridgecross_emulator import broken_links
from bridgecross_emulator import checks
from bridgecross_emulator import first_attempts
from bridgecross_emulator import instances as emulated
from bridgecross_emulator import limit_checks
from bridgecross_emulator import server_clients
from bridgecross_entry import exchange
from bridgecross_entry import forward_client
from bridgecross_entry import forwards
from bridgecross_entry import server_ways
from tests.emulated import crash_scene

REFUSED = broken_links.LinkFault.REFUSED
SILENT = broken_links.LinkFault.SILENT
NEW_REFUSED = broken_links.LinkFault.NEW_REFUSED

CONTACT_S = 3.0
"""From this long after a cut on, the callers of cut instances are served."""

SOON_S = 0.6
"""From this long after a cut on, most of them are."""

CUT_FOR_S = 8.0
RATE_PER_S = 60.0
"""Requests to each of the two services."""

RUNS_MAX_COUNT = 2
"""The attempts that the routes of the emulator allow."""


def cut_off(scene, instances, fault, service=None):
    """Breaks the links of some instances to all servers, or a service's."""
    fleet = scene.cluster.fleet
    for instance in instances:
        for address, server in fleet.servers.items():
            if service is None or server.service == service:
                link = (instance.settings.peer_address, address)
                fleet.links.cut(link, fault)


def mend(scene, instances):
    """Makes all links of some instances work again."""
    fleet = scene.cluster.fleet
    for instance in instances:
        for address in fleet.servers:
            fleet.links.mend((instance.settings.peer_address, address))


def choose(scene, count):
    """Returns some instances, the leader first."""
    return [scene.cluster.leader, *scene.cluster.others()][:count]


def choose_domain(scene, count):
    """Returns the instances of the leader's failure domain."""
    del count
    domain = scene.cluster.leader.settings.failure_domain
    return [
        each
        for each in scene.cluster.instances
        if each.settings.failure_domain == domain
    ]


async def _wait(scene, cut):
    del scene, cut
    await anyio.sleep(CUT_FOR_S)


class Cut:
    """A cluster of which some instances are cut off from servers."""

    def __init__(
        self,
        fault,
        cut_count,
        instance_count=11,
        *,
        service=None,
        choose_cut=choose,
        act=_wait,
        rate_per_s=RATE_PER_S,
        seed=1,
    ) -> None:
        self.fault = fault
        self.cut_count = cut_count
        self.service = service
        self.choose_cut = choose_cut
        self.act = act
        self.cut_s = 0.0
        self.names = set()
        self.scene = crash_scene.Simulation(
            settle_s=6.0,
            instance_count=instance_count,
            server_count=6,
            requests_per_s=rate_per_s,
            seed=seed,
        ).run(self._act)

    async def _act(self, scene):
        await anyio.sleep(1.0)
        cut = self.choose_cut(scene, self.cut_count)
        self.names = {each.settings.name for each in cut}
        self.cut_s = scene.cluster.now_s
        cut_off(scene, cut, self.fault, self.service)
        await self.act(scene, cut)

    def list_attempts(self, after_s=CONTACT_S):
        """Returns the first attempts since some time after the cut."""
        return [
            first_attempts.FirstAttempt(r.at_s, r.instance, r.target, r.outcome)
            for r in self.scene.results
            if r.at_s >= self.cut_s + after_s
        ]

    def served_ratios(self, after_s=CONTACT_S):
        """Returns which share is served at cut instances, and at others."""
        found = self.list_attempts(after_s)
        counted = first_attempts.count_served(found, self.names)
        return tuple(each.ratio for each in counted)

    def find_violations(self):
        """Returns what is broken of what holds in any case."""
        cluster = self.scene.cluster
        found = self.list_attempts()
        every = self.list_attempts(-self.cut_s)
        return [
            *first_attempts.check_served(found, self.names, self.cut_s),
            *first_attempts.check_truth(cluster, every, RUNS_MAX_COUNT),
            *checks.check_ends(cluster),
            *checks.check_owners(cluster),
            *checks.check_handovers(cluster),
        ]

    def list_events(self, name):
        return [x for x in self.scene.cluster.lines if x.event == name]


# Guards against one way only, for requests and for the leader's orders.
def test_callers_of_instances_that_reach_no_server_are_served():
    cut = Cut(REFUSED, 7)
    found = cut.list_attempts()
    assert first_attempts.check_served(found, cut.names, cut.cut_s) == []
    assert first_attempts.count_served(found, cut.names)[1].ratio > 0.95


CASES = {
    "1 of 11": {"cut_count": 1},
    "7 of 11": {"cut_count": 7},
    "10 of 11": {"cut_count": 10},
    "1 of 2": {"cut_count": 1, "instance_count": 2},
    "a failure domain": {"cut_count": 0, "choose_cut": choose_domain},
    "one service": {"cut_count": 7, "service": emulated.SERVICE},
    "the other service": {"cut_count": 7, "service": emulated.FREE_SERVICE},
    "60 of 74": {"cut_count": 60, "instance_count": 74},
}


@pytest.mark.parametrize("fault", broken_links.LinkFault)
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_a_cut_is_felt_for_a_moment_only(case, fault):
    cut = Cut(fault, **case)
    assert cut.find_violations() == []
    at_cut, at_others = cut.served_ratios()
    assert min(at_cut, at_others) > 0.95
    assert min(cut.served_ratios(SOON_S)) > 0.9
    # Nobody takes a link for a server: no key moves, no other leads.
    assert cut.list_events("server_ended") == []
    assert cut.list_events("poison_refused") == []
    assert len(cut.list_events("leads")) == 1


async def _flap(scene, cut):
    for _ in range(12):
        await anyio.sleep(0.5)
        mend(scene, cut)
        await anyio.sleep(0.5)
        cut_off(scene, cut, REFUSED)


async def _heal(scene, cut):
    await anyio.sleep(4.0)
    mend(scene, cut)
    await anyio.sleep(6.0)


async def _kill_helpers(scene, cut):
    others = [each for each in scene.cluster.instances if each not in cut]
    for helper in others[:2]:
        await anyio.sleep(1.5)
        helper.kill()
    await anyio.sleep(5.0)


async def _pause_helper(scene, cut):
    others = [each for each in scene.cluster.instances if each not in cut]
    await anyio.sleep(1.0)
    scene.cluster.pause(others[0])
    await anyio.sleep(5.0)
    scene.cluster.resume(others[0])
    await anyio.sleep(2.0)


async def _cut_helpers_too(scene, cut):
    others = [each for each in scene.cluster.instances if each not in cut]
    for helper in others[:2]:
        await anyio.sleep(1.5)
        cut_off(scene, [helper], SILENT)
    await anyio.sleep(5.0)


async def _break_links_to_helpers(scene, cut):
    """Answers of helpers are lost after requests went over."""
    network = scene.cluster.network
    others = [each for each in scene.cluster.instances if each not in cut]
    await anyio.sleep(1.5)
    pairs = [
        (other.settings.peer_address, each.settings.peer_address)
        for other in others[:2]
        for each in cut
    ]
    for pair in pairs:
        network.cut(*pair)
    await anyio.sleep(2.0)
    for pair in pairs:
        network.undo_cut(*pair)
    await anyio.sleep(4.0)


async def _crash_servers(scene, cut):
    """Servers that end during a cut are found, and serve again."""
    del cut
    servers = list(scene.cluster.fleet.servers.values())
    for server in (servers[0], servers[-1]):
        await anyio.sleep(1.0)
        server.crash()
        await anyio.sleep(1.5)
        server.start()
    await anyio.sleep(4.0)


async def _leave(scene, cut):
    """A server leaves, which cut instances know from the log only."""
    del cut
    server = list(scene.cluster.fleet.servers.values())[-1]
    server.is_leaving = True
    server.write_entry()
    await anyio.sleep(CUT_FOR_S)


ACTS = {
    "flapping": (_flap, 0.7),
    "healing": (_heal, 0.95),
    "helpers are killed": (_kill_helpers, 0.8),
    "a helper stands still": (_pause_helper, 0.8),
    "helpers are cut off": (_cut_helpers_too, 0.85),
    "answers of helpers are lost": (_break_links_to_helpers, 0.8),
    "servers crash": (_crash_servers, 0.75),
    "a server leaves": (_leave, 0.95),
}


@pytest.mark.parametrize("fault", [REFUSED, SILENT])
@pytest.mark.parametrize(("act", "served_ratio"), ACTS.values(), ids=ACTS)
def test_what_is_told_is_true_whatever_happens_beside_a_cut(
    act, served_ratio, fault
):
    cut = Cut(fault, 6, act=act)
    assert cut.find_violations() == []
    assert cut.served_ratios()[0] > served_ratio


# Guards against a server that is taken for ended because it refuses the
# connection of one instance whose links come and go.
def test_links_that_come_and_go_end_no_server():
    act, served_ratio = ACTS["flapping"]
    for fault, seed in [(SILENT, 4), (REFUSED, 5)]:
        cut = Cut(fault, 6, act=act, seed=seed)
        assert cut.find_violations() == []
        assert cut.served_ratios()[0] > served_ratio


def test_a_cut_of_all_instances_is_told_at_once():
    cut = Cut(REFUSED, 11)
    found = cut.list_attempts()
    assert cut.find_violations() == []
    assert all(isinstance(x.outcome, outcomes.NotRun) for x in found)
    assert cut.list_events("ended_under_request") == []


# Guards against a helper that goes on where the limits are summed elsewhere.
def test_a_limited_server_gets_no_more_by_another_way():
    async def act(scene, cut):
        del cut
        await anyio.sleep(1.0)
        for server in scene.cluster.fleet.servers.values():
            server.name_limit(6.0)
        await anyio.sleep(CUT_FOR_S)

    cut = Cut(REFUSED, 6, act=act, rate_per_s=120.0)
    assert limit_checks.check_limits(cut.scene.cluster) == []
    assert cut.served_ratios()[0] > 0.2


def test_a_calm_cluster_sends_nothing_through_others():
    cut = Cut(REFUSED, 0)
    sent = cut.scene.cluster.network.message_count
    assert not {each.decode() for each in forwards.PATHS} & set(sent)
    assert cut.served_ratios()[1] == 1.0


def test_slow_servers_get_no_second_connection_while_their_links_work():
    """Guards against probes of servers that only take long to answer."""

    async def act(scene, cut):
        del cut
        fleet = scene.cluster.fleet
        fleet.settings = dataclasses.replace(fleet.settings, work_s=0.8)
        await anyio.sleep(CUT_FOR_S)

    connect = server_clients.EmulatedBackendClient.connect
    with mock.patch.object(
        server_clients.EmulatedBackendClient,
        "connect",
        autospec=True,
        side_effect=connect,
    ) as connects:
        cut = Cut(SILENT, 0, act=act, rate_per_s=20.0)
    assert len(cut.list_attempts()) > 100
    assert connects.call_count == 0


# Known faults, put back: each is found.


async def _believe(self, server):
    del self, server
    return True


def _is_always_usable(self, server_id):
    del self, server_id
    return True


_SEND = forward_client.ForwardClient._send
_NO_ORDERS = mock.patch.object(
    forward_client.ForwardClient,
    "send_order",
    mock.AsyncMock(return_value=server_ways.attempts.NotTaken("one way")),
)


def test_the_check_finds_requests_with_one_way():
    with (
        mock.patch.object(
            server_ways.RequestWays, "is_straight", _is_always_usable
        ),
        mock.patch.object(forward_client.ForwardClient, "has_peers", False),
    ):
        found = Cut(REFUSED, 7).find_violations()
    assert "cut instances serve" in {each.promise for each in found}


def test_the_check_finds_orders_with_one_way():
    with _NO_ORDERS:
        cut = Cut(REFUSED, 7)
    assert cut.served_ratios()[1] < 0.8


def test_the_check_finds_links_taken_for_servers():
    with mock.patch.object(
        forward_client.ForwardClient, "is_refused_elsewhere", _believe
    ):
        found = Cut(REFUSED, 7).find_violations()
    assert "an end is an end" in {each.promise for each in found}


def test_the_check_finds_requests_that_are_sent_twice():
    """A broken exchange with a helper is taken for one that never began."""

    async def send(self, server, path, encode, *args: object):
        result = await _SEND(self, server, path, encode, *args)
        if isinstance(result, exchange.Broken):
            return exchange.Unsent("nothing was sent", refused=False)
        return result

    async def reset(scene, cut):
        others = [each for each in scene.cluster.instances if each not in cut]
        await anyio.sleep(1.5)
        for helper in others:
            scene.cluster.network.reset(helper.settings.peer_address)
            await anyio.sleep(0.5)
        await anyio.sleep(1.0)

    with mock.patch.object(forward_client.ForwardClient, "_send", send):
        found = Cut(REFUSED, 6, act=reset).find_violations()
    assert "what is told is true" in {each.promise for each in found}
    assert Cut(REFUSED, 6, act=reset).find_violations() == []
