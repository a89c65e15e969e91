"""One rehearsal: a fleet, callers, faults, and the table of its violations."""

import collections
from collections import abc
import contextlib
import os
import pathlib
import random
import threading
import time
import typing

import attrs

from pistachioseam_standins import adversarial_server
from pistachioseam_standins import adversary
from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from pistachioseam_standins import fleet_server
from tests import builds
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults

DOMAINS = ('zone-1', 'zone-2', 'zone-3')
REGIONS = (
    {'name': 'region-1', 'domains': list(DOMAINS[:2])},
    {'name': 'region-2', 'domains': list(DOMAINS[2:])},
)
ANY = ('any',)
"""Behaviour of callers; the servers draw their answers themselves."""
BEHAVIOURS = {prefix: ANY for prefix in fleet.ROUTES}
OPEN_STATUSES = (0, 502, 504)
"""Statuses of calls whose outcome their callers do not know."""
MAX_FAULT_PAUSE_SECONDS = 2.0
RULES = (
    'TWICE',
    'AGAIN',
    'REFUSED',
    'UNREAD',
    'REPEATED',
    'OVERLAP',
    'MIXED',
    'LOST',
    'UNASKED',
    'VERSION',
)


@attrs.frozen(kw_only=True)
class Plan:
    """What is rehearsed; an empty `build` is the code of the checkout.

    `faults` are names of `tests.soak.faults.REGISTRY`, injected one after
    another. With `cores`, all hosts share that many processors. `rejected`,
    `unproven`, `copied`, `garbled` and `dropped` are the fields of
    `adversary.Faults`, `connections` the limit of each server. Weights are
    named about each `naming_seconds`, at odd moments, unless that is 0. The
    engines have `slots` and room for `waiting` requests, add `run_seconds` to
    each run, load weights for `load_seconds`, and go on for `lingers`, in
    turn, with a request whose caller has left, forever without it.
    `weights_ms` is the setting of the hosts.
    """

    seed: int = 1
    seconds: float = 100.0
    build: str = ''
    hosts: int = 9
    engines: int = 6
    plain: int = 3
    callers: int = 36
    cores: int = 0
    faults: tuple[str, ...] = ()
    rejected: float = 0.1
    unproven: float = 0.0
    copied: float = 0.15
    garbled: float = 0.15
    dropped: float = 0.0
    connections: int = adversary.MAX_CONNECTIONS
    naming_seconds: float = 0.0
    slots: int = adversarial_server.CAPACITY
    waiting: int = adversarial_server.QUEUE_LENGTH
    run_seconds: float = 0.0
    load_seconds: float = fleet_server.WEIGHTS_LOAD_SECONDS
    lingers: tuple[float, ...] = ()
    weights_ms: int = 8000

    def list_server_options(self) -> tuple[str, ...]:
        """Return the command line of the servers."""
        names = (
            *('seed', 'rejected', 'unproven', 'copied', 'garbled'),
            *('dropped', 'connections'),
        )
        return tuple(f'--{name}={getattr(self, name)}' for name in names)

    def list_engine_options(self) -> tuple[str, ...]:
        """Return what the command line of the engines has beside it."""
        names = ('slots', 'waiting', 'run_seconds', 'load_seconds')
        return tuple(f'--{name}={getattr(self, name)}' for name in names)


@attrs.frozen(kw_only=True)
class Outcome:
    """Result of a rehearsal.

    `open_fraction` is the part of the calls that may run only once, and
    reached a host, whose callers do not know the outcome. `resets` counts the
    calls that were reset as unread, `retries` those that were sent again.
    `stories` holds the log lines of all processes that name a call, by its id.
    """

    plan: Plan
    calls: int
    statuses: dict[int, int]
    open_fraction: float
    resets: int
    retries: int
    violations: tuple[checks.Violation, ...]
    stories: dict[str, list[str]] = attrs.field(repr=False)

    def count_by_rule(self) -> dict[str, int]:
        """Return the number of violations of each rule."""
        counts = collections.Counter(v.rule for v in self.violations)
        return {rule: counts[rule] for rule in RULES}


