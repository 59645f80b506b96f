"""Planning over time: load by key, servers with speeds, and the real planner.

Everything is computed in steps of virtual time. Requests arrive at random by
the rate of their key; a server answers what its slots allow.
"""

import bisect
import collections
import dataclasses
import random

import entry_support as support

from bridgecross_core import ids
from bridgecross_entry import few_slots
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import load_view
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import planner
from bridgecross_entry import rebalancing

STEP_S = 0.25
REPORT_DELAY_STEPS = 2
MOVE_MIN_S = 0.1
WORK_S = 0.16
SPEEDS = (0.7, 0.7, 1.6) * 17 + (0.7, 1.6)

Rates = dict[int, float]


def make_server(name: str, slots: int) -> model.BackendServer:
    return dataclasses.replace(support.make_server(name), slots=slots)


def clustered_rates(chance: random.Random, total: float) -> Rates:
    weights: dict[int, float] = {}
    for share, first_key, width, count in (
        (0.1, 9_000, 300, 300),
        (0.27, 20_000, 4_900, 1_000),
        (0.45, 30_000, 27_000, 2_000),
        (0.18, 0, keymap.LAST_KEY + 1, 1_000),
    ):
        for _ in range(count):
            key = first_key + chance.randrange(width)
            weights[key] = weights.get(key, 0.0) + share / count
    return {key: total * weight for key, weight in weights.items()}


def with_share(rates: Rates, keys: range, share: float) -> Rates:
    """Returns rates of which some keys have a share of the same total."""
    total = sum(rates.values())
    result = {key: rate * (1 - share) for key, rate in rates.items()}
    for key in keys:
        result[key] = result.get(key, 0.0) + total * share / len(keys)
    return result


