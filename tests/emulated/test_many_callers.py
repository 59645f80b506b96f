"""A poison request that comes from many callers.

Guards against counting the crashes of one request per caller. Three servers had
crashed under one target, and it was still sent to 11 to 18 more; up to 28
crashed. The target came from 156 addresses, each of which sent it once or
twice. The fingerprint of a request included the address of its caller, so the
same request from another address was counted anew: the 57 crashes that
instances recorded named no request twice. Without the address three servers
crash under each request. The tests of repeated crashes missed this because they
simulated a single caller with a fixed address.
"""

from typing import NamedTuple

import anyio
import pytest

from bridgecross_core import outcomes
from bridgecross_emulator import instances
from tests.emulated import crash_scene

CRASHES_MAX_COUNT = 3
KNOWN_WITHIN_S = 0.3
"""How long after the third crash the request may still reach servers."""

KEYED = (instances.SERVICE,)
FREE = (instances.FREE_SERVICE,)
BOTH = (instances.SERVICE, instances.FREE_SERVICE)


class Case(NamedTuple):
    """The services that get a poison request, and how callers send it."""

    services: tuple[str, ...]
    gap_s: float = 0.25
    # When callers abandon a request; it crashes its server after 40 ms.
    leave_after_s: float = 10.0
    # Whether all requests have the same key.
    has_one_key: bool = True
    instance_count: int = 5


CASES = {
    "divided by key": Case(KEYED),
    "divided by key, asked for often": Case(KEYED, 0.03),
    "divided by key, for any key": Case(KEYED, has_one_key=False),
    "any server": Case(FREE),
    "any server, seldom": Case(FREE, 1.7),
    "one of each service at once": Case(BOTH),
    "many instances": Case(BOTH, instance_count=24),
    "divided by key, callers leave": Case(KEYED, leave_after_s=0.02),
    "any server, callers leave": Case(FREE, leave_after_s=0.02),
}


def _poison_target(service: str) -> bytes:
    return f"/{service}/deadly".encode()


def _simulate(case: Case) -> crash_scene.Scene:
    async def scenario(scene: crash_scene.Scene) -> None:
        key = crash_scene.POISON_KEY if case.has_one_key else None
        async with anyio.create_task_group() as callers:
            for service in case.services:
                target = _poison_target(service)
                scene.cluster.fleet.poison_targets.add(target)
                callers.start_soon(
                    scene.send_from_many_callers,
                    target,
                    case.gap_s,
                    key,
                    case.leave_after_s,
                )
                callers.start_soon(scene.send_at_rate, service, 100.0)
            await anyio.sleep(20.0)
            callers.cancel_scope.cancel()

    return crash_scene.Simulation(instance_count=case.instance_count).run(
        scenario
    )


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_three_servers_crash_whoever_the_callers_are(case):
    scene = _simulate(case)
    for service in case.services:
        target = _poison_target(service)
        ends_s = scene.end_times_s(target)
        assert len(ends_s) == CRASHES_MAX_COUNT
        known_s = ends_s[-1] + KNOWN_WITHIN_S
        late = [at_s for at_s in scene.run_times_s(target) if at_s > known_s]
        assert late == []
        last = [each for each in scene.results if each.target == target][-1]
        assert isinstance(last.outcome, outcomes.NotRun)


SENT_MAX_COUNT = 3
"""Requests that may go to servers later than 0.3 s after the second crash."""


# Guards against sending all requests that waited for a lost key to its next
# owner at once: ten were running on the third server when it crashed.
@pytest.mark.parametrize("services", [KEYED, FREE, BOTH])
@pytest.mark.parametrize("count", [5, 24])
def test_few_are_sent_once_two_servers_have_crashed(services, count):
    scene = _simulate(Case(services, 0.01, instance_count=count))
    for service in services:
        target = _poison_target(service)
        ends_s = scene.end_times_s(target)
        known_s = ends_s[1] + KNOWN_WITHIN_S
        sent = [at_s for at_s in scene.run_times_s(target) if at_s > known_s]
        assert len(sent) <= SENT_MAX_COUNT
