"""Placement of a call on one of the live targets of its service."""

from collections import abc

from pistachioseam.forwarding import affinity_engines
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import engine_partitions
from pistachioseam.forwarding import faults
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection
from pistachioseam.forwarding import stream_origins
from pistachioseam.forwarding import transfers

OUTDATED_WEIGHTS_COST_SECONDS = 0.4
"""Cost of an engine whose weights are older than the newest version."""


def place_call(
    call: calls.Call, router: routers.CallRouter
) -> selection.Choice | None:
    """Return the cheapest eligible target, None if there is none."""
    eligible = list_eligible(call, router)
    if call.prompt is None or call.service is None:
        return selection.choose_target(
            eligible,
            lambda target: _score_service(router, target),
            router.random.random(),
        )
    partition = _find_partition(call, router)
    eligible = partition.filter_engines(eligible)
    ranked = affinity_engines.find_affinity_engines(
        call.prompt,
        eligible,
        router.rendezvous_hash,
        router.has_many_hosts(),
        router.catalog.list_service(call.service.name),
    )
    call.affinity_domain = ranked.domain if ranked.is_assumed else ''
    holder_lookup = plans.HolderLookup(call, router)
    return selection.choose_target(
        eligible,
        lambda target: _score_engine(
            call, router, target, ranked, partition, holder_lookup
        ),
        router.random.random(),
    )


def _find_partition(
    call: calls.Call, router: routers.CallRouter
) -> engine_partitions.Partition:
    """Return the engines of the service that the call may use.

    The route's priority decides, which tells short prompts from long ones; the
    account's priority is the same for both.
    """
    state = router.desired.state
    if state is None or not router.has_many_hosts():
        return engine_partitions.NO_PARTITION
    assert call.service is not None
    highest = state.prioritized_services.get(call.service.name)
    if highest is None or call.may_have_run:
        return engine_partitions.NO_PARTITION
    assert call.route is not None
    return engine_partitions.Partition(
        engine_partitions.list_interactive_engines(
            router.catalog.list_service(call.service.name),
            router.topology,
            router.rendezvous_hash,
        ),
        call.route.priority == highest,
    )


def list_eligible(
    call: calls.Call, router: routers.CallRouter
) -> list[catalog.LiveTarget]:
    """Return the ready targets with weights that calls may start on.

    Targets that take no calls, or that cannot go on with the call's stream,
    are left out. The others are narrowed by each
    preference that some of them meet, in this order: not leaving, still at
    work on the call, not tried by it, healthy, neither busy nor draining or
    loading.
    """
    now = router.runtime.now()
    ready = _list_ready(
        call, router, lambda target: _fits_stream(call, router, target)
    )
    ready = [
        target for target in ready if not router.notices.is_leaving(target)
    ] or ready
    if any(attempt.is_given_up for attempt in call.attempts):
        working = [
            target
            for target in ready
            if _may_work_on(call, target)
            and not router.weights.is_loading(target)
        ]
        if working:
            return working
    tried = {attempt.target.name for attempt in call.attempts}
    eligible = [
        target for target in ready if target.name not in tried
    ] or ready
    eligible = [
        target for target in eligible if router.health.is_usable(target.name)
    ] or eligible
    return [
        target
        for target in eligible
        if router.busy_until.get(target.name, 0.0) <= now
        and not router.weights.is_loading(target)
    ] or eligible


def _may_work_on(call: calls.Call, target: catalog.LiveTarget) -> bool:
    """Return whether an engine may still run the model call, given up there.

    Elsewhere the call would run at two engines. Only the first attempt counts,
    as an engine may break each of its responses.
    """
    if call.prompt is None:
        return False
    given_up = [
        attempt.is_given_up
        for attempt in call.attempts
        if attempt.target.get_incarnation() == target.get_incarnation()
    ]
    return given_up == [True]


def _list_ready(
    call: calls.Call,
    router: routers.CallRouter,
    fits_stream: abc.Callable[[catalog.LiveTarget], bool],
) -> list[catalog.LiveTarget]:
    assert call.service is not None
    now = router.runtime.now()
    ready = [
        target
        for target in router.catalog.list_service(call.service.name)
        if router.catalog.is_available(target)
        and router.notices.accepts_calls(target, now)
        and not router.get_pause_seconds(target, now)
        and fits_stream(target)
    ]
    return _filter_by_weights(call, router, ready)


