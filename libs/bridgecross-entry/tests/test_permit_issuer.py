import dataclasses

import anyio
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_entry import server_registry
from bridgecross_entry import servers
from bridgecross_request import fair_share

pytestmark = pytest.mark.anyio

RAPOR = ids.ServiceName("rapor")
A, B = ids.ServerId("a"), ids.ServerId("b")
SLOTS = 4
RATE_PER_S = 5.8
# Permits for a cold server per window: half of 5.8 without any slack, by the
# bounds of these tests.
COLD_COUNT = 2


class Scene:
    """An issuer with two servers of its failure domain, and one of another."""

    def __init__(self) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.registry.put(support.make_server("a"))
        self.registry.put(support.make_server("b"))
        self.registry.put(support.make_server("far", domain="hall-2"))
        self.metrics = metrics.Metrics()
        # Whether this issuer is certain to be the only one.
        self.is_sole_issuer = True
        self.issuer = permit_issuer.PermitIssuer(
            permit_issuer.IssuerSettings(
                recount_interval_s=0.0,
                long_poll_s=0.02,
                repeat_long_poll_s=0.02,
                waiter_timeout_s=0.1,
            ),
            servers.ServerSettings(),
            "hall-1",
            self.registry,
            journal,
            self.metrics,
            real,
            lambda _: self.is_sole_issuer,
        )

    def make_cold(self, *names: str) -> None:
        """Makes servers cold for a minute."""
        service = model.Service(
            RAPOR, 130, False, 0, warmup_ms=3_000, warmup_rate_per_s=RATE_PER_S
        )
        self.registry.configure({RAPOR: service})
        for name in names:
            self.registry.put(
                dataclasses.replace(
                    support.make_server(name), warmup_left_ms=60_000
                )
            )

    async def ask(
        self,
        ticket,
        *,
        server="",
        priority=1,
        target_in_s=10.0,
        deadline_in_s=20.0,
        may_wait=True,
        tried=(),
        origin=fair_share.UNKNOWN,
    ) -> permits.Reply:
        self.last_request = permits.Request(
            RAPOR,
            ticket,
            priority,
            target_in_s,
            deadline_in_s,
            ids.ServerId(server),
            tried,
            may_wait,
            origin.caller_age_s,
            origin.caller,
        )
        return await self.issuer.handle_request(self.last_request)

    async def fill(self, server="a", name="") -> None:
        """Takes all slots of a server, under tickets that begin with a name."""
        for number in range(SLOTS):
            ticket = f"{name or server}-{number}"
            reply = await self.ask(ticket, server=server)
            assert reply.verdict is permits.Verdict.GRANTED

    def return_permit(self, ticket, outcome=permits.Outcome.ANSWERED) -> None:
        self.issuer.handle_return(permits.Return(ticket, 0.1, outcome))


@pytest.fixture
async def scene():
    made = Scene()
    async with anyio.create_task_group() as tasks:
        made.issuer.start(tasks)
        yield made
        tasks.cancel_scope.cancel()


async def test_no_more_permits_are_granted_than_servers_have_slots(scene):
    sent = [
        (await scene.ask(str(number), may_wait=False)).server_id
        for number in range(2 * SLOTS)
    ]
    assert sent.count(A) == sent.count(B) == SLOTS
    last = await scene.ask("last", may_wait=False)
    assert last.verdict is permits.Verdict.FULL
    assert last.wait_s > 0


async def test_only_the_owner_of_a_key_is_waited_for(scene):
    await scene.fill("a")
    full = await scene.ask("x", server="a", may_wait=False)
    assert full.verdict is permits.Verdict.FULL
    other = await scene.ask("y", server="b", may_wait=False)
    assert other.server_id == B


async def test_a_slot_goes_to_the_higher_tier(scene):
    await scene.fill()
    for ticket, priority in (("low", 2), ("high", 0)):
        reply = await scene.ask(ticket, server="a", priority=priority)
        assert reply.verdict is permits.Verdict.WAITING
    scene.return_permit("a-0")
    await anyio.sleep(0.005)
    high = await scene.ask("high", server="a", priority=0)
    assert high.verdict is permits.Verdict.GRANTED
    low = await scene.ask("low", server="a", priority=2)
    assert low.verdict is permits.Verdict.WAITING


async def test_a_slot_that_becomes_free_is_granted_at_once(scene):
    await scene.fill()
    with anyio.fail_after(0.5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep, 0.0)
            scene.return_permit("a-0")
            reply = await scene.ask("x", server="a")
    assert reply.verdict is permits.Verdict.GRANTED


