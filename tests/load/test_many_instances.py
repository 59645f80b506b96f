"""Tests permits with hundreds of instances and few requests at each.

There are 195 instances in four failure domains. The first service has 77
servers of unequal speed, each with 4 slots and a queue of 16; requests beyond
these are reset. A request takes 0.64 s of work; its answer has a value of 1
within 2 s and 0.5 later. The servers are 0.77 utilized on a calm day and asked
for 1.3 times their capacity in a surge. The second service is partitioned by
key and has 124 servers and 0.49 s of work a request.

Each instance receives two requests a second and calls a given server once in
40 s. From its own requests alone it cannot determine which servers are fast or
how many requests other instances send. Each bound is midway between the value
ratios achieved without and with permits; the comment beside it gives both.
"""

import dataclasses

import pytest

from tests.load import loads
from tests.load import simulation

_INSTANCES = 195
FILING = simulation.ServerKind(
    "filing", (0.6, 1.0, 1.4) * 25 + (1.0, 1.0), 4, 16, "reset"
)
ARCHIVE = simulation.ServerKind(
    "archive", (0.6, 1.0, 1.4) * 41 + (1.0,), 4, 16, "reset", keyed=True
)
FILE = simulation.CallerKind(
    "file", "filing", 369, 0.644, 2.02, 5.0, 4.0, False, 1, 2, 1, retries=1
)
CERTIFY = simulation.CallerKind(
    "certify", "filing", 150, 0.345, 1.02, 2.5, 2.0, False, 0, 3, 1.5, retries=1
)
READ = simulation.CallerKind(
    "read", "archive", 772, 0.492, 1.51, 4.0, 3.0, True, 1, 1, 0.5, retries=1
)


def _load(
    *callers: simulation.CallerKind, **changes: object
) -> simulation.Load:
    """Returns a load with the services that the callers use."""
    names = {caller.service for caller in callers}
    kinds = tuple(k for k in (FILING, ARCHIVE) if k.name in names)
    changes = {"instance_count": _INSTANCES, "length_s": 8.0, **changes}
    return simulation.Load(kinds, callers, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("load", "min_ratio"),
    [
        # 0.715 to 0.993.
        pytest.param(_load(FILE), 0.85, id="calm"),
        # 0.529 to 0.863.
        pytest.param(_load(loads.scaled(FILE, 1.7)), 0.70, id="surge"),
    ],
)
def test_hundreds_of_instances_use_capacity_of_servers(load, min_ratio):
    report = simulation.run(load)
    assert report.total.ratio > min_ratio
    # Without permits, 192 and 434 requests were dropped by full servers.
    assert report.dropped_count == 0


def test_higher_priority_is_served_first_across_instances():
    report = simulation.run(_load(FILE, CERTIFY))
    # 0.568 to 0.987, and 0.758 to 0.991.
    assert report.kinds["certify"].ratio > 0.78
    assert report.kinds["file"].ratio > 0.87


def test_permits_raise_value_although_issuers_hang():
    """Issuers hang for three of eight seconds; instances continue without."""
    report = simulation.run(_load(FILE, issuers_frozen_s=(2.0, 5.0)))
    # 0.715 to 0.843.
    assert report.total.ratio > 0.78


def test_owner_of_hot_key_drops_no_requests():
    hot = dataclasses.replace(READ, hot_key_share=0.05)
    report = simulation.run(_load(hot, hot_key_s=(2.0, 6.0)))
    # 0.956 to 0.959; 268 requests were dropped without permits.
    assert report.total.ratio > 0.95
    assert report.dropped_count == 0


def test_permits_take_few_messages_per_attempt():
    report = simulation.run(_load(FILE))
    # Measured: 1.96 an attempt. An attempt takes a request and a return of a
    # permit, and none if the issuer is in the same instance.
    assert report.permit_messages_count < 2.5 * report.attempts_count


def _run_both(
    load: simulation.Load,
) -> tuple[simulation.Report, simulation.Report]:
    """Simulates a load without permits and with them."""
    alone = dataclasses.replace(load, with_permits=False)
    return simulation.run(alone), simulation.run(load)


def main() -> None:
    """Prints the value ratios without and with permits by instance count."""
    cases = {
        "filing, calm": _load(FILE),
        "filing, surge": _load(loads.scaled(FILE, 1.7)),
        "two tiers, surge": _load(FILE, CERTIFY),
        "archive, calm": _load(READ),
        "archive, hot key": _load(
            dataclasses.replace(READ, hot_key_share=0.05), hot_key_s=(2.0, 6.0)
        ),
        "archive, surge": _load(loads.scaled(READ, 1.5)),
    }
    for name, load in cases.items():
        for count in (12, 71, 195):
            sized = dataclasses.replace(
                load, instance_count=count, with_permits=True
            )
            alone, with_permits = _run_both(sized)
            print(
                f"{name:18} {count:4}"
                f" {alone.total.ratio:.3f} {with_permits.total.ratio:.3f}"
                f" dropped {alone.dropped_count:5}"
                f" {with_permits.dropped_count:5}"
                f" messages {with_permits.permit_messages_count:6}"
                f" attempts {with_permits.attempts_count:6}",
                {
                    kind: (
                        round(alone.kinds[kind].ratio, 3),
                        round(totals.ratio, 3),
                    )
                    for kind, totals in with_permits.kinds.items()
                },
                flush=True,
            )


if __name__ == "__main__":
    main()
