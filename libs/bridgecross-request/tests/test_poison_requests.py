import dataclasses

import pytest

from bridgecross_request import poison_requests

SUBJECT = poison_requests.Fingerprint(b"s" * 16)
SETTINGS = poison_requests.PoisonSettings()


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class Scene:
    """A ledger with a clock, to which ends and answers are added."""

    def __init__(self, **settings: object) -> None:
        self.clock = Clock()
        self.ledger = poison_requests.PoisonLedger(
            dataclasses.replace(SETTINGS, **settings), self.clock
        )

    def end(self, server: str, sent_s: float, ended_s: float) -> None:
        """Records the end of a run; times count from the start of the test."""
        end = poison_requests.RunEnd(
            SUBJECT, server, 1_000 + sent_s, 1_000 + ended_s
        )
        self.ledger.record_end(end)

    def answer(self, answered_s: float) -> None:
        self.ledger.record_answer(
            poison_requests.Answer(SUBJECT, 1_000 + answered_s)
        )

    @property
    def is_refused(self) -> bool:
        return self.ledger.refused_for_s(SUBJECT) > 0


THREE_IN_TURN = [("a", 0, 1), ("b", 2, 3), ("c", 4, 5)]
THREE_AT_ONCE = [("a", 0, 1), ("b", 0.1, 1), ("c", 0.2, 1)]


@pytest.mark.parametrize(
    ("ends", "answers", "refused"),
    [
        pytest.param([], [], False, id="nothing"),
        pytest.param(THREE_IN_TURN[:2], [], False, id="two"),
        pytest.param(THREE_IN_TURN, [], True, id="three"),
        pytest.param(THREE_IN_TURN[::-1], [], True, id="told in any order"),
        pytest.param(
            [*THREE_IN_TURN[:2], ("b", 2, 3)], [], False, id="one told twice"
        ),
        pytest.param(THREE_AT_ONCE, [], True, id="at once, never answered"),
        pytest.param(
            THREE_AT_ONCE, [-1.0], False, id="at once, answered before"
        ),
        pytest.param(
            THREE_AT_ONCE, [-60.0], True, id="at once, answered long before"
        ),
        pytest.param(
            THREE_IN_TURN, [-1.0], True, id="in turn, answered before"
        ),
        pytest.param(
            THREE_IN_TURN, [4.5], False, id="answered during the last"
        ),
        pytest.param(THREE_IN_TURN, [5.5], False, id="answered after all"),
        pytest.param(
            THREE_IN_TURN, [1.5], False, id="answered after the first"
        ),
        pytest.param(
            [*THREE_IN_TURN, ("d", 6, 7)],
            [1.5],
            True,
            id="three more after an answer",
        ),
    ],
)
def test_what_is_refused(ends, answers, refused):
    for answers_first in (False, True):
        scene = Scene()
        scene.clock.now_s += 10
        for answered_s in answers if answers_first else ():
            scene.answer(answered_s)
        for end in ends:
            scene.end(*end)
        for answered_s in () if answers_first else answers:
            scene.answer(answered_s)
        assert scene.is_refused == refused


def test_ends_count_for_a_bounded_time():
    scene = Scene(retention_s=60.0)
    scene.clock.now_s += 5
    for end in THREE_IN_TURN:
        scene.end(*end)
    assert scene.ledger.refused_for_s(SUBJECT) == 60.0
    scene.clock.now_s += 61
    assert not scene.is_refused
    scene.ledger.remove_expired()
    assert scene.ledger.list_suspects() == []


def test_what_is_refused_is_forgotten_last():
    scene = Scene(subjects_max_count=4)
    scene.clock.now_s += 5
    for end in THREE_IN_TURN:
        scene.end(*end)
    for number in range(20):
        other = poison_requests.Fingerprint(number.to_bytes(16, "big"))
        scene.ledger.record_end(
            poison_requests.RunEnd(other, "z", 1_001, 1_002)
        )
    assert len(scene.ledger.list_suspects()) == 4
    assert scene.is_refused


def test_answers_are_bounded():
    scene = Scene(answers_max_count=3)
    for number in range(9):
        subject = poison_requests.Fingerprint(number.to_bytes(16, "big"))
        scene.ledger.record_answer_now(subject)
    known = [
        number
        for number in range(9)
        if scene.ledger.answer_of(
            poison_requests.Fingerprint(number.to_bytes(16, "big"))
        )
    ]
    assert known == [6, 7, 8]


