"""What becomes of requests that are sent through relays."""

import contextlib
from unittest import mock

import anyio
import entry_support as support
import pytest

from bridgecross_core import clock as clocks
from bridgecross_entry import attempts
from bridgecross_entry import exchange
from bridgecross_entry import forward_channels
from bridgecross_entry import forward_client
from bridgecross_entry import forwards
from bridgecross_entry import link_probes
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import peer_reach
from bridgecross_entry import peers
from bridgecross_entry import relay_choice
from bridgecross_entry import relay_contacts
from bridgecross_entry import relayed_requests
from bridgecross_entry import server_links
from bridgecross_entry import server_ways

pytestmark = pytest.mark.anyio

SERVER = support.make_server("a")
REQUEST = attempts.EntryRequest(
    "id", b"GET", b"/a/1", "/a/1", "h", (), b"", 1, 0.0, 500.0
)
RELAYS = relay_choice.rank_relays(
    SERVER, [model.Address("127.0.0.2", port) for port in (1, 2)]
)
Blamed = forwards.Blamed
SERVED = attempts.Shed(503)
BY_RELAY = attempts.NotOwner("through a relay")
HOP_S = 0.05


class Relay:
    """A relay that replies with a result, or does what it is told."""

    def __init__(self) -> None:
        self.result = BY_RELAY
        self.blamed = Blamed.NOTHING
        self.is_silent = False
        self.requests_count = 0
        self.queries_count = 0

    async def exchange(self, request, accepts, may_send=exchange.always):
        if not may_send():
            return exchange.Unsent("withheld", False, is_withheld=True)
        is_query = request.startswith(b"POST /reach")
        self.queries_count += is_query
        self.requests_count += not is_query
        if self.is_silent:
            await anyio.sleep_forever()
        stamp = peers.Stamp(1, 0.0)
        if is_query:
            reach = forwards.ReachReply(forwards.Reach.UNKNOWN, stamp)
            return exchange.Reply(200, (), forwards.REACH_REPLIES.encode(reach))
        if isinstance(self.result, exchange.Broken | exchange.Unsent):
            return self.result
        await anyio.sleep(HOP_S)
        reply = forwards.pack_result(stamp, self.result)
        body = forwards.RELAYED_REPLIES.encode(
            forwards.RelayedReply(reply, self.blamed, 0.0)
        )
        return exchange.Reply(200, (), body)


class Servers:
    """An ``attempts.BackendClient`` whose server serves at once."""

    def __init__(self) -> None:
        self.sent_count = 0

    def can_reuse_connection(self, server):
        return False

    async def send(self, server, request, remaining_ms, may_send):
        self.sent_count += 1
        return SERVED


class Scene:
    """An instance and the two relays of a server with few slots."""

    def __init__(self, *, has_few_slots=True) -> None:
        clock = clocks.SystemClock()
        journal = support.make_journal(clock)
        self.relays = [Relay(), Relay()]
        others = dict(zip(RELAYS, self.relays, strict=True))
        counts = metrics.Metrics()
        self.links = server_links.ServerLinks(
            server_links.LinkSettings(), journal, counts, clock
        )
        channels = forward_channels.ForwardChannels(others.__getitem__, clock)
        self.reach = mock.create_autospec(peer_reach.PeerReach, instance=True)
        forwarder = forward_client.ForwardClient(
            forward_client.ForwardSettings(),
            self.reach,
            channels,
            counts,
            clock,
        )
        self.contacts = relay_contacts.RelayContacts(
            relay_contacts.ContactSettings(), channels, journal, clock
        )
        strong = tuple(RELAYS)
        choice = relay_choice.RelayChoice(
            relay_choice.RelaySettings(),
            support.INSTANCE.peer_address,
            lambda _: has_few_slots,
            lambda _: strong,
            self.contacts.heard_s,
            journal,
            clock,
        )
        self.contacts.on_silent = choice.note_failed
        self.servers = Servers()
        self.ways = server_ways.RequestWays(
            server_ways.WaySettings(),
            self.servers,
            self.links,
            link_probes.LinkProbes(self.servers, self.links, journal, clock),
            forwarder,
            relayed_requests.RelayedRequests(
                choice, self.contacts, self.servers, forwarder, clock
            ),
        )
        self.hops_s = []

    async def send(self, may_send=exchange.always):
        terms = forwards.Terms(on_hop=self.hops_s.append)
        return await self.ways.send(
            SERVER, REQUEST, 5_000.0, may_send, 0.0, terms
        )

    @contextlib.asynccontextmanager
    async def run(self, *, contact=True):
        async with anyio.create_task_group() as tasks:
            self.contacts.start(tasks)
            if contact:
                for relay in RELAYS:
                    self.contacts.note_wanted(relay, is_ready=False)
                await anyio.sleep(0.01)
            yield
            tasks.cancel_scope.cancel()

    def count_requests(self):
        """Returns the requests at the relays, and those sent straight."""
        counts = [each.requests_count for each in self.relays]
        return *counts, self.servers.sent_count