async def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(
    scene,
):
    await scene.fill()
    for ticket in [f"a-{number}" for number in range(SLOTS)]:
        scene.return_permit(ticket)
    await scene.fill()
    reply = await scene.ask(
        "x", server="a", target_in_s=0.01, deadline_in_s=0.02
    )
    assert reply.verdict is permits.Verdict.REFUSED
    assert reply.retry_after_ms > 0
    assert scene.issuer.granted_count == SLOTS


@pytest.mark.parametrize(
    "server", [pytest.param("far", id="of another failure domain"), "unknown"]
)
async def test_servers_unknown_to_the_issuer_need_no_permit(scene, server):
    reply = await scene.ask("x", server=server)
    assert reply.verdict is permits.Verdict.UNCOUNTED


async def test_another_issuer_is_to_be_asked_while_no_server_is_known(scene):
    for name in ("a", "b"):
        scene.registry.end(ids.ServerId(name), "test")
    reply = await scene.ask("x")
    assert reply.verdict is permits.Verdict.ELSEWHERE


async def test_a_leaving_server_gets_requests_for_its_keys_only(scene):
    scene.registry.put(support.make_server("a", leaving=True))
    own = await scene.ask("x", server="a")
    assert own.verdict is permits.Verdict.GRANTED
    others = {(await scene.ask(str(number))).server_id for number in range(4)}
    assert others == {B}


async def test_another_issuer_is_to_be_asked_once_it_stops(scene):
    scene.issuer.is_stopping = True
    reply = await scene.ask("x")
    assert reply.verdict is permits.Verdict.ELSEWHERE


async def test_nobody_waits_for_a_server_that_has_ended(scene):
    await scene.fill()
    await scene.ask("x", server="a")
    scene.registry.end(A, "test")
    reply = await scene.ask("x", server="a")
    assert reply.verdict is permits.Verdict.UNCOUNTED


async def test_the_slot_of_a_permit_that_is_never_returned_is_freed(scene):
    reply = await scene.ask("lost", server="a", deadline_in_s=-0.6)
    assert reply.verdict is permits.Verdict.GRANTED
    await scene.fill("b")
    scene.issuer.sweep()
    assert scene.issuer.granted_count == SLOTS
    await scene.fill("a")


async def test_an_abandoned_place_in_the_queue_is_dropped(scene):
    await scene.fill()
    await scene.ask("gone", server="a")
    await anyio.sleep(0.15)
    scene.issuer.sweep()
    scene.return_permit("a-0")
    await anyio.sleep(0.005)
    reply = await scene.ask("x", server="a", may_wait=False)
    assert reply.verdict is permits.Verdict.GRANTED


async def test_the_slot_of_a_permit_whose_request_was_withdrawn_is_freed(
    scene,
):
    await scene.fill()
    await scene.ask("gone", server="a")
    scene.return_permit("a-0")
    await anyio.sleep(0.005)
    scene.return_permit("gone", permits.Outcome.UNUSED)
    reply = await scene.ask("x", server="a", may_wait=False)
    assert reply.verdict is permits.Verdict.GRANTED


async def test_a_permit_that_is_returned_repeatedly_counts_once(scene):
    await scene.fill()
    for _ in range(3):
        scene.return_permit("a-0")
    scene.return_permit("unknown")
    first = await scene.ask("x", server="a", may_wait=False)
    second = await scene.ask("y", server="a", may_wait=False)
    assert first.verdict is permits.Verdict.GRANTED
    assert second.verdict is permits.Verdict.FULL


@pytest.mark.parametrize(
    "outcome", [permits.Outcome.SHED, permits.Outcome.INTERRUPTED]
)
async def test_an_owner_that_sheds_requests_keeps_its_slots(scene, outcome):
    """It has no more requests than slots, so it does not lack capacity."""
    for _ in range(5):
        await scene.fill()
        for number in range(SLOTS):
            scene.return_permit(f"a-{number}", outcome)
    await scene.fill()


async def test_a_server_that_sheds_requests_is_chosen_less(scene):
    for number in range(10):
        await scene.ask(str(number), server="a")
        scene.return_permit(str(number), permits.Outcome.SHED)
    for number in range(SLOTS):
        assert (await scene.ask(f"x{number}")).server_id == B


async def test_an_unreachable_server_gets_no_permits_for_a_while(scene):
    await scene.ask("x", server="a")
    scene.return_permit("x", permits.Outcome.REFUSED)
    reply = await scene.ask("y", server="a")
    assert reply.verdict is permits.Verdict.REFUSED
    other = await scene.ask("z")
    assert other.server_id == B


async def test_a_second_try_goes_to_another_server(scene):
    for number in range(SLOTS):
        reply = await scene.ask(str(number), tried=(A,))
        assert reply.server_id == B


