import dataclasses
import math

import anyio
import anyio.lowlevel
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_entry import exchange
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import permit_client
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_entry import server_registry
from bridgecross_entry import servers
from bridgecross_request import fair_share
from bridgecross_request import queueing

pytestmark = pytest.mark.anyio

RAPOR = ids.ServiceName("rapor")
OWN = support.INSTANCE.peer_address
NEAR = model.Address("127.0.0.1", 101)
NEXT = model.Address("127.0.0.1", 102)
FAR = model.Address("127.0.0.1", 103)
A = ids.ServerId("a")

GRANTED = permits.Reply(permits.Verdict.GRANTED, A)
FULL = permits.Reply(permits.Verdict.FULL, wait_s=0.5)
WAITING = permits.Reply(permits.Verdict.WAITING)
REFUSED = permits.Reply(
    permits.Verdict.REFUSED, reason="the deadline", retry_after_ms=70
)
ELSEWHERE = permits.Reply(permits.Verdict.ELSEWHERE)
UNCOUNTED = permits.Reply(permits.Verdict.UNCOUNTED)
SILENT = None
GARBLED = b"no reply"
REFUSING = exchange.Unsent("connection refused", refused=True)


class Issuers:
    """Issuers with scripted answers; the last answer is repeated."""

    def __init__(self) -> None:
        self.scripts: dict[model.Address, list] = {}
        self.polled: list[model.Address] = []
        self.requests: list[permits.Request] = []
        self.returned: list[permits.Return] = []

    def connect(self, address: model.Address) -> "_Connection":
        return _Connection(self, address)


class _Connection:
    def __init__(self, issuers: Issuers, address: model.Address) -> None:
        self._issuers = issuers
        self._address = address

    async def exchange(self, request, accepts):
        issuers = self._issuers
        await anyio.lowlevel.checkpoint()
        body = request.partition(b"\r\n\r\n")[2]
        message = permits.MESSAGES.decode(body)
        if message.returned is not None:
            issuers.returned.append(message.returned)
            return exchange.Reply(200, (), b"")
        issuers.polled.append(self._address)
        issuers.requests.append(message.request)
        script = issuers.scripts[self._address]
        reply = script.pop(0) if len(script) > 1 else script[0]
        if reply is SILENT:
            await anyio.sleep_forever()
        if reply is REFUSING:
            return REFUSING
        if reply is GARBLED:
            return exchange.Reply(200, (), GARBLED)
        return exchange.Reply(200, (), permits.REPLIES.encode(reply))


@pytest.fixture
def issuers():
    return Issuers()


def _make(
    issuers, *, domains=("hall-1",), near=(NEAR,), slot_share=lambda _: 0.0
):
    real = clock.SystemClock()
    journal = support.make_journal(real)
    registry = server_registry.ServerRegistry(
        servers.ServerSettings(), support.BOUNDS, journal, real
    )
    own = permit_issuer.PermitIssuer(
        permit_issuer.IssuerSettings(),
        servers.ServerSettings(),
        "hall-1",
        registry,
        journal,
        metrics.Metrics(),
        real,
    )
    addresses = {"hall-1": near, "hall-2": (FAR,)}
    return permit_client.PermitClient(
        permit_client.PermitSettings(
            timeout_s=0.05,
            repeat_timeout_s=0.05,
            first_pause_s=0.2,
            slot_share_interval_s=0.0,
        ),
        support.INSTANCE,
        own,
        lambda domain: addresses[domain],
        lambda service: domains,
        journal,
        real,
        issuers.connect,
        slot_share,
    )


async def _obtain(
    client,
    *,
    server=None,
    is_current=lambda: True,
    origin=fair_share.UNKNOWN,
):
    now_s = clock.SystemClock().monotonic_s()
    applicant = permit_client.Applicant(
        RAPOR,
        1,
        queueing.Deadlines(now_s + 1.0, now_s + 2.0),
        server,
        (),
        is_current,
        origin=origin,
    )
    async with anyio.create_task_group() as tasks:
        client.start(tasks)
        return await client.obtain(applicant)


MIN_SHARE = permit_client.PermitSettings().min_slot_share
STOP_SHARE = (
    MIN_SHARE * permit_client.PermitSettings().slot_share_hysteresis_ratio
)


