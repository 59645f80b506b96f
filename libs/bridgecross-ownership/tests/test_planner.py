import collections

from bridgecross_core import ids
from bridgecross_ownership import cell as cells
from bridgecross_ownership import planner


def _other(queue_owner: str, instances: str) -> tuple[ids.InstanceId, ...]:
    return tuple(ids.InstanceId(i) for i in instances if i != queue_owner)


USABLE = planner.Eligibility.USABLE
HELD = planner.Eligibility.HELD
UNUSABLE = planner.Eligibility.UNUSABLE
SETTINGS = planner.PlannerSettings(
    imbalance_target_ratio=1.2, balance_moves=100
)


def _other(queue_owner: str, instances: str) -> tuple[ids.InstanceId, ...]:
    return tuple(ids.InstanceId(i) for i in instances if i != queue_owner)


def _cell(
    owners: list[str],
    queue_owners: dict[str, str],
    backups: dict[str, str] | None = None,
) -> cells.Cell:
    cell = cells.Cell(ids.ServiceName("rapor"))
    cell.restore(
        cells.CellSnapshot(
            service=cell.service,
            term=ids.Term(0),
            coordinator=ids.InstanceId("a"),
            head=ids.Offset(1),
            slices=[
                cells.SliceState(ids.ServerId(o), ids.Token(1), ())
                for o in owners
            ],
            queue_owners={
                ids.ServerId(s): cells.QueueOwnerState(
                    ids.InstanceId(f),
                    ids.Token(1),
                    _other(f, "ab"),
                    ids.ServerId((backups or {}).get(s, "")),
                    (),
                )
                for s, f in queue_owners.items()
            },
        )
    )
    return cell


def _plan(
    owners: list[str],
    servers: dict[str, planner.Eligibility],
    *,
    loads: dict[int, float] | None = None,
    instances: tuple[str, ...] = ("a", "b"),
    queue_owners: dict[str, str] | None = None,
    settings: planner.PlannerSettings = SETTINGS,
    unfit: set[planner.UnfitQueueOwner] | None = None,
    domains: dict[str, str] | None = None,
    backups: dict[str, str] | None = None,
    handed_over: tuple[int, ...] = (),
    unaccepted: str = "",
) -> planner.Plan:
    spread = {s: instances[i % len(instances)] for i, s in enumerate(servers)}
    names = list(servers)
    following = dict(zip(names, [*names[1:], names[0]], strict=True))
    cell = _cell(
        owners,
        spread if queue_owners is None else queue_owners,
        backups or following,
    )
    if unaccepted:
        server = ids.ServerId(unaccepted)
        earlier = cells.EarlierQueueOwner(ids.InstanceId("z"), ids.Token(0), ())
        cell.queue_owners[server] = cell.queue_owners[server]._replace(
            earlier=(earlier,)
        )
    view = planner.PlannerView(
        cell=cell,
        servers={ids.ServerId(s): st for s, st in servers.items()},
        instances=[ids.InstanceId(i) for i in instances],
        domains=domains or {},
        loads={ids.SliceIndex(i): v for i, v in (loads or {}).items()},
        unfit_queue_owners=unfit or set(),
        handed_over={ids.SliceIndex(i) for i in handed_over},
    )
    return planner.plan(view, settings)


def test_a_balanced_service_is_not_changed():
    owners = ["s1", "s2"] * 8
    assert _plan(owners, {"s1": USABLE, "s2": USABLE}).is_empty


def test_only_the_slices_of_a_lost_server_move():
    owners = ["s1", "s2", "s3"] * 8
    plan = _plan(owners, {"s1": UNUSABLE, "s2": USABLE, "s3": USABLE})
    assert set(plan.moves) == {i for i, o in enumerate(owners) if o == "s1"}
    assert sorted(plan.moves.values()).count(ids.ServerId("s2")) == 4
    assert plan.balanced == 0


def test_a_suspected_server_keeps_its_slices_and_gets_none():
    owners = ["s1", "s2", ""] * 4
    plan = _plan(owners, {"s1": HELD, "s2": USABLE})
    assert set(plan.moves.values()) == {ids.ServerId("s2")}
    assert len(plan.moves) == 4


def test_without_a_usable_server_nothing_moves():
    assert not _plan(["s1"] * 4, {"s1": UNUSABLE, "s2": HELD}).moves


def test_a_returned_server_gets_its_share():
    owners = ["s1", "s2"] * 12
    servers = {"s1": USABLE, "s2": USABLE, "s3": USABLE}
    plan = _plan(owners, servers)
    assert set(plan.moves.values()) == {ids.ServerId("s3")}
    assert 6 <= len(plan.moves) <= 8


def test_balance_moves_stay_within_the_budget():
    owners = ["s1"] * 24 + ["s2"]
    settings = SETTINGS._replace(balance_moves=3)
    plan = _plan(owners, {"s1": USABLE, "s2": USABLE}, settings=settings)
    assert plan.balanced == 3


