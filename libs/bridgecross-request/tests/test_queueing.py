import anyio
import pytest

from bridgecross_core import clock
from bridgecross_request import queueing

pytestmark = pytest.mark.anyio

FIRST = queueing.TierPlace("authority", 1, 8)
LAST = queueing.TierPlace("contractor", 3, 2)
FAR_S = 1e9


def _queue(*, slots: int = 1, share: float = 0.0) -> queueing.TierQueue:
    settings = queueing.QueueSettings(slots, share)
    return queueing.TierQueue(settings, clock.SystemClock())


async def _serve(
    queue: queueing.TierQueue, places: list[queueing.TierPlace]
) -> list[str]:
    """Lets requests queue behind one that runs; returns who got the slot."""
    order: list[str] = []
    assert isinstance(await queue.acquire(FIRST, FAR_S), queueing.Granted)

    async def request(place: queueing.TierPlace) -> None:
        if isinstance(await queue.acquire(place, FAR_S), queueing.Granted):
            order.append(place.name)
            queue.release(0.001)

    async with anyio.create_task_group() as tasks:
        for place in places:
            tasks.start_soon(request, place)
        await anyio.sleep(0.01)
        queue.release(0.001)
    return order


async def test_higher_tiers_go_first_and_equals_in_turn():
    order = await _serve(_queue(), [LAST, FIRST, LAST, FIRST])
    assert order == ["authority"] * 2 + ["contractor"] * 2


async def test_the_lowest_tier_gets_its_share():
    queue = _queue(share=0.25)
    order = await _serve(queue, [LAST, *[FIRST] * 6])
    assert order.index("contractor") < len(order) - 1


async def test_slots_are_never_overrun():
    queue = _queue(slots=2)
    highest = 0

    async def request() -> None:
        nonlocal highest
        if isinstance(await queue.acquire(FIRST, FAR_S), queueing.Granted):
            highest = max(highest, queue.busy)
            await anyio.sleep(0.002)
            queue.release(0.002)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(request)
    assert highest == 2
    assert queue.busy == 0


async def test_a_full_tier_is_refused_at_once_and_others_are_not():
    queue = _queue()
    await queue.acquire(FIRST, FAR_S)
    async with anyio.create_task_group() as tasks:
        for _ in range(LAST.limit):
            tasks.start_soon(queue.acquire, LAST, FAR_S)
        await anyio.sleep(0.01)
        refused = await queue.acquire(LAST, FAR_S)
        assert isinstance(refused, queueing.Refused)
        assert "full" in refused.reason
        assert refused.retry_after_ms > 0
        tasks.start_soon(queue.acquire, FIRST, FAR_S)
        await anyio.sleep(0.01)
        assert queue.waiting["authority"] == 1
        tasks.cancel_scope.cancel()


async def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    queue = _queue()
    await queue.acquire(FIRST, FAR_S)
    queue.release(10.0)
    await queue.acquire(FIRST, FAR_S)
    near_s = clock.SystemClock().monotonic_s() + 0.5
    with anyio.fail_after(0.2):
        refused = await queue.acquire(FIRST, near_s)
    assert isinstance(refused, queueing.Refused)
    assert "deadline" in refused.reason


async def test_a_request_that_goes_away_leaves_no_trace():
    queue = _queue()
    await queue.acquire(FIRST, FAR_S)
    with anyio.move_on_after(0.01):
        await queue.acquire(FIRST, FAR_S)
    assert queue.waiting["authority"] == 0
    queue.release(0.001)
    assert queue.busy == 0
