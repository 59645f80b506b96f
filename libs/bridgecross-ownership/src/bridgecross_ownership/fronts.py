"""The managers of all servers of a service that this instance fronts."""

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
    """A server, and the token under which an instance is its front."""

    server: ids.ServerId
    token: ids.Token


class Fronts:
    """Starts and stops managers as the log gives and takes servers."""

    def __init__(
        self,
        settings: lease_manager.LeaseManagerSettings,
        ports: lease_manager.LeaseManagerPorts,
    ) -> None:
        """Fronts no server yet."""
        self._settings = settings
        self._ports = ports
        self._managers: dict[ids.ServerId, lease_manager.LeaseManager] = {}
        self._scopes: dict[ids.ServerId, anyio.CancelScope] = {}
        # The managers of the offices that this instance holds, and of those
        # that it held and of which requests may still run.
        self._undrained: dict[_FrontKey, lease_manager.LeaseManager] = {}
        self._changed = notifier.Notifier()

    @property
    def managers(self) -> dict[ids.ServerId, lease_manager.LeaseManager]:
        """The managers of the servers that this instance fronts."""
        return self._managers

    def find(self, server: ids.ServerId) -> lease_manager.LeaseManager | None:
        """Returns a server's manager if this instance is its front."""
        manager = self._managers.get(server)
        if manager and self._ports.cell.fronts.get(server) == manager.front:
            return manager
        return None

    def notify(self) -> None:
        """Tells that the cell has changed."""
        self._changed.notify()
        for manager in self._managers.values():
            manager.changed.notify()

    def replace_settings(
        self, settings: lease_manager.LeaseManagerSettings
    ) -> None:
        """Puts new settings into force in every manager."""
        self._settings = settings
        for manager in self._managers.values():
            manager.settings = settings

    async def answer_release(
        self, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Answers another front that asks what a server has let go of."""
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
        """Answers a later front that asks whether an office of ours is over.

        An office that was replaced before this instance took it up is over as
        soon as the replacement has been read.
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
        """Follows the cell until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._reconcile(tasks)
                await self._changed.wait_until(self._is_behind, _RECONCILE_S)

    def _is_behind(self) -> bool:
        """Returns whether the managers differ from what the log says."""
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
            if server not in mine or _has_missed(manager, cell.fronts[server]):
                self._stop(server)
            elif cell.fronts[server] != manager.front:
                manager.replace_front(cell.fronts[server])
                self._track_front(manager)
        for server in mine - self._managers.keys():
            self._start(server, tasks)

    def _start(self, server: ids.ServerId, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the manager of a server."""
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
        """Keeps who holds an office."""
        self._forget_drained()
        self._undrained[_FrontKey(manager.server, manager.front.token)] = (
            manager
        )

    def _forget_drained(self) -> None:
        """Forgets the offices that are over."""
        self._undrained = {
            key: manager
            for key, manager in self._undrained.items()
            if manager is self.find(key.server) or not manager.is_idle()
        }

    def _stop(self, server: ids.ServerId) -> None:
        """Stops the manager of a server; waiting requests are woken."""
        manager = self._managers.pop(server)
        self._scopes.pop(server).cancel()
        manager.changed.notify()


def _has_missed(
    manager: lease_manager.LeaseManager, front: cells.FrontState
) -> bool:
    """Returns whether another instance fronted the server in between.

    It may have had the server hold slices of which the manager knows nothing.
    """
    return any(
        earlier.front != front.front and earlier.token > manager.front.token
        for earlier in front.earlier
    )


async def _run_in_scope(
    manager: lease_manager.LeaseManager, scope: anyio.CancelScope
) -> None:
    """Runs a manager until its scope is cancelled."""
    with scope:
        await manager.run()
