"""An instance that sends requests and orders to servers for others."""

import anyio
import entry_support as support

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import crash_watch
from bridgecross_entry import forward_server
from bridgecross_entry import forwards
from bridgecross_entry import link_probes
from bridgecross_entry import metrics
from bridgecross_entry import peers
from bridgecross_entry import server_links
from bridgecross_entry import server_registry
from bridgecross_entry import server_ways
from bridgecross_entry import servers
from bridgecross_entry import warmup_queries
from bridgecross_request import poison_requests

ANSWER = outcomes.Answered(
    200, (outcomes.Header(b"x-proof", b"s"),), b"body", 1.5
)
CONTENT = forwards.Content(
    "id", b"POST", b"/a/1?x=2", "/a/1", "h.example", ((b"x-a", b"1"),), b"b", 7
)


class Servers:
    """An ``attempts.BackendClient`` and ``LeaseClient`` with scripts."""

    def __init__(self) -> None:
        self.result = ANSWER
        self.order_result = attempts.Granted()
        self.refusing = set()
        # Called right before the first byte would be sent.
        self.before_first_byte = lambda: None
        self.sent = []
        self.cancelled_count = 0
        self.on_notice = attempts.ignore_notice

    async def connect(self, server):
        if server.name in self.refusing:
            return attempts.NotSent("refused", refused=True)
        return None

    async def send(self, server, request, remaining_ms, may_send):
        self.before_first_byte()
        if not may_send():
            return attempts.Withheld()
        self.sent.append((server.name, request, remaining_ms))
        if self.result is None:
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled_count += 1
        return self.result

    async def grant(self, server, *order: object):
        self.before_first_byte()
        if not order[-1]():
            return attempts.Withheld()
        self.sent.append((server.name, *order[:-1]))
        return self.order_result


class Scene:
    """An instance that sends for others to the servers a, b and c."""

    def __init__(self) -> None:
        clock = self.clock = support.ManualClock()
        journal = support.make_journal(clock)
        self.metrics = metrics.Metrics()
        self.servers = Servers()
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, clock
        )
        for number, name in enumerate("abc"):
            self.registry.put(support.make_server(name, port=9 + number))
        self.links = server_links.ServerLinks(
            server_links.LinkSettings(), journal, self.metrics, clock
        )
        probes = link_probes.LinkProbes(
            self.servers, self.links, journal, clock
        )
        self.ledger = poison_requests.PoisonLedger(
            poison_requests.PoisonSettings(), clock
        )
        self.watch = crash_watch.CrashWatch(
            crash_watch.CrashWatchSettings(),
            self.ledger,
            self.servers,
            self.registry,
            journal,
            self.metrics,
            clock,
        )
        self.server = forward_server.ForwardServer(
            forward_server.ForwardServerSettings(relayed_per_core_count=2),
            self.registry,
            self.links,
            probes,
            self.servers,
            server_ways.DirectOrders(
                self.servers, self.links, probes, server_ways.WaySettings()
            ),
            self.watch,
            warmup_queries.WarmupQueries(
                2.0, self.registry, self.servers, clock
            ),
            journal,
            self.metrics,
            clock,
        )

    async def ask(self, name="a", *, is_fresh=False):
        """Returns what the instance says of a server."""
        query = forwards.ReachQuery(ids.ServerId(name), is_fresh)
        reply = await self.server.answer(
            forwards.REACH_PATH, forwards.QUERIES.encode(query)
        )
        return forwards.REACH_REPLIES.decode(reply.body)

    async def validate(self, elapsed_s=0.0):
        """Returns the validity of a message that is sent now."""
        stamp = (await self.ask()).stamp
        returned = peers.ReturnedStamp(stamp, elapsed_s)
        return forwards.Validity(returned, 0.25, 0.4)

    def encode(self, validity, **changes: object):
        """Returns an encoded request for the server a."""
        request = forwards.ForwardedRequest(
            ids.ServerId("a"),
            validity,
            CONTENT,
            is_keyed=True,
            has_quota=False,
            covers_cold=False,
        )
        return forwards.REQUESTS.encode(request._replace(**changes))

    async def send(self, validity=None, **changes: object):
        """Sends a request for the server a; returns the reply."""
        body = self.encode(validity or await self.validate(), **changes)
        reply = await self.server.answer(forwards.REQUEST_PATH, body)
        return forwards.REQUEST_REPLIES.decode(reply.body)

    async def relay(self, validity=None):
        """Sends a request for the server a as to a relay."""
        body = self.encode(validity or await self.validate())
        reply = await self.server.answer(forwards.RELAYED_PATH, body)
        return forwards.RELAYED_REPLIES.decode(reply.body)

    async def order(self, validity=None):
        """Sends a grant for the server a; returns the result."""
        order = forwards.ForwardedOrder(
            ids.ServerId("a"),
            validity or await self.validate(),
            forwards.OrderKind.GRANT,
            1,
            5,
            3,
            2_500.0,
            "state",
        )
        body = forwards.ORDERS.encode(order)
        reply = await self.server.answer(forwards.ORDER_PATH, body)
        decoded = forwards.ORDER_REPLIES.decode(reply.body)
        return forwards.unpack_order_result(decoded)
