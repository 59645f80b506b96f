"""Runs an ASGI application over HTTP."""

from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config


async def serve(address: str, app: Any, stop: anyio.Event) -> None:
    """Serves an application until the stop event is set.

    Args:
        address: ``host:port`` with an IP address.
        app: An ASGI application.
        stop: The event that ends the serving.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.keep_alive_max_requests = 1_000_000
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
