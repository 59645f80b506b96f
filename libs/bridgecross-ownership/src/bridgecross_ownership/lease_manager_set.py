"""The lease managers of all servers whose queues this instance owns."""

from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_ownership import cell as cells
from bridgecross_ownership import lease_manager
from bridgecross_ownership import releases
from bridgecross_timeline import events

_RECONCILE_S = 0.5
_UNKNOWN_QUEUE_OWNER_WAIT_S = 0.2


class _QueueOwnerKey(NamedTuple):
    """Identifies a queue owner: a server, and the queue owner's token."""

    server: ids.ServerId
    token: ids.Token


class LeaseManagerSet:
    """Starts and stops lease managers as the log changes the queue owners."""

    def __init__(
        self,
        settings: lease_manager.LeaseManagerSettings,
        ports: lease_manager.LeaseManagerPorts,
    ) -> None:
        """Starts without servers."""
        self._settings = settings
        self._ports = ports
        self._managers: dict[ids.ServerId, lease_manager.LeaseManager] = {}
        self._scopes: dict[ids.ServerId, anyio.CancelScope] = {}
        # The managers of the servers whose queues this instance owns, and of
        # those whose queues it owned and whose requests may still run.
        self._undrained: dict[_QueueOwnerKey, lease_manager.LeaseManager] = {}
        self._changed = notifier.Notifier()

    @property
    def managers(self) -> dict[ids.ServerId, lease_manager.LeaseManager]:
        """The lease managers of the servers whose queues this instance owns."""
        return self._managers

    def find(self, server: ids.ServerId) -> lease_manager.LeaseManager | None:
        """Returns the lease manager if this instance is the queue owner."""
        manager = self._managers.get(server)
        if (
            manager
            and self._ports.cell.queue_owners.get(server) == manager.queue_owner
        ):
            return manager
        return None

    def notify(self) -> None:
        """Wakes all waiting tasks after a change of the cell."""
        self._changed.notify()
        for manager in self._managers.values():
            manager.changed.notify()

    def replace_settings(
        self, settings: lease_manager.LeaseManagerSettings
    ) -> None:
        """Replaces the settings of every lease manager."""
        self._settings = settings
        for manager in self._managers.values():
            manager.settings = settings

    async def answer_release(
        self, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Answers another queue owner that asks what a server has released."""
        await self._changed.wait_until(
            lambda: self.find(query.server) is not None,
            _UNKNOWN_QUEUE_OWNER_WAIT_S,
        )
        manager = self.find(query.server)
        if manager is None:
            return releases.ReleaseReply([])
        return await manager.answer_release(query)

    async def answer_queue_owner_drained(
        self, query: releases.QueueOwnerDrainedQuery
    ) -> releases.QueueOwnerDrainedReply:
        """Answers a later queue owner that asks if an earlier one has drained.

        The earlier queue owner is this instance under a lower token. If it was
        replaced before it started, it counts as drained as soon as the
        replacement has been read.
        """
        cell = self._ports.cell
        await self._changed.wait_until(
            lambda: cell.head >= query.head, _UNKNOWN_QUEUE_OWNER_WAIT_S
        )
        self._forget_drained()
        is_undrained = (
            _QueueOwnerKey(query.server, query.queue_owner_token)
            in self._undrained
        )
        is_drained = cell.head >= query.head and not is_undrained
        return releases.QueueOwnerDrainedReply(self._ports.me, is_drained)

    async def run(self) -> None:
        """Follows the changes of the cell until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._reconcile(tasks)
                await self._changed.wait_until(self._is_behind, _RECONCILE_S)

    def _is_behind(self) -> bool:
        """Returns whether the managers do not match the log."""
        cell = self._ports.cell
        mine = {
            server: cell.queue_owners[server]
            for server in cell.list_servers_of(self._ports.me)
        }
        return mine != {s: k.queue_owner for s, k in self._managers.items()}

    def _reconcile(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts and stops managers until they match the log."""
        cell = self._ports.cell
        mine = set(cell.list_servers_of(self._ports.me))
        for server, manager in list(self._managers.items()):
            if server not in mine or _has_missed_queue_owner(
                manager, cell.queue_owners[server]
            ):
                self._stop(server)
            elif cell.queue_owners[server] != manager.queue_owner:
                manager.replace_queue_owner(cell.queue_owners[server])
                self._track_queue_owner(manager)
        for server in mine - self._managers.keys():
            self._start(server, tasks)

    def _start(self, server: ids.ServerId, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the lease manager of a server."""
        queue_owner = self._ports.cell.queue_owners[server]
        manager = lease_manager.LeaseManager(
            server, queue_owner, self._settings, self._ports
        )
        scope = anyio.CancelScope()
        self._managers[server] = manager
        self._scopes[server] = scope
        self._track_queue_owner(manager)
        self._ports.ring.add(
            events.QueueOwnerChanged(
                self._ports.cell.service,
                server,
                queue_owner.instance,
                queue_owner.token,
            )
        )
        tasks.start_soon(_run_in_scope, manager, scope)

    def _track_queue_owner(self, manager: lease_manager.LeaseManager) -> None:
        """Records the manager of a queue owner until that has drained."""
        self._forget_drained()
        self._undrained[
            _QueueOwnerKey(manager.server, manager.queue_owner.token)
        ] = manager

    def _forget_drained(self) -> None:
        """Removes the queue owners that have drained."""
        self._undrained = {
            key: manager
            for key, manager in self._undrained.items()
            if manager is self.find(key.server) or not manager.is_idle()
        }

    def _stop(self, server: ids.ServerId) -> None:
        """Stops the lease manager of a server and wakes waiting requests."""
        manager = self._managers.pop(server)
        self._scopes.pop(server).cancel()
        manager.changed.notify()


def _has_missed_queue_owner(
    manager: lease_manager.LeaseManager, queue_owner: cells.QueueOwnerState
) -> bool:
    """Returns whether another instance was the server's queue owner in between.

    It may have granted slices to the server that the manager does not know of.
    """
    return any(
        earlier.instance != queue_owner.instance
        and earlier.token > manager.queue_owner.token
        for earlier in queue_owner.earlier
    )


async def _run_in_scope(
    manager: lease_manager.LeaseManager, scope: anyio.CancelScope
) -> None:
    """Runs a lease manager until its scope is cancelled."""
    with scope:
        await manager.run()
