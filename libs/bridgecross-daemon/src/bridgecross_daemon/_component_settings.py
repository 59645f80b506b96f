"""Derives the settings of each component from the settings of a service."""

from bridgecross_ownership import coordinator as coordinators
from bridgecross_ownership import lease_manager
from bridgecross_request import backends
from bridgecross_request import queueing
from bridgecross_request import retries
from bridgecross_request import runner as runners
from bridgecross_settings import policy as policies
from bridgecross_settings import tree


def lease_manager_settings(
    policy: policies.Policy,
) -> lease_manager.LeaseManagerSettings:
    """Returns the settings of the service's lease managers."""
    return lease_manager.LeaseManagerSettings(
        checks_fences=policy.checks_fences,
        lease_ms=policy.lease_ms,
        renew_interval_ms=policy.renew_interval_ms,
        renew_misses=policy.renew_misses,
        max_deadline_ms=policy.max_deadline_ms,
        clock_drift_ratio=policy.clock_drift_ratio,
    )


def coordinator_settings(
    policy: policies.Policy,
) -> coordinators.CoordinatorSettings:
    """Returns the settings of the service's coordinator."""
    return coordinators.CoordinatorSettings(
        slice_count=policy.slice_count,
        heartbeat_interval_ms=policy.heartbeat_interval_ms,
        heartbeat_misses=policy.heartbeat_misses,
        imbalance_target_ratio=policy.imbalance_target_ratio,
        churn_budget_slices_per_min=policy.churn_budget_slices_per_min,
        eviction_limit_ratio=policy.eviction_limit_ratio,
    )


def runner_settings(service: tree.Service) -> runners.RunnerSettings:
    """Returns the settings of the service's runner."""
    policy = service.policy
    return runners.RunnerSettings(
        slots_per_server=policy.slots_per_server,
        starvation_share_ratio=policy.starvation_share_ratio,
        tiers={
            tier.name: queueing.QueueTier(
                tier.name, tier.priority, tier.policy.queue_requests
            )
            for tier in service.tiers.values()
        },
    )


def retry_settings(policy: policies.Policy) -> retries.RetrySettings:
    """Returns the settings of the service's retries."""
    return retries.RetrySettings(
        budget_ratio=policy.retry_budget_ratio,
        max_attempts=policy.max_attempts,
    )


def backend_settings(policy: policies.Policy) -> backends.BackendSettings:
    """Returns the settings of the connections to the service's servers."""
    return backends.BackendSettings(
        connections_per_server=policy.connections_per_server,
        max_body_bytes=policy.max_body_bytes,
    )
