"""Leaders inside and outside of a failure domain that is cut off."""

import anyio
import pytest

from bridgecross_emulator import broken_links
from bridgecross_emulator import checks
from bridgecross_emulator import domain_cuts
from tests.emulated import crash_scene

REFUSED = broken_links.LinkFault.REFUSED
SILENT = broken_links.LinkFault.SILENT

CUT_FOR_S = 9.0
HEALED_FOR_S = 4.0
CHECK_INTERVAL_S = 0.02
RATE_PER_S = 40.0


class Cut:
    """A cluster in four failure domains, of which one is cut off for a while.

    The keyed servers are in all domains, and callers go on.
    """

    def __init__(self, fault, *, leader_inside, seed) -> None:
        self.fault = fault
        self.leader_inside = leader_inside
        # The instances that considered themselves alone at the same time.
        self.two_alone = set()
        self.scene = crash_scene.Simulation(
            instance_count=11,
            server_count=8,
            server_domain_count=4,
            requests_per_s=RATE_PER_S,
            seed=seed,
        ).run(self._play)

    def _choose_domain(self, cluster):
        own = cluster.leader.settings.failure_domain
        if self.leader_inside:
            return own
        return min(
            {e.settings.failure_domain for e in cluster.instances} - {own}
        )

    async def _play(self, scene):
        cluster = scene.cluster
        mend = domain_cuts.cut(
            cluster, {self._choose_domain(cluster)}, self.fault
        )
        await self._watch(cluster, CUT_FOR_S)
        mend()
        await self._watch(cluster, HEALED_FOR_S)

    async def _watch(self, cluster, for_s):
        end_s = cluster.now_s + for_s
        while cluster.now_s < end_s:
            alone = {
                each.settings.name
                for each in cluster.instances
                if each.parts.cluster_tasks._leadership.sole_term is not None
            }
            if len(alone) > 1:
                self.two_alone |= alone
            await anyio.sleep(CHECK_INTERVAL_S)


# Guards against a refused connection that counts as the end of an instance: a
# leader that is cut off takes its own domain for a majority.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("leader_inside", [True, False])
@pytest.mark.parametrize("fault", [REFUSED, SILENT])
def test_a_domain_that_is_cut_off_shares_no_key_with_others(
    fault, leader_inside, seed
):
    cut = Cut(fault, leader_inside=leader_inside, seed=seed)
    assert checks.check_owners(cut.scene.cluster) == []
    assert checks.check_handovers(cut.scene.cluster) == []
    assert cut.two_alone == set()
