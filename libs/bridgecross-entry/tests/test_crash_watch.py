import anyio
import entry_support as support
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import crash_watch
from bridgecross_entry import metrics
from bridgecross_entry import server_registry
from bridgecross_entry import servers
from bridgecross_request import poison_requests

pytestmark = pytest.mark.anyio

SUBJECT = poison_requests.Fingerprint(b"s" * 16)
BROKEN = attempts.Interrupted("reset")
REFUSED = attempts.NotSent("refused", refused=True)
ANSWERED = outcomes.Answered(200, (), b"")
FAILED = outcomes.Answered(500, (), b"")


class Backends:
    """An ``attempts.BackendClient`` with scripted connection refusals."""

    def __init__(self, *refusing: bool) -> None:
        self.refusing = list(refusing)
        self.probes_count = 0

    async def is_refusing(self, server):
        self.probes_count += 1
        return self.refusing.pop(0) if self.refusing else False


class Scene:
    """A crash watch with one server."""

    def __init__(
        self, *refusing: bool, clock: clocks.Clock | None = None
    ) -> None:
        real = clock or clocks.SystemClock()
        self.clock = real
        journal = support.make_journal(real)
        self.backends = Backends(*refusing)
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.server = support.make_server("a")
        self.registry.put(self.server)
        self.ledger = poison_requests.PoisonLedger(
            poison_requests.PoisonSettings(), real
        )
        self.watch = crash_watch.CrashWatch(
            crash_watch.CrashWatchSettings(),
            self.ledger,
            self.backends,
            self.registry,
            journal,
            metrics.Metrics(),
            real,
        )
        self.reported = []
        self.watch.on_ends = self.reported.extend

    def send(self, result):
        """Sends a request to the server, with a given result."""
        sent_request = self.watch.begin(SUBJECT, "id", self.server)
        self.watch.end(sent_request, result)
        return sent_request

    @property
    def counted(self) -> int:
        return len(self.ledger.ends_of(SUBJECT))


async def _play(
    scene: Scene, *results: attempts.Attempt | None, wait_s: float = 0.1
) -> int:
    """Sends requests; returns the number of counted ends."""
    async with anyio.create_task_group() as tasks:
        scene.watch.start(tasks)
        for result in results:
            scene.send(result)
            await anyio.sleep(wait_s)
    return scene.counted


@pytest.mark.parametrize(
    ("refusing", "results", "counted"),
    [
        pytest.param([True], [BROKEN], 1, id="broken, then it refuses"),
        pytest.param([False, True], [BROKEN], 1, id="refuses a moment later"),
        pytest.param([False, False], [BROKEN], 0, id="broken, but it lives"),
        pytest.param([], [BROKEN, REFUSED], 1, id="refuses another request"),
        pytest.param([], [None, REFUSED], 1, id="given up, then it refuses"),
        pytest.param([], [ANSWERED, REFUSED], 0, id="answered before"),
        pytest.param([], [FAILED, REFUSED], 0, id="failed, which is an answer"),
        pytest.param([], [REFUSED], 0, id="never there"),
        pytest.param([], [attempts.Shed(503), REFUSED], 0, id="shed"),
        pytest.param([], [attempts.NotOwner("a"), REFUSED], 0, id="denied"),
    ],
)
async def test_what_counts_as_an_end_under_a_request(
    refusing, results, counted
):
    scene = Scene(*refusing)
    assert await _play(scene, *results) == counted
    assert len(scene.reported) == counted


async def test_a_server_that_refuses_while_it_works_has_not_ended():
    scene = Scene()
    running = scene.watch.begin(SUBJECT, "id", scene.server)
    assert await _play(scene, REFUSED) == 0
    scene.watch.end(running, ANSWERED)
    assert scene.counted == 0


async def test_a_server_that_restarts_at_once_has_ended():
    scene = Scene(False, False)
    assert await _play(scene, BROKEN) == 0
    scene.registry.end(ids.ServerId("a"), "another has its address")
    assert scene.counted == 1


async def test_a_newer_run_at_the_address_shows_the_end():
    scene = Scene(False, False)
    assert await _play(scene, BROKEN) == 0
    scene.registry.put(support.make_server("b"))
    assert scene.counted == 1


async def test_a_refused_connection_long_after_is_no_evidence():
    scene = Scene(False, False)
    assert await _play(scene, BROKEN, wait_s=1.1) == 0
    scene.send(REFUSED)
    assert scene.counted == 0


async def test_many_requests_that_break_at_once_cost_one_probe():
    scene = Scene(True)
    async with anyio.create_task_group() as tasks:
        scene.watch.start(tasks)
        for _ in range(20):
            scene.send(BROKEN)
    assert scene.backends.probes_count == 1
    assert scene.counted == 1


async def test_unanswered_requests_are_bounded():
    scene = Scene()
    limit_count = crash_watch.CrashWatchSettings().unanswered_max_count
    for _ in range(limit_count + 100):
        scene.send(None)
    scene.send(REFUSED)
    assert len(scene.reported) <= limit_count


