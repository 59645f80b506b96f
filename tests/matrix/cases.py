"""The faults, the steps at which they occur, and the run of one case."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio
import simpy

from bridgecross_core import ids
from bridgecross_emulator import virtual
from bridgecross_log import records as log_records
from bridgecross_log import snapshot as snapshots
from bridgecross_ownership import leases
from bridgecross_ownership import membership
from bridgecross_ownership import records
from bridgecross_settings import versions
from tests.matrix import cluster as clusters
from tests.matrix import fakes

_STEP_TIMEOUT_S = 12.0
_RECOVERY_TIMEOUT_S = 60.0
_SETTLE_S = 3.0


@dataclasses.dataclass
class FaultContext:
    """The cluster, instance and server at a step that has been reached."""

    # The cluster that the fault affects.
    cluster: clusters.Cluster
    # The instance that takes the step.
    actor: fakes.Link
    # The server that the step is about.
    server: fakes.FakeServer


Fault = Callable[[FaultContext], Awaitable[None]]
Trigger = Callable[[clusters.Cluster], Awaitable[None]]
StepPredicate = Callable[[Any], bool]


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of the protocol, during which a fault may occur."""

    # Causes the step.
    trigger: Trigger
    # Returns whether the append of a record is the step.
    is_append: StepPredicate = lambda envelope: False
    # Returns whether a lease exchange is the step, by the change in the number
    # of grants.
    is_lease: StepPredicate = lambda grant_change: False


async def _wait_for_step(cluster: clusters.Cluster) -> None:
    """Does nothing, as the step occurs by itself."""


async def _lose_coordinator(cluster: clusters.Cluster) -> None:
    cluster.find_coordinator().link.lost = True


async def _lose_server(cluster: clusters.Cluster) -> None:
    cluster.servers["rapor-1"].lost = True


async def _list_server_as_leaving(cluster: clusters.Cluster) -> None:
    cluster.put_listing("rapor-1", membership.ListedState.LEAVING)


async def _add_server(cluster: clusters.Cluster) -> None:
    cluster.add_server("rapor-4")


async def _publish(cluster: clusters.Cluster) -> None:
    await cluster.publish(cluster.published[-1], slots=5)


def _is_kind(kind: str) -> StepPredicate:
    return lambda envelope: envelope.kind == kind


def _moves_slices(envelope: log_records.Envelope) -> bool:
    if envelope.kind != records.ASSIGNMENT_KIND:
        return False
    return bool(records.ASSIGNMENTS.decode(envelope.body).moves)


STEPS: dict[str, Step] = {
    "claim": Step(_lose_coordinator, _is_kind(records.CLAIM_KIND)),
    "assign": Step(_lose_server, _moves_slices),
    "grant": Step(_lose_server, is_lease=lambda grant_change: grant_change > 0),
    "renew": Step(
        _wait_for_step, is_lease=lambda grant_change: grant_change == 0
    ),
    "release": Step(
        _list_server_as_leaving, is_lease=lambda grant_change: grant_change < 0
    ),
    "move": Step(_add_server, _moves_slices),
    "snapshot": Step(_wait_for_step, _is_kind(snapshots.CHUNK_KIND)),
    "publish": Step(_publish, _is_kind(versions.CHANGE_KIND)),
}
"""The steps that can be recognized by a record or a lease exchange."""


async def _inject_nothing(context: FaultContext) -> None:
    """Injects no fault, to test the step alone."""


async def _pause_actor(context: FaultContext) -> None:
    context.actor.paused = True
    await anyio.sleep(5.0)
    context.actor.paused = False


async def _lose_actor(context: FaultContext) -> None:
    context.actor.lost = True


async def _cut_from_log(context: FaultContext) -> None:
    context.actor.log = False
    await anyio.sleep(6.0)
    context.actor.log = True


async def _cut_from_peers(context: FaultContext) -> None:
    context.actor.peers = False
    await anyio.sleep(6.0)
    context.actor.peers = True


async def _cut_from_servers(context: FaultContext) -> None:
    context.actor.unreachable = set(context.cluster.servers)
    await anyio.sleep(6.0)
    context.actor.unreachable = set()


async def _isolate(context: FaultContext) -> None:
    context.actor.log = False
    context.actor.peers = False
    await anyio.sleep(6.0)
    context.actor.log = True
    context.actor.peers = True


async def _outage(context: FaultContext) -> None:
    context.cluster.log.outage = True
    await anyio.sleep(8.0)
    context.cluster.log.outage = False


async def _slow_log(context: FaultContext) -> None:
    context.cluster.log.delay_s = 0.6
    await anyio.sleep(8.0)
    context.cluster.log.delay_s = 0.0


async def _lose_acknowledgements(context: FaultContext) -> None:
    context.cluster.log.lose_acknowledgements = 3


async def _delay_appends(context: FaultContext) -> None:
    context.cluster.log.late_effect_s = 2.5
    context.cluster.log.lose_acknowledgements = 3


async def _lose_server_now(context: FaultContext) -> None:
    context.server.lost = True


async def _freeze_server(context: FaultContext) -> None:
    context.server.frozen = True
    await anyio.sleep(6.0)
    context.server.frozen = False


async def _slow_server_cut_off(context: FaultContext) -> None:
    context.server.service_s = 0.9
    await anyio.sleep(0.3)
    context.actor.unreachable = {context.server.name}
    await anyio.sleep(6.0)
    context.server.service_s = 0.005
    context.actor.unreachable = set()


async def _slow_server_loses_queue_owner(context: FaultContext) -> None:
    server = next(iter(context.cluster.servers.values()))
    server.service_s = 0.9
    queue_owner = context.cluster.find_queue_owner(server.name)
    await anyio.sleep(0.4)
    queue_owner.link.lost = True
    context.cluster.put_listing(server.name, membership.ListedState.LEAVING)
    await anyio.sleep(4.0)
    server.service_s = 0.005


