"""Assembles the parts of an entry instance.

This contains the instance's knowledge, its decisions and its tasks for other
instances, but not its listening sockets and signal handling. An emulator, which
replaces the connections to the outside, runs the same parts.
"""

from collections.abc import Callable
import math
from typing import Protocol

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import answer_bounds
from bridgecross_entry import attempts
from bridgecross_entry import cluster_state
from bridgecross_entry import cluster_tasks
from bridgecross_entry import crash_watch
from bridgecross_entry import dispatch
from bridgecross_entry import edge
from bridgecross_entry import exchange
from bridgecross_entry import forward_channels
from bridgecross_entry import forward_client
from bridgecross_entry import forward_server
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import link_probes
from bridgecross_entry import log as logs
from bridgecross_entry import log_breaker
from bridgecross_entry import memory_limits
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peer_reach
from bridgecross_entry import peers
from bridgecross_entry import permit_client
from bridgecross_entry import permit_issuer
from bridgecross_entry import quota_client
from bridgecross_entry import quota_issuer
from bridgecross_entry import relay_choice
from bridgecross_entry import relay_contacts
from bridgecross_entry import relayed_requests
from bridgecross_entry import server_links
from bridgecross_entry import server_registry
from bridgecross_entry import server_ways
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmup_queries
from bridgecross_entry import warmups
from bridgecross_request import poison_requests


class Adapter(cluster_state.Decoder, Protocol):
    """The interface to a platform; it makes no decisions."""

    @property
    def settings(self) -> model.InstanceSettings:
        """The settings that the platform gives to this instance."""

    def make_log(self, metrics: metrics_lib.Metrics) -> logs.PlatformLog:
        """Returns the client of the platform's log."""

    def make_backend_client(
        self, answers: answer_bounds.AnswerMemory
    ) -> attempts.BackendClient:
        """Returns the client that sends requests.

        Args:
            answers: Counts the answers that are being received.
        """

    def make_lease_client(
        self, answers: answer_bounds.AnswerMemory
    ) -> attempts.LeaseClient:
        """Returns the client that sends lease orders.

        Args:
            answers: Counts the answers that are being received.
        """

    def make_caller_codec(self) -> edge.CallerCodec:
        """Returns the codec for callers' requests and answers."""