@pytest.mark.parametrize(
    ("shares", "expected"),
    [
        pytest.param([MIN_SHARE], [False], id="few instances"),
        pytest.param([0.99 * MIN_SHARE], [True], id="many instances"),
        pytest.param([math.inf], [False], id="no server is known"),
        pytest.param(
            [0.9 * MIN_SHARE, 1.1 * MIN_SHARE, 0.9 * MIN_SHARE],
            [True, True, True],
            id="some instances less for a moment",
        ),
        pytest.param(
            [
                1.1 * MIN_SHARE,
                0.9 * MIN_SHARE,
                1.01 * STOP_SHARE,
                1.1 * MIN_SHARE,
            ],
            [False, True, False, False],
            id="they become many and few again",
        ),
    ],
)
async def test_permits_are_requested_where_shares_are_small(
    issuers, shares, expected
):
    left = list(shares)
    client = _make(issuers, slot_share=lambda _: left.pop(0))
    async with anyio.create_task_group() as tasks:
        client.start(tasks)
    assert [client.is_used(RAPOR) for _ in shares] == expected


@pytest.mark.parametrize(
    ("slots", "instance_count", "is_used"),
    [
        (4, 2, False),
        (4, 11, False),
        (6, 8, False),
        (3, 74, True),
        (4, 78, True),
        (4, 195, True),
    ],
)
async def test_shares_follow_slots_and_instances(
    slots, instance_count, is_used
):
    real = clock.SystemClock()
    registry = server_registry.ServerRegistry(
        servers.ServerSettings(),
        support.BOUNDS,
        support.make_journal(real),
        real,
    )
    for name in ("a", "b"):
        listed = support.make_server(name)
        registry.put(dataclasses.replace(listed, slots=slots))
    registry.set_instances(instance_count)
    client = _make(Issuers(), slot_share=registry.slot_share)
    async with anyio.create_task_group() as tasks:
        client.start(tasks)
    assert client.is_used(RAPOR) is is_used


@pytest.mark.parametrize(
    ("near", "far", "result", "polled"),
    [
        pytest.param([GRANTED], [GRANTED], A, [NEAR], id="near"),
        pytest.param([FULL], [GRANTED], A, [NEAR, FAR], id="near is full"),
        pytest.param(
            [FULL, GRANTED],
            [permits.Reply(permits.Verdict.FULL, wait_s=0.9)],
            A,
            [NEAR, FAR, NEAR],
            id="all are full, so it waits where it takes least",
        ),
        pytest.param(
            [FULL, WAITING, WAITING, GRANTED],
            [permits.Reply(permits.Verdict.FULL, wait_s=0.9)],
            A,
            [NEAR, FAR, NEAR, NEAR, NEAR],
            id="it waits for as long as it is told to",
        ),
        pytest.param(
            [FULL, REFUSED],
            [permits.Reply(permits.Verdict.FULL, wait_s=0.9)],
            queueing.Refused("the deadline", 70),
            [NEAR, FAR, NEAR],
            id="there will be no slot in time",
        ),
        pytest.param(
            [SILENT], [GRANTED], None, [NEAR], id="time was lost with one"
        ),
        pytest.param(
            [REFUSING], [GRANTED], A, [NEAR, FAR], id="near has ended"
        ),
        pytest.param([GARBLED], [GRANTED], A, [NEAR, FAR], id="garbled"),
        pytest.param(
            [ELSEWHERE], [GRANTED], A, [NEAR, FAR], id="near is stopping"
        ),
    ],
)
async def test_where_a_permit_is_requested(issuers, near, far, result, polled):
    issuers.scripts = {NEAR: list(near), FAR: list(far)}
    client = _make(issuers, domains=("hall-2", "hall-1"))
    got = await _obtain(client)
    if isinstance(got, permit_client.Permit):
        got = got.server_id
    assert got == result
    assert issuers.polled == polled


async def test_only_the_issuer_for_the_owner_is_asked(issuers):
    issuers.scripts = {FAR: [GRANTED], NEAR: [GRANTED]}
    client = _make(issuers, domains=("hall-1", "hall-2"))
    owner = support.make_server("a", domain="hall-2")
    await _obtain(client, server=owner)
    assert issuers.polled == [FAR]
    assert issuers.requests[0].server_id == A
    assert issuers.requests[0].may_wait


