import anyio
import pytest

from bridgecross_core import clock
from bridgecross_request import queueing

pytestmark = pytest.mark.anyio

FIRST = queueing.QueueTier("authority", 1, 8)
LAST = queueing.QueueTier("contractor", 3, 2)
FAR = queueing.Deadlines(1e9, 1e9)


def _queue(
    *, slots: int = 1, share: float = 0.0, late_slots: int | None = None
) -> queueing.TierQueue:
    settings = queueing.QueueSettings(slots, share, late_slots or slots, 0.01)
    return queueing.TierQueue(settings, clock.SystemClock())


async def _serve(
    queue: queueing.TierQueue, places: list[queueing.QueueTier]
) -> list[str]:
    """Lets requests queue behind one that runs; returns who got the slot."""
    order: list[str] = []
    assert isinstance(await queue.acquire(FIRST, FAR), queueing.Granted)

    async def request(place: queueing.QueueTier) -> None:
        if isinstance(await queue.acquire(place, FAR), queueing.Granted):
            order.append(place.name)
            queue.release(0.001, place)

    async with anyio.create_task_group() as tasks:
        for place in places:
            tasks.start_soon(request, place)
        await anyio.sleep(0.01)
        queue.release(0.001, FIRST)
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
        if isinstance(await queue.acquire(FIRST, FAR), queueing.Granted):
            highest = max(highest, queue.busy)
            await anyio.sleep(0.002)
            queue.release(0.002, FIRST)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(request)
    assert highest == 2
    assert queue.busy == 0


async def test_a_full_tier_is_refused_at_once_and_others_are_not():
    queue = _queue()
    await queue.acquire(FIRST, FAR)
    async with anyio.create_task_group() as tasks:
        for _ in range(LAST.limit):
            tasks.start_soon(queue.acquire, LAST, FAR)
        await anyio.sleep(0.01)
        refused = await queue.acquire(LAST, FAR)
        assert isinstance(refused, queueing.Refused)
        assert "full" in refused.reason
        assert refused.retry_after_ms > 0
        tasks.start_soon(queue.acquire, FIRST, FAR)
        await anyio.sleep(0.01)
        assert queue.waiting["authority"] == 1
        tasks.cancel_scope.cancel()


async def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    queue = _queue()
    await queue.acquire(FIRST, FAR)
    queue.release(10.0, FIRST)
    await queue.acquire(FIRST, FAR)
    near_s = clock.SystemClock().monotonic_s() + 0.5
    with anyio.fail_after(0.2):
        refused = await queue.acquire(FIRST, queueing.Deadlines(near_s, near_s))
    assert isinstance(refused, queueing.Refused)
    assert "deadline" in refused.reason


async def test_a_request_that_goes_away_leaves_no_trace():
    queue = _queue()
    await queue.acquire(FIRST, FAR)
    with anyio.move_on_after(0.01):
        await queue.acquire(FIRST, FAR)
    assert queue.waiting["authority"] == 0
    queue.release(0.001, FIRST)
    assert queue.busy == 0


def _due(target_s: float, deadline_s: float) -> queueing.Deadlines:
    """Returns times counted from now."""
    now_s = clock.SystemClock().monotonic_s()
    return queueing.Deadlines(now_s + target_s, now_s + deadline_s)


async def _order(
    queue: queueing.TierQueue,
    waiting: list[tuple[str, queueing.QueueTier, queueing.Deadlines]],
) -> list[str]:
    """Lets requests queue behind one that runs; returns who got the slot."""
    order: list[str] = []
    await queue.acquire(FIRST, FAR)

    async def request(
        name: str, place: queueing.QueueTier, due: queueing.Deadlines
    ) -> None:
        if isinstance(await queue.acquire(place, due), queueing.Granted):
            order.append(name)
            queue.release(0.001, FIRST)

    async with anyio.create_task_group() as tasks:
        for each in waiting:
            tasks.start_soon(request, *each)
        await anyio.sleep(0.01)
        queue.release(0.001, FIRST)
    return order


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        pytest.param(
            [("late", FIRST, (0.0, 5.0)), ("new", FIRST, (2.0, 5.0))],
            ["new", "late"],
            id="who can be in time goes before who cannot",
        ),
        pytest.param(
            [("later", FIRST, (2.0, 5.0)), ("sooner", FIRST, (1.0, 5.0))],
            ["sooner", "later"],
            id="the nearest target goes first",
        ),
        pytest.param(
            [("new", LAST, (2.0, 5.0)), ("late", FIRST, (0.0, 5.0))],
            ["late", "new"],
            id="a lower tier never overtakes, however late",
        ),
        pytest.param(
            [("patient", FIRST, (0.0, 6.0)), ("leaving", FIRST, (0.0, 3.0))],
            ["leaving", "patient"],
            id="of those late, who leaves soonest goes first",
        ),
    ],
)
async def test_order_within_and_between_tiers(waiting, expected):
    timed = [(name, place, _due(*times)) for name, place, times in waiting]
    assert await _order(_queue(), timed) == expected


async def test_late_requests_leave_slots_to_those_who_come():
    queue = _queue(slots=3, late_slots=1)
    late = _due(0.0, 5.0)
    assert isinstance(await queue.acquire(FIRST, late), queueing.Granted)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(queue.acquire, FIRST, late)
        await anyio.sleep(0.01)
        assert queue.busy == 1
        assert isinstance(await queue.acquire(FIRST, FAR), queueing.Granted)
        queue.release(0.001, FIRST)
        assert queue.busy == 1
        queue.release(0.001, FIRST)
        await anyio.sleep(0.01)
        assert queue.busy == 1
        assert queue.waiting.total() == 0


async def test_a_late_request_that_would_wait_for_long_is_refused_at_once():
    queue = _queue(slots=1)
    await queue.acquire(FIRST, FAR)
    queue.release(2.0, FIRST)
    await queue.acquire(FIRST, FAR)
    with anyio.fail_after(0.2):
        refused = await queue.acquire(FIRST, _due(0.0, 2.0))
    assert isinstance(refused, queueing.Refused)
    assert refused.retry_after_ms > 100


async def test_what_one_tier_needs_makes_no_other_late():
    """Long work of a lower tier runs beside short work that is due soon."""
    queue = _queue(slots=4, late_slots=1)
    for _ in range(20):
        await queue.acquire(LAST, FAR)
        queue.release(0.5, LAST)
        await queue.acquire(FIRST, FAR)
        queue.release(0.04, FIRST)
    await queue.acquire(LAST, FAR)
    soon = _due(0.15, 0.4)
    with anyio.fail_after(0.1):
        assert isinstance(await queue.acquire(FIRST, soon), queueing.Granted)
