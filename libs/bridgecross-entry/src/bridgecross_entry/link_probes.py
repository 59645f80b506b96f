"""Probes of this instance's links to backend servers."""

import asyncio
from collections.abc import Iterator
import contextlib
import functools
import math

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import server_links
from bridgecross_entry import tasks as tasks_lib

_SENT_RATIO = 0.2
"""Only requests sent within this part of the patience can cause a probe. The
rest is time for the acknowledgement, which the kernel of a busy machine may
delay."""


class _Probe:
    """A probe in progress."""

    def __init__(self) -> None:
        """Starts without a result."""
        self.done = anyio.Event()
        self.result: attempts.NotSent | None = None


class LinkProbes:
    """Finds out which servers this instance can connect to.

    A probe sends nothing; a connection that comes about is kept.
    """

    def __init__(
        self,
        client: attempts.BackendClient,
        links: server_links.ServerLinks,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Starts without probes.

        Args:
            client: Connects to servers.
            links: Is told the results.
            journal: Logs failures of the program.
            clock: The time source.
        """
        self._client = client
        self._links = links
        self._journal = journal
        self._clock = clock
        self._probes: dict[ids.ServerId, _Probe] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Enables probes that nobody waits for.

        Args:
            tasks: Runs the probes.
        """
        self._tasks = tasks

    def now_s(self) -> float:
        """Returns the monotonic time."""
        return self._clock.monotonic_s()

    async def probe(
        self, server: model.BackendServer
    ) -> attempts.NotSent | None:
        """Connects to a server; returns why that failed, or None."""
        present = self._probes.get(server.server_id)
        if present is not None:
            await present.done.wait()
            return present.result
        probe = self._probes[server.server_id] = _Probe()
        probe.result = attempts.NotSent("the probe was abandoned")
        try:
            probe.result = await self._client.connect(server)
            if probe.result is None:
                self._links.note_connected(server)
            else:
                self._links.note_failed(
                    server, probe.result.reason, refused=probe.result.refused
                )
        finally:
            del self._probes[server.server_id]
            probe.done.set()
        return probe.result

    def begin(self, server: model.BackendServer) -> None:
        """Begins a probe that nobody waits for, unless one is in progress."""
        if self._tasks is None or server.server_id in self._probes:
            return

        async def run() -> None:
            await self.probe(server)

        self._tasks.start_soon(tasks_lib.run_once, run, self._journal)

    @contextlib.contextmanager
    def watch(
        self,
        server: model.BackendServer,
        patience_s: float,
        *,
        sends_requests: bool = False,
    ) -> Iterator[None]:
        """Probes a server that is not heard for some time during a block.

        Bytes on an open connection that has become silent are retransmitted
        for seconds, and nothing else shows that the link is broken.

        Args:
            server: The server.
            patience_s: How long it may be silent.
            sends_requests: Whether the block sends a request. If the bytes of
                requests are acknowledged, the link works and the server is
                busy, so a probe would only cost it a connection.
        """
        begun_s = self._clock.monotonic_s()
        sent_before_s = math.inf
        if sends_requests:
            sent_before_s = begun_s + _SENT_RATIO * patience_s
        check = functools.partial(
            self._probe_if_silent, server, begun_s, sent_before_s
        )
        timer = asyncio.get_running_loop().call_later(patience_s, check)
        try:
            yield
        finally:
            timer.cancel()

    def _probe_if_silent(
        self, server: model.BackendServer, since_s: float, sent_before_s: float
    ) -> None:
        """Probes a server that has not been heard since a time.

        Args:
            server: The server.
            since_s: The time.
            sent_before_s: The server is not probed if all requests sent to it
                before this time are acknowledged. If this is infinite, it is
                probed in any case.
        """
        server_id = server.server_id
        if self._links.heard_s(server_id) >= since_s:
            return
        if self._links.is_down(server_id):
            return
        if math.isfinite(sent_before_s) and self._client.is_acknowledged(
            server, sent_before_s
        ):
            return
        self.begin(server)
