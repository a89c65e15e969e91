"""Stand-in of a booking service whose POST calls are not idempotent.

`GET /executions` lists every execution of a POST call. `POST /faults` sets
`cut_answers` (number of calls whose connection is aborted after execution)
and `stall_seconds` (delay between execution and response).
"""

import typing

import klein

from pistachioseam_standins import serving


class Service:
    """Bookings in memory, with body, key and request id of each execution."""

    app = klein.Klein()

    def __init__(self) -> None:
        self.executions: list[dict[str, typing.Any]] = []
        self.cut_answers = 0
        self.stall_seconds = 0.0

    @app.route('/booking', methods=['POST'])
    async def create_booking(self, request: typing.Any) -> bytes:
        """Execute a booking, also if its idempotency key was used before."""
        key = request.getHeader('idempotency-key') or ''
        body = request.content.read().decode()
        fencing_number = request.getHeader('fencing-number')
        booking_number = len(self.executions) + 1
        execution = {
            'key': key,
            'body': body,
            'fence': fencing_number,
            'request': request.getHeader('request-id') or '',
        }
        self.executions.append(execution)
        if self.stall_seconds:
            await serving.sleep(self.stall_seconds)
        if self.cut_answers:
            self.cut_answers -= 1
            request.transport.abortConnection()
            return b''
        content = {'booking': booking_number, 'key': key}
        return serving.encode_json(request, content, 201)

    @app.route('/booking', methods=['GET'])
    def count_bookings(self, request: typing.Any) -> bytes:
        """Return the number of bookings."""
        content = {'bookings': len(self.executions)}
        return serving.encode_json(request, content)

    @app.route('/booking/long/<int:size>', methods=['GET'])
    def print_bookings(self, request: typing.Any, size: int) -> bytes:
        """Return a long response with a length."""
        return bytes(size)

    @app.route('/executions', methods=['GET'])
    def list_executions(self, request: typing.Any) -> bytes:
        """Return all executions in order."""
        content = {'executions': self.executions}
        return serving.encode_json(request, content)

    @app.route('/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the faults of later calls; faults left out are reset."""
        faults = serving.read_json(request)
        self.cut_answers = faults.get('cut_answers', 0)
        self.stall_seconds = faults.get('stall_seconds', 0.0)
        return serving.encode_json(request, faults)


def run(address: str) -> None:
    """Serve the booking service on `IP:port`."""
    serving.serve(Service(), address)


if __name__ == '__main__':
    serving.run_command(run)