def test_balance_does_not_wait_for_an_earlier_queue_owner():
    owners = ["s1"] * 24 + ["s2"]
    servers = {"s1": USABLE, "s2": USABLE}
    assert _plan(owners, servers).balanced > 0
    assert _plan(owners, servers, unaccepted="s1").balanced == 0
    lost = {"s1": UNUSABLE, "s2": USABLE}
    assert _plan(owners, lost, unaccepted="s1").restored == 24


def test_the_fewest_slices_move_off_a_loaded_server():
    owners = ["s1"] * 8 + ["s2"] * 8
    loads = {0: 400.0, 1: 400.0, 8: 100.0}
    plan = _plan(owners, {"s1": USABLE, "s2": USABLE}, loads=loads)
    assert len(plan.moves) == 1
    assert next(iter(plan.moves)) in {0, 1}


def test_a_single_hot_slice_is_not_moved():
    owners = ["s1"] * 8 + ["s2"] * 8
    plan = _plan(owners, {"s1": USABLE, "s2": USABLE}, loads={0: 100_000.0})
    assert 0 not in plan.moves


def test_a_few_requests_cause_no_move():
    owners = ["s1", "s2"] * 20
    plan = _plan(owners, {"s1": USABLE, "s2": USABLE}, loads={0: 0.4, 2: 0.4})
    assert plan.is_empty


def test_only_servers_of_a_lost_instance_change_queue_owner():
    servers = {f"s{i}": USABLE for i in range(6)}
    queue_owners = {f"s{i}": "abc"[i % 3] for i in range(6)}
    plan = _plan(
        [f"s{i % 6}" for i in range(24)],
        servers,
        instances=("a", "b"),
        queue_owners=queue_owners,
    )
    changed = {change.server: change.instance for change in plan.queue_owners}
    assert set(changed) == {s for s, f in queue_owners.items() if f == "c"}
    assert set(changed.values()) == {"a", "b"}


def test_an_unfit_queue_owner_is_replaced_once():
    unfit = {planner.UnfitQueueOwner(ids.ServerId("s1"), ids.InstanceId("a"))}
    plan = _plan(["s1"], {"s1": HELD}, queue_owners={"s1": "a"}, unfit=unfit)
    assert [(c.server, c.instance) for c in plan.queue_owners] == [("s1", "b")]
    alone = _plan(
        ["s1"],
        {"s1": HELD},
        queue_owners={"s1": "a"},
        unfit=unfit,
        instances=("a",),
    )
    assert all(change.instance == "a" for change in alone.queue_owners)


def test_no_domain_holds_a_server_with_its_queue_owner_or_that_with_witnesses():
    names = [f"e{i}" for i in range(9)]
    servers = {f"s{i}": USABLE for i in range(30)}
    domains = {n: "xyz"[i % 3] for i, n in enumerate([*names, *servers])}
    plan = _plan(
        list(servers),
        servers,
        instances=tuple(names),
        queue_owners={},
        domains=domains,
    )
    assert len(plan.queue_owners) == 30
    counts = collections.Counter(
        change.instance for change in plan.queue_owners
    )
    assert max(counts.values()) <= 4
    for change in plan.queue_owners:
        assert domains[change.instance] != domains[change.server]
        assert len(change.witnesses) == 2
        for witness in change.witnesses:
            assert domains[witness] != domains[change.instance]


def test_a_backup_is_usable_in_another_domain_and_kept():
    servers = {"s1": USABLE, "s2": USABLE, "s3": USABLE, "s4": UNUSABLE}
    domains = {"s1": "x", "s2": "x", "s3": "y", "s4": "y"}
    plan = _plan(
        ["s1"],
        servers,
        domains=domains,
        backups={"s1": "s4", "s2": "s1", "s3": "s1", "s4": "s1"},
    )
    assert [(c.server, c.backup) for c in plan.queue_owners] == [("s1", "s3")]


def test_a_slice_that_was_handed_over_gets_an_owner():
    owners = ["s1", "s2"] * 4
    servers = {"s1": USABLE, "s2": USABLE}
    plan = _plan(owners, servers, handed_over=(2,))
    assert set(plan.moves) == {2}


def test_a_lost_witness_is_replaced_and_the_queue_owner_kept():
    servers = {"s1": USABLE}
    plan = _plan(
        ["s1"], servers, instances=("a", "c"), queue_owners={"s1": "a"}
    )
    (change,) = plan.queue_owners
    assert (change.instance, change.witnesses) == ("a", ("c",))


def test_a_server_that_is_gone_is_retired_once_it_holds_nothing():
    queue_owners = {"s1": "a", "s2": "b"}
    assert _plan(["s1"], {"s1": USABLE}, queue_owners=queue_owners).retired == [
        "s2"
    ]
    held = _plan(["s2"], {"s1": USABLE}, queue_owners=queue_owners)
    assert held.retired == []
