"""Sends requests at a steady rate and records the outcome of each.

The rate doesn't depend on the answers (open-loop load), so a stall shows as
many late requests instead of as few sent ones.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import time
from typing import NamedTuple

import anyio
import httpx

_CONNECTIONS = 500
_TIMEOUT_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True)
class ProbeSettings:
    """The requests that a prober sends."""

    # The credential of the caller.
    credential: str
    # The service that the requests are for.
    service: str
    # The keys, used in turn.
    keys: tuple[str, ...]
    # The number of requests per second.
    rate_per_s: float
    # The deadline of each request.
    deadline_ms: int = 1_000
    # The HTTP method.
    method: str = "GET"


class Probe(NamedTuple):
    """A request and its outcome.

    ``status`` is 0 if no answer arrived; ``request_id`` is empty unless the
    answer contained it. Times are monotonic, in seconds.
    """

    key: str
    url: str
    sent_s: float
    done_s: float
    status: int
    outcome: str
    detail: str
    request_id: str = ""


class Prober:
    """Sends requests at a steady rate until it is stopped."""

    def __init__(
        self, settings: ProbeSettings, choose_url: Callable[[], str | None]
    ) -> None:
        """Initializes the prober.

        Args:
            settings: The requests to send.
            choose_url: Returns the base URL of an entry instance, or None if
                there is none at the moment.
        """
        self.settings = settings
        self._choose_url = choose_url
        self.probes: list[Probe] = []
        self._stopped = False
        self._number = 0

    def stop(self) -> None:
        """Stops sending; ``run`` still waits for the requests in flight."""
        self._stopped = True

    async def run(self) -> None:
        """Sends requests until it is stopped."""
        limits = httpx.Limits(
            max_connections=_CONNECTIONS,
            max_keepalive_connections=_CONNECTIONS,
        )
        async with (
            httpx.AsyncClient(trust_env=False, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            due_s = time.monotonic()
            while not self._stopped:
                tasks.start_soon(self._send, client, self._number)
                self._number += 1
                due_s += 1 / self.settings.rate_per_s
                await anyio.sleep(max(due_s - time.monotonic(), 0))

    async def _send(self, client: httpx.AsyncClient, number: int) -> None:
        """Sends one request and records its outcome."""
        settings = self.settings
        key = settings.keys[number % len(settings.keys)]
        url = self._choose_url()
        sent_s = time.monotonic()
        status, outcome, request_id = 0, "none", ""
        detail = "no instance is ready"
        if url is None:
            self.probes.append(
                Probe(key, "", sent_s, sent_s, status, outcome, detail)
            )
            return
        try:
            response = await client.request(
                settings.method,
                f"{url}/v1/{settings.service}/{key}",
                headers={
                    "Authorization": f"Bearer {settings.credential}",
                    "Bridgecross-Deadline-Ms": str(settings.deadline_ms),
                    "Idempotency-Key": f"{id(self)}-{number}",
                },
                timeout=settings.deadline_ms / 1_000 + _TIMEOUT_MARGIN_S,
            )
            status = response.status_code
            outcome = response.headers.get("bridgecross-outcome", "none")
            body = response.json()
            detail = str(body.get("detail", ""))
            request_id = str(body.get("request_id", ""))
        except (httpx.HTTPError, ValueError) as error:
            status, outcome, detail = 0, "none", repr(error)
        self.probes.append(
            Probe(
                key=key,
                url=url,
                sent_s=sent_s,
                done_s=time.monotonic(),
                status=status,
                outcome=outcome,
                detail=detail,
                request_id=request_id,
            )
        )


def measure_unavailable(
    probes: Sequence[Probe],
    since_s: float,
    counts: Callable[[Probe], bool] = lambda probe: True,
) -> dict[str, float]:
    """Returns how long each key was unavailable after a time, in seconds.

    A key is available again at the end of the first request that was sent
    after the time and answered. The value of a key that never was is
    infinity.

    Args:
        probes: The requests that were sent.
        since_s: The monotonic time at which the keys became unavailable.
        counts: Returns whether a probe is taken into account.
    """
    unavailable_s: dict[str, float] = {}
    for probe in probes:
        if probe.sent_s < since_s or not counts(probe):
            continue
        unavailable_s.setdefault(probe.key, math.inf)
        if probe.outcome == "answered":
            waited_s = probe.done_s - since_s
            unavailable_s[probe.key] = min(unavailable_s[probe.key], waited_s)
    return unavailable_s
