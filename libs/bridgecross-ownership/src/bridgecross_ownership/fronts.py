"""The lease managers of all servers that this instance fronts."""

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
_UNKNOWN_FRONT_WAIT_S = 0.2


class _FrontKey(NamedTuple):
    """Identifies a front: a server, and the front's token."""

    server: ids.ServerId
    token: ids.Token


class Fronts:
    """Starts and stops lease managers as the log changes the fronts."""

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
        # The managers of the fronts that this instance is, and of those that
        # it was and whose requests may still run.
        self._undrained: dict[_FrontKey, lease_manager.LeaseManager] = {}
        self._changed = notifier.Notifier()

    @property
    def managers(self) -> dict[ids.ServerId, lease_manager.LeaseManager]:
        """The lease managers of the servers that this instance fronts."""
        return self._managers

    def find(self, server: ids.ServerId) -> lease_manager.LeaseManager | None:
        """Returns a server's lease manager if this instance is its front."""
        manager = self._managers.get(server)
        if manager and self._ports.cell.fronts.get(server) == manager.front:
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
        """Answers another front that asks what a server has released."""
        await self._changed.wait_until(
            lambda: self.find(query.server) is not None, _UNKNOWN_FRONT_WAIT_S
        )
        manager = self.find(query.server)
        if manager is None:
            return releases.ReleaseReply([])
        return await manager.answer_release(query)

    async def answer_front_drained(
        self, query: releases.FrontDrainedQuery
    ) -> releases.FrontDrainedReply:
        """Answers a later front that asks whether an earlier one has drained.

        The earlier front is this instance under a lower token. If it was
        replaced before it started, it counts as drained as soon as the
        replacement has been read.
        """
        cell = self._ports.cell
        await self._changed.wait_until(
            lambda: cell.head >= query.head, _UNKNOWN_FRONT_WAIT_S
        )
        self._forget_drained()
        is_undrained = (
            _FrontKey(query.server, query.front_token) in self._undrained
        )
        is_drained = cell.head >= query.head and not is_undrained
        return releases.FrontDrainedReply(self._ports.me, is_drained)

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
            server: cell.fronts[server]
            for server in cell.list_servers_of(self._ports.me)
        }
        return mine != {s: k.front for s, k in self._managers.items()}

    def _reconcile(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts and stops managers until they match the log."""
        cell = self._ports.cell
        mine = set(cell.list_servers_of(self._ports.me))
        for server, manager in list(self._managers.items()):
            if server not in mine or _has_missed_front(
                manager, cell.fronts[server]
            ):
                self._stop(server)
            elif cell.fronts[server] != manager.front:
                manager.replace_front(cell.fronts[server])
                self._track_front(manager)
        for server in mine - self._managers.keys():
            self._start(server, tasks)

    def _start(self, server: ids.ServerId, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the lease manager of a server."""
        front = self._ports.cell.fronts[server]
        manager = lease_manager.LeaseManager(
            server, front, self._settings, self._ports
        )
        scope = anyio.CancelScope()
        self._managers[server] = manager
        self._scopes[server] = scope
        self._track_front(manager)
        self._ports.ring.add(
            events.FrontChanged(
                self._ports.cell.service, server, front.front, front.token
            )
        )
        tasks.start_soon(_run_in_scope, manager, scope)

    def _track_front(self, manager: lease_manager.LeaseManager) -> None:
        """Records the manager of a front until that front has drained."""
        self._forget_drained()
        self._undrained[_FrontKey(manager.server, manager.front.token)] = (
            manager
        )

    def _forget_drained(self) -> None:
        """Removes the fronts that have drained."""
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


def _has_missed_front(
    manager: lease_manager.LeaseManager, front: cells.FrontState
) -> bool:
    """Returns whether another instance was the server's front in between.

    It may have granted slices to the server that the manager does not know of.
    """
    return any(
        earlier.front != front.front and earlier.token > manager.front.token
        for earlier in front.earlier
    )


async def _run_in_scope(
    manager: lease_manager.LeaseManager, scope: anyio.CancelScope
) -> None:
    """Runs a lease manager until its scope is cancelled."""
    with scope:
        await manager.run()
