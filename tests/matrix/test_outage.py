"""Losses while the log is down: service goes on, and nobody overlaps."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import loguru
import pytest
import simpy

from bridgecross_emulator import virtual
from tests.matrix import house as houses

_SERVED_WITHIN_S = 10.0
Story = Callable[[houses.House], Awaitable[None]]


async def _await_service(house: houses.House) -> None:
    with anyio.fail_after(_SERVED_WITHIN_S):
        while not await house.is_served():
            await anyio.sleep(0.2)


async def _lose_server(house: houses.House) -> None:
    house.servers["rapor-1"].lost = True
    await _await_service(house)


async def _freeze_server(house: houses.House) -> None:
    house.servers["rapor-1"].frozen = True
    await _await_service(house)
    house.servers["rapor-1"].frozen = False
    await anyio.sleep(5.0)
    await _await_service(house)


async def _cut_front_from_server(house: houses.House) -> None:
    link = house.find_front("rapor-1").link
    link.unreachable = {"rapor-1"}
    await _await_service(house)
    link.unreachable = set()
    await anyio.sleep(3.0)


async def _lose_server_then_its_front(house: houses.House) -> None:
    front = house.find_front("rapor-1")
    house.servers["rapor-1"].frozen = True
    await _await_service(house)
    front.link.lost = True
    house.servers["rapor-1"].frozen = False
    await anyio.sleep(5.0)


async def _lose_server_then_pause_front(house: houses.House) -> None:
    front = house.find_front("rapor-1")
    house.servers["rapor-1"].frozen = True
    await _await_service(house)
    front.link.paused = True
    house.servers["rapor-1"].frozen = False
    house.log.outage = False
    await anyio.sleep(8.0)
    front.link.paused = False


async def _lose_server_then_its_heir(house: houses.House) -> None:
    cell = house.fold().find_cell(houses.SERVICE)
    heir = next(f.backup for s, f in cell.fronts.items() if s == "rapor-1")
    house.servers["rapor-1"].lost = True
    await _await_service(house)
    house.servers[heir].frozen = True
    await anyio.sleep(5.0)
    house.log.outage = False
    await anyio.sleep(5.0)
    house.servers[heir].frozen = False


async def _cut_heirs_front_as_the_log_returns(house: houses.House) -> None:
    cell = house.fold().find_cell(houses.SERVICE)
    heir = next(f.backup for s, f in cell.fronts.items() if s == "rapor-1")
    front = house.find_front(heir)
    house.servers["rapor-1"].frozen = True
    await _await_service(house)
    front.link.log = False
    front.link.peers = False
    house.servers["rapor-1"].frozen = False
    house.log.outage = False
    await anyio.sleep(8.0)
    front.link.log = True
    front.link.peers = True


async def _lose_front(house: houses.House) -> None:
    house.find_front("rapor-1").link.lost = True
    await anyio.sleep(5.0)


async def _start_instance(house: houses.House) -> None:
    node = house.add_node("entry-5")
    with anyio.fail_after(_SERVED_WITHIN_S):
        while node.entry.describe().not_ready:
            await anyio.sleep(0.2)
    await _await_service(house)


async def _wait(house: houses.House) -> None:
    await anyio.sleep(300.0)
    await _await_service(house)


STORIES: dict[str, Story] = {
    "five minutes": _wait,
    "server lost": _lose_server,
    "server frozen and back": _freeze_server,
    "front cut from its server": _cut_front_from_server,
    "server lost, then its front": _lose_server_then_its_front,
    "server lost, its front paused": _lose_server_then_pause_front,
    "server lost, then its heir": _lose_server_then_its_heir,
    "heir's front cut off": _cut_heirs_front_as_the_log_returns,
    "front lost": _lose_front,
    "instance started": _start_instance,
}


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "trusts"])
@pytest.mark.parametrize("story", STORIES)
def test_outage(story, checks):
    loguru.logger.remove()
    environment = simpy.Environment()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            house = houses.House(environment, tasks, checks=checks)
            await house.start()
            await anyio.sleep(2.0)
            house.log.outage = True
            await anyio.sleep(3.0)
            await STORIES[story](house)
            house.log.outage = False
            with anyio.move_on_after(60):
                while not await house.is_served():
                    await anyio.sleep(0.5)
            await anyio.sleep(3.0)
            assert await house.is_served()
            assert house.list_violations() == []
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)
