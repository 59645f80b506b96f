"""Dispatch of requests to servers that limit the requests to them."""

import dataclasses
import re

import entry_support as support
import pytest
import test_dispatch as scenes
import test_dispatch_notices as notices
import test_notices

from bridgecross_core import clock
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import metrics
from bridgecross_entry import permits
from bridgecross_entry import quota_client
from bridgecross_entry import quota_issuer
from bridgecross_entry import quotas
from bridgecross_entry import tally

pytestmark = pytest.mark.anyio

A, B = notices.A, notices.B
LIMIT = attempts.Notice(limit_per_s=4.0)
OWN = support.INSTANCE.peer_address


def _make_scene(answers_count, *, keyed=False, limited=(A,)):
    """Returns a scene whose instance leads, and its backends."""
    backends = scenes.Backends(*[scenes.OK] * answers_count)
    scene = scenes.Scene(backends, keyed=keyed)
    scene.put_map(1, scenes._owned_by("a"))
    real = clock.SystemClock()
    journal = support.make_journal(real)
    limits = scene.registry.notices.limits
    settings = quota_issuer.QuotaSettings()
    scene.issuer = quota_issuer.QuotaIssuer(
        settings, limits, journal, metrics.Metrics(), real
    )
    scene.issuer.sole_term = lambda: 1
    client = quota_client.QuotaClient(
        quota_client.QuotaClientSettings(),
        settings,
        OWN,
        scene.issuer,
        limits,
        journal,
        real,
    )
    client.find_issuer = lambda: OWN
    scene.dispatcher._limited_servers._quotas = client
    notices._report(scene, LIMIT, limited)
    for server in limited:
        report = quotas.Report(4.0, 0.0)
        scene.issuer.handle(quotas.Request(server.server_id, 0, 0, report))
        scene.issuer._buckets[server.server_id]._tokens = 1.0
    return backends, scene


def _check_refused(outcome):
    """Checks that a request was refused at once, with when to return."""
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.status == 503
    assert 0 < outcome.retry_after_ms <= 5_000


async def test_an_owner_gets_what_it_takes_and_the_rest_is_refused():
    backends, scene = _make_scene(1, keyed=True)
    assert await scene.ask() is scenes.OK
    for _ in range(5):
        _check_refused(await scene.ask())
    assert backends.sent == ["a"]


async def test_other_servers_get_what_a_limited_one_does_not_take():
    backends, scene = _make_scene(20)
    for _ in range(20):
        assert await scene.ask() is scenes.OK
    assert backends.sent.count("a") <= 2


async def test_a_limited_server_gets_a_part_of_the_requests():
    backends, scene = _make_scene(20)
    for server in (A, B):
        scene.registry.get(server.server_id).latency_s = 0.1
    scene.registry.get(B.server_id).latency_s = 0.2
    for _ in range(20):
        await scene.ask()
    assert "a" in backends.sent


async def test_requests_are_refused_once_no_server_takes_more():
    backends, scene = _make_scene(2, limited=(A, B))
    for _ in range(2):
        assert await scene.ask() is scenes.OK
    for _ in range(5):
        _check_refused(await scene.ask())
    assert sorted(backends.sent) == ["a", "b"]


async def test_nothing_is_sent_to_a_limited_server_without_an_issuer():
    backends, scene = _make_scene(1, keyed=True)
    scene.issuer.sole_term = lambda: None
    for _ in range(3):
        _check_refused(await scene.ask())
    assert backends.sent == []


async def test_a_permit_for_an_exhausted_server_is_returned_unused():
    backends, scene = _make_scene(3)
    scene.dispatcher._permits = notices.Permits("a")
    for _ in range(3):
        assert await scene.ask() is scenes.OK
    assert backends.sent.count("a") == 1
    returned = scene.dispatcher._permits.returned
    assert permits.Outcome.UNUSED in returned


async def test_the_trail_and_the_metrics_tell_of_the_limit():
    _, scene = _make_scene(1, keyed=True)
    for _ in range(3):
        await scene.ask()
    text = scene.dispatcher._metrics.render().decode()
    name = "bridgecross_limited_requests_total"
    assert f'{name}{{service="rapor",verdict="sent"}} 1' in text
    assert f'{name}{{service="rapor",verdict="refused"}} 2' in text


async def test_a_refused_request_tells_server_limit_age_and_issuer():
    _, scene = _make_scene(1, keyed=True)
    lines = test_notices.RecordingJournal()
    lines.routine = lambda event, **fields: None
    scene.dispatcher._recorder._journal = lines
    await scene.ask()
    await scene.ask()
    (fields,) = [
        fields for event, fields in lines.written if event == "request"
    ]
    assert fields["request"] == "id1"
    (reason,) = fields["trail"]
    assert re.fullmatch(
        "its servers limit their requests: a takes 4/s, "
        rf"told 0\.\d s ago; granted by {re.escape(str(OWN))}",
        reason,
    )
    assert tally.find_cause(fields["trail"]) == "server_limits"


async def test_what_is_refused_has_not_run():
    backends, scene = _make_scene(3, keyed=True)
    outcomes_seen = [await scene.ask() for _ in range(3)]
    assert len(backends.sent) == 1
    for refused in outcomes_seen[1:]:
        assert refused.proof is outcomes.NotRunProof.REFUSED_BY_ADMISSION
    assert not scene.dispatcher.watch._sent_requests


# Guards against a request of low priority that takes the place of a higher one.
async def test_the_higher_priority_gets_what_a_limited_owner_takes():
    _, scene = _make_scene(9, keyed=True)
    bucket = scene.issuer._buckets[A.server_id]
    bucket._tokens = 0.0
    served = {}
    for priority in (0, 1):
        route = dataclasses.replace(support.make_route(), priority=priority)
        scene.dispatcher.configure(
            support.make_configuration(route, keyed=True)
        )
        served[priority] = await scene.ask()
    assert not any(isinstance(o, outcomes.Answered) for o in served.values())
    bucket._tokens = 1.5
    scene.dispatcher._limited_servers._quotas._servers.clear()
    assert isinstance(await scene.ask(), outcomes.NotRun)
    route = dataclasses.replace(support.make_route(), priority=0)
    scene.dispatcher.configure(support.make_configuration(route, keyed=True))
    assert await scene.ask() is scenes.OK
