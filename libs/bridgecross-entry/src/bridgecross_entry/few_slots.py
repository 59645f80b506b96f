"""Settings for planning among servers that have few slots.

Requests wait for a slot at a utilization that depends on the number of slots:
with two, every second one waits at 0.64, where with six only one in four does.
The thresholds follow from that number by the Erlang C formula.
"""

from collections.abc import Iterable
import functools
import math

from bridgecross_core import ids
from bridgecross_entry import load_view
from bridgecross_entry import model
from bridgecross_entry import planner
from bridgecross_entry import servers as servers_lib

LOAD_SETTINGS = load_view.LoadSettings(
    # What chance does is left to ``RebalanceLimits.min_errors``, so the window
    # need only be long enough to tell servers apart: with 6 requests/s to each,
    # the error is 14%.
    slow_window_s=4.0,
    # The speed of a server changes seldom: 20 s with 6 answers/s make an error
    # of 9%, if the duration of a request varies by about its mean.
    server_window_s=20.0,
    # The durations of single requests vary by about their mean, and the speeds
    # of a service's servers by about a third: so many answers of one server
    # tell as much about it as the mean of all servers does.
    prior_count=9.0,
)
"""How load is averaged for a service whose servers have few slots."""


def choose(
    usual: planner.PlanSettings,
    registry: servers_lib.ServerRegistry,
    service: ids.ServiceName,
    loads: load_view.LoadView,
    eligible: Iterable[model.BackendServer],
) -> planner.PlanSettings:
    """Returns the settings for a service; adapts how its load is averaged.

    The list of servers may become known after the first load reports, and may
    change, so this is called before each plan.
    """
    if not registry.has_few_slots(service):
        loads.use(None)
        return usual
    loads.use(LOAD_SETTINGS)
    slots = [server.slots for server in eligible]
    return make_plan_settings(max(round(sum(slots) / len(slots)), 1))


@functools.cache
def make_plan_settings(slots_count: int) -> planner.PlanSettings:
    """Returns thresholds for servers with so many slots."""
    quarter_waits = find_utilization(slots_count, 0.25)
    half_waits = find_utilization(slots_count, 0.5)
    return planner.PlanSettings(
        # Servers are relieved before half of their requests wait, and filled
        # until a quarter does.
        urgent=planner.RebalanceLimits(1.25, half_waits, quarter_waits, 0.5),
        steady=planner.RebalanceLimits(1.15, quarter_waits, 0.0, 2.0),
        idle_moves_ratio=1.0,
        # After a shift of half of the load to a few servers, the others have
        # about half of the mean.
        idle_ratio=0.6,
        # Chance alone shows a quarter of the servers below that, while few
        # requests have been counted.
        idle_servers_ratio=0.4,
        isolated_max_ratio=0.1,
        moved_per_min_ratio=1.0,
        # 1,024 moves a minute at most.
        move_min_key_count=64,
        # Two steps take a server from idle to full.
        fill_step_ratio=0.5,
    )


def compute_wait_ratio(slots_count: int, utilization: float) -> float:
    """Returns the share of requests that wait for a slot (Erlang C).

    Args:
        slots_count: The number of slots.
        utilization: The load relative to the capacity, below 1.
    """
    offered = slots_count * utilization
    none_waits = sum(offered**n / math.factorial(n) for n in range(slots_count))
    all_busy = offered**slots_count / math.factorial(slots_count)
    all_busy /= 1.0 - utilization
    return all_busy / (none_waits + all_busy)


def find_utilization(slots_count: int, wait_ratio: float) -> float:
    """Returns the utilization at which a share of the requests waits."""
    low, high = 0.0, 1.0
    for _ in range(30):
        middle = (low + high) / 2
        if compute_wait_ratio(slots_count, middle) < wait_ratio:
            low = middle
        else:
            high = middle
    return low
