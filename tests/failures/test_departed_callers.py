"""Calls of callers that leave while a server's machine does not respond."""

from collections import abc
import contextlib
from http import client
import socket
import threading
import time
import uuid

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import dark_ports
from tests.failures import test_forwarding
from tests.failures import test_partitions
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


def send_and_leave_all(
    hosts: abc.Sequence[deployment.ServerProcess],
) -> None:
    """Send bookings to hosts in turn; return when all callers have left."""
    leaving = []
    for number in range(CALLERS):
        host = hosts[number % len(hosts)]
        caller = threading.Thread(
            target=send_and_leave, args=(host.address, uuid.uuid4().hex)
        )
        caller.start()
        leaving.append(caller)
        time.sleep(SPACING_SECONDS)
    for caller in leaving:
        caller.join()


def test_bookings_whose_callers_left_reach_no_server(
    case: support.Case,
) -> None:
    """Guards against GONE: they ran up to 2 s later, unknown to anyone."""
    running = test_forwarding.start_fleet(case, hosts=2, plain=1)
    (server,) = running.services
    server.process.kill()
    server.process.wait()
    with dark_ports.DarkPort(server.address):
        outage_ends_at = time.monotonic() + OUTAGE_SECONDS
        send_and_leave_all(running.entries)
        time.sleep(max(0.0, outage_ends_at - time.monotonic()))
    running.services[0] = running.start_server(
        server.name, fleet.PLAIN_SERVICE, '', server.address
    )
    time.sleep(AFTER_SECONDS)
    case.assertEqual([], running.list_logged_request_ids())
    test_forwarding.wait_status(running, '/once/whole', 200)


def test_relayed_bookings_whose_callers_left_reach_no_server(
    case: support.Case,
) -> None:
    """Guards against GONE: the relaying host sent them in the end."""
    spec = fleet.FleetSpec(hosts=2, plain=1)
    running = case.useFixture(test_partitions.PartitionedFleet(spec)).fleet
    cut_off = running.entries[0]
    running.paths[0].set_mode('cut')

    def is_relayed() -> bool:
        response = test_forwarding.send(cut_off.address, '/safe/whole')
        return response.status == 200

    deployment.wait_until(is_relayed, 'no host relays the call')
    ran_before = running.list_logged_request_ids()
    running.paths[1].services.set_mode('dark')
    outage_ends_at = time.monotonic() + OUTAGE_SECONDS
    send_and_leave_all([cut_off])
    time.sleep(max(0.0, outage_ends_at - time.monotonic()))
    running.paths[1].services.set_mode('pass')
    time.sleep(AFTER_SECONDS)
    case.assertEqual(ran_before, running.list_logged_request_ids())
    deployment.wait_until(is_relayed, 'no host relays the call')


def test_pipelined_booking_whose_caller_left_reaches_no_server(
    case: support.Case,
) -> None:
    """Guards against GONE: it ran once the one before it had ended."""
    running = test_forwarding.start_fleet(case, hosts=1, plain=1)
    # It leaves a connection on which the next call is sent at once.
    test_forwarding.send(running.entries[0].address, '/once/whole')
    ran_before = running.list_logged_request_ids()
    host, _, port = running.entries[0].address.rpartition(':')
    request_ids = [uuid.uuid4().hex for _ in range(3)]
    requests = [
        f'POST /once/slow HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
        f'X-Pistachioseam-Request-Id: {request_id}\r\n\r\n'
        for request_id in request_ids
    ]
    with socket.create_connection((host, int(port))) as caller:
        for request in requests:
            caller.sendall(request.encode())
            time.sleep(SPACING_SECONDS)
        time.sleep(PATIENCE_SECONDS)
    time.sleep(AFTER_SECONDS)
    case.assertEqual(
        [*ran_before, request_ids[0]], running.list_logged_request_ids()
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
