"""Placing of a call on one of the live targets of its service."""

import hashlib

import attrs

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import faults
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection

HOMES = 3
"""Targets of a shared part that are weighed with their home rank."""
HOME_STEP_SECONDS = 0.01
"""Cost of each further rank, so that hosts read a new part in one place."""
STALE_WEIGHTS_SECONDS = 0.4
"""Cost of running on weights for which newer ones are named."""


def place_call(
    call: calls.Call, router: routers.CallRouter
) -> selection.Choice | None:
    """Return the choice among the usable targets, None if there are none."""
    usable = list_usable(call, router)
    if call.prompt is None or call.service is None:
        return selection.choose(
            usable,
            lambda target: _weigh_service(router, target),
            router.random.random(),
        )
    ranks = _rank_homes(call.prompt, usable, router)
    survey = plans.Survey(call, router)
    return selection.choose(
        usable,
        lambda target: _weigh_engine(call, router, target, ranks, survey),
        router.random.random(),
    )


def list_usable(
    call: calls.Call, router: routers.CallRouter
) -> list[catalog.LiveTarget]:
    """Return ready targets: untried and healthy ones if there are any."""
    assert call.service is not None
    now = router.runtime.now()
    ready = [
        target
        for target in router.catalog.list_service(call.service.name)
        if target.is_ready
    ]
    ready = _select_fit(call, router, ready)
    tried = {attempt.target.name for attempt in call.attempts}
    usable = [target for target in ready if target.name not in tried] or ready
    usable = [
        target for target in usable if router.health.is_usable(target.name)
    ] or usable
    return [
        target
        for target in usable
        if router.busy_until.get(target.name, 0.0) <= now
        and not router.weights.is_loading(target)
    ] or usable


def _select_fit(
    call: calls.Call,
    router: routers.CallRouter,
    ready: list[catalog.LiveTarget],
) -> list[catalog.LiveTarget]:
    """Leave out targets on which a call would begin with old weights.

    Those whose age is unknown, as after a restart of this host, are used only
    when there is no other.
    """
    if call.prompt is None:
        return ready
    model = call.prompt.model
    now = router.runtime.now()
    fit, unknown = [], []
    for target in ready:
        version = router.weights.get(target, model)
        if not router.desired.is_age_known(model, version):
            unknown.append(target)
            continue
        behind = router.desired.get_behind_seconds(model, version, now)
        if behind < router.max_weights_lag_seconds:
            fit.append(target)
    return fit or unknown


def _rank_homes(
    prompt: prompts.Prompt,
    usable: list[catalog.LiveTarget],
    router: routers.CallRouter,
) -> dict[str, int]:
    """Return the home rank of the first few targets."""
    digest = hashlib.blake2b(prompt.get_home_part().encode(), digest_size=8)
    prefix = int.from_bytes(digest.digest(), 'big')
    names = sorted(target.name for target in usable)
    order = router.home_order.rank(prefix, names, HOMES)
    return {name: rank for rank, name in enumerate(order)}


def _weigh_service(
    router: routers.CallRouter, target: catalog.LiveTarget
) -> selection.Candidate:
    load = router.loads.get(target.name, router.runtime.now())
    weighed = selection.weigh_service(target, load, router.topology)
    other = weighed.other + _rate_faults(router, target)
    return attrs.evolve(weighed, other=other)


def _rate_faults(
    router: routers.CallRouter, target: catalog.LiveTarget
) -> float:
    now = router.runtime.now()
    return faults.rate_faults(
        router.fault_board.get_share(target.name, now),
        router.loads.count_overdue(target.name, now - faults.OVERDUE_SECONDS),
    )


def _weigh_engine(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    ranks: dict[str, int],
    survey: plans.Survey,
) -> selection.Candidate:
    assert call.service is not None and call.prompt is not None
    engine = call.service.engine
    if engine is None:
        return _weigh_service(router, target)
    load = router.loads.get(target.name, router.runtime.now())
    plan = plans.plan_run(call, router, target, survey)
    weighed = selection.weigh_engine(
        target,
        engine,
        load,
        plan,
        call.prompt.output_tokens,
        call.is_urgent(),
        router.pace_board.get(target.name, router.runtime.now()),
        call.route.objective_seconds if call.route else 0.0,
        router.topology,
    )
    other = weighed.other + _rate_faults(router, target)
    other += HOME_STEP_SECONDS * ranks.get(target.name, HOMES)
    if plan.version < router.desired.get_named(call.prompt.model):
        other += STALE_WEIGHTS_SECONDS
    return attrs.evolve(weighed, other=other)
