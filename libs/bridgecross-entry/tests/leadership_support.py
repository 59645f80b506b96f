"""Instances whose leadership a test drives, and their settings."""

import dataclasses

import entry_support as support
import pytest

from bridgecross_entry import leadership
from bridgecross_entry import log
from bridgecross_entry import model
from bridgecross_entry import relay_rounds

SETTINGS = leadership.LeadershipSettings(
    heartbeat_timeout_s=0.15,
    first_heartbeat_timeout_s=0.2,
    claim_interval_s=0.02,
    retry_pause_s=0.05,
    check_interval_s=0.01,
    log_lost_interval_s=0.1,
)


def make_address(number):
    return model.Address("127.0.0.1", 7_000 + number)


def make_round(
    term,
    sent_s,
    others_count,
    *,
    accepted=0,
    restarted=0,
    refused=0,
    disputed=False,
    own=0,
):
    """Returns a round in which the first others accepted.

    The last ones have just started, and those before them refuse connections.
    """
    count = others_count + 1
    others = [make_address(n) for n in range(count) if n != own]
    running = others[: others_count - restarted]
    return relay_rounds.RelayRound(
        term,
        sent_s,
        frozenset(others),
        frozenset(others[:accepted]),
        restarted=frozenset(others[others_count - restarted :]),
        refused=frozenset(running[len(running) - refused :]),
        is_disputed=disputed,
    )


def list_claims(platform_log):
    """Returns the records of claims, without those of voters."""
    records = platform_log.records[leadership.TOPIC]
    return [record for record in records if record.key == leadership._KEY]


def name_voters(leading):
    """Names the voters, as ``run`` does at its next check."""
    if leading.is_leader and leading._last_round is not None:
        call = leading._name_voters(leading._last_round)
        # It waits for nothing.
        with pytest.raises(StopIteration):
            call.send(None)


def make_leadership(number, platform_log, clock, count=5):
    addresses = [make_address(n) for n in range(count)]
    return leadership.Leadership(
        SETTINGS,
        dataclasses.replace(
            support.INSTANCE,
            name=f"entry-{number}",
            peer_address=addresses[number],
        ),
        platform_log,
        lambda: addresses,
        lambda: [],
        lambda: False,
        lambda: None,
        support.make_journal(clock),
        clock,
    )


def write_claim(platform_log, claim):
    value = leadership._CLAIMS.encode(claim)
    record = log.KeyedRecord(leadership._KEY, value)
    platform_log.records[leadership.TOPIC].append(record)