async def test_a_repeated_request_takes_one_slot(scene):
    for _ in range(3):
        reply = await scene.ask("x", server="a")
        assert reply == permits.Reply(permits.Verdict.GRANTED, A)
    scene.return_permit("x")
    await scene.fill()


@pytest.mark.parametrize(
    "server", [pytest.param("a", id="its owner"), pytest.param("", id="all")]
)
async def test_the_servers_may_go_while_a_request_waits(scene, server):
    for name in ("a", "b"):
        await scene.fill(name)
    # Permits for any server also occupy slots of the shared queue.
    for number in range(2 * SLOTS):
        await scene.ask(f"any-{number}", may_wait=False)
    waiting = await scene.ask("x", server=server)
    assert waiting.verdict is not permits.Verdict.REFUSED
    for name in ("a", "b"):
        scene.registry.end(ids.ServerId(name), "test")
    for number in range(SLOTS):
        scene.return_permit(f"a-{number}")
        scene.return_permit(f"any-{number}")
    await anyio.sleep(0.03)
    reply = await scene.ask("x", server=server)
    assert reply.verdict in {
        permits.Verdict.UNCOUNTED,
        permits.Verdict.ELSEWHERE,
    }


async def test_an_owner_that_is_listed_again_starts_with_all_its_slots(scene):
    """What waited for its earlier entry holds no slot of the new one."""
    await scene.fill()
    await scene.ask("x", server="a")
    scene.registry.end(A, "test")
    await scene.ask("y", server="b")
    scene.registry._ended.clear()
    scene.registry.put(support.make_server("a"))
    await scene.ask("y", server="b")
    scene.return_permit("a-0")
    await anyio.sleep(0.01)
    scene.return_permit("x", permits.Outcome.UNUSED)
    await scene.fill("a", "new")
    full = await scene.ask("z", server="a", may_wait=False)
    assert full.verdict is permits.Verdict.FULL


async def test_a_cold_server_gets_few_permits(scene):
    scene.make_cold("a", "b")
    replies = []
    for number in range(10):
        reply = await scene.ask(str(number), may_wait=False)
        replies.append(reply)
        if reply.verdict is permits.Verdict.GRANTED:
            scene.return_permit(str(number))
    granted = [r for r in replies if r.verdict is permits.Verdict.GRANTED]
    assert all(reply.covers_cold for reply in granted)
    assert [r.server_id for r in granted].count(A) == COLD_COUNT
    assert [r.server_id for r in granted].count(B) == COLD_COUNT
    last = await scene.ask("waits")
    assert last.verdict is permits.Verdict.REFUSED
    assert 0 < last.wait_s < 2.0


async def test_warm_servers_get_the_requests_that_cold_ones_may_not(scene):
    scene.make_cold("a")
    granted = []
    for number in range(20):
        reply = await scene.ask(str(number), may_wait=False)
        granted.append(reply.server_id)
        scene.return_permit(str(number))
    assert granted.count(A) <= COLD_COUNT
    assert granted.count(B) >= 20 - COLD_COUNT


async def test_a_cold_owner_is_not_waited_for(scene):
    scene.make_cold("a")
    for number in range(COLD_COUNT):
        reply = await scene.ask(str(number), server="a")
        assert reply.covers_cold
    refused = await scene.ask("beyond", server="a")
    assert refused.verdict is permits.Verdict.REFUSED


async def test_no_cold_server_gets_permits_without_a_sole_issuer(scene):
    scene.make_cold("a", "b")
    scene.is_sole_issuer = False
    refused = await scene.ask("owner", server="a")
    assert refused.verdict is permits.Verdict.REFUSED
    full = await scene.ask("any", may_wait=False)
    assert full.verdict is permits.Verdict.FULL
    warm = await scene.ask("other", server="b")
    assert warm.verdict is permits.Verdict.REFUSED


async def test_a_request_that_waited_gets_no_cold_server(scene):
    """The age of its permit would be unknown."""
    for number in range(2 * SLOTS):
        await scene.ask(str(number))
    waiting = await scene.ask("waits")
    assert waiting.verdict is permits.Verdict.WAITING
    scene.make_cold("a", "b")
    scene.return_permit("0")
    await anyio.sleep(0.01)
    reply = await scene.ask("waits")
    assert not reply.covers_cold
    assert reply.verdict is not permits.Verdict.GRANTED


async def test_an_owner_that_became_cold_meanwhile_is_not_waited_for(scene):
    await scene.fill("a")
    waiting = await scene.ask("waits", server="a")
    assert waiting.verdict is permits.Verdict.WAITING
    scene.make_cold("a")
    scene.return_permit("a-0")
    await anyio.sleep(0.01)
    reply = await scene.issuer._long_poll(
        scene.last_request, scene.issuer._waiters["waits"], 0.0
    )
    assert reply.verdict is permits.Verdict.REFUSED


