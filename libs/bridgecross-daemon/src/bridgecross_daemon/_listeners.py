"""The HTTP listeners of an instance."""

from collections.abc import Callable
import dataclasses
import resource
from typing import Any

import anyio
import loguru

from bridgecross_core import clock as clocks
from bridgecross_daemon import _metrics
from bridgecross_entry import caller_protocol
from bridgecross_entry import client_guard
from bridgecross_entry import client_monitor
from bridgecross_entry import connection_limits
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import model
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order

_POLL_S = 0.02

_LIMITS = connection_limits.ConnectionLimits(
    head_timeout_s=5.0, body_timeout_s=60.0, idle_timeout_s=5.0
)
"""How long clients may take. The deadline of a request ends with it."""


class _Journal:
    """Logs decisions about connections."""

    def decision(self, event: str, **fields: Any) -> None:
        """Logs a decision."""
        loguru.logger.bind(**fields).info(event)


class Listeners:
    """Makes listeners that share the limits of a process."""

    def __init__(
        self,
        ledger: memory_ledger.Ledger,
        metrics: _metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Creates no listener yet.

        Args:
            ledger: Grants the memory for what clients send.
            metrics: Counts what is broken off.
            clock: The time source.
        """
        self._ledger = ledger
        self._metrics = metrics
        self._clock = clock
        self._clients = client_monitor.ClientMonitor(_Journal(), metrics, clock)

    def make(self, address: str, app: Any, ratio: float) -> listener.Listener:
        """Returns a listener whose requests run one after another.

        Args:
            address: ``host:port`` with an IP address.
            app: An ASGI application.
            ratio: The share of the descriptors of this process that its
                connections may take.
        """
        limiter = connection_limits.ConnectionLimiter(self._clock)
        descriptors_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limiter.limits = dataclasses.replace(
            _LIMITS, max_count=descriptors_count * ratio
        )
        monitor = pipeline_monitor.PipelineMonitor(
            self._metrics, _Journal(), self._clock
        )
        parts = caller_protocol.PipelineParts(
            lambda scope: False,
            self._ledger,
            monitor,
            self._clock,
            pipeline_order.PipelineLimits(),
        )
        return listener.Listener(
            model.parse_address(address),
            app,
            caller_protocol.make_protocol(parts),
            guard=client_guard.ClientGuard(
                limiter, self._ledger, self._clients
            ),
        )


async def serve(
    served: listener.Listener,
    stop: anyio.Event,
    drain_limit_s: Callable[[], float],
) -> None:
    """Serves until the stop event is set and all requests are answered.

    Args:
        served: The listener, which has not been started.
        stop: The event that ends the serving.
        drain_limit_s: Returns how long requests may take after that.

    Raises:
        OSError: The address cannot be bound.
    """
    await served.start()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(served.watch_connections)
        await stop.wait()
        served.stop()
        with anyio.move_on_after(drain_limit_s()):
            while served.connections_count:
                served.close_idle()
                await anyio.sleep(_POLL_S)
        served.abort_all()
        tasks.cancel_scope.cancel()
