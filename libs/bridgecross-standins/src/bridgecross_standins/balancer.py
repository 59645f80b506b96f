"""A stand-in for the platform's balancer, which avoids unready instances."""

import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

_INTERVAL_S = 0.1
_TIMEOUT_S = 0.3
_HTTP_OK = 200


class Look(NamedTuple):
    """What the instances answered at one time, each by its caller URL."""

    # Monotonic, when the last of them had answered.
    at_s: float
    # From the first question to the last answer.
    took_s: float
    answers: dict[str, str]


class Balancer:
    """Chooses a ready entry instance for each request, in turn."""

    def __init__(self, admin_urls: dict[str, str]) -> None:
        """Holds every instance for not ready until it was asked.

        Args:
            admin_urls: The health-check base URL for each caller base URL.
        """
        self._admin_urls = admin_urls
        self._ready: list[str] = []
        self._turn = 0
        # The looks at which something was other than at the one before.
        self.looks: list[Look] = []

    def choose(self) -> str | None:
        """Returns the base URL of a ready instance, or None."""
        if not self._ready:
            return None
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Asks every instance whether it is ready, until cancelled."""
        async with httpx.AsyncClient(
            trust_env=False, timeout=_TIMEOUT_S
        ) as client:
            await self.check(client)
            task_status.started()
            while True:
                await anyio.sleep(_INTERVAL_S)
                await self.check(client)

    async def check(self, client: httpx.AsyncClient) -> None:
        """Asks every instance once, all at the same time."""
        ready: dict[str, bool] = {}
        answers: dict[str, str] = {}
        begun_s = time.monotonic()

        async def ask(caller_url: str, admin_url: str) -> None:
            try:
                response = await client.get(f"{admin_url}/readyz")
                ready[caller_url] = response.status_code == _HTTP_OK
                answers[caller_url] = str(response.status_code)
            except httpx.HTTPError as error:
                ready[caller_url] = False
                answers[caller_url] = repr(error)

        async with anyio.create_task_group() as tasks:
            for caller_url, admin_url in self._admin_urls.items():
                tasks.start_soon(ask, caller_url, admin_url)
        self._ready = [url for url in self._admin_urls if ready[url]]
        if not self.looks or self.looks[-1].answers != answers:
            now_s = time.monotonic()
            self.looks.append(Look(now_s, now_s - begun_s, answers))
