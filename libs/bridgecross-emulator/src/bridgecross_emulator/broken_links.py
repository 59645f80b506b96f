"""Links from instances to servers that are broken in various ways."""

import collections
import enum

import anyio

from bridgecross_entry import attempts
from bridgecross_entry import model

CONNECT_TIMEOUT_S = 0.25
"""How long an instance waits for a connection."""

Link = tuple[model.Address, model.Address]
"""An instance and a server."""


class LinkFault(enum.Enum):
    """How a link from an instance to a server is broken."""

    REFUSED = "refused"
    """Connections are reset, and new ones refused."""

    SILENT = "silent"
    """Nothing arrives, on open connections and on new ones."""

    NEW_REFUSED = "new refused"
    """Open connections go on; new ones are refused."""


class BrokenLinks:
    """The links that are broken at present."""

    def __init__(self) -> None:
        """Starts without broken links."""
        self._faults: dict[Link, LinkFault] = {}

    def cut(self, link: Link, fault: LinkFault) -> None:
        """Breaks a link."""
        self._faults[link] = fault

    def mend(self, link: Link) -> None:
        """Makes a link work again."""
        self._faults.pop(link, None)

    def find(self, link: Link) -> LinkFault | None:
        """Returns how a link is broken; None if it works."""
        return self._faults.get(link) if self._faults else None


class Connections:
    """The open connections of one client of an instance, one to a server."""

    def __init__(self, links: BrokenLinks, sender: model.Address) -> None:
        """Starts without connections."""
        self._links = links
        self._sender = sender
        self._open: set[model.Address] = set()
        # The number of sends that wait on a connection that became silent.
        self._stuck: collections.Counter[model.Address] = collections.Counter()

    def is_acknowledged(self, server: model.Address) -> bool:
        """Whether what was sent to a server has arrived there."""
        return not self._stuck[server]

    async def open(
        self, server: model.Address, *, is_new: bool = False
    ) -> attempts.NotSent | None:
        """Uses or opens a connection; returns why there is none.

        What is sent on an open connection that has become silent waits until
        it is cancelled.

        Args:
            server: The address of the server.
            is_new: Whether a connection that is open may not be used.
        """
        fault = self._links.find((self._sender, server))
        is_open = server in self._open and not is_new
        if fault is None or (fault is LinkFault.NEW_REFUSED and is_open):
            self._open.add(server)
            return None
        self._open.discard(server)
        if fault is LinkFault.SILENT and is_open:
            self._stuck[server] += 1
            try:
                await anyio.sleep_forever()
            finally:
                self._stuck[server] -= 1
        if fault is LinkFault.SILENT:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            return attempts.NotSent("connecting took too long")
        return attempts.NotSent("connection refused", refused=True)

    async def carry_answer(
        self, server: model.Address
    ) -> attempts.Interrupted | None:
        """Returns why an answer does not arrive; None if it does."""
        fault = self._links.find((self._sender, server))
        if fault is LinkFault.SILENT:
            await anyio.sleep_forever()
        if fault is LinkFault.REFUSED:
            return attempts.Interrupted("connection reset")
        return None
