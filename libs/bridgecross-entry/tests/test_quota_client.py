import anyio
import entry_support as support
import pytest
import test_notices

from bridgecross_entry import attempts
from bridgecross_entry import edge
from bridgecross_entry import exchange
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import quota_client
from bridgecross_entry import quota_issuer
from bridgecross_entry import quotas
from bridgecross_entry import rate_limits

pytestmark = pytest.mark.anyio

SERVER = support.make_server("a")
RUN = SERVER.server_id
OWN = support.INSTANCE.peer_address
LEADER = model.Address("127.0.0.1", 99)
QUOTAS = quota_issuer.QuotaSettings()
SETTINGS = quota_client.QuotaClientSettings()


class LeaderLink:
    """An ``exchange.Exchanger`` that leads to an issuer."""

    def __init__(self, issuer: quota_issuer.QuotaIssuer) -> None:
        self.issuer = issuer
        self.asked_count = 0
        self.is_silent = False
        # Replaces answers, if set.
        self.reply: exchange.Result | None = None
        # Called while the issuer is asked.
        self.on_ask = lambda: None

    async def exchange(self, request, accepts):
        self.asked_count += 1
        if self.is_silent:
            await anyio.sleep_forever()
        if self.reply is not None:
            return self.reply
        body = request.partition(b"\r\n\r\n")[2]
        answer = edge.answer_quota(self.issuer, None, body)
        self.on_ask()
        return exchange.Reply(answer.status, (), answer.body)


class Harness:
    """A client of an issuer at another instance."""

    def __init__(self) -> None:
        self.clock = support.ManualClock()
        self.lines = test_notices.RecordingJournal()
        self.limits = rate_limits.ReportedLimits(self.lines, self.clock)
        self.issuer = quota_issuer.QuotaIssuer(
            QUOTAS,
            rate_limits.ReportedLimits(self.lines, self.clock),
            self.lines,
            metrics.Metrics(),
            self.clock,
        )
        self.issuer.sole_term = lambda: 1
        self.link = LeaderLink(self.issuer)
        self.client = quota_client.QuotaClient(
            SETTINGS,
            QUOTAS,
            OWN,
            self.issuer,
            self.limits,
            self.lines,
            self.clock,
            lambda _: self.link,
        )
        self.client.find_issuer = lambda: LEADER
        self.name_limit(6.0)
        self.earn_one()

    def earn_one(self, limit_per_s=6.0):
        """Reports a limit, and waits until a request can be granted."""
        report = quotas.Report(limit_per_s, 0.0)
        self.issuer.handle(quotas.Request(RUN, 0, 1, report))
        self.clock.now_s += 1.0 / limit_per_s + 0.001

    def name_limit(self, limit_per_s, took_s=0.1):
        """Records an answer that is read now."""
        sent_s = self.clock.now_s - took_s
        notice = attempts.Notice(limit_per_s=limit_per_s, sent_s=sent_s)
        self.limits.record(SERVER, notice)

    async def obtain(self, priority=0):
        return await self.client.obtain(RUN, priority)


@pytest.fixture
def harness():
    return Harness()


async def test_a_quota_covers_one_server_for_a_limited_time(harness):
    quota = await harness.obtain()
    assert harness.client.covers(quota, RUN)
    assert not harness.client.covers(None, RUN)
    assert not harness.client.covers(
        quota._replace(server_id=support.make_server("b").server_id), RUN
    )
    harness.clock.now_s += QUOTAS.use_within_s
    assert not harness.client.covers(quota, RUN)


async def test_no_quota_is_needed_without_a_limit(harness):
    harness.clock.now_s += 1.0
    harness.name_limit(None)
    assert harness.client.covers(None, RUN)
    assert harness.client.refused_for_s(RUN, 0) == 0


async def test_refused_requests_are_not_asked_for_again_too_soon(harness):
    await harness.obtain()
    refused = await harness.obtain()
    assert isinstance(refused, quota_client.Refused)
    asked_count = harness.link.asked_count
    for _ in range(20):
        again = await harness.obtain()
        assert isinstance(again, quota_client.Refused)
        assert again.retry_after_s > 0
    assert harness.link.asked_count == asked_count
    harness.clock.now_s += harness.client.refused_for_s(RUN, 0) + 0.01
    assert isinstance(await harness.obtain(), quota_client.Quota)


