"""The components of one service on this instance."""

from collections.abc import Callable
import random
from typing import NamedTuple

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_daemon import _component_settings
from bridgecross_daemon import _platform
from bridgecross_daemon import peer_client
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_log import appender as appenders
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import coordinator as coordinators
from bridgecross_ownership import lease_manager
from bridgecross_ownership import lease_manager_set
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_ownership import releases
from bridgecross_ownership import reports
from bridgecross_request import backends
from bridgecross_request import poison_requests
from bridgecross_request import requests
from bridgecross_request import routing
from bridgecross_request import runner as runners
from bridgecross_settings import tree
from bridgecross_timeline import ring as rings

_CATCH_UP_TIMEOUT_S = 0.5


class SharedParts(NamedTuple):
    """The dependencies that all services of an instance share."""

    me: ids.InstanceId
    clock: clocks.Clock
    ring: rings.Ring
    authority: authorities.Authority
    membership: memberships.Membership
    addresses: _platform.Addresses
    peers: coordinators.PeerWatch
    peer_client: ports.PeerCaller
    lease_transport: leases.LeaseTransport
    news: releases.WitnessSource
    make_backend: Callable[[backends.BackendSettings], ports.ServiceBackend]
    control: appenders.Appender
    intents: appenders.Appender
    ledger: poison_requests.PoisonLedger
    tell_others: Callable[[poison_requests.Fingerprint], None]