REQUEST = ("h", b"GET", b"/a", b"body")


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(("i", *REQUEST[1:]), id="another host"),
        pytest.param(("h", b"PUT", *REQUEST[2:]), id="another method"),
        pytest.param((*REQUEST[:2], b"/a?b", b"body"), id="another query"),
        pytest.param((*REQUEST[:3], b"body2"), id="another body"),
        pytest.param((*REQUEST[:2], b"/ab", b"ody"), id="parts run together"),
        pytest.param(("h", b"GET", b"", b"/abody"), id="no target"),
        pytest.param((*REQUEST[:2], b"/" + b"a" * 16_384, b""), id="longest"),
    ],
)
def test_a_fingerprint_covers_host_method_target_and_body(other):
    subject = poison_requests.compute_fingerprint(*REQUEST)
    assert subject == poison_requests.compute_fingerprint(*REQUEST)
    assert subject != poison_requests.compute_fingerprint(*other)
    assert (
        len(poison_requests.compute_fingerprint(*other))
        == poison_requests.FINGERPRINT_BYTES
    )


OTHER = poison_requests.Fingerprint(b"o" * 16)


def _end_other(scene: Scene, *ends: tuple[str, float, float]) -> None:
    for server, sent_s, ended_s in ends:
        end = poison_requests.RunEnd(
            OTHER, server, 1_000 + sent_s, 1_000 + ended_s
        )
        scene.ledger.record_end(end)


@pytest.mark.parametrize(
    ("others", "other_answers", "answers", "refused"),
    [
        pytest.param(THREE_IN_TURN, [], [-1.0], False, id="all its ends"),
        pytest.param(
            THREE_IN_TURN, [], [-60.0], True, id="neither was answered lately"
        ),
        pytest.param(
            THREE_IN_TURN, [-1.0], [-1.0], True, id="both were answered lately"
        ),
        pytest.param(THREE_IN_TURN[:2], [], [-1.0], False, id="two of them"),
        pytest.param(THREE_IN_TURN[:1], [], [-1.0], True, id="one, by chance"),
        pytest.param(
            [("x", 0, 1), ("y", 2, 3)], [], [-1.0], True, id="other servers"
        ),
        pytest.param(
            THREE_IN_TURN, [5.5], [-1.0], True, id="the other one lived"
        ),
    ],
)
def test_ends_that_another_request_explains_do_not_count(
    others, other_answers, answers, refused
):
    for others_first in (False, True):
        scene = Scene()
        scene.clock.now_s += 10
        for answered_s in answers:
            scene.answer(answered_s)
        if others_first:
            _end_other(scene, *others)
        for end in THREE_IN_TURN:
            scene.end(*end)
        if not others_first:
            _end_other(scene, *others)
        for answered_s in other_answers:
            answer = poison_requests.Answer(OTHER, 1_000 + answered_s)
            scene.ledger.record_answer(answer)
        assert scene.is_refused == refused


def test_of_several_requests_in_flight_the_first_sent_counts():
    scene = Scene()
    scene.clock.now_s += 10
    scene.answer(0.05)
    for sent_s in (0.2, 0.0, 0.1):
        scene.end("a", sent_s, 1)
    assert scene.ledger.ends_of(SUBJECT) == []


@pytest.mark.parametrize(
    ("report", "problem"),
    [
        (
            poison_requests.PoisonReport(
                (poison_requests.RunEndReport(b"s" * 15, "a", 1, 0),)
            ),
            "15 bytes",
        ),
        (
            poison_requests.PoisonReport(
                (poison_requests.RunEndReport(b"", "a", 1, 0),)
            ),
            "0 bytes",
        ),
        (
            poison_requests.PoisonReport(
                (poison_requests.RunEndReport(b"s" * 17, "a", 1, 0),)
            ),
            "17 bytes",
        ),
        (
            poison_requests.PoisonReport(
                (), (poison_requests.AnswerReport(b"s" * 64, 0),)
            ),
            "answers[0]: the subject has 64 bytes",
        ),
    ],
)
def test_fingerprints_of_a_wrong_length_are_refused(report, problem):
    scene = Scene()
    with pytest.raises(poison_requests.InvalidReportError) as caught:
        scene.ledger.merge_report(report)
    assert problem in str(caught.value)
    assert scene.ledger.list_known() == []