async def test_a_refused_priority_does_not_hold_up_a_higher_one(harness):
    await harness.obtain()
    await harness.obtain(priority=1)
    assert harness.client.refused_for_s(RUN, 1) > 0
    assert harness.client.refused_for_s(RUN, 2) > 0
    assert harness.client.refused_for_s(RUN, 0) == 0


async def test_many_quotas_come_with_one_answer(harness):
    """100 requests per second, to a server that takes four times as many."""
    harness.clock.now_s += 1.0
    harness.name_limit(400.0)
    harness.issuer._buckets.clear()
    harness.earn_one(400.0)
    for _ in range(100):
        harness.clock.now_s += 0.01
        assert isinstance(await harness.obtain(), quota_client.Quota)
    assert harness.link.asked_count <= 20


async def test_unused_quotas_expire(harness):
    await harness.obtain()
    harness.client._servers[RUN].unused_count = 5
    harness.clock.now_s += QUOTAS.use_within_s
    asked_count = harness.link.asked_count
    await harness.obtain()
    assert harness.link.asked_count == asked_count + 1


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(exchange.Broken("reset"), id="reset"),
        pytest.param(exchange.Unsent("refused", refused=True), id="ended"),
        pytest.param(exchange.Reply(404, (), b""), id="an earlier version"),
        pytest.param(exchange.Reply(200, (), b"\xc1"), id="unreadable"),
    ],
)
async def test_nothing_is_sent_without_an_issuer(harness, reply):
    harness.link.reply = reply
    for _ in range(5):
        assert isinstance(await harness.obtain(), quota_client.Refused)
    assert harness.link.asked_count == 1
    assert "quota_issuer_lost" in harness.lines.events()
    harness.link.reply = None
    harness.clock.now_s += SETTINGS.pause_s
    assert isinstance(await harness.obtain(), quota_client.Quota)


async def test_a_leader_that_may_not_be_alone_is_left_for_a_while(harness):
    harness.issuer.sole_term = lambda: None
    assert isinstance(await harness.obtain(), quota_client.Refused)
    assert harness.client.refused_for_s(RUN, 0) > 0


async def test_nothing_is_sent_while_no_leader_is_known(harness):
    harness.client.find_issuer = lambda: None
    assert isinstance(await harness.obtain(), quota_client.Refused)
    assert harness.link.asked_count == 0


async def test_the_leader_asks_itself(harness):
    harness.client.find_issuer = lambda: OWN
    assert isinstance(await harness.obtain(), quota_client.Quota)
    assert harness.link.asked_count == 0


async def test_what_was_heard_of_ends_with_time(harness):
    other = support.make_server("b").server_id
    harness.client.hear((quotas.KnownLimit(other, 2.0),))
    assert not harness.client.covers(None, other)
    harness.client.hear(())
    assert not harness.client.covers(None, other)
    harness.clock.now_s += SETTINGS.heard_for_s
    assert harness.client.covers(None, other)


async def test_an_end_known_to_the_leader_ends_the_limit_here(harness):
    quota = await harness.obtain()
    assert quota is not None
    harness.clock.now_s += 1.0
    end = quotas.Report(
        float("inf"), 0.0, quotas.Stamp(harness.issuer._process_id, 1_000.5)
    )
    harness.issuer.handle(quotas.Request(RUN, 0, 0, end))
    assert await harness.obtain() is None
    assert harness.client.covers(None, RUN)


# Guards against an end that was only heard of, and is passed on as a proof.
async def test_an_end_that_was_heard_of_does_not_end_a_later_naming(harness):
    await harness.obtain()
    harness.clock.now_s += 1.0
    stamp = quotas.Stamp(harness.issuer._process_id, 1_000.5)
    end = quotas.Report(float("inf"), 0.0, stamp)
    harness.issuer.handle(quotas.Request(RUN, 0, 0, end))
    assert await harness.obtain() is None
    naming = quotas.Report(6.0, 0.1)
    harness.issuer.handle(quotas.Request(RUN, 0, 1, naming))
    harness.clock.now_s += 0.1
    harness.client.hear(harness.issuer.list_limits())
    await harness.client._send_report(RUN)
    await harness.obtain()
    assert harness.issuer.list_limits()
    assert not harness.client.covers(None, RUN)


