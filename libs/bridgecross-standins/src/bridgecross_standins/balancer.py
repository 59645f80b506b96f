"""A stand-in for the platform's load balancer, which checks readiness."""

import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

_INTERVAL_S = 0.1
_TIMEOUT_S = 0.3
_HTTP_OK = 200


class ReadinessCheck(NamedTuple):
    """The answers of all instances to one round of readiness checks."""

    # The monotonic time of the last answer.
    at_s: float
    # The time from the first request to the last answer.
    took_s: float
    # The status or the error, by caller URL.
    answers: dict[str, str]


class Balancer:
    """Chooses a ready entry instance for each request, round robin."""

    def __init__(self, admin_urls: dict[str, str]) -> None:
        """Treats every instance as not ready until the first check.

        Args:
            admin_urls: The health-check base URL for each caller base URL.
        """
        self._admin_urls = admin_urls
        self._ready: list[str] = []
        self._choice_count = 0
        # The checks whose answers differ from those of the check before.
        self.changed_checks: list[ReadinessCheck] = []

    def choose(self) -> str | None:
        """Returns the base URL of a ready instance, or None."""
        if not self._ready:
            return None
        self._choice_count += 1
        return self._ready[self._choice_count % len(self._ready)]

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Checks every instance periodically until cancelled."""
        async with httpx.AsyncClient(
            trust_env=False, timeout=_TIMEOUT_S
        ) as client:
            await self.check(client)
            task_status.started()
            while True:
                await anyio.sleep(_INTERVAL_S)
                await self.check(client)

    async def check(self, client: httpx.AsyncClient) -> None:
        """Checks every instance once, all concurrently."""
        ready: dict[str, bool] = {}
        answers: dict[str, str] = {}
        started_s = time.monotonic()

        async def check_one(caller_url: str, admin_url: str) -> None:
            try:
                response = await client.get(f"{admin_url}/readyz")
                ready[caller_url] = response.status_code == _HTTP_OK
                answers[caller_url] = str(response.status_code)
            except httpx.HTTPError as error:
                ready[caller_url] = False
                answers[caller_url] = repr(error)

        async with anyio.create_task_group() as tasks:
            for caller_url, admin_url in self._admin_urls.items():
                tasks.start_soon(check_one, caller_url, admin_url)
        self._ready = [url for url in self._admin_urls if ready[url]]
        if (
            not self.changed_checks
            or self.changed_checks[-1].answers != answers
        ):
            now_s = time.monotonic()
            self.changed_checks.append(
                ReadinessCheck(now_s, now_s - started_s, answers)
            )
