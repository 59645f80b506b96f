import dataclasses
import time
import zlib

import anyio
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import dispatch
from bridgecross_entry import evacuations
from bridgecross_entry import keymap
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import permit_client
from bridgecross_entry import server_registry
from bridgecross_entry import servers
from bridgecross_request import fair_share

pytestmark = pytest.mark.anyio

OK = outcomes.Answered(200, (), b"whole")
FAILED = outcomes.Answered(500, (), b"")
SHED = attempts.Shed(503)
INTERRUPTED = attempts.Interrupted("reset")
REFUSED = attempts.NotSent("refused", refused=True)
NOT_SENT = attempts.NotSent("timeout")
NOT_OWNER = attempts.NotOwner("")


class Backends:
    """An ``attempts.BackendClient`` with scripted answers; None is silence."""

    def __init__(self, *script: attempts.Attempt | None) -> None:
        self.script = list(script)
        self.sent: list[str] = []
        self.remaining_ms: list[float] = []
        self.cancelled = 0

    async def send(self, server, request, remaining_ms, may_send):
        if not may_send():
            return attempts.Withheld()
        self.sent.append(server.server_id)
        self.remaining_ms.append(remaining_ms)
        answer = self.script.pop(0)
        if answer is not None:
            return answer
        try:
            await anyio.sleep(10)
        except BaseException:
            self.cancelled += 1
            raise

    def is_acknowledged(self, server, sent_before_s):
        return True

    def is_connected(self, server):
        return True

    async def is_refusing(self, server):
        return False

    def sweep(self, known):
        return


class Scene:
    """A dispatcher with two servers and one route."""

    def __init__(
        self,
        backends: Backends,
        *,
        keyed: bool = False,
        bounds: model.Bounds | None = None,
        idempotent: bool = True,
        timeout_ms: float = 500,
    ) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        bounds = bounds or support.BOUNDS
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), bounds, journal, real
        )
        for name in ("a", "b"):
            self.registry.put(support.make_server(name))
        self.table = keymap.KeyTable(journal)
        self.dispatcher = dispatch.Dispatcher(
            dispatch.DispatchSettings(),
            dataclasses.replace(support.INSTANCE, bounds=bounds),
            self.registry,
            self.table,
            backends,
            journal,
            metrics.Metrics(),
            real,
        )
        self.dispatcher.configure(
            support.make_configuration(
                support.make_route(
                    idempotent=idempotent, timeout_ms=timeout_ms
                ),
                keyed=keyed,
            )
        )

    def put_map(self, version: int, *ranges: keymap.KeyRange) -> None:
        self.table.put(
            keymap.KeyMap(
                ids.ServiceName("rapor"),
                version,
                ids.InstanceId("i"),
                support.INSTANCE.peer_address,
                ranges,
            ),
            "test",
        )

    async def ask(self, *, path="/a/x", caller_timeout_ms=400.0, caller=""):
        request = attempts.EntryRequest(
            request_id="id1",
            method=b"GET",
            target=path.encode(),
            path=path,
            host="h.example",
            headers=(),
            body=b"",
            key=7,
            received_s=clock.SystemClock().monotonic_s(),
            caller_timeout_ms=caller_timeout_ms,
            caller=caller,
        )
        return await self.dispatcher.run(request)


def _owned_by(name, token=1, previous=""):
    return keymap.KeyRange(
        0, keymap.LAST_KEY, ids.ServerId(name), token, ids.ServerId(previous)
    )


@pytest.mark.parametrize(
    ("script", "idempotent", "status", "sent"),
    [
        pytest.param([OK], False, 200, 1, id="answered"),
        pytest.param([INTERRUPTED], False, 502, 1, id="may have run"),
        pytest.param([INTERRUPTED, OK], True, 200, 2, id="repeated"),
        pytest.param(
            [INTERRUPTED, INTERRUPTED], True, 502, 2, id="broken twice"
        ),
        pytest.param([SHED, OK], False, 200, 2, id="shed, not run"),
        pytest.param([SHED] * 4, False, 503, 4, id="shed by all"),
        pytest.param([NOT_SENT, OK], False, 200, 2, id="never sent"),
        pytest.param(
            [SHED, INTERRUPTED], False, 502, 2, id="shed, then broken"
        ),
        pytest.param([FAILED], False, 500, 1, id="failed, not repeated"),
        pytest.param([FAILED, OK], True, 200, 2, id="failed, repeated"),
        pytest.param([FAILED, FAILED], True, 500, 2, id="failed twice"),
        pytest.param(
            [FAILED, SHED, SHED, SHED], True, 500, 4, id="failed, shed"
        ),
    ],
)
async def test_outcome_matches_the_attempts(script, idempotent, status, sent):
    backends = Backends(*script)
    outcome = await Scene(backends, idempotent=idempotent).ask()
    assert outcome.status == status
    assert len(backends.sent) == sent
    if status == 503:
        assert isinstance(outcome, outcomes.NotRun)
        assert outcome.retry_after_ms > 0


