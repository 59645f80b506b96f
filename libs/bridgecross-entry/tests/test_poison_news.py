import math

import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import codec
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import poison_news
from bridgecross_request import poison_requests

pytestmark = pytest.mark.anyio

SUBJECT = b"s" * 16
WORDS = codec.Codec(poison_news.Word)
REPLIES = codec.Codec(poison_news.Reply)
NEIGHBOUR = model.Address("127.0.0.1", 7_001)
STRANGER = model.Address("127.0.0.9", 22)


class Client(peers.PeerClient):
    """Calls of other instances, none of which arrives."""

    def __init__(self, real: clock.Clock) -> None:
        super().__init__(peers.PeerSettings(), support.make_journal(real), real)
        self.asked: list[model.Address] = []

    async def ask(self, address, path, body, timeout_s):
        self.asked.append(address)


class Scene:
    """What one instance knows and tells, beside one neighbour."""

    def __init__(self) -> None:
        real = clock.SystemClock()
        self.client = Client(real)
        self.ledger = poison_requests.PoisonLedger(
            poison_requests.PoisonSettings(), real
        )
        self.news = poison_news.PoisonNews(
            poison_news.PoisonNewsSettings(),
            self.ledger,
            self.client,
            lambda: (NEIGHBOUR,),
            self._put,
            support.make_journal(real),
            real,
        )

    async def _put(self, record) -> bool:
        return True

    async def take(self, word: poison_news.Word) -> poison_news.Reply:
        return REPLIES.decode(await self.news.answer(WORDS.encode(word)))

    @property
    def counted(self) -> int:
        return len(self.ledger.ends_of(poison_requests.Fingerprint(SUBJECT)))


def _end(server="a", subject=SUBJECT, sent_ago_s=0.2, ended_ago_s=0.1):
    return poison_requests.RunEndReport(
        subject, server, sent_ago_s, ended_ago_s
    )


def _word(
    *ends: poison_requests.RunEndReport, **fields: object
) -> poison_news.Word:
    return poison_news.Word(ends, **fields)


@pytest.mark.parametrize(
    ("body", "place"),
    [
        pytest.param(b"", "truncated", id="empty"),
        pytest.param(b"\xc1\xff", "Expected", id="foreign"),
        pytest.param(WORDS.encode(_word(_end()))[:-4], "truncated", id="cut"),
        pytest.param(
            WORDS.encode(_word(_end(subject=b"short"))),
            "ends[0]: the subject has 5 bytes",
            id="no subject",
        ),
        pytest.param(
            WORDS.encode(_word(_end(), _end(sent_ago_s=math.nan))),
            "ends[1]: the age is nan s",
            id="no age",
        ),
        pytest.param(
            WORDS.encode(_word(_end(ended_ago_s=-1.0))),
            "ends[0]: the age is -1.0 s",
            id="from the future",
        ),
        pytest.param(
            WORDS.encode(
                _word(
                    answers=(poison_requests.AnswerReport(SUBJECT, math.inf),)
                )
            ),
            "answers[0]: the age is inf s",
            id="answered never",
        ),
    ],
)
async def test_a_word_that_makes_no_sense_is_left_aside(body, place):
    scene = Scene()
    with pytest.raises(
        (codec.CodecError, poison_requests.InvalidReportError)
    ) as caught:
        await scene.news.answer(body)
    if "[" in place:
        assert place in str(caught.value)
    assert scene.counted == 0


async def test_a_word_counts_once_however_often_it_comes():
    scene = Scene()
    for _ in range(3):
        await scene.take(_word(_end("a"), _end("b")))
    assert scene.counted == 2


async def test_the_answer_holds_what_the_teller_lacks():
    scene = Scene()
    await scene.take(_word(_end("a"), _end("b")))
    reply = await scene.take(_word(_end("c")))
    assert {end.server for end in reply.ends} == {"a", "b"}


async def test_a_word_is_passed_on_only_to_those_who_are_known():
    scene = Scene()
    reply = await scene.take(_word(_end(), pass_on=(NEIGHBOUR, STRANGER)))
    assert scene.client.asked == [NEIGHBOUR]
    assert set(reply.unreached) == {NEIGHBOUR, STRANGER}


async def test_a_record_is_as_old_as_its_ends():
    told = Scene()
    await told.take(_word(*(_end(name) for name in "abc")))
    record = codec.Codec(poison_news.Refused).encode(
        poison_news.Refused(
            clock.SystemClock().wall_s() - 1_000.0,
            tuple(_end(name) for name in "abc"),
        )
    )
    late = Scene()
    late.news.take_record("refused/x", record)
    assert told.counted == 3
    assert late.counted == 0
