import dataclasses

import pytest

from bridgecross_request import poison

SUBJECT = poison.Subject(b"s" * 16)
SETTINGS = poison.PoisonSettings()


class Clock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class Scene:
    """A ledger, and what happened up to now."""

    def __init__(self, **settings: object) -> None:
        self.clock = Clock()
        self.ledger = poison.PoisonLedger(
            dataclasses.replace(SETTINGS, **settings), self.clock
        )

    def end(self, server: str, sent_s: float, ended_s: float) -> None:
        """A run ended; times count from the start of the test."""
        end = poison.End(SUBJECT, server, 1_000 + sent_s, 1_000 + ended_s)
        self.ledger.put_end(end)

    def answer(self, answered_s: float) -> None:
        self.ledger.put_answer(poison.Answer(SUBJECT, 1_000 + answered_s))

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
    scene = Scene(remember_s=60.0)
    scene.clock.now_s += 5
    for end in THREE_IN_TURN:
        scene.end(*end)
    assert scene.ledger.refused_for_s(SUBJECT) == 60.0
    scene.clock.now_s += 61
    assert not scene.is_refused
    scene.ledger.forget_old()
    assert scene.ledger.suspects() == []


def test_what_is_refused_is_forgotten_last():
    scene = Scene(subjects_max_count=4)
    scene.clock.now_s += 5
    for end in THREE_IN_TURN:
        scene.end(*end)
    for number in range(20):
        other = poison.Subject(number.to_bytes(16, "big"))
        scene.ledger.put_end(poison.End(other, "z", 1_001, 1_002))
    assert len(scene.ledger.suspects()) == 4
    assert scene.is_refused


def test_answers_are_bounded():
    scene = Scene(answers_max_count=3)
    for number in range(9):
        subject = poison.Subject(number.to_bytes(16, "big"))
        scene.ledger.note_answer(subject)
    known = [
        number
        for number in range(9)
        if scene.ledger.answer_of(poison.Subject(number.to_bytes(16, "big")))
    ]
    assert known == [6, 7, 8]


REQUEST = ("10.0.0.1", "h", b"GET", b"/a", b"body")


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(("10.0.0.2", *REQUEST[1:]), id="another caller"),
        pytest.param(("10.0.0.1", "i", *REQUEST[2:]), id="another host"),
        pytest.param((*REQUEST[:2], b"PUT", *REQUEST[3:]), id="another method"),
        pytest.param((*REQUEST[:3], b"/a?b", b"body"), id="another query"),
        pytest.param((*REQUEST[:4], b"body2"), id="another body"),
        pytest.param((*REQUEST[:3], b"/ab", b"ody"), id="parts run together"),
    ],
)
def test_a_request_is_known_by_who_asks_and_what_for(other):
    assert poison.name_subject(*REQUEST) == poison.name_subject(*REQUEST)
    assert poison.name_subject(*REQUEST) != poison.name_subject(*other)
