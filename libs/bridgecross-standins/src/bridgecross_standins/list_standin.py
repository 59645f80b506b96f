"""A stand-in for the platform's instance list, which lags.

``PUT /instances/{name}`` and ``DELETE /instances/{name}`` change the truth;
``GET /instances`` shows what was true a while ago. ``PUT /faults`` takes a
JSON ``ListFaults``.
"""

import dataclasses
import time
from typing import NamedTuple

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bridgecross_core import codec
from bridgecross_ownership import membership

_REMEMBERED_VIEWS = 1_000


@dataclasses.dataclass(frozen=True)
class ListFaults:
    """What goes wrong at the moment."""

    # How far the list lags behind the truth.
    lag_ms: int = 0
    # Whether nothing is answered but 503.
    outage: bool = False


class _View(NamedTuple):
    """What was true from a time on."""

    since_s: float
    listings: dict[str, membership.Listing]


class ListStandin:
    """The instance list in memory."""

    def __init__(self) -> None:
        """Lists nobody."""
        self.faults = ListFaults()
        self._views = [_View(0.0, {})]

    def build_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route("/instances", self._show),
                routing.Route("/instances/{name}", self._put, methods=["PUT"]),
                routing.Route(
                    "/instances/{name}", self._delete, methods=["DELETE"]
                ),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Replaces the faults."""
        self.faults = codec.from_json(await request.body(), ListFaults)
        return responses.Response(status_code=204)

    async def _show(self, request: requests.Request) -> responses.Response:
        """Shows the list as it was a while ago."""
        if self.faults.outage:
            return responses.PlainTextResponse("outage", status_code=503)
        at_s = time.monotonic() - self.faults.lag_ms / 1_000
        view = next(v for v in reversed(self._views) if v.since_s <= at_s)
        return responses.Response(
            codec.to_json(list(view.listings.values())),
            media_type="application/json",
        )

    async def _put(self, request: requests.Request) -> responses.Response:
        """Adds or changes a line."""
        listing = codec.from_json(await request.body(), membership.Listing)
        self._change({request.path_params["name"]: listing})
        return responses.Response(status_code=204)

    async def _delete(self, request: requests.Request) -> responses.Response:
        """Removes a line."""
        self._change({request.path_params["name"]: None})
        return responses.Response(status_code=204)

    def _change(self, changes: dict[str, membership.Listing | None]) -> None:
        """Begins a new view with some lines changed."""
        merged = self._views[-1].listings | changes
        kept = {n: line for n, line in merged.items() if line is not None}
        self._views.append(_View(time.monotonic(), kept))
        del self._views[:-_REMEMBERED_VIEWS]