async def test_a_server_that_asked_for_backoff_is_not_probed():
    """A probe opens a connection, which uses some of its capacity."""
    scene = Scene(True, True)
    scene.registry.notices.record(scene.server, attempts.Notice(backoff_s=3.0))
    assert await _play(scene, BROKEN) == 0
    assert scene.backends.probes_count == 0


async def _end_runs(scene: Scene, *names: str) -> None:
    """Makes runs end under the request, one after the other."""
    for name in names:
        server = support.make_server(name)
        sent_request = scene.watch.begin(SUBJECT, "id", server)
        scene.watch.end(sent_request, BROKEN)
        scene.watch.note_ended(server.server_id)


@pytest.mark.parametrize(
    ("results", "counted"),
    [
        pytest.param([ANSWERED], 0, id="answered"),
        pytest.param([FAILED], 2, id="an error, perhaps the last word"),
        pytest.param([FAILED, FAILED], 0, id="errors one after the other"),
        pytest.param([FAILED, attempts.Shed(503)], 2, id="shed after it"),
        pytest.param([FAILED, BROKEN], 2, id="broken after it"),
    ],
)
async def test_which_results_void_ends(results, counted):
    scene = Scene()
    await _end_runs(scene, "b", "c")
    assert await _play(scene, *results, wait_s=0.01) == counted


# A target whose answers were all errors was refused after three crashes.
async def test_an_error_counts_once_its_server_answers_anything_later():
    scene = Scene()
    await _end_runs(scene, "b", "c")
    scene.send(FAILED)
    other = poison_requests.Fingerprint(b"o" * 16)
    sent_request = scene.watch.begin(other, "other", scene.server)
    scene.watch.end(sent_request, ANSWERED)
    assert scene.counted == 0


async def test_an_error_of_a_run_that_ended_voids_nothing():
    scene = Scene()
    await _end_runs(scene, "b", "c")
    scene.send(FAILED)
    scene.watch.note_ended(scene.server.server_id)
    scene.send(BROKEN)
    other = poison_requests.Fingerprint(b"o" * 16)
    sent_request = scene.watch.begin(other, "other", scene.server)
    scene.watch.end(sent_request, ANSWERED)
    assert scene.counted == 2


# An instance that did not know of answers at other instances refused a hot
# target.
async def test_an_answer_before_a_third_end_is_reported_to_others():
    for names, reported in ((("b",), 0), (("b", "c"), 1)):
        scene = Scene()
        cleared: list[poison_requests.Fingerprint] = []
        scene.watch.on_cleared = cleared.append
        await _end_runs(scene, *names)
        scene.send(ANSWERED)
        scene.send(ANSWERED)
        assert len(cleared) == reported


@pytest.mark.parametrize(
    ("results", "counted"),
    [
        pytest.param([None], 1, id="given up"),
        pytest.param([ANSWERED], 0, id="answered"),
        pytest.param([], 0, id="never there"),
    ],
)
async def test_an_end_observed_by_others_counts_for_unanswered_requests(
    results, counted
):
    scene = Scene()
    for result in results:
        scene.send(result)
    scene.watch.note_ended_elsewhere(scene.server.server_id)
    assert scene.counted == counted
    scene.watch.note_ended_elsewhere(scene.server.server_id)
    assert scene.counted == counted


# All requests waiting for a lost key were running at the third server when it
# ended.
async def test_a_request_with_two_ends_is_tried_by_instances_in_turn():
    for rank, trial_start_s in (
        (0, 0.0),
        (1, 0.5),
        (2, 1.0),
        (3, 1.0),
        (4, 1.5),
    ):
        scene = Scene(clock=support.ManualClock())
        scene.watch.rank = lambda _, rank=rank: rank
        await _end_runs(scene, "b")
        assert scene.watch.may_send(SUBJECT)
        await _end_runs(scene, "c")
        assert scene.watch.trial_wait_s(SUBJECT) == 0
        assert scene.watch.may_send(SUBJECT) == (trial_start_s == 0)
        assert scene.watch.trial_wait_s(SUBJECT) == trial_start_s
        scene.clock.now_s += trial_start_s
        assert scene.watch.may_send(SUBJECT)
        await _end_runs(scene, "d")
        assert not scene.watch.may_send(SUBJECT)


async def test_an_instance_sends_one_trial_at_a_time():
    scene = Scene()
    await _end_runs(scene, "b", "c")
    assert scene.watch.may_send(SUBJECT)
    sent_request = scene.watch.begin(SUBJECT, "id", scene.server)
    assert not scene.watch.may_send(SUBJECT)
    assert scene.watch.trial_wait_s(SUBJECT) > 0
    scene.watch.end(sent_request, ANSWERED)
    assert scene.watch.may_send(SUBJECT)
    assert scene.watch.trial_wait_s(SUBJECT) == 0


async def test_trials_are_remembered_within_bounds():
    scene = Scene()
    asked: list[poison_requests.Fingerprint] = []
    scene.watch.rank = lambda subject: asked.append(subject) or 0
    for number in range(200):
        subject = poison_requests.Fingerprint(number.to_bytes(16, "big"))
        for server in ("b", "c"):
            scene.ledger.record_end(
                poison_requests.RunEnd(subject, server, 1.0, 2.0)
            )
        for _ in range(2):
            scene.watch.may_send(subject)
    assert len(asked) <= 200