async def test_a_second_attempt_goes_to_another_server():
    backends = Backends(SHED, OK)
    await Scene(backends).ask()
    assert set(backends.sent) == {"a", "b"}


async def test_server_that_refuses_connections_is_paused():
    backends = Backends(REFUSED, OK)
    scene = Scene(backends)
    await scene.ask()
    refusing = scene.registry.get(ids.ServerId(backends.sent[0]))
    assert refusing.paused_until_s > clock.SystemClock().monotonic_s() + 0.5
    assert not scene.registry.has_ended(ids.ServerId(backends.sent[0]))


async def test_unknown_route_is_not_reported_without_a_configuration():
    scene = Scene(Backends())
    scene.dispatcher.routes = None
    assert (await scene.ask()).status == 503


@pytest.mark.parametrize(
    ("age_s", "status"),
    [
        pytest.param(0.5, 404, id="known to be the newest"),
        pytest.param(2.5, 503, id="may have changed"),
        pytest.param(float("inf"), 503, id="never confirmed"),
    ],
)
async def test_unknown_route_is_reported_only_by_a_current_configuration(
    age_s, status
):
    scene = Scene(Backends())
    scene.dispatcher.configuration_age_s = lambda: age_s
    outcome = await scene.ask(path="/b/x")
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == status


async def test_unknown_path_returns_404():
    assert (await Scene(Backends()).ask(path="/b/x")).status == 404


@pytest.mark.parametrize(
    ("timeout_ms", "caller_timeout_ms"),
    [
        pytest.param(60, 5_000.0, id="of the route"),
        pytest.param(5_000, 60.0, id="of the caller"),
    ],
)
async def test_the_shorter_timeout_applies(timeout_ms, caller_timeout_ms):
    backends = Backends(None)
    scene = Scene(backends, timeout_ms=timeout_ms)
    with anyio.fail_after(0.5):
        outcome = await scene.ask(caller_timeout_ms=caller_timeout_ms)
    assert outcome == outcomes.Unknown("no answer came in time", 504)
    assert backends.cancelled == 1
    assert backends.remaining_ms[0] <= 60


@pytest.mark.parametrize("keyed", [True, False])
async def test_nothing_is_sent_for_a_request_past_its_deadline(keyed):
    """For example a request that was read after the process was suspended."""
    backends = Backends(OK)
    scene = Scene(backends, keyed=keyed)
    scene.put_map(1, _owned_by("a"))
    outcome = await scene.ask(caller_timeout_ms=0.0)
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert not backends.sent


async def test_no_retry_is_sent_after_the_deadline():
    """The first server sheds the request when its deadline has passed."""
    backends = Backends(SHED, OK)
    scene = Scene(backends)
    send = backends.send

    async def send_and_stand_still(server, request, remaining_ms, may_send):
        result = await send(server, request, remaining_ms, may_send)
        time.sleep(0.1)  # noqa: ASYNC251 (simulates a suspended process)
        return result

    backends.send = send_and_stand_still
    outcome = await scene.ask(caller_timeout_ms=50.0)
    assert isinstance(outcome, outcomes.NotRun)
    assert len(backends.sent) == 1


async def test_stopping_instance_refuses_requests_that_may_outlast_it():
    """A request accepted 4 s before the shutdown waited 6 s at its server."""
    backends = Backends(OK)
    scene = Scene(backends)
    scene.dispatcher.shutdown_deadline_s = (
        clock.SystemClock().monotonic_s() + 0.3
    )
    refused = await scene.ask(caller_timeout_ms=400.0)
    assert isinstance(refused, outcomes.NotRun)
    assert refused.status == 503
    assert 0 < refused.retry_after_ms < 10
    assert not backends.sent
    assert await scene.ask(caller_timeout_ms=200.0) == OK


async def test_accepted_requests_end_before_the_shutdown():
    backends = Backends(None)
    scene = Scene(backends)
    ends_s = clock.SystemClock().monotonic_s() + 0.2
    scene.dispatcher.shutdown_deadline_s = ends_s
    outcome = await scene.ask(caller_timeout_ms=100.0)
    assert outcome == outcomes.Unknown("no answer came in time", 504)
    assert clock.SystemClock().monotonic_s() < ends_s


async def test_disconnect_of_the_caller_cancels_the_attempt():
    backends = Backends(None)
    scene = Scene(backends)
    with anyio.move_on_after(0.05):
        await scene.ask()
    assert backends.cancelled == 1
    assert scene.dispatcher.in_flight_count == 0