class Assembly:
    """The parts of an entry instance."""

    def __init__(
        self,
        adapter: Adapter,
        clock: clocks.Clock,
        journal: journals.Journal,
        connect_peer: peers.Connect | None = None,
    ) -> None:
        """Creates all parts; nothing runs yet.

        Args:
            adapter: The platform.
            clock: The time source.
            journal: Logs decisions.
            connect_peer: Creates connections to other instances; by HTTP if
                omitted.
        """
        # Called with each new configuration.
        self.on_configuration: Callable[[model.Configuration], None] = (
            lambda _: None
        )
        self.settings = adapter.settings
        self.clock = clock
        self.metrics = metrics_lib.Metrics()
        self.log = log_breaker.CircuitBreaker(
            log_breaker.BreakerSettings(),
            adapter.make_log(self.metrics),
            journal,
            clock,
        )
        self.memory = memory_limits.make(
            self.settings.memory_mb, journal, self.metrics, clock
        )
        self._answers = answer_bounds.AnswerMemory(
            self.memory.ledger, journal, self.metrics
        )
        self.backend_client = adapter.make_backend_client(self._answers)
        self.links = server_links.ServerLinks(
            server_links.LinkSettings(), journal, self.metrics, clock
        )
        self.probes = link_probes.LinkProbes(
            self.backend_client, self.links, journal, clock
        )
        channels = forward_channels.ForwardChannels(
            connect_peer or self._make_pool, clock
        )
        self.reach = peer_reach.PeerReach(
            peer_reach.ReachSettings(),
            self.settings,
            self._list_peers,
            self._has_peers,
            channels,
            self.links,
            journal,
            clock,
        )
        self.forwarder = forward_client.ForwardClient(
            forward_client.ForwardSettings(),
            self.reach,
            channels,
            self.metrics,
            clock,
        )
        contacts = relay_contacts.RelayContacts(
            relay_contacts.ContactSettings(),
            channels,
            journal,
            clock,
        )
        choice = relay_choice.RelayChoice(
            relay_choice.RelaySettings(),
            self.settings.peer_address,
            self._has_few_slots,
            self._strong_instances,
            contacts.heard_s,
            journal,
            clock,
        )
        contacts.on_silent = choice.note_failed
        self.relays = relayed_requests.RelayedRequests(
            choice, contacts, self.backend_client, self.forwarder, clock
        )
        self.ways = server_ways.RequestWays(
            server_ways.WaySettings(),
            self.backend_client,
            self.links,
            self.probes,
            self.forwarder,
            self.relays,
        )
        direct_leases = adapter.make_lease_client(self._answers)
        direct_orders = server_ways.DirectOrders(
            direct_leases,
            self.links,
            self.probes,
            server_ways.WaySettings(),
        )
        self.lease_client = server_ways.LeaseWays(
            direct_leases,
            direct_orders,
            self.links,
            self.probes,
            self.forwarder,
        )
        self.registry = server_registry.ServerRegistry(
            servers_lib.ServerSettings(), self.settings.bounds, journal, clock
        )
        self.backend_client.on_notice = self.registry.notices.record
        self.lease_client.on_notice = self.registry.notices.record
        self.forwarder.on_notice = self.registry.notices.record
        self.links.on_maybe_restarted = self.registry.note_maybe_restarted
        self.table = keymap.KeyTable(journal)
        self.issuer = permit_issuer.PermitIssuer(
            permit_issuer.IssuerSettings(),
            permit_issuer.SERVER_SETTINGS,
            self.settings.failure_domain,
            self.registry,
            journal,
            self.metrics,
            clock,
            lambda service: self._sole_issuer_check.is_sole_issuer(
                service, self.settings.failure_domain
            ),
        )
        self.permits = permit_client.PermitClient(
            permit_client.PermitSettings(),
            self.settings,
            self.issuer,
            self._strong_instances,
            self.registry.domains_of,
            journal,
            clock,
            connect_peer,
            self.registry.slot_share,
        )
        quota_settings = quota_issuer.QuotaSettings()
        self.quota_issuer = quota_issuer.QuotaIssuer(
            quota_settings,
            self.registry.notices.limits,
            journal,
            self.metrics,
            clock,
        )
        self.quotas = quota_client.QuotaClient(
            quota_client.QuotaClientSettings(),
            quota_settings,
            self.settings.peer_address,
            self.quota_issuer,
            self.registry.notices.limits,
            journal,
            clock,
            connect_peer,
        )
        self.watch = crash_watch.CrashWatch(
            crash_watch.CrashWatchSettings(),
            poison_requests.PoisonLedger(
                poison_requests.PoisonSettings(), clock
            ),
            self.ways,
            self.registry,
            journal,
            self.metrics,
            clock,
        )
        dispatch_settings = dispatch.DispatchSettings()
        self.warmup_queries = warmup_queries.WarmupQueries(
            dispatch_settings.server_list_stale_age_s,
            self.registry,
            self.backend_client,
            clock,
        )
        self.forward_server = forward_server.ForwardServer(
            forward_server.ForwardServerSettings(),
            self.registry,
            self.links,
            self.probes,
            self.backend_client,
            direct_orders,
            self.watch,
            self.warmup_queries,
            journal,
            self.metrics,
            clock,
            self.settings.cores,
        )
        self.dispatcher = dispatch.Dispatcher(
            dispatch_settings,
            self.settings,
            self.registry,
            self.table,
            self.backend_client,
            journal,
            self.metrics,
            clock,
            self.permits,
            self.watch,
            self.quotas,
            self.ways,
            self.warmup_queries,
        )
        is_first = self.settings.is_first_start
        self.cluster_state = cluster_state.ClusterState(
            cluster_state.FIRST_START_SETTINGS
            if is_first
            else cluster_state.ClusterStateSettings(),
            self.log,
            adapter,
            self.registry,
            self.table,
            self._configure,
            journal,
            clock,
        )
        self.warmup_queries.list_as_of_s = lambda: (
            self.cluster_state.server_list_as_of_s
        )
        self._sole_issuer_check = warmups.SoleIssuerCheck(
            warmups.WarmupSettings(),
            self.settings.peer_address,
            self._strong_instances,
            lambda: self.cluster_state.instances_age_s,
            lambda: self.cluster_state.instances_unchanged_for_s,
        )
        self.dispatcher.count_instances = self._count_instances
        self.dispatcher.configuration_age_s = lambda: (
            self.cluster_state.configuration_age_s
        )
        self.cluster_tasks = cluster_tasks.ClusterTasks(
            cluster_tasks.ClusterTaskSettings(),
            self.settings,
            self.log,
            self.lease_client,
            peers.PeerClient(
                peers.PeerSettings(), journal, clock, connect_peer
            ),
            self.cluster_state,
            self.registry,
            self.table,
            self.dispatcher,
            self.quota_issuer,
            self.quotas,
            journal,
            self.metrics,
            clock,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to follow the platform's log, and all background tasks."""
        self.cluster_state.start(tasks)
        self.cluster_tasks.start(tasks)
        self.issuer.start(tasks)
        self.permits.start(tasks)
        self.quotas.start(tasks)
        self.watch.start(tasks)
        self.probes.start(tasks)
        self.reach.start(tasks)
        self.relays.start(tasks)

    def sweep(self) -> None:
        """Removes stale state."""
        self.registry.drop_stale()
        self.links.sweep(self.registry.known_ids())
        self.reach.sweep(self.registry.known_ids())
        self.relays.sweep(self.registry.known_ids())
        self.registry.notices.limits.sweep()
        self.quota_issuer.sweep()
        self.issuer.sweep()
        self.watch.sweep()
        self.backend_client.sweep(self.registry.known_ids())
        self.lease_client.sweep(self.registry.known_ids())

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns the connections to an instance that forwards requests."""
        settings = exchange.ConnectionSettings()
        return exchange.ConnectionPool(
            address, settings, self.clock, self._answers
        )

    def _has_peers(self) -> bool:
        """Returns whether there are other instances."""
        own = self.settings.peer_address
        return any(each != own for each in self.cluster_state.instances)

    def _list_peers(self) -> list[peer_reach.Peer]:
        """Returns the other instances, in a fixed order."""
        state = self.cluster_state
        return [
            peer_reach.Peer(each, state.domain_of_instance(each))
            for each in sorted(state.instances - {self.settings.peer_address})
        ]

    def _count_instances(self) -> float:
        """Returns the number of instances; infinite while it is not known."""
        if not self.cluster_state.knows_instances:
            return math.inf
        others = self.cluster_state.instances - {self.settings.peer_address}
        return len(others) + 1

    def _strong_instances(self, domain: str) -> tuple[model.Address, ...]:
        """Returns the instances of a domain that may issue permits."""
        return self.cluster_state.strong_instances(domain)

    def _has_few_slots(self, service: ids.ServiceName) -> bool:
        """Whether the servers of a service have few slots on average."""
        return self.registry.has_few_slots(service)

    def _configure(self, new: model.Configuration) -> None:
        """Applies a new configuration."""
        self.registry.configure(new.services)
        self.dispatcher.configure(new)
        self.on_configuration(new)
        self.cluster_tasks.update_coordinators()
