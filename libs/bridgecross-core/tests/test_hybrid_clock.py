from bridgecross_core import hybrid_clock


class _SetClock:
    def __init__(self, wall_s: float) -> None:
        self.now_s = wall_s

    def wall_s(self) -> float:
        return self.now_s

    def monotonic_s(self) -> float:
        return self.now_s


def test_an_answer_is_later_than_its_question_despite_a_slow_clock():
    fast = hybrid_clock.HybridClock(_SetClock(100.0))
    slow = hybrid_clock.HybridClock(_SetClock(50.0))
    question = fast.tick()
    received = slow.observe(question)
    answer = slow.tick()
    assert question < received < answer


def test_a_clock_that_is_set_back_does_not_turn_time_back():
    wall = _SetClock(100.0)
    clock = hybrid_clock.HybridClock(wall)
    before = clock.tick()
    wall.now_s = 10.0
    assert clock.tick() > before