class ServiceParts:
    """The coordinator, lease managers, runner and router of one service."""

    def __init__(
        self, service: tree.Service, cell: cells.Cell, shared: SharedParts
    ) -> None:
        """Creates the components; ``run`` starts them."""
        self.cell = cell
        self.service = service
        self.changed = notifier.Notifier()
        self.report_registry = reports.ReportRegistry(shared.clock)
        self._shared = shared
        self._forwarder = peer_client.PeerForwarder(
            shared.peer_client, shared.addresses, cell, shared.clock
        )
        self.backend = shared.make_backend(
            _component_settings.backend_settings(service.policy)
        )
        self.lease_managers = lease_manager_set.LeaseManagerSet(
            _component_settings.lease_manager_settings(service.policy),
            self._lease_manager_ports(),
        )
        self.coordinator = coordinators.Coordinator(
            _component_settings.coordinator_settings(service.policy),
            self._coordinator_ports(),
        )
        self.runner = runners.Runner(
            _component_settings.runner_settings(service), self._runner_ports()
        )
        self.router = routing.Router(
            _component_settings.retry_settings(service.policy),
            self._router_ports(),
        )

    def replace_settings(self, service: tree.Service) -> None:
        """Replaces the settings of all components."""
        self.service = service
        policy = service.policy
        self.lease_managers.replace_settings(
            _component_settings.lease_manager_settings(policy)
        )
        self.coordinator.settings = _component_settings.coordinator_settings(
            policy
        )
        self.runner.replace_settings(
            _component_settings.runner_settings(service)
        )
        self.router.replace_settings(_component_settings.retry_settings(policy))
        self.backend.replace_settings(
            _component_settings.backend_settings(policy)
        )

    def notify(self) -> None:
        """Wakes waiting tasks after a possible change of the cell."""
        self.lease_managers.notify()
        self.changed.notify()

    async def run(self) -> None:
        """Runs the coordinator and the lease managers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.coordinator.run)
            tasks.start_soon(self.lease_managers.run)

    async def run_forwarded(
        self, wire: requests.WireRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request that another instance forwarded."""
        await self.changed.wait_until(
            lambda: self.cell.head >= wire.head, _CATCH_UP_TIMEOUT_S
        )
        now_s = self._shared.clock.monotonic_s()
        request = requests.from_wire(wire, now_s)
        return peer_protocol.outcome_to_wire(await self.runner.run(request))

    async def run_takeover(
        self, wire: requests.WireRequest, takeover: releases.Takeover
    ) -> peer_protocol.WireOutcome:
        """Runs a request at the backup of the key's lost owner."""
        await self.changed.wait_until(
            lambda: self.cell.head >= wire.head, _CATCH_UP_TIMEOUT_S
        )
        request = requests.from_wire(wire, self._shared.clock.monotonic_s())
        outcome = await self.runner.run_takeover(request, takeover)
        return peer_protocol.outcome_to_wire(outcome)

    def build_report(self) -> reports.ServiceReport:
        """Returns what this instance reports to the coordinator."""
        managers = list(self.lease_managers.managers.values())
        loads = []
        for manager in managers:
            loads += [
                reports.SliceLoad(index, count)
                for index, count in manager.load.items()
            ]
            manager.load.clear()
        return reports.ServiceReport(
            service=self.cell.service,
            servers=[
                reports.ServerReport(
                    each.server,
                    each.health,
                    each.queue_owner.token
                    if each.is_queue_owner_accepted()
                    else ids.NO_TOKEN,
                )
                for each in managers
            ],
            settled=[
                grant for each in managers for grant in each.list_settled()
            ],
            handed_over=[
                grant for each in managers for grant in each.list_handed_over()
            ],
            loads=loads,
        )

    def describe(self) -> peer_protocol.ServiceStatus:
        """Returns the state of the service as known to this instance."""
        queues = self.runner.queues
        served: dict[str, int] = {}
        for queue in queues.values():
            for tier, count in queue.served.items():
                served[tier] = served.get(tier, 0) + count
        return peer_protocol.ServiceStatus(
            service=self.cell.service,
            term=self.cell.term,
            coordinator=self.cell.coordinator,
            head=self.cell.head,
            slice_count=len(self.cell.slices),
            servers=[
                peer_protocol.ServerStatus(
                    server=manager.server,
                    health=manager.health.value,
                    busy=queues[manager.server].busy
                    if manager.server in queues
                    else 0,
                    slices=self.cell.count_slices_of(manager.server),
                )
                for manager in self.lease_managers.managers.values()
            ],
            waiting=dict(self.runner.waiting),
            served=served,
        )

    async def aclose(self) -> None:
        """Closes the connections to the servers."""
        await self.backend.aclose()

    def _lease_manager_ports(self) -> lease_manager.LeaseManagerPorts:
        """Returns the dependencies of the lease managers."""
        shared = self._shared
        return lease_manager.LeaseManagerPorts(
            me=shared.me,
            cell=self.cell,
            authority=shared.authority,
            transport=shared.lease_transport,
            releases=_ReleaseSource(
                shared.me,
                peer_client.PeerReleaseSource(
                    shared.peer_client, shared.addresses
                ),
                self,
            ),
            witnesses=shared.news,
            clock=shared.clock,
            ring=shared.ring,
        )

    def _coordinator_ports(self) -> coordinators.CoordinatorPorts:
        """Returns the dependencies of the coordinator."""
        shared = self._shared
        return coordinators.CoordinatorPorts(
            me=shared.me,
            cell=self.cell,
            appender=shared.control,
            authority=shared.authority,
            membership=shared.membership,
            registry=self.report_registry,
            peers=shared.peers,
            clock=shared.clock,
            ring=shared.ring,
        )

    def _runner_ports(self) -> runners.RunnerPorts:
        """Returns the dependencies of the runner."""
        shared = self._shared
        return runners.RunnerPorts(
            cell=self.cell,
            lease_managers=self.lease_managers,
            backend=self.backend,
            addresses=shared.addresses,
            intents=shared.intents,
            backups=self._forwarder,
            me=shared.me,
            clock=shared.clock,
            ledger=shared.ledger,
            tell_others=shared.tell_others,
        )

    def _router_ports(self) -> routing.RouterPorts:
        """Returns the dependencies of the router."""
        shared = self._shared
        return routing.RouterPorts(
            me=shared.me,
            cell=self.cell,
            changed=self.changed,
            runner=self.runner,
            forwarder=self._forwarder,
            clock=shared.clock,
            ring=shared.ring,
            randomness=random.Random(f"{shared.me}/{self.cell.service}"),
        )


class _ReleaseSource:
    """Asks its own lease managers directly, and other instances over gRPC."""

    def __init__(
        self,
        me: ids.InstanceId,
        peers: peer_client.PeerReleaseSource,
        parts: ServiceParts,
    ) -> None:
        self._me = me
        self._peers = peers
        self._parts = parts

    async def await_release(
        self, queue_owner: ids.InstanceId, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Asks what was released; see ``releases.ReleaseSource``."""
        if queue_owner == self._me:
            return await self._parts.lease_managers.answer_release(query)
        return await self._peers.await_release(queue_owner, query)

    async def is_queue_owner_drained(
        self,
        queue_owner: ids.InstanceId,
        query: releases.QueueOwnerDrainedQuery,
    ) -> bool:
        """Asks if an instance has drained; see ``releases.ReleaseSource``."""
        if queue_owner == self._me:
            reply = await self._parts.lease_managers.answer_queue_owner_drained(
                query
            )
            return reply.is_drained
        return await self._peers.is_queue_owner_drained(queue_owner, query)
