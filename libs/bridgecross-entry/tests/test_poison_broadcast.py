import dataclasses
import math

import anyio
import anyio.lowlevel
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import codec
from bridgecross_entry import cluster_state
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import poison_broadcast
from bridgecross_request import poison_requests

pytestmark = pytest.mark.anyio

SUBJECT = b"s" * 16
UPDATES = codec.Codec(poison_broadcast.PoisonUpdate)
REPLIES = codec.Codec(poison_broadcast.Reply)
NEIGHBOUR = model.Address("127.0.0.1", 7_001)
STRANGER = model.Address("127.0.0.9", 22)


class Client(peers.PeerClient):
    """Records calls to other instances, none of which arrives."""

    def __init__(self, real: clock.Clock) -> None:
        super().__init__(peers.PeerSettings(), support.make_journal(real), real)
        self.asked: list[model.Address] = []

    async def post_urgent(self, address, path, body, timeout_s):
        self.asked.append(address)


class Scene:
    """The broadcaster of one instance with one neighbour."""

    def __init__(self) -> None:
        real = clock.SystemClock()
        self.client = Client(real)
        self.ledger = poison_requests.PoisonLedger(
            poison_requests.PoisonSettings(), real
        )
        self.broadcaster = poison_broadcast.PoisonBroadcaster(
            poison_broadcast.PoisonBroadcastSettings(),
            self.ledger,
            self.client,
            lambda: (NEIGHBOUR,),
            self._put,
            support.make_journal(real),
            real,
        )

    async def _put(self, record) -> bool:
        return True

    async def send(
        self, update: poison_broadcast.PoisonUpdate
    ) -> poison_broadcast.Reply:
        return REPLIES.decode(
            await self.broadcaster.answer(UPDATES.encode(update))
        )

    @property
    def counted(self) -> int:
        return len(self.ledger.ends_of(poison_requests.Fingerprint(SUBJECT)))


def _end(server="a", subject=SUBJECT, sent_ago_s=0.2, ended_ago_s=0.1):
    return poison_requests.RunEndReport(
        subject, server, sent_ago_s, ended_ago_s
    )


def _make_update(
    *ends: poison_requests.RunEndReport, **fields: object
) -> poison_broadcast.PoisonUpdate:
    return poison_broadcast.PoisonUpdate(ends, **fields)


@pytest.mark.parametrize(
    ("body", "place"),
    [
        pytest.param(b"", "truncated", id="empty"),
        pytest.param(b"\xc1\xff", "Expected", id="foreign"),
        pytest.param(
            UPDATES.encode(_make_update(_end()))[:-4], "truncated", id="cut"
        ),
        pytest.param(
            UPDATES.encode(_make_update(_end(subject=b"short"))),
            "ends[0]: the subject has 5 bytes",
            id="no subject",
        ),
        pytest.param(
            UPDATES.encode(_make_update(_end(), _end(sent_ago_s=math.nan))),
            "ends[1]: the age is nan s",
            id="no age",
        ),
        pytest.param(
            UPDATES.encode(_make_update(_end(ended_ago_s=-1.0))),
            "ends[0]: the age is -1.0 s",
            id="from the future",
        ),
        pytest.param(
            UPDATES.encode(
                _make_update(
                    answers=(poison_requests.AnswerReport(SUBJECT, math.inf),)
                )
            ),
            "answers[0]: the age is inf s",
            id="answered never",
        ),
    ],
)
async def test_an_invalid_update_is_rejected(body, place):
    scene = Scene()
    with pytest.raises(
        (codec.CodecError, poison_requests.InvalidReportError)
    ) as caught:
        await scene.broadcaster.answer(body)
    if "[" in place:
        assert place in str(caught.value)
    assert scene.counted == 0


async def test_a_repeated_update_counts_once():
    scene = Scene()
    for _ in range(3):
        await scene.send(_make_update(_end("a"), _end("b")))
    assert scene.counted == 2


async def test_the_reply_contains_what_the_sender_lacks():
    scene = Scene()
    await scene.send(_make_update(_end("a"), _end("b")))
    reply = await scene.send(_make_update(_end("c")))
    assert {end.server for end in reply.ends} == {"a", "b"}


async def test_an_update_is_forwarded_only_to_known_instances():
    scene = Scene()
    reply = await scene.send(
        _make_update(_end(), forward_to=(NEIGHBOUR, STRANGER))
    )
    assert scene.client.asked == [NEIGHBOUR]
    assert set(reply.unreached) == {NEIGHBOUR, STRANGER}


async def test_a_record_is_as_old_as_its_ends():
    first = Scene()
    await first.send(_make_update(*(_end(name) for name in "abc")))
    record = codec.Codec(poison_broadcast.RefusalRecord).encode(
        poison_broadcast.RefusalRecord(
            clock.SystemClock().wall_s() - 1_000.0,
            tuple(_end(name) for name in "abc"),
        )
    )
    late = Scene()
    late.broadcaster.load_record("refused/x", record)
    assert first.counted == 3
    assert late.counted == 0


class _HeldLog:
    """Takes the records of a broadcaster; the test answers the writes."""

    def __init__(self) -> None:
        # The records in the order in which they took effect.
        self.written: list[bytes] = []
        # Whether the next call waits, and whether it fails after that.
        self.holds_next = False
        self.loses_held = False
        self.is_held = anyio.Event()
        self.may_write = anyio.Event()

    async def put(self, record) -> bool:
        if self.holds_next:
            self.holds_next = False
            self.is_held.set()
            await self.may_write.wait()
            if self.loses_held:
                return False
        await anyio.lowlevel.checkpoint()
        self.written.append(record.value)
        return True


def _make_recording(held: _HeldLog) -> Scene:
    scene = Scene()
    scene.broadcaster._put_record = held.put
    scene.broadcaster._settings = dataclasses.replace(
        scene.broadcaster._settings, record_retry_s=0.02
    )
    return scene


async def _refuse(scene: Scene) -> None:
    """Lets three servers end under the request at this instance."""
    update = _make_update(*(_end(name) for name in "abc"))
    await scene.send(update)
    scene.broadcaster.report_ends(
        scene.ledger.ends_of(poison_requests.Fingerprint(SUBJECT))
    )


# Guards against a refusal that is written after the request was answered.
@pytest.mark.parametrize("is_lost", [True, False])
async def test_a_delayed_refusal_does_not_undo_its_removal(is_lost):
    held = _HeldLog()
    held.loses_held = is_lost
    held.holds_next = True
    scene = _make_recording(held)
    async with anyio.create_task_group() as tasks:
        scene.broadcaster._tasks = tasks
        await _refuse(scene)
        await held.is_held.wait()
        scene.broadcaster.report_answer(poison_requests.Fingerprint(SUBJECT))
        await anyio.wait_all_tasks_blocked()
        held.may_write.set()
    assert held.written[-1] == b""


# Guards against the removal of an old record that undoes a later refusal.
async def test_a_slow_removal_does_not_undo_a_later_refusal():
    held = _HeldLog()
    scene = _make_recording(held)
    key = cluster_state.REFUSED_PREFIX + SUBJECT.hex()
    scene.broadcaster._recorded_wall_s[key] = 0.0
    held.holds_next = True
    async with anyio.create_task_group() as tasks:
        scene.broadcaster._tasks = tasks
        tasks.start_soon(scene.broadcaster.remove_old_records)
        await held.is_held.wait()
        await _refuse(scene)
        await anyio.wait_all_tasks_blocked()
        held.may_write.set()
    assert held.written[-1] != b""
    assert key in scene.broadcaster._recorded_wall_s
