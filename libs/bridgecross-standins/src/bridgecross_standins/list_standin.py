"""A stand-in for the platform's instance list, which may be out of date.

``PUT /instances/{name}`` and ``DELETE /instances/{name}`` change the list.
``GET /instances`` returns it as it was ``ListFaults.lag_ms`` ago.
``PUT /faults`` takes a JSON ``ListFaults``.
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

_RETAINED_VERSIONS = 1_000


@dataclasses.dataclass(frozen=True)
class ListFaults:
    """The faults of the list that are in force."""

    # The age of the list that is returned.
    lag_ms: int = 0
    # Whether ``GET /instances`` is answered with 503.
    outage: bool = False


class _Version(NamedTuple):
    """The list from a monotonic time on."""

    since_s: float
    listings: dict[str, membership.Listing]


class ListStandin:
    """An instance list that is kept in memory."""

    def __init__(self) -> None:
        """Initializes an empty list."""
        self.faults = ListFaults()
        self._versions = [_Version(0.0, {})]

    def build_app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/instances", self._list),
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

    async def _list(self, request: requests.Request) -> responses.Response:
        """Returns the list as it was ``lag_ms`` ago."""
        if self.faults.outage:
            return responses.PlainTextResponse("outage", status_code=503)
        at_s = time.monotonic() - self.faults.lag_ms / 1_000
        version = next(v for v in reversed(self._versions) if v.since_s <= at_s)
        return responses.Response(
            codec.to_json(list(version.listings.values())),
            media_type="application/json",
        )

    async def _put(self, request: requests.Request) -> responses.Response:
        """Adds or replaces an entry."""
        listing = codec.from_json(await request.body(), membership.Listing)
        self._change({request.path_params["name"]: listing})
        return responses.Response(status_code=204)

    async def _delete(self, request: requests.Request) -> responses.Response:
        """Removes an entry."""
        self._change({request.path_params["name"]: None})
        return responses.Response(status_code=204)

    def _change(self, changes: dict[str, membership.Listing | None]) -> None:
        """Adds a version with some entries changed, or removed if None."""
        merged = self._versions[-1].listings | changes
        kept = {n: entry for n, entry in merged.items() if entry is not None}
        self._versions.append(_Version(time.monotonic(), kept))
        del self._versions[:-_RETAINED_VERSIONS]
