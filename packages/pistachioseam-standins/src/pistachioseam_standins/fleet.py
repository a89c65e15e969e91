"""Local fleet of hosts and servers on loopback.

Like `deployment`, but for the users' platform: hosts read their routes from
the stand-in of the metadata store, and servers register themselves there.
"""

import json
import pathlib
import typing

import attrs
import yaml

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet_server

ROUTE_HOST = 'host.example'
"""Host header that matches all routes."""
MODEL = 'model-1'
ENGINE_SERVICE = 'engines'
PLAIN_SERVICE = 'plain'
ACCOUNT_KEYS = {
    'account-1': 'key-1',
    'account-2': 'key-2',
    'account-3': 'key-3',
}
QUOTAS: dict[str, dict[str, typing.Any]] = {
    'account-3': {
        'ratePerS': 140,
        'burst': 140,
        'unit': 'tokens',
        'uncachedTokens': 20,
    },
}
"""Fields of an account's quota by its name; other accounts have none."""
SETTINGS_VARIABLE = 'PISTACHIOSEAM_BOOT'
"""Environment variable that holds the path of a host's settings file."""
MIN_RUN_FIELDS = 3
"""Number of fields of a plain server's log line of a run."""
ROUTES: dict[str, dict[str, typing.Any]] = {
    '/safe/': {'kind': 'safe', 'service': PLAIN_SERVICE, 'attempts': 2},
    '/once/': {'kind': 'unsafe', 'service': PLAIN_SERVICE, 'attempts': 1},
    '/stream/': {
        'kind': 'streaming',
        'service': ENGINE_SERVICE,
        'attempts': 1,
    },
    '/resumable/': {
        'kind': 'streaming',
        'service': ENGINE_SERVICE,
        'attempts': 2,
        'resumable': True,
        'priority': 2,
    },
}
"""Fields of a route by its path prefix.

Prompts have two priorities: large fleets coordinate the engines only then.
"""


@attrs.frozen(kw_only=True)
class FleetSpec:
    """Numbers of hosts, of engine servers and of plain servers (no model).

    The engines get the software versions in turn, and so `lingers`, for how
    many seconds they go on with a request whose caller has left; without it
    they do as their stand-in does. `engine_options` are on the command line of
    all of them. `weights_ms` and `quotas` are settings of the hosts; `quotas`
    is left out when empty, as earlier builds reject unknown settings.
    """

    hosts: int = 2
    engines: int = 2
    plain: int = 2
    software_versions: tuple[str, ...] = (fleet_server.FIRST_SOFTWARE,)
    engine_options: tuple[str, ...] = ()
    lingers: tuple[float, ...] = ()
    weights_ms: int = 8000
    quotas: dict[str, float] = attrs.field(factory=dict)

    def get_software(self, engine: int) -> str:
        """Return the software version of an engine, counted from 0."""
        return self.software_versions[engine % len(self.software_versions)]

    def list_engine_options(self, engine: int) -> tuple[str, ...]:
        """Return the command line of an engine, counted from 0."""
        if not self.lingers:
            return self.engine_options
        linger_seconds = self.lingers[engine % len(self.lingers)]
        return (*self.engine_options, f'--linger_seconds={linger_seconds}')


