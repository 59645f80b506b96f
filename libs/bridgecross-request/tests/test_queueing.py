import anyio
import pytest

from bridgecross_core import clock
from bridgecross_request import queueing

pytestmark = pytest.mark.anyio

HIGH_TIER = queueing.QueueTier("authority", 1, 8)
LOW_TIER = queueing.QueueTier("contractor", 3, 2)
FAR_DEADLINES = queueing.Deadlines(1e9, 1e9)


def _queue(
    *, slots: int = 1, share: float = 0.0, late_slots: int | None = None
) -> queueing.TierQueue:
    settings = queueing.QueueSettings(slots, share, late_slots or slots, 0.01)
    return queueing.TierQueue(settings, clock.SystemClock())


async def _serve(
    queue: queueing.TierQueue, tiers: list[queueing.QueueTier]
) -> list[str]:
    """Queues requests behind a running one; returns the tiers in order."""
    order: list[str] = []
    assert isinstance(
        await queue.acquire(HIGH_TIER, FAR_DEADLINES), queueing.Granted
    )

    async def request(tier: queueing.QueueTier) -> None:
        if isinstance(
            await queue.acquire(tier, FAR_DEADLINES), queueing.Granted
        ):
            order.append(tier.name)
            queue.release(0.001, tier)

    async with anyio.create_task_group() as tasks:
        for tier in tiers:
            tasks.start_soon(request, tier)
        await anyio.sleep(0.01)
        queue.release(0.001, HIGH_TIER)
    return order


async def test_higher_tiers_go_first_and_equals_in_turn():
    order = await _serve(_queue(), [LOW_TIER, HIGH_TIER, LOW_TIER, HIGH_TIER])
    assert order == ["authority"] * 2 + ["contractor"] * 2


async def test_the_lowest_tier_gets_its_share():
    queue = _queue(share=0.25)
    order = await _serve(queue, [LOW_TIER, *[HIGH_TIER] * 6])
    assert order.index("contractor") < len(order) - 1


async def test_slots_are_never_overrun():
    queue = _queue(slots=2)
    highest = 0

    async def request() -> None:
        nonlocal highest
        if isinstance(
            await queue.acquire(HIGH_TIER, FAR_DEADLINES), queueing.Granted
        ):
            highest = max(highest, queue.busy)
            await anyio.sleep(0.002)
            queue.release(0.002, HIGH_TIER)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(request)
    assert highest == 2
    assert queue.busy == 0


async def test_a_full_tier_is_refused_at_once_and_others_are_not():
    queue = _queue()
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    async with anyio.create_task_group() as tasks:
        for _ in range(LOW_TIER.limit):
            tasks.start_soon(queue.acquire, LOW_TIER, FAR_DEADLINES)
        await anyio.sleep(0.01)
        refused = await queue.acquire(LOW_TIER, FAR_DEADLINES)
        assert isinstance(refused, queueing.Refused)
        assert "full" in refused.reason
        assert refused.retry_after_ms > 0
        tasks.start_soon(queue.acquire, HIGH_TIER, FAR_DEADLINES)
        await anyio.sleep(0.01)
        assert queue.waiting["authority"] == 1
        tasks.cancel_scope.cancel()


async def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    queue = _queue()
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    queue.release(10.0, HIGH_TIER)
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    near_s = clock.SystemClock().monotonic_s() + 0.5
    with anyio.fail_after(0.2):
        refused = await queue.acquire(
            HIGH_TIER, queueing.Deadlines(near_s, near_s)
        )
    assert isinstance(refused, queueing.Refused)
    assert "deadline" in refused.reason


async def test_a_cancelled_request_leaves_the_queue():
    queue = _queue()
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    with anyio.move_on_after(0.01):
        await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    assert queue.waiting["authority"] == 0
    queue.release(0.001, HIGH_TIER)
    assert queue.busy == 0