async def test_the_first_relay_is_used_and_its_hop_is_told():
    """Guards against time between instances that counts as the server's."""
    scene = Scene()
    async with scene.run():
        assert await scene.send() == BY_RELAY
    assert scene.count_requests() == (1, 0, 0)
    assert HOP_S <= scene.hops_s[0] < 10 * HOP_S
    # Nothing is concluded about this instance's own link, or other ones.
    assert {each[0] for each in scene.reach.method_calls} == {"note_use"}
    assert scene.links.heard_s(SERVER.server_id) == -float("inf")
    assert scene.ways.is_straight(SERVER.server_id)


# Guards against a change for services whose servers have more slots.
async def test_without_few_slots_nothing_goes_to_a_relay():
    scene = Scene(has_few_slots=False)
    async with scene.run(contact=False):
        assert await scene.send() == SERVED
    assert scene.count_requests() == (0, 0, 1)
    assert [each.queries_count for each in scene.relays] == [0, 0]
    assert scene.hops_s == []


# Guards against waiting for a relay that may not be there.
async def test_the_first_request_goes_straight_and_asks_for_stamps():
    scene = Scene()
    async with scene.run(contact=False):
        assert await scene.send() == SERVED
        await anyio.sleep(0.01)
        assert await scene.send() == BY_RELAY
    assert [each.queries_count for each in scene.relays] == [1, 1]


UNSENT = {
    "refused": (exchange.Unsent("refused", refused=True), None, (1, 1, 1)),
    "no capacity": (attempts.NotSent("full"), Blamed.RELAY, (1, 1, 1)),
    "no link": (attempts.NotSent("no link"), Blamed.LINK, (1, 1, 1)),
    "forbidden": (attempts.NotSent("rest"), Blamed.NOTHING, (2, 0, 1)),
}


@pytest.mark.parametrize(
    ("result", "blamed", "counts"), UNSENT.values(), ids=UNSENT
)
async def test_what_a_relay_did_not_send_goes_straight_at_once(
    result, blamed, counts
):
    """Guards against refusals because of a relay, and its use meanwhile."""
    scene = Scene()
    scene.relays[0].result = result
    scene.relays[0].blamed = blamed
    async with scene.run():
        assert await scene.send() == SERVED
        scene.relays[0].result = BY_RELAY
        assert await scene.send() == BY_RELAY
    assert scene.count_requests() == counts
    assert scene.links.is_usable(SERVER.server_id)


# Guards against a second run of what a relay may have sent, and against
# requests that wait for a silent relay until their deadlines.
@pytest.mark.parametrize("is_silent", [False, True])
async def test_what_a_lost_relay_may_have_sent_is_interrupted(is_silent):
    scene = Scene()
    scene.relays[0].result = exchange.Broken("reset")
    async with scene.run():
        scene.relays[0].is_silent = is_silent
        with anyio.fail_after(2.0):
            result = await scene.send()
        assert isinstance(result, attempts.Interrupted)
        assert not result.blames_server
        assert await scene.send() == BY_RELAY
    assert scene.count_requests() == (1, 1, 0)


# Guards against a request that is sent after its right to be sent has ended.
async def test_what_may_not_be_sent_any_more_is_withheld():
    scene = Scene()
    async with scene.run():
        assert await scene.send(lambda: False) == attempts.Withheld()
    assert scene.count_requests() == (0, 0, 0)


def test_nothing_runs_where_no_relay_is_wanted():
    """Guards against timers of instances that use no relays."""
    clock = support.ManualClock()
    journal = support.make_journal(clock)
    contacts = relay_contacts.RelayContacts(
        relay_contacts.ContactSettings(), mock.Mock(), journal, clock
    )
    tasks = mock.Mock()
    contacts.start(tasks)
    tasks.start_soon.assert_not_called()
    for _ in range(2):
        contacts.note_wanted(RELAYS[0], is_ready=True)
    tasks.start_soon.assert_called_once()


async def test_requests_that_wait_longest_for_a_silent_relay_end_first():
    """Guards against an order that differs from run to run."""
    clock = support.ManualClock()
    channels = mock.Mock()
    channels.heard_s.return_value = float("-inf")
    channels.post = mock.AsyncMock(return_value=exchange.Unsent("", False))
    contacts = relay_contacts.RelayContacts(
        relay_contacts.ContactSettings(),
        channels,
        support.make_journal(clock),
        clock,
    )
    cancelled: list[int] = []

    async def wait(number: int) -> None:
        with contacts.watch(RELAYS[0]):
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.append(number)

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(wait, number)
        await anyio.wait_all_tasks_blocked()
        await contacts._query(RELAYS[0])
    assert cancelled == list(range(20))