@dataclasses.dataclass
class Scene:
    rates: Rates
    settings: planner.PlanSettings
    load_settings: load_view.LoadSettings
    seed: int = 1

    def __post_init__(self) -> None:
        self.now_s = 0.0
        self.moved_keys = 0
        self.moves_count = 0
        self.largest_plan = 0
        self.chance = random.Random(self.seed)
        self.servers = [make_server(f"s{n}", 2) for n in range(len(SPEEDS))]
        self.true_capacities = {
            server.server_id: 2 * speed / WORK_S
            for server, speed in zip(self.servers, SPEEDS, strict=True)
        }
        self._reports = collections.deque()
        self.start_leader()
        self.ranges: tuple[keymap.KeyRange, ...] = (
            keymap.KeyRange(0, keymap.LAST_KEY, keymap.NO_SERVER, 0),
        )
        for move in planner.plan_initial(self.capacities()):
            self.ranges = keymap.assign(self.ranges, *move, 0)
        self._settle()

    def start_leader(self) -> None:
        self.view = load_view.LoadView(self.load_settings)
        self.rebalancer = rebalancing.Rebalancer(
            ids.ServiceName("rapor"),
            self.view,
            support.make_journal(support.ManualClock()),
            metrics.Metrics(),
        )

    def capacities(self) -> dict[ids.ServerId, float]:
        return self.view.capacities(self.servers)

    def _settle(self) -> None:
        self.ranges = keymap.merge_neighbours(
            r._replace(previous_owner=keymap.NO_SERVER, token=0)
            if self.now_s >= r.token / 1_000
            else r
            for r in self.ranges
        )
        self._starts = [r.first_key for r in self.ranges]

    def server_rates(self) -> dict[ids.ServerId, float]:
        rates = dict.fromkeys(self.true_capacities, 0.0)
        for key, rate in self.rates.items():
            rates[self.holder_of(key)] += rate
        return rates

    def holder_of(self, key: int) -> ids.ServerId:
        found = self.ranges[bisect.bisect_right(self._starts, key) - 1]
        return found.previous_owner or found.owner

    def excess_ratio(self) -> float:
        """Returns the share of the load beyond what the servers can process.

        What a single key has beyond its server's capacity is left out.
        """
        excess = sum(
            max(rate - self.true_capacities[server_id], 0.0)
            for server_id, rate in self.server_rates().items()
        )
        for key, rate in self.rates.items():
            if rate > min(self.true_capacities.values()):
                capacity = self.true_capacities[self.holder_of(key)]
                excess -= max(rate - capacity, 0.0)
        return excess / sum(self.rates.values())

    def waiting_ratio(self) -> float:
        """Returns the share of requests that wait for a slot, or are beyond."""
        waiting = 0.0
        for server_id, rate in self.server_rates().items():
            utilization = min(rate / self.true_capacities[server_id], 0.999)
            waiting += rate * few_slots.compute_wait_ratio(2, utilization)
        return waiting / sum(self.rates.values())

    def run(self, duration_s: float) -> tuple[float, float]:
        """Runs for some time; returns the mean excess and waiting ratios."""
        results = []
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            results.append((self.excess_ratio(), self.waiting_ratio()))
            self._report()
            self.now_s += STEP_S
            self._settle()
            self._plan()
        excess, waiting = zip(*results, strict=True)
        return sum(excess) / len(excess), sum(waiting) / len(waiting)

    def _report(self) -> None:
        counts = {
            key: self._draw_poisson(rate * STEP_S)
            for key, rate in self.rates.items()
        }
        arrived = dict.fromkeys(self.true_capacities, 0)
        for key, count in counts.items():
            arrived[self.holder_of(key)] += count
        answers = []
        for server, speed in zip(self.servers, SPEEDS, strict=True):
            busy_s, count = 0.0, 0
            while count < arrived[server.server_id] and busy_s < 2 * STEP_S:
                tail = 5.0 if self.chance.random() < 0.02 else 0.9
                work_s = self.chance.gammavariate(2.0, WORK_S / 2)
                busy_s += tail * work_s / speed
                count += 1
            if count:
                answers.append(
                    load.ServerCount(server.server_id, count, busy_s)
                )
        keys = [load.KeyCount(key, n) for key, n in counts.items() if n]
        self._reports.append((tuple(keys), tuple(answers)))
        if len(self._reports) > REPORT_DELAY_STEPS:
            self.view.add_report(*self._reports.popleft())

    def _draw_poisson(self, mean: float) -> int:
        count = 0
        left = mean - self.chance.expovariate(1.0)
        while left > 0:
            count += 1
            left -= self.chance.expovariate(1.0)
        return count

    def _plan(self) -> None:
        self.view.advance(self.servers, self.now_s)
        limit = self.settings.max_moves(len(SPEEDS), many_idle=True)
        if sum(bool(r.previous_owner) for r in self.ranges) >= limit:
            return
        plan = self.rebalancer.plan(
            self.ranges,
            self.capacities(),
            self.settings,
            lambda _: True,
            self.now_s,
        )
        self.rebalancer.note_made(plan, self.settings, self.now_s)
        for move in plan.moves:
            # A move waits for the longest request on its keys.
            move_s = MOVE_MIN_S + self.chance.expovariate(1 / (2 * WORK_S))
            token = round((self.now_s + move_s) * 1_000)
            self.moved_keys += move.last_key - move.first_key + 1
            self.ranges = keymap.assign(self.ranges, *move, token)
        self._starts = [r.first_key for r in self.ranges]
        self.moves_count += len(plan.moves)
        self.largest_plan = max(self.largest_plan, len(plan.moves))


USUAL = (planner.PlanSettings(), load_view.LoadSettings())
FEW_SLOTS = (few_slots.make_plan_settings(2), few_slots.LOAD_SETTINGS)


def _measure(settings, seed: int) -> list[float]:
    rates = clustered_rates(random.Random(seed), 325.0)
    scene = Scene(rates, *settings, seed=seed)
    figures: list[float] = []
    for shift in (False, True):
        if shift:
            scene.rates = with_share(scene.rates, range(3_000, 3_200), 0.45)
        scene.moves_count = scene.moved_keys = 0
        scene.run(1.0)
        for duration_s in (1.0, 3.0, 5.0):
            figures += scene.run(duration_s)
        figures += [scene.moves_count, scene.moved_keys / keymap.LAST_KEY]
    return figures


if __name__ == "__main__":
    for name, settings in (("usual", USUAL), ("few slots", FEW_SLOTS)):
        runs = [_measure(settings, seed) for seed in range(1, 9)]
        means = [sum(column) / len(runs) for column in zip(*runs, strict=True)]
        print(name, *(f"{mean:.3f}" for mean in means))
