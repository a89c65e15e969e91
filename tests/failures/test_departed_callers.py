"""Calls of callers that leave while a server's machine does not respond."""

import contextlib
from http import client
import threading
import time
import uuid

from pistachioseam_standins import fleet
from tests import dark_ports
from tests.failures import test_forwarding
from tests import support

CALLERS = 12
SPACING_SECONDS = 0.05
PATIENCE_SECONDS = 0.3
"""Time after which callers leave, far before their deadline."""
OUTAGE_SECONDS = 1.6
AFTER_SECONDS = 3.0
"""Time after the outage in which no call of a caller that left may run."""


def send_and_leave(host: str, request_id: str) -> None:
    """Send a booking and close the connection if it has to wait."""
    address, _, port = host.rpartition(':')
    connection = client.HTTPConnection(
        address, int(port), timeout=PATIENCE_SECONDS
    )
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
        'x-pistachioseam-request-id': request_id,
        'x-pistachioseam-deadline-ms': '3000',
    }
    with contextlib.closing(connection), contextlib.suppress(TimeoutError):
        connection.request('POST', '/once/whole', b'content', headers)
        connection.getresponse().read()


def test_bookings_whose_callers_left_reach_no_server(
    case: support.Case,
) -> None:
    """Guards against GONE: they ran up to 2 s later, unknown to anyone."""
    running = test_forwarding.start_fleet(case, hosts=2, plain=1)
    (server,) = running.services
    server.process.kill()
    server.process.wait()
    leaving = []
    with dark_ports.DarkPort(server.address):
        outage_ends_at = time.monotonic() + OUTAGE_SECONDS
        for number in range(CALLERS):
            host = running.entries[number % len(running.entries)]
            caller = threading.Thread(
                target=send_and_leave, args=(host.address, uuid.uuid4().hex)
            )
            caller.start()
            leaving.append(caller)
            time.sleep(SPACING_SECONDS)
        for caller in leaving:
            caller.join()
        time.sleep(max(0.0, outage_ends_at - time.monotonic()))
    running.services[0] = running.start_server(
        server.name, fleet.PLAIN_SERVICE, '', server.address
    )
    time.sleep(AFTER_SECONDS)
    case.assertEqual([], running.list_logged_request_ids())
    test_forwarding.wait_status(running, '/once/whole', 200)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
