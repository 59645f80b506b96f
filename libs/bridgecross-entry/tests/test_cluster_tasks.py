"""The background tasks of an instance for the cluster, once it leads."""

import anyio
import cluster_state_support
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import cluster_state
from bridgecross_entry import cluster_tasks
from bridgecross_entry import dispatch
from bridgecross_entry import leadership
from bridgecross_entry import log
from bridgecross_entry import metrics
from bridgecross_entry import peers
from bridgecross_entry import quota_client
from bridgecross_entry import quota_issuer

pytestmark = pytest.mark.anyio


class NoBackends:
    """An ``attempts.BackendClient`` that is never called."""

    def is_acknowledged(self, server, sent_before_s):
        return True

    def is_connected(self, server):
        return False

    async def is_refusing(self, server):
        return False


class Scene:
    """The cluster tasks of one instance, whose log lists a keyed service."""

    def __init__(self, platform_log: fakes.MemoryLog) -> None:
        real = clock.SystemClock()
        journal = support.make_journal(real)
        self.reader = cluster_state_support.Reader(platform_log, keyed=True)
        dispatcher = dispatch.Dispatcher(
            dispatch.DispatchSettings(),
            support.INSTANCE,
            self.reader.registry,
            self.reader.table,
            NoBackends(),
            journal,
            metrics.Metrics(),
            real,
        )
        self.lease_servers = fakes.LeaseServers()
        self.quota_issuer = quota_issuer.QuotaIssuer(
            quota_issuer.QuotaSettings(),
            self.reader.registry.notices.limits,
            journal,
            metrics.Metrics(),
            real,
        )
        self.cluster_tasks = cluster_tasks.ClusterTasks(
            cluster_tasks.ClusterTaskSettings(),
            support.INSTANCE,
            platform_log,
            self.lease_servers,
            peers.PeerClient(peers.PeerSettings(), journal, real),
            self.reader.state,
            self.reader.registry,
            self.reader.table,
            dispatcher,
            self.quota_issuer,
            quota_client.QuotaClient(
                quota_client.QuotaClientSettings(),
                quota_issuer.QuotaSettings(),
                support.INSTANCE.peer_address,
                self.quota_issuer,
                self.reader.registry.notices.limits,
                journal,
                real,
            ),
            journal,
            metrics.Metrics(),
            real,
        )
        self.reader.on_configure = self.cluster_tasks.update_coordinators


@pytest.fixture
def platform_log():
    filled = fakes.MemoryLog()
    filled.records["servers"] = [log.KeyedRecord("a", b"rapor")]
    filled.records["configuration"] = [log.KeyedRecord("config", b"1")]
    return filled


async def test_an_instance_lists_itself_once_it_has_read_the_list(
    platform_log,
):
    """A moment later the log may reject it for a long time."""
    scene = Scene(platform_log)
    async with anyio.create_task_group() as tasks:
        scene.reader.state.start(tasks)
        scene.cluster_tasks.start(tasks)
        listed = platform_log.records[cluster_state.INSTANCE_TOPIC]
        await fakes.wait_until(lambda: listed, 0.25)
        tasks.cancel_scope.cancel()


async def test_keys_are_assigned_though_the_server_list_is_read_last(
    platform_log,
):
    platform_log.unavailable_topics.add("servers")
    scene = Scene(platform_log)
    async with anyio.create_task_group() as tasks:
        scene.reader.state.start(tasks)
        scene.cluster_tasks.start(tasks)
        # It leads and knows the configuration before it knows any server.
        await fakes.wait_until(
            lambda: scene.cluster_tasks._leadership.is_leader, 5
        )
        assert scene.cluster_tasks.coordinated_count == 0
        platform_log.unavailable_topics.clear()
        await fakes.wait_until(lambda: scene.lease_servers.holder(5) == "a", 6)
        tasks.cancel_scope.cancel()


# Guards against an instance that claims the lead while it stops.
async def test_a_follower_that_stops_does_not_claim(platform_log):
    scene = Scene(platform_log)
    await scene.cluster_tasks.hand_over_lead()
    await scene.cluster_tasks._leadership._try_claim()
    assert not scene.cluster_tasks._leadership.is_leader
    assert not platform_log.records[leadership.TOPIC]
