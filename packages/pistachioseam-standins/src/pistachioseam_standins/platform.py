"""Stand-in of the platform: tables with transactions, hosts and faults.

Faults are set by `POST /v1/faults` with `mode` one of `none`, `down` (refuse
with 503), `lose_answers` (apply, then drop the connection) and `stall`.
"""

import typing

import attrs
import klein

from pistachioseam_standins import serving

STALL_SECONDS = 60.0


@attrs.define
class StoredRow:
    """Content of a row and the revision that wrote it."""

    version: int
    value: typing.Any


class Platform:
    """Transactional tables and the list of hosts, in memory."""

    app = klein.Klein()

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.hosts: list[dict[str, typing.Any]] = []
        self.mode = 'none'
        self.reads = 0
        self.writes = 0

    @app.route('/v1/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the fault mode."""
        self.mode = serving.read_json(request)['mode']
        return serving.encode_json(request, {'mode': self.mode})

    @app.route('/v1/counts', methods=['GET'])
    def get_counts(self, request: typing.Any) -> bytes:
        """Return how many reads and writes were served."""
        counts = {'reads': self.reads, 'writes': self.writes}
        return serving.encode_json(request, counts)

    @app.route('/v1/tables/<table>/rows/<key>', methods=['GET'])
    async def read_row(
        self, request: typing.Any, table: str, key: str
    ) -> bytes:
        """Return one row; version 0 while it is absent."""
        self.reads += 1
        if await self._fails(request):
            return b''
        row = self.rows.get((table, key), StoredRow(0, None))
        return serving.encode_json(request, _describe(table, key, row))

    @app.route('/v1/scan', methods=['GET'])
    async def scan_tables(self, request: typing.Any) -> bytes:
        """Return all rows of the tables at one revision."""
        self.reads += 1
        if await self._fails(request):
            return b''
        tables = request.args[b'tables'][0].decode().split(',')
        rows = [
            _describe(table, key, row)
            for (table, key), row in self.rows.items()
            if table in tables
        ]
        content = {'revision': self.revision, 'rows': rows}
        return serving.encode_json(request, content)

    @app.route('/v1/transactions', methods=['POST'])
    async def commit(self, request: typing.Any) -> bytes:
        """Apply all writes if every condition holds."""
        self.writes += 1
        body = serving.read_json(request)
        if self.mode == 'lose_answers':
            self._apply(body)
        if await self._fails(request):
            return b''
        if not self._apply(body):
            return serving.encode_json(request, {'error': 'conflict'}, 409)
        return serving.encode_json(request, {'revision': self.revision})

    def _apply(self, body: typing.Any) -> bool:
        for condition in body['conditions']:
            address = (condition['table'], condition['key'])
            row = self.rows.get(address, StoredRow(0, None))
            if row.version != condition['version']:
                return False
        self.revision += 1
        for write in body['writes']:
            address = (write['table'], write['key'])
            if write['value'] is None:
                self.rows.pop(address, None)
            else:
                self.rows[address] = StoredRow(self.revision, write['value'])
        return True

    @app.route('/v1/hosts', methods=['GET'])
    async def list_hosts(self, request: typing.Any) -> bytes:
        """Return the list of live and leaving hosts."""
        self.reads += 1
        if await self._fails(request):
            return b''
        return serving.encode_json(request, {'hosts': self.hosts})

    @app.route('/v1/hosts', methods=['PUT'])
    def set_hosts(self, request: typing.Any) -> bytes:
        """Replace the list of hosts."""
        self.hosts = serving.read_json(request)['hosts']
        return serving.encode_json(request, {'hosts': self.hosts})

    async def _fails(self, request: typing.Any) -> bool:
        if self.mode == 'down':
            request.setResponseCode(503)
            return True
        if self.mode == 'lose_answers':
            request.transport.abortConnection()
            return True
        if self.mode == 'stall':
            await serving.sleep(STALL_SECONDS)
            request.setResponseCode(503)
            return True
        return False


def _describe(table: str, key: str, row: StoredRow) -> dict[str, typing.Any]:
    return {
        'table': table,
        'key': key,
        'version': row.version,
        'value': row.value,
    }


def run(address: str) -> None:
    """Serve a platform stand-in on `IP-number:port`."""
    serving.serve(Platform(), address)


if __name__ == '__main__':
    serving.run_command(run)