class RehearsalFleet(builds.MixedFleet):
    """Hosts in several domains before adversarial servers."""

    server_module = 'adversarial_server'

    def __init__(
        self, plan: Plan, folder: pathlib.Path, python_path: str
    ) -> None:
        spec = fleet.FleetSpec(
            hosts=plan.hosts,
            engines=plan.engines,
            plain=plan.plain,
            engine_options=plan.list_engine_options(),
            lingers=plan.lingers,
            weights_ms=plan.weights_ms,
        )
        super().__init__(spec, folder, python_path)
        self.server_options = plan.list_server_options()
        self._cores = plan.cores

    def start_host(
        self, number: int, previous: deployment.ServerProcess | None = None
    ) -> deployment.ServerProcess:
        """Start a host on the processors that the hosts share."""
        host = super().start_host(number, previous)
        if self._cores:
            os.sched_setaffinity(host.process.pid, range(self._cores))
        return host

    def create_settings(
        self, number: int, address: str, admin_address: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host; domains are assigned in turn."""
        settings = super().create_settings(number, address, admin_address)
        settings['host']['domain'] = DOMAINS[number % len(DOMAINS)]
        settings['regions'] = list(REGIONS)
        return settings


def rehearse(
    plan: Plan, folder: pathlib.Path, python_path: str = ''
) -> Outcome:
    """Run a rehearsal; the logs of its processes stay in a folder."""
    with RehearsalFleet(plan, folder, python_path) as running:
        results = _call_under_faults(plan, running)
        violations = running.find_violations(results)
    return Outcome(
        plan=plan,
        calls=len(results),
        statuses=dict(collections.Counter(r.status for r in results)),
        open_fraction=_compute_open_fraction(results),
        resets=sum(result.is_reset for result in results),
        retries=sum(r.work != r.get_name() for r in results),
        violations=tuple(violations),
        stories=_tell_stories(folder, {v.request_id for v in violations}),
    )


def _call_under_faults(
    plan: Plan, running: RehearsalFleet
) -> list[callers.CallResult]:
    should_stop = threading.Event()
    with contextlib.ExitStack() as stack:
        running_callers = [
            stack.enter_context(
                callers.Caller(running, plan.seed * 1000 + n, BEHAVIOURS)
            )
            for n in range(plan.callers)
        ]
        context = faults.FaultContext(running, random.Random(plan.seed))
        naming = faults.FaultContext(
            running, random.Random(f'naming-{plan.seed}')
        )
        threads = [
            threading.Thread(
                target=_inject, args=(plan, context, should_stop)
            ),
            threading.Thread(target=_name, args=(plan, naming, should_stop)),
        ]
        for thread in threads:
            thread.start()
        time.sleep(plan.seconds)
        should_stop.set()
        for thread in threads:
            thread.join()
        faults.clear_faults(running)
        for caller in running_callers:
            caller.stop()
    return [result for caller in running_callers for result in caller.results]


def _inject(
    plan: Plan, context: faults.FaultContext, should_stop: threading.Event
) -> None:
    while plan.faults and not should_stop.is_set():
        name = context.random.choice(plan.faults)
        faults.REGISTRY[name](context)
        should_stop.wait(context.random.random() * MAX_FAULT_PAUSE_SECONDS)


def _name(
    plan: Plan, context: faults.FaultContext, should_stop: threading.Event
) -> None:
    """Name weights again and again, at moments that the faults do not know."""
    while plan.naming_seconds:
        pause_seconds = 2 * plan.naming_seconds * context.random.random()
        if should_stop.wait(pause_seconds):
            return
        faults.publish_weights(context)


def _compute_open_fraction(
    results: abc.Sequence[callers.CallResult],
) -> float:
    sent = [
        result
        for result in results
        if result.prefix in checks.AT_MOST_ONCE_PREFIXES
        and result.connected_at
    ]
    if not sent:
        return 0.0
    return sum(result.status in OPEN_STATUSES for result in sent) / len(sent)


def _tell_stories(
    folder: pathlib.Path, request_ids: set[str]
) -> dict[str, list[str]]:
    """Return the log lines of all processes that name each call."""
    told: dict[str, list[str]] = {name: [] for name in request_ids}
    for path in sorted(folder.glob('*.log')):
        for line in path.read_text(errors='replace').splitlines():
            for name in request_ids:
                if name in line:
                    told[name].append(f'{path.stem}: {line}')
    return told