async def test_a_refused_connection_makes_the_server_cold_for_all(scene):
    """The next server to answer there has just started."""
    scene.make_cold()
    await scene.ask("one", server="a")
    scene.return_permit("one", permits.Outcome.REFUSED)
    known = scene.registry.get(A)
    assert known is not None
    assert scene.registry.is_cold(known)


BACKOFF_S = 3.0


def _request_backoff(scene, *names: str) -> None:
    for name in names:
        server = support.make_server(name)
        scene.registry.notices.record(
            server, attempts.Notice(backoff_s=BACKOFF_S)
        )


async def test_no_permit_is_granted_for_a_server_that_asked_for_backoff(scene):
    _request_backoff(scene, "a")
    for number in range(SLOTS):
        reply = await scene.ask(str(number), may_wait=False)
        assert reply.server_id == B
    owner = await scene.ask("x", server="a")
    assert owner.verdict is permits.Verdict.REFUSED
    assert BACKOFF_S - 0.5 < owner.retry_after_ms / 1_000 < BACKOFF_S + 0.5


@pytest.mark.parametrize(
    ("may_wait", "verdict"),
    [
        pytest.param(True, permits.Verdict.REFUSED, id="may wait"),
        pytest.param(False, permits.Verdict.FULL, id="asks elsewhere too"),
    ],
)
async def test_no_request_waits_if_all_servers_asked_for_backoff(
    scene, may_wait, verdict
):
    _request_backoff(scene, "a", "b")
    reply = await scene.ask("x", may_wait=may_wait)
    assert reply.verdict is verdict
    assert BACKOFF_S - 0.5 < reply.wait_s < BACKOFF_S + 0.5


async def test_a_request_that_waited_gets_no_server_that_asked_for_backoff(
    scene,
):
    await scene.fill("a")
    waiting = await scene.ask("x", server="a")
    assert waiting.verdict is permits.Verdict.WAITING
    _request_backoff(scene, "a")
    scene.return_permit("a-0")
    await anyio.sleep(0.01)
    reply = await scene.issuer.handle_request(scene.last_request)
    assert reply.verdict is permits.Verdict.REFUSED
    assert scene.issuer.granted_count == SLOTS - 1


def _put_two_slots(scene) -> None:
    for name, domain in (("a", "hall-1"), ("b", "hall-1"), ("far", "hall-2")):
        listed = support.make_server(name, domain=domain)
        scene.registry.put(dataclasses.replace(listed, slots=2))


@pytest.mark.parametrize("few", [False, True])
async def test_late_retry_goes_first_only_where_slots_are_few(scene, few):
    """Guards against second refusals, and another order at other services."""
    if few:
        _put_two_slots(scene)
    slots = 2 if few else SLOTS
    for number in range(slots):
        await scene.ask(f"a-{number}", server="a")
    back = fair_share.Origin(1, 0.5)
    replies = {}

    async def wait(ticket, target_in_s, origin):
        while replies.get(ticket) is not permits.Verdict.GRANTED:
            reply = await scene.ask(
                ticket, server="a", target_in_s=target_in_s, origin=origin
            )
            replies[ticket] = reply.verdict

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait, "new", 0.0, fair_share.Origin(2))
        tasks.start_soon(wait, "back", 0.0, back)
        await anyio.sleep(0.03)
        scene.return_permit("a-0")
        await anyio.sleep(0.03)
        first = "back" if few else "new"
        assert replies[first] is permits.Verdict.GRANTED
        tasks.cancel_scope.cancel()


async def test_repeated_request_counts_once_against_its_caller(scene):
    """Guards against callers held back because their requests wait."""
    _put_two_slots(scene)
    for number in range(2):
        await scene.ask(f"a-{number}", server="a")
    for caller in (1, 2, 3):
        await scene.ask(
            f"w-{caller}", server="a", origin=fair_share.Origin(caller)
        )
    for _ in range(20):
        await scene.ask("w-1", server="a", origin=fair_share.Origin(1))
    scene.issuer.sweep()
    gauge = scene.metrics.callers_above_share
    assert gauge.get({"service": RAPOR}) == 0


async def test_refusals_are_counted_by_reason_and_tier(scene):
    """Guards against overload that no metric explains."""
    await scene.fill("a")
    reply = await scene.ask(
        "late", server="a", target_in_s=0.0, deadline_in_s=0.05
    )
    assert reply.verdict is permits.Verdict.REFUSED
    labels = {"service": RAPOR, "reason": reply.reason, "tier": "1"}
    assert scene.metrics.permit_refusals.get(labels) == 1
