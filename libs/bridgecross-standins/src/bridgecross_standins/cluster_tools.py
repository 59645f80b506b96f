"""Helpers of the demo, tests and benchmarks for a cluster of processes."""

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


class ClusterStartError(RuntimeError):
    """The cluster did not start in time."""


def read_connection(cluster: processes.Cluster) -> process.ProcessSettings:
    """Returns settings with the URLs of a cluster's log and instance list."""
    entry = next(iter(cluster.entries.values()))
    return cluster_client.read_connection(entry.settings_path)


async def start_cluster(cluster: processes.Cluster) -> ids.Offset:
    """Starts all entry instances, publishes the settings, awaits owners.

    Returns:
        The version of the settings.

    Raises:
        ClusterStartError: The cluster did not start in time.
    """
    for number in range(1, cluster.shape.instances + 1):
        cluster.start_entry(f"entry-{number}")
    version = await _publish(cluster)
    await anyio.to_thread.run_sync(cluster.await_entries)
    await _await_assignments(cluster)
    return version


async def read_cell(
    cluster: processes.Cluster, service: ids.ServiceName
) -> cells.Cell:
    """Returns the owners of a service's slices according to the log."""
    connection = read_connection(cluster)
    async with cluster_client.follow_control(
        connection, cluster.shape.place
    ) as reader:
        return reader.state.find_cell(service)


async def read_statuses(
    cluster: processes.Cluster,
) -> dict[ids.InstanceId, peer_protocol.InstanceStatus]:
    """Returns the status of every instance that answers."""
    connection = read_connection(cluster)
    answers = await cluster_client.call_instances(
        await cluster_client.list_instances(connection),
        peer_protocol.STATUS,
        peer_protocol.StatusRequest(),
    )
    return {a.instance: a.reply for a in answers if a.reply is not None}


async def read_timeline(cluster: processes.Cluster) -> list[events.Event]:
    """Returns the events of all instances that answer, in causal order."""
    collected = await cluster_client.gather_timeline(read_connection(cluster))
    return collected.events


async def _publish(cluster: processes.Cluster) -> ids.Offset:
    """Publishes the cluster's settings as soon as the log answers."""
    deadline_s = time.monotonic() + _PUBLISH_TIMEOUT_S
    request = publishing.PublishRequest(
        cluster.settings, ids.NO_OFFSET, "house tools", "first settings"
    )
    while time.monotonic() < deadline_s:
        try:
            outcome = await publishing.publish(
                read_connection(cluster), cluster.shape.place, request
            )
        except cluster_client.UnreachableError:
            continue
        if isinstance(outcome, publishing.Published):
            return outcome.version
    raise ClusterStartError("the settings could not be published")


async def _await_assignments(cluster: processes.Cluster) -> None:
    """Waits until every slice of every service has an owner."""
    deadline_s = time.monotonic() + _ASSIGN_TIMEOUT_S
    while time.monotonic() < deadline_s:
        service_cells = [
            await read_cell(cluster, ids.ServiceName(service.service))
            for service in cluster.shape.services
        ]
        if all(_is_assigned(cell) for cell in service_cells):
            return
        await anyio.sleep(_POLL_S)
    raise ClusterStartError("not every slice was assigned an owner")


def _is_assigned(cell: cells.Cell) -> bool:
    """Returns whether every slice of a cell has an owner."""
    return bool(cell.slices) and all(
        state.server != cells.NO_SERVER for state in cell.slices
    )
