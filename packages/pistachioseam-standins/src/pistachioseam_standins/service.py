"""Stand-in of a booking service whose POST calls may not be repeated.

`GET /executions` returns how often each call ran. `POST /faults` sets
`cut_answers` (answers dropped after running) and `stall_seconds`.
"""

import typing

import klein

from pistachioseam_standins import serving


class Service:
    """Bookings in memory, with a count of every execution."""

    app = klein.Klein()

    def __init__(self) -> None:
        self.executions: list[dict[str, typing.Any]] = []
        self.cut_answers = 0
        self.stall_seconds = 0.0

    @app.route('/booking', methods=['POST'])
    async def book(self, request: typing.Any) -> bytes:
        """Run a booking once more."""
        key = request.getHeader('idempotency-key') or ''
        body = request.content.read().decode()
        fence = request.getHeader('fencing-number')
        number = len(self.executions) + 1
        execution = {
            'key': key,
            'body': body,
            'fence': fence,
            'request': request.getHeader('request-id') or '',
        }
        self.executions.append(execution)
        if self.stall_seconds:
            await serving.sleep(self.stall_seconds)
        if self.cut_answers:
            self.cut_answers -= 1
            request.transport.abortConnection()
            return b''
        content = {'booking': number, 'key': key}
        return serving.encode_json(request, content, 201)

    @app.route('/booking', methods=['GET'])
    def look_up(self, request: typing.Any) -> bytes:
        """Return the number of bookings."""
        content = {'bookings': len(self.executions)}
        return serving.encode_json(request, content)

    @app.route('/executions', methods=['GET'])
    def list_executions(self, request: typing.Any) -> bytes:
        """Return every execution."""
        content = {'executions': self.executions}
        return serving.encode_json(request, content)

    @app.route('/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the faults of the next calls."""
        faults = serving.read_json(request)
        self.cut_answers = faults.get('cut_answers', 0)
        self.stall_seconds = faults.get('stall_seconds', 0.0)
        return serving.encode_json(request, faults)


def run(address: str) -> None:
    """Serve a booking stand-in on `IP-number:port`."""
    serving.serve(Service(), address)


if __name__ == '__main__':
    serving.run_command(run)