def awaits_listing(call: calls.Call, router: routers.CallRouter) -> bool:
    """Return whether a target may begin the call's stream once it is listed.

    Its software version is known to this host, but not yet in the store.
    """
    return call.origin is None and bool(
        _list_ready(call, router, router.software.is_being_listed)
    )


def _fits_stream(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> bool:
    """Return whether a target may begin the call's stream, or go on with it.

    Always true for calls whose callers cannot resume them.
    """
    if (
        call.route is None
        or call.route.semantics is not desired.CallSemantics.RESUMABLE
    ):
        return True
    if call.origin is None:
        return router.software.may_begin_streams(target)
    return is_origin(call, target) and not router.is_doubtful(target)


def is_origin(call: calls.Call, target: catalog.LiveTarget) -> bool:
    """Return whether, by its entry, a target began the call's stream."""
    return call.origin == stream_origins.StreamOrigin(
        target.service, target.software_version
    )


def get_pause_seconds(
    call: calls.Call, router: routers.CallRouter
) -> float | None:
    """Return the time until a target of the call's service takes calls again.

    None if no target is paused.
    """
    assert call.service is not None
    now = router.runtime.now()
    pauses = [
        router.get_pause_seconds(target, now)
        for target in router.catalog.list_service(call.service.name)
        if router.catalog.is_available(target)
    ]
    return min((pause for pause in pauses if pause > 0), default=None)


def _filter_by_weights(
    call: calls.Call,
    router: routers.CallRouter,
    ready: list[catalog.LiveTarget],
) -> list[catalog.LiveTarget]:
    """Return the targets whose weights lag by less than the limit.

    After a restart of this host the lag may be unknown. Targets with an
    unknown lag are returned only if there are no others, and until the time
    since the restart exceeds the limit.
    """
    if call.prompt is None:
        return ready
    model = call.prompt.model
    now = router.read_boot_clock()
    fresh, unknown_lag = [], []
    for target in ready:
        version = router.weights.get(target, model)
        lag_seconds = router.desired.get_lag_seconds(model, version, now)
        if lag_seconds >= router.max_weights_lag_seconds:
            continue
        if router.desired.is_lag_known(model, version):
            fresh.append(target)
        else:
            unknown_lag.append(target)
    return fresh or unknown_lag


def _score_service(
    router: routers.CallRouter, target: catalog.LiveTarget
) -> selection.Candidate:
    now = router.runtime.now()
    return selection.score_service(
        target,
        router.loads.get(target.name, now),
        router.topology,
        _compute_failure_cost(router, target, now),
    )


def _compute_failure_cost(
    router: routers.CallRouter, target: catalog.LiveTarget, now: float
) -> float:
    return faults.compute_failure_cost(
        router.failure_tracker.get_failure_rate(target.name, now),
        router.loads.count_overdue(
            target.name, now - faults.OVERDUE_AFTER_SECONDS
        ),
    )


def _score_engine(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    ranked: affinity_engines.AffinityEngines,
    partition: engine_partitions.Partition,
    holder_lookup: plans.HolderLookup,
) -> selection.Candidate:
    assert call.service is not None and call.prompt is not None
    engine = call.service.engine
    if engine is None:
        return _score_service(router, target)
    now = holder_lookup.now
    plan = plans.plan_run(call, router, target, holder_lookup)
    other_cost = _compute_failure_cost(router, target, now)
    other_cost += partition.compute_cost(target.name)
    other_cost += ranked.compute_cost(
        target.name,
        plan.recomputed_tokens * transfers.RECOMPUTE_SECONDS_PER_TOKEN,
    )
    max_first_byte_seconds = float('inf')
    if plan.version < router.desired.get_newest_version(call.prompt.model):
        other_cost += OUTDATED_WEIGHTS_COST_SECONDS
        lag_seconds = router.desired.get_lag_seconds(
            call.prompt.model, plan.version, router.read_boot_clock()
        )
        max_first_byte_seconds = router.max_begin_lag_seconds - lag_seconds
    return selection.score_engine(
        target,
        engine,
        router.loads.get(target.name, now),
        plan,
        call.prompt.output_tokens,
        # Small fleets estimate the queue of an urgent call by urgent work
        # alone, although engines prefill in the order of arrival.
        call.is_urgent() and not router.has_many_hosts(),
        router.coordinators.get_backlog_seconds(target.name, now)
        if router.coordinators is not None
        else None,
        router.slowdown_tracker.get_slowdown(target.name, now),
        call.route.objective_seconds if call.route else 0.0,
        router.topology,
        other_cost,
        max_first_byte_seconds,
    )
