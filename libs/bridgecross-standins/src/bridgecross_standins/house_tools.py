"""What demo, tests and measurements do with a started house."""

import time

import anyio
import anyio.to_thread

from bridgecross_cli import cluster_client
from bridgecross_cli import publishing
from bridgecross_core import ids
from bridgecross_daemon import peer_protocol
from bridgecross_ownership import cell as cells
from bridgecross_settings import process
from bridgecross_standins import processes
from bridgecross_timeline import events

_PUBLISH_TIMEOUT_S = 20.0
_ASSIGN_TIMEOUT_S = 20.0
_POLL_S = 0.1


class NotUpError(RuntimeError):
    """The house did not come up."""


def read_connection(house: processes.House) -> process.ProcessSettings:
    """Returns where a house's log and instance list are."""
    entry = next(iter(house.entries.values()))
    return cluster_client.read_connection(entry.settings_path)


async def bring_up(house: processes.House) -> ids.Offset:
    """Publishes the settings, starts all entries, and awaits assignments.

    Returns:
        The version of the settings.

    Raises:
        NotUpError: It did not come up in time.
    """
    for number in range(1, house.shape.instances + 1):
        house.start_entry(f"entry-{number}")
    version = await _publish(house)
    await anyio.to_thread.run_sync(house.await_entries)
    await _await_assignments(house)
    return version


async def read_cell(
    house: processes.House, service: ids.ServiceName
) -> cells.Cell:
    """Returns the owners of a service's slices, folded from the log."""
    connection = read_connection(house)
    async with cluster_client.follow_control(
        connection, house.shape.place
    ) as reader:
        return reader.state.find_cell(service)


async def read_statuses(
    house: processes.House,
) -> dict[ids.InstanceId, peer_protocol.InstanceStatus]:
    """Returns how the instances that answer are."""
    connection = read_connection(house)
    answers = await cluster_client.call_instances(
        await cluster_client.list_instances(connection),
        peer_protocol.STATUS,
        peer_protocol.StatusRequest(),
    )
    return {a.instance: a.reply for a in answers if a.reply is not None}


async def read_timeline(house: processes.House) -> list[events.Event]:
    """Returns the events of all instances that answer, in causal order."""
    gathered = await cluster_client.gather_timeline(read_connection(house))
    return gathered.events


async def _publish(house: processes.House) -> ids.Offset:
    """Publishes the house's settings once the log answers."""
    give_up_s = time.monotonic() + _PUBLISH_TIMEOUT_S
    request = publishing.PublishRequest(
        house.settings, ids.NO_OFFSET, "house tools", "first settings"
    )
    while time.monotonic() < give_up_s:
        try:
            outcome = await publishing.publish(
                read_connection(house), house.shape.place, request
            )
        except cluster_client.UnreachableError:
            continue
        if isinstance(outcome, publishing.Published):
            return outcome.version
    raise NotUpError("the settings could not be published")


async def _await_assignments(house: processes.House) -> None:
    """Waits until every slice of every service has an owner that holds it."""
    give_up_s = time.monotonic() + _ASSIGN_TIMEOUT_S
    while time.monotonic() < give_up_s:
        found = [
            await read_cell(house, ids.ServiceName(service.service))
            for service in house.shape.services
        ]
        if all(_is_assigned(cell) for cell in found):
            return
        await anyio.sleep(_POLL_S)
    raise NotUpError("not every slice got an owner")


def _is_assigned(cell: cells.Cell) -> bool:
    """Returns whether every slice of a cell has an owner."""
    return bool(cell.slices) and all(
        state.server != cells.NO_SERVER for state in cell.slices
    )