class Fleet(deployment.Deployment):
    """Context manager that starts the processes and kills them on exit.

    `entries` are the hosts, `services` the plain servers, and `platform` is
    the stand-in of the metadata store, called the store here. Hosts run
    `host_module`, and `host_environment` adds to their environment. Servers
    run the stand-in `server_module`, with `server_options` on its command
    line.
    """

    host_module = 'pistachioseam_platform'
    server_module = 'fleet_server'
    server_options: tuple[str, ...] = ()

    def __init__(self, spec: FleetSpec, folder: pathlib.Path) -> None:
        super().__init__(deployment.Spec(entries=spec.hosts), folder)
        self.fleet_spec = spec
        self.desired_version = 0
        self.host_environment: dict[str, str] = {}
        self._ready_addresses = [
            deployment.find_free_address() for _ in range(spec.hosts)
        ]

    def _start_all(self) -> None:
        self.platform = self._start_standin('store', 'metadata')
        self.wait_listening(self.platform)
        self.write_desired_state()
        for number in range(self.fleet_spec.engines):
            self.engines.append(
                self.start_server(
                    f'engine-{number + 1}',
                    ENGINE_SERVICE,
                    MODEL,
                    software=self.fleet_spec.get_software(number),
                )
            )
        for number in range(self.fleet_spec.plain):
            self.services.append(
                self.start_server(f'plain-{number + 1}', PLAIN_SERVICE, '')
            )
        for number in range(self.fleet_spec.hosts):
            self.entries.append(self.start_host(number))
        for server in self.entries:
            self.wait_ready(server)
        self.wait_targets()

    def start_server(
        self,
        name: str,
        service: str,
        model: str,
        address: str = '',
        software: str = fleet_server.FIRST_SOFTWARE,
    ) -> deployment.ServerProcess:
        """Start a server that registers itself; a plain one has no model."""
        address = address or deployment.find_free_address()
        arguments = ['-m', f'pistachioseam_standins.{self.server_module}']
        arguments += [name, service, address, self.platform.address]
        if model:
            arguments += [model, software]
            number = int(name.rpartition('-')[2]) - 1
            arguments += self.fleet_spec.list_engine_options(number)
        arguments += self.server_options
        return self._start_process(name, arguments, address)

    def start_host(
        self, number: int, previous: deployment.ServerProcess | None = None
    ) -> deployment.ServerProcess:
        """Start a host, on the addresses of a previous one."""
        name = f'host-{number + 1}'
        address = (
            previous.address if previous else deployment.find_free_address()
        )
        admin_address = (
            previous.admin_address
            if previous
            else deployment.find_free_address()
        )
        path = self.folder / f'{name}.yaml'
        settings = self.create_settings(number, address, admin_address)
        path.write_text(yaml.safe_dump(settings))
        return self._start_process(
            name,
            ['-m', self.host_module],
            address,
            admin_address,
            {SETTINGS_VARIABLE: str(path), **self.host_environment},
        )

    def create_settings(
        self, number: int, address: str, admin_address: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host."""
        spec = self.fleet_spec
        return {
            'host': {
                'name': f'host-{number + 1}',
                'domain': 'zone-1',
                'listen_address': address,
                'ready_address': self._ready_addresses[number],
                'admin_address': admin_address,
                'peer_address': self.peer_addresses[number],
            },
            'store_address': self.get_store_address(number),
            'regions': [{'name': 'region-1', 'domains': ['zone-1']}],
            'bounds': {
                'revocation_ms': 5000,
                'weights_ms': spec.weights_ms,
                'lease_ms': 1000,
                'shutdown_seconds': 8,
            },
            **({'quotas': spec.quotas} if spec.quotas else {}),
        }

    def get_store_address(self, number: int) -> str:
        """Return the address at which a host calls the store."""
        return self.platform.address

    def wait_ready(self, server: deployment.ServerProcess) -> None:
        """Wait until a host has received a desired state."""
        deployment.wait_until(
            lambda: self.dump(server)['configuration_number'] is not None,
            f'{server.name} is not ready',
        )

    def wait_targets(self) -> None:
        """Wait until every host has discovered all servers."""
        count = self.fleet_spec.engines + self.fleet_spec.plain

        def has_all_targets() -> bool:
            return all(
                len(self.dump(server)['targets']) == count
                for server in self.entries
            )

        deployment.wait_until(
            has_all_targets, 'some host has not discovered all servers'
        )

    def dump(self, server: deployment.ServerProcess) -> typing.Any:
        """Return the response of a host's `/dump`."""
        return deployment.call('GET', server.admin_address, '/dump')

    def write_desired_state(self, **changes: typing.Any) -> None:
        """Write a desired state with the next version.

        `changes` replace its fields.
        """
        self.desired_version += 1
        desired_state = create_desired_state(self.desired_version)
        desired_state.update(changes)
        self.write_row('op', 'config', desired_state)

    def set_weights_version(self, version: int) -> None:
        """Set the weights version that all engines have to load."""
        content = {'model': MODEL, 'version': version}
        self.write_row('op', f'version/{MODEL}', content)

    def write_row(self, table: str, key: str, content: object) -> None:
        """Write a row without conditions, as operators and servers do."""
        self.write_raw_row(table, key, json.dumps(content))

    def write_raw_row(self, table: str, key: str, value: str | None) -> None:
        """Write a row as any writer may, or remove it if `value` is None."""
        row = {'table': table, 'key': key, 'value': value}
        deployment.call(
            'POST', self.platform.address, '/standin/rows', {'rows': [row]}
        )

    def hold_store_answers(self, store: str, seconds: float) -> None:
        """Let the store answer late the hosts that call it by an address."""
        deployment.call(
            'POST',
            self.platform.address,
            '/standin/holds',
            {'store': store, 'seconds': seconds},
        )

    def set_store_fault(self, mode: str) -> None:
        """Set the fault mode of the store's stand-in."""
        deployment.call(
            'POST', self.platform.address, '/standin/faults', {'mode': mode}
        )

    def list_logged_request_ids(self) -> list[str]:
        """Return the ids of all executed requests from the servers' logs.

        Unlike `list_executed_request_ids`, this includes servers that crashed.
        """
        return [fields[0] for fields in self.list_logged_runs()]

    def list_logged_runs(self) -> list[list[str]]:
        """Return what the servers' logs say of each execution."""
        return self._list_logged(fleet_server.RUN_LOG_PREFIX)

    def list_logged_arrivals(self) -> list[tuple[str, float]]:
        """Return the sending and the monotonic time of arrival of each run."""
        return [
            (fields[0], float(fields[-2]))
            for fields in self.list_logged_runs()
            if len(fields) >= MIN_RUN_FIELDS
        ]

    def list_logged_repeats(self) -> list[str]:
        """Return the ids that came again on their connections to servers."""
        return [
            fields[0]
            for fields in self._list_logged(fleet_server.REPEAT_LOG_PREFIX)
        ]

    def list_logged_works(self) -> list[list[str]]:
        """Return what the engines' logs say of each run that has ended."""
        return self._list_logged(fleet_server.WORK_LOG_PREFIX)

    def _list_logged(self, prefix: str) -> list[list[str]]:
        """Return the fields after a prefix in the servers' logs."""
        return [
            fields.split(' ')
            for path in self.folder.glob('*.log')
            for line in path.read_text(errors='replace').splitlines()
            if line.startswith(prefix)
            # The line of a server that was killed may lack its end.
            for fields in line.split(prefix)[1:]
        ]

    def list_executed_request_ids(
        self, servers: list[deployment.ServerProcess]
    ) -> list[str]:
        """Return the ids of the requests executed by running servers."""
        request_ids: list[str] = []
        for server in servers:
            request_ids += deployment.call(
                'GET', server.address, '/standin/state'
            )['runs']
        return request_ids


def create_desired_state(version: int) -> dict[str, typing.Any]:
    """Return a desired state with a route of each kind."""
    routes = [
        {
            'name': prefix.strip('/'),
            'host': ROUTE_HOST,
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
        # Without a priority of the account, that of the route counts.
        {
            'name': name,
            'apiKeys': [key],
            'isolated': False,
            **QUOTAS.get(name, {}),
        }
        for name, key in ACCOUNT_KEYS.items()
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': PLAIN_SERVICE},
            {'name': ENGINE_SERVICE, 'engine': engine},
        ],
        'limits': {
            'headerBytes': 16_384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 2000,
        },
        'tenants': accounts,
    }
