import random
from typing import Any

import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_core import pulse
from bridgecross_core import stamps
from bridgecross_ownership import cell as cells
from bridgecross_request import requests
from bridgecross_request import retries
from bridgecross_request import routing
from bridgecross_timeline import ring

pytestmark = pytest.mark.anyio

ME = ids.InstanceId("entry-1")
SERVER = ids.ServerId("rapor-1")
ANSWERED = outcomes.Answered(200, (), b"ok")
UNKNOWN = outcomes.Unknown("reset")
FENCED = outcomes.NotRun(
    outcomes.NotRunProof.REFUSED_BY_FENCE, "fence", reroute=True
)
SHED = outcomes.NotRun(outcomes.NotRunProof.SHED_BY_SERVER, "shed")


class _Script:
    """Runs requests as a script says."""

    def __init__(self, script: list[outcomes.Outcome]) -> None:
        self._script = script
        self.runs = 0

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        self.runs += 1
        return self._script[min(self.runs, len(self._script)) - 1]

    async def forward(
        self, instance: ids.InstanceId, request: requests.Request
    ) -> outcomes.Outcome:
        raise AssertionError("the front is this instance")


def _route(script: _Script, **settings: Any) -> routing.Router:
    cell = cells.Cell(ids.ServiceName("rapor"))
    cell.slices = [cells.SliceState(SERVER, ids.Token(1), ())]
    cell.fronts[SERVER] = cells.FrontState(
        ME, ids.Token(1), (), ids.ServerId(""), ()
    )
    system = clock.SystemClock()
    ports = routing.RouterPorts(
        me=ME,
        cell=cell,
        changed=pulse.Pulse(),
        runner=script,
        forwarder=script,
        clock=system,
        ring=ring.Ring(ring.RingSettings("t"), stamps.HybridClock(system)),
        randomness=random.Random(1),
    )
    limits = {"budget_ratio": 0.1, "max_attempts": 3} | settings
    return routing.Router(retries.RetrySettings(**limits), ports)


def _request(method: str, key: str = "") -> requests.Request:
    return requests.Request(
        request_id="r",
        service=ids.ServiceName("rapor"),
        key="k",
        caller="c",
        tier="t",
        method=method,
        target="/",
        headers=(),
        body=b"",
        deadline_s=clock.SystemClock().monotonic_s() + 5.0,
        idempotency_key=key,
    )


# What the attempts give, the method, what the caller is told, and the runs.
CASES = {
    "answered": ([ANSWERED], "GET", ANSWERED, 1),
    "not run, then answered": ([FENCED, ANSWERED], "POST", ANSWERED, 2),
    "repeatable and unknown": ([UNKNOWN, ANSWERED], "GET", ANSWERED, 2),
    "not repeatable and unknown": ([UNKNOWN, ANSWERED], "POST", UNKNOWN, 1),
    "shed is told at once": ([SHED, ANSWERED], "GET", SHED, 1),
    "unknown, then not run, is unknown": ([UNKNOWN, SHED], "GET", UNKNOWN, 2),
    "attempts are bounded": ([FENCED] * 9, "GET", FENCED, 3),
}


@pytest.mark.parametrize(
    ("script", "method", "told", "runs"), CASES.values(), ids=CASES.keys()
)
async def test_what_the_caller_is_told(script, method, told, runs):
    runner = _Script(script)
    assert await _route(runner).handle(_request(method)) == told
    assert runner.runs == runs


async def test_a_request_that_may_not_run_twice_is_not_repeated():
    runner = _Script([UNKNOWN, ANSWERED])
    outcome = await _route(runner).handle(_request("PUT", key="order-1"))
    assert outcome == UNKNOWN
    assert runner.runs == 1


async def test_retries_stay_within_the_budget():
    runner = _Script([FENCED])
    router = _route(runner, max_attempts=2)
    for _ in range(200):
        await router.handle(_request("GET"))
    assert runner.runs <= 200 * 1.1 + 11
