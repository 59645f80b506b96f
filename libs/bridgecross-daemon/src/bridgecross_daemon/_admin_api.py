"""Health checks and metrics over HTTP."""

from typing import Protocol

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bridgecross_daemon import _metrics
from bridgecross_daemon import peer_protocol


class AdminBackend(Protocol):
    """The part of an instance that the application uses."""

    def describe(self) -> peer_protocol.InstanceStatus:
        """Returns the status of the instance."""


def build_admin_app(
    backend: AdminBackend, metrics: _metrics.Metrics
) -> applications.Starlette:
    """Returns the application that serves health checks and metrics."""

    async def live(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("live\n")

    async def ready(request: requests.Request) -> responses.Response:
        reasons = backend.describe().not_ready
        if reasons:
            return responses.JSONResponse(
                {"ready": False, "reasons": reasons}, status_code=503
            )
        return responses.JSONResponse({"ready": True, "reasons": []})

    async def show_metrics(request: requests.Request) -> responses.Response:
        exposition = metrics.render(backend.describe())
        return responses.Response(
            exposition.body, media_type=exposition.content_type
        )

    return applications.Starlette(
        routes=[
            routing.Route("/livez", live),
            routing.Route("/readyz", ready),
            routing.Route("/metrics", show_metrics),
        ]
    )