async def _isolated_queue_owner_and_leaving_server(
    context: FaultContext,
) -> None:
    server = next(iter(context.cluster.servers.values()))
    link = context.cluster.find_queue_owner(server.name).link
    link.log = False
    link.peers = False
    context.cluster.put_listing(server.name, membership.ListedState.LEAVING)
    await anyio.sleep(8.0)
    link.log = True
    link.peers = True


async def _lag_list(context: FaultContext) -> None:
    context.cluster.listing.lag_s = 8.0
    await anyio.sleep(8.0)
    context.cluster.listing.lag_s = 0.0


async def _race_operators(context: FaultContext) -> None:
    base = context.cluster.replay_log().settings.offset
    async with anyio.create_task_group() as tasks:
        for slots in (6, 7):
            tasks.start_soon(_publish_on, context.cluster, base, slots)


async def _publish_on(cluster: clusters.Cluster, base: int, slots: int) -> None:
    await cluster.publish(base, slots=slots)


async def _start_instance(context: FaultContext) -> None:
    context.cluster.add_node("entry-5")


async def _stop_instance(context: FaultContext) -> None:
    node = context.cluster.nodes[context.actor.name]
    node.entry.stop()
    await node.entry.wait_drained()
    node.entry.close()
    context.actor.lost = True


FAULTS: dict[str, Fault] = {
    "none": _inject_nothing,
    "actor paused": _pause_actor,
    "actor lost": _lose_actor,
    "actor cut from log": _cut_from_log,
    "actor cut from peers": _cut_from_peers,
    "actor cut from servers": _cut_from_servers,
    "actor cut from log and peers": _isolate,
    "log outage": _outage,
    "log slow": _slow_log,
    "acknowledgements lost": _lose_acknowledgements,
    "appends delayed": _delay_appends,
    "server lost": _lose_server_now,
    "server frozen": _freeze_server,
    "slow server cut off": _slow_server_cut_off,
    "slow server loses its front": _slow_server_loses_queue_owner,
    "front isolated, server leaves": _isolated_queue_owner_and_leaving_server,
    "list lags": _lag_list,
    "operators race": _race_operators,
    "instance starts": _start_instance,
    "instance stops": _stop_instance,
}
"""The required faults, and planned changes that may coincide with a step."""


def _make_pair(first: str, second: str, gap_s: float) -> Fault:
    """Returns a fault during which a second fault occurs."""

    async def inject_both(context: FaultContext) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(FAULTS[first], context)
            await anyio.sleep(gap_s)
            tasks.start_soon(FAULTS[second], context)

    return inject_both


PAIRS: dict[str, Fault] = {
    f"{first}, then {second}": _make_pair(first, second, 2.0)
    for first in ("log outage", "actor paused", "server frozen", "log slow")
    for second in (
        "actor lost",
        "actor cut from peers",
        "server lost",
        "server frozen",
        "instance starts",
        "appends delayed",
        "log outage",
    )
    if first != second and (first, second) != ("actor paused", "actor lost")
}
"""Pairs of faults in which the second occurs during the first."""


def run_case(step_name: str, fault: Fault, *, checks: bool) -> list[str]:
    """Runs one case of the matrix.

    Args:
        step_name: The step at which the fault occurs.
        fault: Injects the fault.
        checks: Whether the servers check fencing tokens and leases.

    Returns:
        The violations; empty if all guarantees hold.
    """
    environment = simpy.Environment()
    found: list[str] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = clusters.Cluster(environment, tasks, checks=checks)
            await cluster.start()
            await anyio.sleep(1.0)
            await _inject_fault(cluster, STEPS[step_name], fault)
            with anyio.move_on_after(_RECOVERY_TIMEOUT_S):
                while not await cluster.is_served():
                    await anyio.sleep(0.5)
            await anyio.sleep(_SETTLE_S)
            if not await cluster.is_served():
                found.append("keys are not served again")
            found.extend(cluster.list_violations())
            tasks.cancel_scope.cancel()

    virtual.run(environment, main)
    return found


async def _inject_fault(
    cluster: clusters.Cluster, step: Step, fault: Fault
) -> None:
    """Triggers a step and injects the fault when the step is reached."""
    contexts: list[FaultContext] = []
    step_reached = anyio.Event()

    def record_step(actor: fakes.Link, server: str) -> None:
        if contexts or actor.lost:
            return
        if actor.name not in cluster.nodes:
            actor = cluster.find_coordinator().link
        contexts.append(FaultContext(cluster, actor, cluster.servers[server]))
        step_reached.set()

    def on_append(link: fakes.Link, envelope: log_records.Envelope) -> None:
        if step.is_append(envelope):
            record_step(link, "rapor-2")

    def on_lease(
        server: str, link: fakes.Link, request: leases.LeaseRequest
    ) -> None:
        grant_change = len(request.grants) - grant_counts.get(server, 0)
        grant_counts[server] = len(request.grants)
        if request.echo is not None and step.is_lease(grant_change):
            record_step(link, server)

    cell = cluster.replay_log().find_cell(clusters.SERVICE)
    grant_counts = {
        name: cell.count_slices_of(ids.ServerId(name))
        for name in cluster.servers
    }
    cluster.log.on_append = on_append
    cluster.on_lease = on_lease
    await step.trigger(cluster)
    with anyio.move_on_after(_STEP_TIMEOUT_S):
        await step_reached.wait()
    cluster.log.on_append = lambda link, envelope: None
    cluster.on_lease = lambda server, link, request: None
    assert contexts, "the step was not reached"
    await fault(contexts[0])
