"""The keepers of all servers of a service that this instance fronts."""

from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_ownership import cell as cells
from bridgecross_ownership import keeper as keeping
from bridgecross_ownership import releases
from bridgecross_timeline import events

_RECONCILE_S = 0.5
_UNKNOWN_FRONT_WAIT_S = 0.2


class _Office(NamedTuple):
    """A server, and the token under which an instance is its front."""

    server: ids.ServerId
    token: ids.Token


class Fronts:
    """Starts and stops keepers as the log gives and takes servers."""

    def __init__(
        self, settings: keeping.KeeperSettings, ports: keeping.KeeperPorts
    ) -> None:
        """Fronts no server yet."""
        self._settings = settings
        self._ports = ports
        self._keepers: dict[ids.ServerId, keeping.Keeper] = {}
        self._scopes: dict[ids.ServerId, anyio.CancelScope] = {}
        # The keepers of the offices that this instance holds, and of those
        # that it held and of which requests may still run.
        self._held: dict[_Office, keeping.Keeper] = {}
        self._changed = notifier.Notifier()

    @property
    def keepers(self) -> dict[ids.ServerId, keeping.Keeper]:
        """The keepers of the servers that this instance fronts."""
        return self._keepers

    def find(self, server: ids.ServerId) -> keeping.Keeper | None:
        """Returns a server's keeper if this instance is its front."""
        keeper = self._keepers.get(server)
        if keeper and self._ports.cell.fronts.get(server) == keeper.front:
            return keeper
        return None

    def notify(self) -> None:
        """Tells that the cell has changed."""
        self._changed.notify()
        for keeper in self._keepers.values():
            keeper.changed.notify()

    def replace_settings(self, settings: keeping.KeeperSettings) -> None:
        """Puts new settings into force in every keeper."""
        self._settings = settings
        for keeper in self._keepers.values():
            keeper.settings = settings

    async def answer_release(
        self, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Answers another front that asks what a server has let go of."""
        await self._changed.wait_until(
            lambda: self.find(query.server) is not None, _UNKNOWN_FRONT_WAIT_S
        )
        keeper = self.find(query.server)
        if keeper is None:
            return releases.ReleaseReply([])
        return await keeper.answer_release(query)

    async def answer_office(
        self, query: releases.OfficeQuery
    ) -> releases.OfficeReply:
        """Answers a later front that asks whether an office of ours is over.

        An office that was replaced before this instance took it up is over as
        soon as the replacement has been read.
        """
        cell = self._ports.cell
        await self._changed.wait_until(
            lambda: cell.head >= query.head, _UNKNOWN_FRONT_WAIT_S
        )
        self._forget_ended()
        is_held = _Office(query.server, query.front_token) in self._held
        is_over = cell.head >= query.head and not is_held
        return releases.OfficeReply(self._ports.me, is_over)

    async def run(self) -> None:
        """Follows the cell until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._reconcile(tasks)
                await self._changed.wait_until(self._is_behind, _RECONCILE_S)

    def _is_behind(self) -> bool:
        """Returns whether the keepers differ from what the log says."""
        cell = self._ports.cell
        mine = {
            server: cell.fronts[server]
            for server in cell.list_servers_of(self._ports.me)
        }
        return mine != {s: k.front for s, k in self._keepers.items()}

    def _reconcile(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts and stops keepers until they match the log."""
        cell = self._ports.cell
        mine = set(cell.list_servers_of(self._ports.me))
        for server, keeper in list(self._keepers.items()):
            if server not in mine or _has_missed(keeper, cell.fronts[server]):
                self._stop(server)
            elif cell.fronts[server] != keeper.front:
                keeper.reseat(cell.fronts[server])
                self._note_office(keeper)
        for server in mine - self._keepers.keys():
            self._start(server, tasks)

    def _start(self, server: ids.ServerId, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the keeper of a server."""
        front = self._ports.cell.fronts[server]
        keeper = keeping.Keeper(server, front, self._settings, self._ports)
        scope = anyio.CancelScope()
        self._keepers[server] = keeper
        self._scopes[server] = scope
        self._note_office(keeper)
        self._ports.ring.add(
            events.FrontChanged(
                self._ports.cell.service, server, front.front, front.token
            )
        )
        tasks.start_soon(_run_in_scope, keeper, scope)

    def _note_office(self, keeper: keeping.Keeper) -> None:
        """Keeps who holds an office."""
        self._forget_ended()
        self._held[_Office(keeper.server, keeper.front.token)] = keeper

    def _forget_ended(self) -> None:
        """Forgets the offices that are over."""
        self._held = {
            office: keeper
            for office, keeper in self._held.items()
            if keeper is self.find(office.server) or not keeper.is_idle()
        }

    def _stop(self, server: ids.ServerId) -> None:
        """Stops the keeper of a server; waiting requests are woken."""
        keeper = self._keepers.pop(server)
        self._scopes.pop(server).cancel()
        keeper.changed.notify()


def _has_missed(keeper: keeping.Keeper, front: cells.FrontState) -> bool:
    """Returns whether another instance fronted the server in between.

    It may have had the server hold slices of which the keeper knows nothing.
    """
    return any(
        earlier.front != front.front and earlier.token > keeper.front.token
        for earlier in front.earlier
    )


async def _run_in_scope(
    keeper: keeping.Keeper, scope: anyio.CancelScope
) -> None:
    """Runs a keeper until its scope is cancelled."""
    with scope:
        await keeper.run()
