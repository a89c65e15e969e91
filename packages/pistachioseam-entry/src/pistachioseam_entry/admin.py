"""Admin interface: health, readiness, metrics, dump and explain."""

import json
import typing

import klein

from pistachioseam import conversion
from pistachioseam import snapshots
from pistachioseam_entry import bounded_requests

if typing.TYPE_CHECKING:
    from pistachioseam_entry import process

JSON_TYPE = 'application/json'
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class Admin:
    """HTTP application that serves a host's admin address."""

    app = klein.Klein()

    def __init__(self, entry_process: 'process.Process') -> None:
        self._process = entry_process

    def create_site(self) -> bounded_requests.BoundedSite:
        """Return the protocol factory of the admin port."""
        return bounded_requests.create_small_site(
            self.app.resource(), self._process.holdings
        )

    @app.route('/healthz')
    def check_health(self, request: typing.Any) -> bytes:
        """Respond 200 while the event loop runs."""
        return b'ok\n'

    @app.route('/readyz')
    def check_readiness(self, request: typing.Any) -> bytes:
        """Respond 200 only while the lifecycle is in the state `ready`."""
        state = self._process.lifecycle.get_state()
        if state != 'ready':
            request.setResponseCode(503)
        return f'{state}\n'.encode()

    @app.route('/metrics')
    def render_metrics(self, request: typing.Any) -> bytes:
        """Return all metrics in the Prometheus text format."""
        request.setHeader('content-type', METRICS_TYPE)
        self._process.update_state_gauges()
        return self._process.metrics.render()

    @app.route('/dump')
    def dump_state(self, request: typing.Any) -> bytes:
        """Return the state of the process as JSON, without credentials."""
        return _encode(request, create_dump(self._process))

    @app.route('/explain/<request_id>')
    def explain_request(self, request: typing.Any, request_id: str) -> bytes:
        """Return the journal entry of a request that this host served."""
        entry = self._process.router.journal.find(request_id)
        if entry is None:
            request.setResponseCode(404)
            return _encode(request, {'error': 'unknown request'})
        return _encode(request, conversion.unstructure(entry))


def _encode(request: typing.Any, content: object) -> bytes:
    request.setHeader('content-type', JSON_TYPE)
    return json.dumps(content, indent=2, default=str).encode() + b'\n'


def create_dump(entry_process: 'process.Process') -> dict[str, typing.Any]:
    """Return the state of a process for `/dump`, without credentials."""
    router = entry_process.router
    targets = sorted(
        {
            t.name
            for pool in router.acceptor.snapshot.pools
            for t in pool.targets
        }
    )
    now = router.runtime.now()
    return {
        'host': entry_process.settings.host.name,
        'domain': entry_process.settings.host.domain,
        'incarnation': router.claims.holder,
        'lifecycle': entry_process.lifecycle.get_state(),
        'active_requests': entry_process.listener.active_requests,
        'configuration': snapshots.encode_snapshot(router.acceptor.snapshot),
        'claims': {
            'held': router.claims.count_held(),
            'unsettled': router.claims.count_unsettled(),
        },
        'suspected_targets': router.health.list_suspected(),
        'quarantined_requests': router.quarantine.list_quarantined(),
        'retry_budget_tokens': router.retry_budget.tokens,
        'tracked_prefixes': router.placer.prefix_index.count_prefixes(),
        'tracked_accounts': router.limits.count_accounts(),
        'targets': {
            name: {
                'wait_seconds': router.placer.loads.estimate_wait(name, now),
                'lifetime_seconds': router.placer.prefix_index.get_lifetime(
                    name
                ),
            }
            for name in targets
        },
        'peers': entry_process.describe_peers(),
    }
