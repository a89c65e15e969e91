"""Local fleet on stand-ins of the users' platform, on loopback.

Like `deployment`, but the hosts forward calls to servers that register
themselves at the stand-in of the metadata store.
"""

import json
import os
import pathlib
import typing

import attrs
import yaml

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet_server

HOST_NAME = 'host.example'
MODEL = 'model-1'
ENGINES = 'engines'
PLAIN = 'plain'
KEYS = {'account-1': 'key-1', 'account-2': 'key-2'}
SETTINGS_VARIABLE = 'PISTACHIOSEAM_BOOT'
ROUTES: dict[str, dict[str, typing.Any]] = {
    '/safe/': {'kind': 'safe', 'service': PLAIN, 'attempts': 2},
    '/once/': {'kind': 'unsafe', 'service': PLAIN, 'attempts': 1},
    '/stream/': {'kind': 'streaming', 'service': ENGINES, 'attempts': 1},
    '/resumable/': {
        'kind': 'streaming',
        'service': ENGINES,
        'attempts': 2,
        'resumable': True,
    },
}


@attrs.frozen(kw_only=True)
class FleetShape:
    """Size of a fleet."""

    hosts: int = 2
    engines: int = 2
    plain: int = 2


class Fleet(deployment.Deployment):
    """Started processes; a context manager that ends what it started."""

    def __init__(self, shape: FleetShape, folder: pathlib.Path) -> None:
        super().__init__(deployment.Shape(entries=shape.hosts), folder)
        self.fleet_shape = shape
        self.version = 0

    def _start_all(self) -> None:
        self.platform = self._start_standin('store', 'metadata')
        self.wait_listening(self.platform)
        self.write_state()
        for number in range(self.fleet_shape.engines):
            self.engines.append(
                self.start_server(f'engine-{number + 1}', ENGINES, MODEL)
            )
        for number in range(self.fleet_shape.plain):
            self.services.append(
                self.start_server(f'plain-{number + 1}', PLAIN, '')
            )
        for number in range(self.fleet_shape.hosts):
            self.entries.append(self.start_host(number))
        for member in self.entries:
            self.wait_ready(member)
        self.wait_targets()

    def start_server(
        self, name: str, service: str, model: str, address: str = ''
    ) -> deployment.Member:
        """Start a server, registered under its name."""
        address = address or deployment.find_free_address()
        arguments = ['-m', 'pistachioseam_standins.fleet_server', name]
        arguments += [service, address, self.platform.address]
        if model:
            arguments.append(model)
        return self._start(name, arguments, address)

    def start_host(
        self, number: int, member: deployment.Member | None = None
    ) -> deployment.Member:
        """Start a host, on the addresses of an earlier one."""
        name = f'host-{number + 1}'
        address = member.address if member else deployment.find_free_address()
        admin = (
            member.admin_address if member else deployment.find_free_address()
        )
        path = self.folder / f'{name}.yaml'
        settings = self.create_settings(number, address, admin)
        path.write_text(yaml.safe_dump(settings))
        os.environ[SETTINGS_VARIABLE] = str(path)
        return self._start(
            name, ['-m', 'pistachioseam_platform'], address, admin
        )

    def create_settings(
        self, number: int, address: str, admin: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host."""
        return {
            'host': {
                'name': f'host-{number + 1}',
                'domain': 'zone-1',
                'listen_address': address,
                'ready_address': deployment.find_free_address(),
                'admin_address': admin,
                'peer_address': self.peer_addresses[number],
            },
            'store_address': self.get_store_address(number),
            'regions': [{'name': 'region-1', 'domains': ['zone-1']}],
            'bounds': {
                'revocation_ms': 5000,
                'weights_ms': 8000,
                'lease_ms': 1000,
                'shutdown_seconds': 8,
            },
        }

    def get_store_address(self, number: int) -> str:
        """Return where a host reaches the store."""
        return self.platform.address

    def wait_ready(self, member: deployment.Member) -> None:
        """Return once a host knows a desired state."""
        deployment.wait_until(
            lambda: self.dump(member)['configuration_number'] is not None,
            f'{member.name} is not ready',
        )

    def wait_targets(self) -> None:
        """Return once each host knows all servers."""
        count = self.fleet_shape.engines + self.fleet_shape.plain

        def know_all() -> bool:
            return all(
                len(self.dump(member)['targets']) == count
                for member in self.entries
            )

        deployment.wait_until(know_all, 'some host does not know all servers')

    def dump(self, member: deployment.Member) -> typing.Any:
        """Return the state of a host."""
        return deployment.call('GET', member.admin_address, '/dump')

    def write_state(self, **changes: typing.Any) -> None:
        """Write the next desired state as an operator does."""
        self.version += 1
        document = create_document(self.version)
        document.update(changes)
        self.write_row('op', 'config', document)

    def name_weights(self, version: int) -> None:
        """Name a version of the model's weights."""
        content = {'model': MODEL, 'version': version}
        self.write_row('op', f'version/{MODEL}', content)

    def write_row(self, table: str, key: str, content: object) -> None:
        """Write a row as an operator or server does."""
        row = {'table': table, 'key': key, 'value': json.dumps(content)}
        deployment.call(
            'POST', self.platform.address, '/standin/rows', {'rows': [row]}
        )

    def set_store_mode(self, mode: str) -> None:
        """Set the store's fault."""
        deployment.call(
            'POST', self.platform.address, '/standin/faults', {'mode': mode}
        )

    def list_logged_runs(self) -> list[str]:
        """Return the ids of all requests that ever ran, crashes included."""
        return [
            line.removeprefix(fleet_server.RUN_MARK)
            for path in self.folder.glob('*.log')
            for line in path.read_text(errors='replace').splitlines()
            if line.startswith(fleet_server.RUN_MARK)
        ]

    def list_runs(self, members: list[deployment.Member]) -> list[str]:
        """Return the ids of the requests that servers ran."""
        runs: list[str] = []
        for member in members:
            runs += deployment.call('GET', member.address, '/standin/state')[
                'runs'
            ]
        return runs


def create_document(version: int) -> dict[str, typing.Any]:
    """Return a desired state with a route of each kind."""
    routes = [
        {
            'name': prefix.strip('/'),
            'host': HOST_NAME,
            'prefix': prefix,
            'timeoutMs': 3000,
            'targetLatencyMs': 500,
            'priority': 1,
            'public': False,
            'sessionAffinity': True,
            'targetGapMs': 400,
            **fields,
        }
        for prefix, fields in ROUTES.items()
    ]
    engine = {
        'capacity': 6,
        'kvCapacityTokens': 50_000,
        'kvTokenBytes': 262_144,
        'bandwidthMbps': 1_000_000.0,
        'models': [{'name': MODEL}],
    }
    accounts = [
        {'name': name, 'apiKeys': [key], 'priority': 1, 'isolated': False}
        for name, key in KEYS.items()
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': PLAIN}, {'name': ENGINES, 'engine': engine}],
        'limits': {
            'headerBytes': 16_384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 2000,
        },
        'tenants': accounts,
    }
