import anyio
import pytest

from bridgecross_core import notifier

pytestmark = pytest.mark.anyio


async def test_wait_until_returns_on_a_change_and_on_a_timeout():
    changed = notifier.Notifier()
    state = {"open": False}

    async def open_later() -> None:
        await anyio.sleep(0.01)
        state["open"] = True
        changed.notify()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(open_later)
        assert await changed.wait_until(lambda: state["open"], 1.0)
    assert not await changed.wait_until(lambda: False, 0.01)