# Guards against an end from the leader that overrides an answer read meanwhile.
async def test_a_limit_named_while_the_leader_is_asked_holds(harness):
    harness.link.reply = exchange.Reply(
        200,
        (),
        quotas.REPLIES.encode(
            quotas.Reply(quotas.Verdict.UNLIMITED, quotas.Stamp(1, 1.0))
        ),
    )
    ask = harness.link.exchange

    async def ask_slowly(request, accepts):
        harness.clock.now_s += 0.1
        harness.name_limit(2.0)
        return await ask(request, accepts)

    harness.link.exchange = ask_slowly
    assert isinstance(await harness.obtain(), quota_client.Refused)
    assert not harness.client.covers(None, RUN)


async def test_the_leader_is_told_of_an_end(harness):
    async with anyio.create_task_group() as tasks:
        harness.client.start(tasks)
        await harness.obtain()
        harness.clock.now_s += 0.5
        harness.name_limit(None)
    assert harness.issuer.list_limits() == ()


def test_an_unreadable_request_is_rejected(harness):
    server = peers.PeerServer(
        lambda _: None, lambda _: None, lambda _: None, None, harness.lines
    )
    assert edge.answer_quota(harness.issuer, server, b"\xc1").status == 400


# Guards against callers that use up their attempts while a leader is replaced.
async def test_callers_return_later_while_there_is_no_issuer(harness):
    harness.link.reply = exchange.Broken("reset")
    for _ in range(10):
        refused = await harness.obtain()
        assert refused.retry_after_s >= 1.0
    assert harness.client.describe_issuer().endswith("cannot be asked: reset")
    harness.link.reply = None
    harness.clock.now_s += SETTINGS.pause_s
    assert harness.client.describe_issuer() == str(LEADER)


# Guards against a limit that an answer given before it was heard of forgets.
async def test_an_earlier_answer_does_not_end_a_limit_heard_meanwhile(harness):
    limits = (quotas.KnownLimit(RUN, 6.0),)
    harness.issuer._buckets.clear()
    harness.limits.end(RUN, harness.clock.now_s)
    harness.client.hear(limits)

    def hear_again():
        harness.clock.now_s += 0.01
        harness.client.hear(limits)

    harness.link.on_ask = hear_again
    assert isinstance(await harness.obtain(), quota_client.Refused)
    assert not harness.client.covers(None, RUN)
    harness.link.on_ask = lambda: None
    harness.clock.now_s += 0.01
    assert await harness.obtain() is None


class _HeldLink(LeaderLink):
    """Holds the first answer back until a later one has come."""

    def __init__(self, issuer: quota_issuer.QuotaIssuer) -> None:
        super().__init__(issuer)
        self.granted_count = 0
        self.later_answered = anyio.Event()

    async def exchange(self, request, accepts):
        is_first = not self.asked_count
        answer = await super().exchange(request, accepts)
        self.granted_count += quotas.REPLIES.decode(answer.body).granted_count
        if is_first:
            await self.later_answered.wait()
        return answer


# Guards against quotas that the answer to an earlier request replaces.
async def test_a_late_answer_does_not_replace_unused_quotas(harness):
    harness.clock.now_s += 1.0
    harness.name_limit(100.0)
    harness.issuer._buckets.clear()
    harness.earn_one(100.0)
    harness.clock.now_s += 0.2
    link = _HeldLink(harness.issuer)
    harness.client._connect = lambda _: link
    state = harness.client._get_state(RUN)
    state.counted_since_s = harness.clock.now_s
    state.demand_count = 5
    obtained = []

    async def obtain():
        obtained.append(await harness.obtain())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(obtain)
        await anyio.wait_all_tasks_blocked()
        harness.clock.now_s += 0.1
        await obtain()
        assert state.unused_count > 0
        link.later_answered.set()
    assert len(obtained) + state.unused_count == link.granted_count
    assert harness.client.covers(obtained[1], RUN)
    # The earlier ones among them expire first.
    harness.clock.now_s += QUOTAS.use_within_s - 0.1
    assert not harness.client._has_unused(state, harness.clock.now_s)