async def test_an_issuer_that_does_not_know_a_server_is_asked_for_others(
    issuers,
):
    issuers.scripts = {NEAR: [UNCOUNTED, GRANTED], NEXT: [UNCOUNTED, GRANTED]}
    client = _make(issuers, near=(NEAR, NEXT))
    assert await _obtain(client, server=support.make_server("new")) is None
    granted = await _obtain(client, server=support.make_server("a"))
    assert isinstance(granted, permit_client.Permit)
    assert issuers.polled[0] == issuers.polled[1]


async def test_a_silent_issuer_is_paused_and_the_next_one_is_asked(issuers):
    client = _make(issuers, near=(NEAR, NEXT))
    issuers.scripts = {NEAR: [SILENT], NEXT: [SILENT]}
    assert await _obtain(client) is None
    (first,) = issuers.polled
    other = NEXT if first == NEAR else NEAR
    issuers.scripts[other] = [GRANTED]
    assert isinstance(await _obtain(client), permit_client.Permit)
    assert issuers.polled == [first, other]
    issuers.scripts[first] = [GRANTED]
    await anyio.sleep(0.25)
    await _obtain(client)
    assert issuers.polled[-1] == first


async def test_an_issuer_that_has_ended_costs_no_time(issuers):
    client = _make(issuers, near=(NEAR, NEXT))
    issuers.scripts = {NEAR: [REFUSING], NEXT: [REFUSING]}
    assert await _obtain(client) is None
    assert len(issuers.polled) == 2
    issuers.scripts = {NEAR: [GRANTED], NEXT: [GRANTED]}
    assert await _obtain(client) is None
    assert len(issuers.polled) == 2


async def test_an_issuer_that_stops_costs_no_permit(issuers):
    client = _make(issuers, near=(NEAR, NEXT))
    issuers.scripts = {NEAR: [ELSEWHERE], NEXT: [ELSEWHERE]}
    assert await _obtain(client) is None
    assert len(issuers.polled) == 2


async def test_a_permit_is_returned_if_its_request_stops_waiting(issuers):
    issuers.scripts = {NEAR: [WAITING]}
    client = _make(issuers)
    owner = support.make_server("a")
    still = [True, True, False]
    got = await _obtain(client, server=owner, is_current=lambda: still.pop(0))
    assert got is None
    (returned,) = issuers.returned
    assert returned.ticket == issuers.requests[0].ticket
    assert returned.outcome is permits.Outcome.UNUSED


async def test_a_caller_that_disconnects_gives_up_its_place(issuers):
    issuers.scripts = {NEAR: [SILENT]}
    client = _make(issuers)
    async with anyio.create_task_group() as tasks:
        client.start(tasks)
        with anyio.move_on_after(0.02):
            now_s = clock.SystemClock().monotonic_s()
            await client.obtain(
                permit_client.Applicant(
                    RAPOR,
                    1,
                    queueing.Deadlines(now_s + 1.0, now_s + 2.0),
                    support.make_server("a"),
                    (),
                    lambda: True,
                )
            )
    assert [each.ticket for each in issuers.returned] == [
        issuers.requests[0].ticket
    ]


async def test_this_instance_is_not_called_over_the_network(issuers):
    client = _make(issuers, near=(OWN,))
    assert await _obtain(client) is None
    assert not issuers.polled


def test_all_instances_rank_issuers_alike(issuers):
    others = dataclasses.replace(support.INSTANCE, name="entry-2")
    assert others.peer_address == OWN
    near = tuple(model.Address("127.0.0.1", port) for port in range(200, 240))
    first = _make(issuers, near=near)
    second = _make(issuers, near=tuple(reversed(near)))
    issuer = permit_client._IssuerScope(RAPOR, "hall-1")
    assert first._addresses(issuer) == second._addresses(issuer)


@pytest.mark.parametrize(
    "origin", [fair_share.UNKNOWN, fair_share.Origin(7, 0.5)]
)
async def test_issuers_are_told_what_is_known_of_the_caller(issuers, origin):
    """Guards against callers that are refused twice as nobody knows them."""
    issuers.scripts[NEAR] = [GRANTED]
    await _obtain(_make(issuers), origin=origin)
    assert issuers.requests[-1].origin == origin
