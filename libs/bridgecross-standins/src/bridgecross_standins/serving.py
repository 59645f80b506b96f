"""Runs an ASGI application over HTTP."""

from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config


async def serve(address: str, app: Any, stop: anyio.Event) -> None:
    """Serves an application until it is told to stop.

    Args:
        address: ``host:port`` with an IP number.
        app: An ASGI application.
        stop: Set to stop.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.keep_alive_max_requests = 1_000_000
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