def _deadlines(target_s: float, deadline_s: float) -> queueing.Deadlines:
    """Returns deadlines that are given relative to now."""
    now_s = clock.SystemClock().monotonic_s()
    return queueing.Deadlines(now_s + target_s, now_s + deadline_s)


async def _order(
    queue: queueing.TierQueue,
    waiting: list[tuple[str, queueing.QueueTier, queueing.Deadlines]],
) -> list[str]:
    """Queues requests behind a running one; returns their names in order."""
    order: list[str] = []
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)

    async def request(
        name: str, tier: queueing.QueueTier, deadlines: queueing.Deadlines
    ) -> None:
        if isinstance(await queue.acquire(tier, deadlines), queueing.Granted):
            order.append(name)
            queue.release(0.001, HIGH_TIER)

    async with anyio.create_task_group() as tasks:
        for each in waiting:
            tasks.start_soon(request, *each)
        await anyio.sleep(0.01)
        queue.release(0.001, HIGH_TIER)
    return order


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        pytest.param(
            [("late", HIGH_TIER, (0.0, 5.0)), ("new", HIGH_TIER, (2.0, 5.0))],
            ["new", "late"],
            id="who can be in time goes before who cannot",
        ),
        pytest.param(
            [
                ("later", HIGH_TIER, (2.0, 5.0)),
                ("sooner", HIGH_TIER, (1.0, 5.0)),
            ],
            ["sooner", "later"],
            id="the nearest target goes first",
        ),
        pytest.param(
            [("new", LOW_TIER, (2.0, 5.0)), ("late", HIGH_TIER, (0.0, 5.0))],
            ["late", "new"],
            id="a lower tier never overtakes, however late",
        ),
        pytest.param(
            [
                ("patient", HIGH_TIER, (0.0, 6.0)),
                ("leaving", HIGH_TIER, (0.0, 3.0)),
            ],
            ["leaving", "patient"],
            id="of those late, who leaves soonest goes first",
        ),
    ],
)
async def test_order_within_and_between_tiers(waiting, expected):
    timed = [(name, tier, _deadlines(*times)) for name, tier, times in waiting]
    assert await _order(_queue(), timed) == expected


async def test_late_requests_leave_slots_to_new_requests():
    queue = _queue(slots=3, late_slots=1)
    late = _deadlines(0.0, 5.0)
    assert isinstance(await queue.acquire(HIGH_TIER, late), queueing.Granted)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(queue.acquire, HIGH_TIER, late)
        await anyio.sleep(0.01)
        assert queue.busy == 1
        assert isinstance(
            await queue.acquire(HIGH_TIER, FAR_DEADLINES), queueing.Granted
        )
        queue.release(0.001, HIGH_TIER)
        assert queue.busy == 1
        queue.release(0.001, HIGH_TIER)
        await anyio.sleep(0.01)
        assert queue.busy == 1
        assert queue.waiting.total() == 0


async def test_a_late_request_that_would_wait_for_long_is_refused_at_once():
    queue = _queue(slots=1)
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    queue.release(2.0, HIGH_TIER)
    await queue.acquire(HIGH_TIER, FAR_DEADLINES)
    with anyio.fail_after(0.2):
        refused = await queue.acquire(HIGH_TIER, _deadlines(0.0, 2.0))
    assert isinstance(refused, queueing.Refused)
    assert refused.retry_after_ms > 100


async def test_long_work_of_one_tier_makes_no_other_late():
    """Short work with a near target runs beside long work of a lower tier."""
    queue = _queue(slots=4, late_slots=1)
    for _ in range(20):
        await queue.acquire(LOW_TIER, FAR_DEADLINES)
        queue.release(0.5, LOW_TIER)
        await queue.acquire(HIGH_TIER, FAR_DEADLINES)
        queue.release(0.04, HIGH_TIER)
    await queue.acquire(LOW_TIER, FAR_DEADLINES)
    soon = _deadlines(0.15, 0.4)
    with anyio.fail_after(0.1):
        assert isinstance(
            await queue.acquire(HIGH_TIER, soon), queueing.Granted
        )
