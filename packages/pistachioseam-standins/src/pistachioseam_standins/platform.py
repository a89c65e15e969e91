"""Stand-in of the platform: transactional tables and the list of hosts.

`POST /v1/faults` sets the fault `mode` of later reads and transactions:
`none`: calls succeed;
`down`: calls are refused with status 503;
`lose_answers`: transactions are applied, but every connection is aborted
before the response;
`stall`: calls are answered with status 503 after STALL_SECONDS.
"""

import typing

import attrs
import klein

from pistachioseam_standins import serving

STALL_SECONDS = 60.0


@attrs.define
class StoredRow:
    """Value of a row; `version` is the revision that wrote it."""

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
        self.read_count = 0
        self.write_count = 0

    @app.route('/v1/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the fault mode of later calls."""
        self.mode = serving.read_json(request)['mode']
        return serving.encode_json(request, {'mode': self.mode})

    @app.route('/v1/counts', methods=['GET'])
    def get_counts(self, request: typing.Any) -> bytes:
        """Return the numbers of reads and writes, failed ones included."""
        counts = {'reads': self.read_count, 'writes': self.write_count}
        return serving.encode_json(request, counts)

    @app.route('/v1/tables/<table>/rows/<key>', methods=['GET'])
    async def read_row(
        self, request: typing.Any, table: str, key: str
    ) -> bytes:
        """Return one row; an absent row has version 0."""
        self.read_count += 1
        if await self._inject_fault(request):
            return b''
        row = self.rows.get((table, key), StoredRow(0, None))
        return serving.encode_json(request, _encode_row(table, key, row))

    @app.route('/v1/scan', methods=['GET'])
    async def scan_tables(self, request: typing.Any) -> bytes:
        """Return all rows of the tables at one revision."""
        self.read_count += 1
        if await self._inject_fault(request):
            return b''
        tables = request.args[b'tables'][0].decode().split(',')
        rows = [
            _encode_row(table, key, row)
            for (table, key), row in self.rows.items()
            if table in tables
        ]
        content = {'revision': self.revision, 'rows': rows}
        return serving.encode_json(request, content)

    @app.route('/v1/transactions', methods=['POST'])
    async def commit(self, request: typing.Any) -> bytes:
        """Apply all writes if every condition holds; else return 409."""
        self.write_count += 1
        body = serving.read_json(request)
        if self.mode == 'lose_answers':
            self._apply(body)
        if await self._inject_fault(request):
            return b''
        if not self._apply(body):
            return serving.encode_json(request, {'error': 'conflict'}, 409)
        return serving.encode_json(request, {'revision': self.revision})

    def _apply(self, body: typing.Any) -> bool:
        """Apply a transaction; return whether its conditions held."""
        for condition in body['conditions']:
            row_key = (condition['table'], condition['key'])
            row = self.rows.get(row_key, StoredRow(0, None))
            if row.version != condition['version']:
                return False
        self.revision += 1
        for write in body['writes']:
            row_key = (write['table'], write['key'])
            if write['value'] is None:
                self.rows.pop(row_key, None)
            else:
                self.rows[row_key] = StoredRow(self.revision, write['value'])
        return True

    @app.route('/v1/hosts', methods=['GET'])
    async def list_hosts(self, request: typing.Any) -> bytes:
        """Return all hosts, those that are leaving included."""
        self.read_count += 1
        if await self._inject_fault(request):
            return b''
        return serving.encode_json(request, {'hosts': self.hosts})

    @app.route('/v1/hosts', methods=['PUT'])
    def set_hosts(self, request: typing.Any) -> bytes:
        """Replace the list of hosts."""
        self.hosts = serving.read_json(request)['hosts']
        return serving.encode_json(request, {'hosts': self.hosts})

    async def _inject_fault(self, request: typing.Any) -> bool:
        """Apply the fault mode; return whether it has failed the call."""
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


def _encode_row(table: str, key: str, row: StoredRow) -> dict[str, typing.Any]:
    return {
        'table': table,
        'key': key,
        'version': row.version,
        'value': row.value,
    }


def run(address: str) -> None:
    """Serve the platform on `IP:port`."""
    serving.serve(Platform(), address)


if __name__ == '__main__':
    serving.run_command(run)
