"""State and ports that the filters of forwarded calls use."""

from collections import abc
import typing

import attrs

from pistachioseam import events
from pistachioseam import filter_chains
from pistachioseam.forwarding import brittleness
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import doubts
from pistachioseam.forwarding import faults
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import paces
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import repeats
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam import health
from pistachioseam import interfaces
from pistachioseam import links
from pistachioseam.placement import rendezvous
from pistachioseam import quarantine
from pistachioseam import response_budgets


Target: typing.TypeAlias = catalog.LiveTarget


@attrs.define(kw_only=True)
class CallRouter:
    """State and ports with which one host routes forwarded calls.

    `read_boot_clock` returns seconds since boot, suspended time included.
    `max_weights_lag_seconds` bounds how long calls may be sent to a weights
    version after it was replaced, `max_begin_lag_seconds` how long they may
    begin to run on it, `max_run_lag_seconds` how long engines may work on
    those that were sent after it was replaced. `cache_store_epochs` holds the
    epoch of each KV cache store by address. `targets_freshness` holds the time
    up to which the entries of targets are known. `busy_until` holds, by target
    name, the monotonic time until which other targets are preferred because
    this one rejected a call as busy. `restore_listeners` are called once when
    the platform's store has been restored from an older copy, in `store_era`.
    `response_budget` bounds what is held of targets' responses.
    `is_cut_off` returns whether this host reaches no target. `coordinators`
    admit model calls to engines, None if this host has no peers.
    `prefill_listeners` are called when a call makes
    an engine prefill tokens that other calls share.
    """

    runtime: interfaces.Runtime
    read_boot_clock: abc.Callable[[], float]
    random: interfaces.RandomSource
    sink: interfaces.EventSink
    connections: ports.TargetConnections
    topology: links.Topology
    desired: known_versions.DesiredStateCache
    weights: known_versions.WeightsTracker
    targets_freshness: freshness.Freshness = attrs.field(
        factory=lambda: freshness.Freshness(notices.DEFAULT_DRAIN_SECONDS)
    )
    freshness: freshness.Freshness
    catalog: catalog.TargetCatalog
    loads: loads.LoadTracker
    budget: budgets.RetryBudgetShare
    health: health.HealthTracker
    quarantine: quarantine.Quarantine
    crash_evidence: crash_evidence.CrashEvidence
    crash_records: crash_records.CrashRecords
    notices: notices.TargetNotices
    rate_limits: rate_limits.RateLimits
    permits: rate_permits.PermitClient
    quotas: quotas.QuotaClient
    brittleness: brittleness.BrittleTargets
    stream_origins: stream_origins.StreamOrigins
    software: software_versions.SoftwareVersions
    max_weights_lag_seconds: float = float('inf')
    max_begin_lag_seconds: float = float('inf')
    max_run_lag_seconds: float = float('inf')
    cache_models: residency.CacheModels = attrs.field(
        factory=residency.CacheModels
    )
    cache_store_epochs: dict[str, int] = attrs.field(factory=dict)
    failure_tracker: faults.FailureTracker = attrs.field(
        factory=faults.FailureTracker
    )
    slowdown_tracker: paces.SlowdownTracker = attrs.field(
        factory=paces.SlowdownTracker
    )
    response_budget: response_budgets.ResponseBudget = attrs.field(
        factory=response_budgets.ResponseBudget
    )
    is_cut_off: abc.Callable[[], bool] = lambda: False
    coordinators: coordinator_clients.CoordinatorClient | None = None
    prefill_listeners: list[abc.Callable[[], None]] = attrs.field(factory=list)
    rendezvous_hash: rendezvous.RendezvousHash = attrs.field(
        factory=rendezvous.RendezvousHash
    )
    busy_until: dict[str, float] = attrs.field(factory=dict)
    in_progress: repeats.CallsInProgress = attrs.field(
        factory=repeats.CallsInProgress
    )
    restore_listeners: list[abc.Callable[[], None]] = attrs.field(factory=list)
    store_era: int = 0
    target_doubts: doubts.TargetDoubts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follow what targets say in their responses."""
        self.target_doubts = doubts.TargetDoubts(self.read_boot_clock)
        self.connections.add_listener(self.record_response)
        self.catalog.add_listener(
            lambda target: self.forget_incarnation(target.get_incarnation())
        )
        self.catalog.add_listener(
            lambda target: self.target_doubts.forget(target.address)
        )

    def record_store_restored(self, era: int) -> None:
        """Record that a read found the store in a later era."""
        if era <= self.store_era:
            return
        self.store_era = era
        self.sink.emit(events.Event.STORE_RESTORED, era=era)
        for listener in self.restore_listeners:
            listener()

    def record_response(self, received: ports.ReceivedHead) -> None:
        """Record what the head of a response says about its target.

        A target that is in no list, as a KV cache store, is known by its
        address. Of a late copy only the leaving counts: what else it asks for
        was recorded with the first one, and may be over.
        """
        head = received.head
        if received.is_passed_over():
            self.sink.emit(
                events.Event.RESPONSE_PASSED_OVER,
                request_id=received.awaited_request_id,
                target=received.incarnation,
                response_id=head.request_id,
                status=head.status,
                connection=received.connection,
            )
        target = self.catalog.get(
            head.other_incarnation or received.incarnation
        )
        incarnation = (
            target.get_incarnation() if target else (received.address, 0)
        )
        now = self.runtime.now()
        if received.is_passed_over():
            if head.is_leaving:
                self.notices.record_leaving(incarnation, now)
            return
        self.notices.record(incarnation, notices.read_notice(head), now)
        self.rate_limits.record_response(incarnation, received, now)
        if target is not None:
            self.brittleness.record_response(target, received, now)

    def forget_incarnation(self, incarnation: tuple[str, int]) -> None:
        """Drop what an incarnation that has ended has said."""
        self.notices.forget(incarnation)
        self.rate_limits.forget(incarnation)
        self.permits.forget(incarnation)
        self.brittleness.forget(incarnation)

    def is_doubtful(self, target: Target) -> bool:
        """Return whether a target may have restarted since its entry was read.

        A host that reaches no target knows nothing of connections.
        """
        return not self.is_cut_off() and self.target_doubts.is_doubtful(
            target.address, self.targets_freshness.confirmed_at
        )

    def has_many_hosts(self) -> bool:
        """Return whether leaders relay statuses, as in a large fleet."""
        return self.coordinators is not None and self.coordinators.is_enabled()

    def get_pause_seconds(self, target: Target, now: float) -> float:
        """Return for how long a target takes no calls of this host, 0 if any.

        It has asked for a pause, it is brittle and full, or this host has no
        permit under its limit.
        """
        incarnation = target.get_incarnation()
        pause_seconds = max(
            self.notices.get_pause_seconds(incarnation, now),
            self.brittleness.get_pause_seconds(target, now),
        )
        if self.rate_limits.get(incarnation) is None:
            return pause_seconds
        return max(
            pause_seconds, self.permits.get_block_seconds(incarnation, now)
        )


CALL_FILTER_ORDER = ('inform', 'match', 'authenticate', 'resume', 'forward')
filters: filter_chains.FilterChain[calls.Call, CallRouter] = (
    filter_chains.FilterChain(CALL_FILTER_ORDER)
)
register = filters.register
run_filters = filters.run
