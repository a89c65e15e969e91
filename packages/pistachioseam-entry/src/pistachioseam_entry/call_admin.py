"""Admin endpoints of a host that forwards calls: metrics and state dump."""

import json
import typing

import attrs
import klein

from pistachioseam.forwarding import rollouts
from pistachioseam_entry import admin

if typing.TYPE_CHECKING:
    from pistachioseam_entry import call_process

STATE_NAMES = (
    'active_requests',
    'open_channels',
    'opened_channels',
    'live_targets',
    'configuration_number',
    'configuration_age_seconds',
    'lease_held',
    'engines_loading',
    'engines_behind',
    'quarantined_parts',
    'limited_targets',
    'targets_age_seconds',
    'target_paths_lost',
    'failing_loops',
    'coordinated_engines',
    'calls_awaiting_admission',
    'unanswered_admissions',
    'caller_held_bytes',
    'caller_budget_bytes',
    'caller_connections',
    'response_buffer_bytes',
)
"""Values of the label `name` of the metric `pistachioseam_state`, in the order
of the values in `_update_state_gauges`."""


class CallAdmin:
    """HTTP application on the admin address, for operators."""

    app = klein.Klein()

    def __init__(self, process: 'call_process.CallProcess') -> None:
        self._process = process

    def create_resource(self) -> typing.Any:
        """Return the resource of all endpoints."""
        return self.app.resource()

    @app.route('/metrics')
    def render_metrics(self, request: typing.Any) -> bytes:
        """Return all metrics in the Prometheus text format."""
        request.setHeader('content-type', admin.METRICS_TYPE)
        self._update_state_gauges()
        return self._process.metrics.render()

    @app.route('/dump')
    def dump_state(self, request: typing.Any) -> bytes:
        """Return the state of the process as JSON, without credentials."""
        request.setHeader('content-type', admin.JSON_TYPE)
        return json.dumps(self._create_dump(), default=str).encode()

    def _update_state_gauges(self) -> None:
        process = self._process
        router = process.router
        age = router.freshness.get_age(router.read_boot_clock())
        state = router.desired.state
        values = (
            process.listener.active_requests,
            process.connections.count_open(),
            process.connections.opened_count,
            len(router.catalog.list_all()),
            state.version if state else 0,
            age,
            int(process.rollout.lease.can_act()),
            len(process.rollout.loading),
            len(rollouts.list_outdated(router)),
            len(router.crash_evidence.list_quarantined(process.runtime.now())),
            router.rate_limits.count_limited(),
            router.targets_freshness.get_age(router.read_boot_clock()),
            int(process.paths.is_lost()),
            len(process.runtime.loops.list_failing()),
            process.peers.admissions.coordinator.count_queues(),
            process.peers.admissions.coordinator.count_waiting(),
            router.coordinators.unanswered if router.coordinators else 0,
            process.holdings.count_bytes(),
            process.holdings.budget.bytes,
            process.holdings.count_connections(),
            process.connections.response_budget.held_bytes,
        )
        for name, value in zip(STATE_NAMES, values, strict=True):
            process.metrics.set_state(name, value)
        self._update_retry_gauges()

    def _update_retry_gauges(self) -> None:
        budget = self._process.router.budget
        now = self._process.runtime.now()
        for service in budget.list_services():
            self._process.metrics.set_retry_budget(
                service,
                budget.count_retries(service, now),
                budget.get_allowed_retries(service, now),
            )

    def _create_dump(self) -> dict[str, typing.Any]:
        process = self._process
        router = process.router
        now = router.read_boot_clock()
        state = router.desired.state
        return {
            'host': attrs.asdict(process.settings.host),
            'lifecycle': process.lifecycle.get_state(),
            'configuration_number': state.version if state else None,
            'configuration_age_seconds': router.freshness.get_age(now),
            'weights_named': router.desired.get_newest_versions(),
            'targets': [
                attrs.asdict(target) for target in router.catalog.list_all()
            ],
            'departed': [
                target.name
                for target in router.catalog.list_all()
                if not router.catalog.is_available(target)
            ],
            'own_loads': {
                name: attrs.asdict(load)
                for name, load in router.loads.get_own_loads().items()
            },
            'suspected': router.health.list_suspected(),
            'quarantined_requests': router.quarantine.list_quarantined(),
            'quarantined_parts': router.crash_evidence.list_quarantined(
                process.runtime.now()
            ),
            'lease': attrs.asdict(process.rollout.lease.row)
            if process.rollout.lease.row
            else None,
        }
