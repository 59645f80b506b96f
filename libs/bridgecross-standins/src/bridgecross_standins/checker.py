"""Checks the journals of the backend servers for violated guarantees.

The checker doesn't depend on how the router works. It reads only what the
servers did, with the machine's monotonic times, and what callers were told.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from bridgecross_standins import backend_standin

JournalEntry = backend_standin.JournalEntry


class Violation(NamedTuple):
    """A violation of a guarantee."""

    rule: str
    detail: str


def list_executed(journal: Iterable[JournalEntry]) -> list[JournalEntry]:
    """Returns the requests that took effect, in the order of their effects."""
    executed = [
        e for e in journal if e.result is backend_standin.RequestResult.RAN
    ]
    return sorted(executed, key=lambda entry: entry.ended_s)


def check_owners(journal: Iterable[JournalEntry]) -> list[Violation]:
    """Returns a violation for each effect that a server had as a former owner.

    A request takes effect at its end. An effect under a lower token after one
    under a higher token means that a former owner kept serving after the key
    had a new owner. The exception is a server that has both tokens: it gets a
    higher one when its queue owner changes, and no other server owned the slice
    in between, as the higher token would then be that server's.
    """
    violations = []
    newest: dict[tuple[str, int], JournalEntry] = {}
    for entry in list_executed(journal):
        owned = (entry.service, entry.slice)
        last = newest.get(owned)
        if last is None or entry.server == last.server:
            if last is None or entry.token >= last.token:
                newest[owned] = entry
        elif entry.token < last.token:
            violations.append(
                Violation(
                    "one owner a key",
                    f"{entry.server} acted on slice {entry.slice} of "
                    f"{entry.service} under token {entry.token} "
                    f"{entry.ended_s - last.ended_s:.3f} s after "
                    f"{last.server} did under {last.token}",
                )
            )
        elif entry.token == last.token:
            violations.append(
                Violation(
                    "one owner a key",
                    f"{entry.server} and {last.server} both acted on slice "
                    f"{entry.slice} of {entry.service} under {entry.token}",
                )
            )
        else:
            newest[owned] = entry
    return violations


def check_single_runs(journal: Iterable[JournalEntry]) -> list[Violation]:
    """Returns a violation for each non-repeatable request that ran twice."""
    run_counts = collections.Counter(
        (entry.service, entry.idempotency_key)
        for entry in list_executed(journal)
        if entry.idempotency_key and entry.method == "POST"
    )
    return [
        Violation("at most once", f"{key} of {service} ran {count} times")
        for (service, key), count in run_counts.items()
        if count > 1
    ]


def check_not_run(
    journal: Iterable[JournalEntry], told_not_run: Sequence[str]
) -> list[Violation]:
    """Returns a violation for each request that ran but was reported not run.

    Args:
        journal: The entries of the servers' journals.
        told_not_run: The ids of the requests whose callers got the outcome
            "not run".
    """
    executed_ids = {entry.request_id for entry in list_executed(journal)}
    return [
        Violation("not run is true", f"{request_id} was run")
        for request_id in told_not_run
        if request_id in executed_ids
    ]
