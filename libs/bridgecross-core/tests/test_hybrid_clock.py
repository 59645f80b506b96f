from bridgecross_core import hybrid_clock


class _ManualClock:
    def __init__(self, wall_s: float) -> None:
        self.now_s = wall_s

    def wall_s(self) -> float:
        return self.now_s

    def monotonic_s(self) -> float:
        return self.now_s


def test_a_reply_is_later_than_its_request_despite_a_slow_clock():
    fast = hybrid_clock.HybridClock(_ManualClock(100.0))
    slow = hybrid_clock.HybridClock(_ManualClock(50.0))
    request = fast.tick()
    received = slow.observe(request)
    reply = slow.tick()
    assert request < received < reply


def test_timestamps_stay_monotonic_if_the_clock_is_set_back():
    wall = _ManualClock(100.0)
    clock = hybrid_clock.HybridClock(wall)
    before = clock.tick()
    wall.now_s = 10.0
    assert clock.tick() > before
