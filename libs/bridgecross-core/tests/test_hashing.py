from bridgecross_core import hashing


def test_slices_cover_the_range_evenly():
    counts = [0] * 16
    for number in range(16_000):
        counts[hashing.find_slice(f"key-{number}", 16)] += 1
    assert min(counts) > 850
    assert max(counts) < 1_150


def test_rank_loses_only_the_subjects_of_a_lost_candidate():
    candidates = [f"entry-{i}" for i in range(10)]
    kept = [c for c in candidates if c != "entry-3"]
    for number in range(200):
        subject = f"service-{number}"
        before = hashing.rank_by_rendezvous(subject, candidates)
        after = hashing.rank_by_rendezvous(subject, kept)
        assert [c for c in before if c != "entry-3"] == after
