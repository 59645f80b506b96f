from bridgecross_core import hashing


def test_keys_are_spread_evenly_over_slices():
    counts = [0] * 16
    for number in range(16_000):
        counts[hashing.find_slice(f"key-{number}", 16)] += 1
    assert min(counts) > 850
    assert max(counts) < 1_150


def test_the_loss_of_a_candidate_keeps_the_order_of_the_others():
    candidates = [f"entry-{i}" for i in range(10)]
    remaining = [c for c in candidates if c != "entry-3"]
    for number in range(200):
        subject = f"service-{number}"
        before = hashing.rank_by_rendezvous(subject, candidates)
        after = hashing.rank_by_rendezvous(subject, remaining)
        assert [c for c in before if c != "entry-3"] == after
