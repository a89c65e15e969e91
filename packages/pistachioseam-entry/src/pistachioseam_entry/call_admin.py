"""Listener for operators of a host that forwards calls."""

import json
import typing

import attrs
import klein
from twisted.web import server

from pistachioseam_entry import admin

if typing.TYPE_CHECKING:
    from pistachioseam_entry import call_process


class CallAdmin:
    """HTTP application on the admin address."""

    app = klein.Klein()

    def __init__(self, owner: 'call_process.CallProcess') -> None:
        self._process = owner

    def create_site(self) -> server.Site:
        """Return the protocol factory of the admin port."""
        return server.Site(self.app.resource())

    @app.route('/metrics')
    def render_metrics(self, request: typing.Any) -> bytes:
        """Return all metrics."""
        request.setHeader('content-type', admin.METRICS_TYPE)
        self._measure_state()
        return self._process.metrics.render()

    @app.route('/dump')
    def dump_state(self, request: typing.Any) -> bytes:
        """Return the whole state of the process, without credentials."""
        request.setHeader('content-type', admin.JSON_TYPE)
        return json.dumps(self._create_dump(), default=str).encode()

    def _measure_state(self) -> None:
        process = self._process
        router = process.router
        age = router.freshness.get_age(router.read_boot_clock())
        state = router.desired.state
        for name, value in (
            ('active_requests', process.listener.active),
            ('open_channels', process.channels.count_open()),
            ('opened_channels', process.channels.opened),
            ('live_targets', len(router.catalog.list_all())),
            ('configuration_number', state.version if state else 0),
            ('configuration_age_seconds', age),
        ):
            process.metrics.set_state(name, value)

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
            'weights_named': router.desired.list_named(),
            'targets': [
                attrs.asdict(target) for target in router.catalog.list_all()
            ],
            'own_loads': {
                name: attrs.asdict(load)
                for name, load in router.loads.get_own().items()
            },
            'suspected': router.health.list_suspected(),
            'lease': attrs.asdict(process.rollout.lease.row)
            if process.rollout.lease.row
            else None,
        }