async def test_no_retry_without_retry_budget():
    bounds = dataclasses.replace(
        support.BOUNDS, retry_ratio=0.0, retry_slack=0.0
    )
    backends = Backends(SHED, OK)
    outcome = await Scene(backends, bounds=bounds).ask()
    assert outcome.status == 503
    assert len(backends.sent) == 1


async def test_a_request_goes_to_the_owner_of_its_key():
    backends = Backends(OK)
    scene = Scene(backends, keyed=True)
    scene.put_map(1, _owned_by("b"))
    await scene.ask()
    assert backends.sent == ["b"]


async def test_a_request_waits_for_the_move_of_its_key():
    backends = Backends(OK)
    scene = Scene(backends, keyed=True)
    scene.put_map(2, _owned_by("b", 2, "a"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.ask)
        await anyio.sleep(0.05)
        assert not backends.sent
        scene.table.mark_settled(ids.ServiceName("rapor"), 2, 0)
    assert backends.sent == ["b"]


async def test_request_rejected_by_a_former_owner_follows_the_key():
    backends = Backends(NOT_OWNER, OK)
    scene = Scene(backends, keyed=True)
    scene.put_map(1, _owned_by("a"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(scene.ask)
        await anyio.sleep(0.02)
        scene.put_map(2, _owned_by("b", 2))
    assert backends.sent == ["a", "b"]


async def test_request_for_a_key_without_an_owner_is_refused_early():
    scene = Scene(Backends(), keyed=True)
    scene.put_map(1, _owned_by("gone"))
    with anyio.fail_after(0.15):
        outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.retry_after_ms > 0


async def test_no_request_goes_to_a_server_that_left_long_ago():
    backends = Backends(OK, OK)
    scene = Scene(backends)
    scene.registry.put(support.make_server("a", leaving=True))
    left = scene.registry.get(ids.ServerId("a"))
    left.leaving_since_s -= 3
    for _ in range(2):
        await scene.ask()
    assert backends.sent == ["b", "b"]


@pytest.mark.parametrize(
    ("latency_s", "status", "sent"),
    [
        pytest.param(0.1, 502, 1, id="at once, so it is full"),
        pytest.param(0.0, 200, 2, id="after the work"),
    ],
)
async def test_full_owner_is_not_retried_immediately(latency_s, status, sent):
    backends = Backends(INTERRUPTED, OK)
    scene = Scene(backends, keyed=True)
    scene.put_map(1, _owned_by("a"))
    owner = scene.registry.get(ids.ServerId("a"))
    assert owner is not None
    owner.latency_s = latency_s
    outcome = await scene.ask()
    assert outcome.status == status
    assert len(backends.sent) == sent


async def test_pause_after_not_owner_answers_grows():
    backends = Backends(NOT_OWNER, NOT_OWNER, NOT_OWNER, OK)
    scene = Scene(backends, keyed=True)
    scene.put_map(1, _owned_by("a"))
    started_s = anyio.current_time()
    outcome = await scene.ask(caller_timeout_ms=1_000)
    assert outcome.status == 200
    assert anyio.current_time() - started_s > 0.05 + 0.1 + 0.2 - 0.02


async def test_retry_for_a_lost_key_gets_a_longer_retry_after():
    """Keys of a lost server have a new owner after 2 to 3 s.

    Callers make only three attempts, so they must not retry too early.
    """
    scene = Scene(Backends(), keyed=True)
    scene.put_map(1, _owned_by("gone"))
    for _ in range(3):
        first = await scene.ask(caller_timeout_ms=2_500)
    again = await scene.ask(caller_timeout_ms=2_200)
    assert isinstance(first, outcomes.NotRun)
    assert isinstance(again, outcomes.NotRun)
    assert first.retry_after_ms == 100
    assert again.retry_after_ms == 1_000


AREA_OF_DOMAIN = {"hall-1": "north", "hall-2": "south", "hall-3": "south"}


class AreaScene(Scene):
    """Servers in two areas, and a route with allowed areas."""

    def __init__(
        self, backends: Backends, *areas: str, keyed: bool = False
    ) -> None:
        super().__init__(backends, keyed=keyed)
        self.registry.put(support.make_server("south-2", domain="hall-2"))
        self.registry.put(support.make_server("south-3", domain="hall-3"))
        self.registry.put(support.make_server("nowhere", domain="hall-9"))
        self.dispatcher._selector._instance = dataclasses.replace(
            support.INSTANCE, area_of_domain=AREA_OF_DOMAIN
        )
        route = dataclasses.replace(
            support.make_route(max_attempts=4), allowed_areas=frozenset(areas)
        )
        self.dispatcher.configure(
            support.make_configuration(route, keyed=keyed, version=2)
        )


@pytest.mark.parametrize(
    ("areas", "allowed"),
    [
        pytest.param(("south",), {"south-2", "south-3"}, id="not its own"),
        pytest.param(("north",), {"a", "b"}, id="its own"),
        pytest.param(
            ("north", "south"), {"a", "b", "south-2", "south-3"}, id="both"
        ),
    ],
)
async def test_requests_stay_in_the_areas_of_their_route(areas, allowed):
    backends = Backends(*[FAILED] * 8)
    scene = AreaScene(backends, *areas)
    for _ in range(2):
        await scene.ask()
    assert len(backends.sent) == 8
    assert set(backends.sent) <= allowed


async def test_a_route_without_a_server_in_its_areas_is_refused_at_once():
    backends = Backends()
    scene = AreaScene(backends, "nowhere at all")
    started_s = time.monotonic()
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert time.monotonic() - started_s < 0.1


async def test_a_key_that_is_owned_in_another_area_is_refused_at_once():
    backends = Backends(OK)
    scene = AreaScene(backends, "south", keyed=True)
    scene.put_map(1, _owned_by("a"))
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert backends.sent == []
    scene.put_map(2, _owned_by("south-2", token=2))
    assert await scene.ask() is OK


async def test_nothing_is_sent_to_a_domain_that_was_evacuated_meanwhile():
    backends = Backends(OK)
    scene = Scene(backends)
    scene.registry.evacuate(
        [evacuations.EvacuationChange("hall-1", is_evacuated=True)],
        last_known_s=None,
    )
    outcome = await scene.ask()
    assert isinstance(outcome, outcomes.NotRun)
    assert backends.sent == []


class RecordingPermits:
    """Issues no permits, and records who applied for one."""

    def __init__(self) -> None:
        self.applicants = []

    def is_used(self, service):
        return True

    async def obtain(self, applicant):
        self.applicants.append(applicant)


class GrantingPermits(RecordingPermits):
    """Grants a permit for the owner of the key to whoever applies."""

    async def obtain(self, applicant):
        await super().obtain(applicant)
        server_id = applicant.server.server_id
        return permit_client.Permit(
            server_id, "t", support.INSTANCE.peer_address
        )

    def return_permit(self, *returned: object):
        del returned


@pytest.mark.parametrize(
    ("slots", "script", "status", "sent"),
    [
        pytest.param(2, [SHED, OK], 200, 2, id="accepted the second time"),
        pytest.param(2, [SHED, SHED], 503, 2, id="rejected twice"),
        pytest.param(4, [SHED], 503, 1, id="more slots"),
    ],
)
async def test_an_owner_that_rejects_with_a_free_slot_is_tried_once_more(
    slots, script, status, sent
):
    """Guards against callers who return for what one retry would settle."""
    backends = Backends(*script)
    scene = Scene(backends, keyed=True, idempotent=False)
    for name in ("a", "b"):
        listed = dataclasses.replace(support.make_server(name), slots=slots)
        scene.registry.put(listed)
    scene.put_map(1, _owned_by("a"))
    scene.dispatcher._permits = permits = GrantingPermits()
    outcome = await scene.ask()
    assert outcome.status == status
    assert backends.sent == ["a"] * sent
    assert len(permits.applicants) == sent


async def test_without_a_retry_in_the_budget_an_owner_is_tried_once():
    """Guards against retries beyond the budget when many owners reject."""
    bounds = dataclasses.replace(
        support.BOUNDS, retry_ratio=0.0, retry_slack=0.0
    )
    backends = Backends(SHED, OK)
    scene = Scene(backends, keyed=True, bounds=bounds)
    for name in ("a", "b"):
        listed = dataclasses.replace(support.make_server(name), slots=2)
        scene.registry.put(listed)
    scene.put_map(1, _owned_by("a"))
    scene.dispatcher._permits = GrantingPermits()
    assert (await scene.ask()).status == 503
    assert backends.sent == ["a"]


@pytest.mark.parametrize(
    ("slots", "expected"),
    [(4, fair_share.UNKNOWN), (2, fair_share.Origin(zlib.crc32(b"10.0.0.7")))],
)
async def test_callers_are_named_only_where_slots_are_few(slots, expected):
    """Guards against messages that earlier versions cannot decode."""
    scene = Scene(Backends(OK))
    for name in ("a", "b"):
        listed = dataclasses.replace(support.make_server(name), slots=slots)
        scene.registry.put(listed)
    scene.dispatcher._permits = recorded = RecordingPermits()
    await scene.ask(caller="10.0.0.7")
    assert [each.origin for each in recorded.applicants] == [expected]
    has_policy = [
        server.queue.settings.overload is not None
        for server in scene.registry.of_service(ids.ServiceName("rapor"))
    ]
    assert has_policy == [slots == 2] * 2
