"""Forwarded calls over real processes and the store's stand-in."""

import contextlib
from http import client
import pathlib
import signal
import socket
import time
import uuid

import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import deployments
from tests import support

SERVED = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 9))
REVOCATION_SECONDS = 5.0
APPLY_SECONDS = 3.0


class RunningFleet(fixtures.Fixture):
    """Stand-ins and hosts on loopback."""

    def __init__(self, shape: fleet.FleetSpec | None = None) -> None:
        super().__init__()
        self._shape = shape or fleet.FleetSpec()

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        running = fleet.Fleet(self._shape, folder)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__)


def start_fleet(case: support.Case, **shape: int) -> fleet.Fleet:
    """Return a running fleet that ends with the test."""
    made = RunningFleet(fleet.FleetSpec(**shape))
    running: fleet.Fleet = case.useFixture(made).fleet
    return running


def send(
    address: str,
    path: str,
    key: str = 'key-1',
    body: bytes = b'content',
    headers: dict[str, str] | None = None,
    request_id: str = '',
) -> deployments.Answer:
    """Send a request as an account."""
    given = {
        'host': fleet.ROUTE_HOST,
        'authorization': f'Bearer {key}',
        'x-pistachioseam-request-id': request_id or uuid.uuid4().hex,
        'x-pistachioseam-deadline-ms': '3000',
        **(headers or {}),
    }
    return deployments.send(address, 'POST', path, body, given)


def test_calls_of_each_kind_are_served(case: support.Case) -> None:
    """Plain answers and streams come whole, through every host."""
    running = start_fleet(case)
    for host in running.entries:
        plain = send(host.address, '/once/whole')
        case.assertEqual((200, b'content'), (plain.status, plain.body))
        case.assertIn('x-pistachioseam-server-stamp', plain.headers)
        streamed = send(host.address, '/stream/whole')
        case.assertEqual((200, SERVED), (streamed.status, streamed.body))


def test_torn_stream_is_resumed(case: support.Case) -> None:
    """The second engine goes on where the first broke off."""
    running = start_fleet(case)
    answer = send(running.entries[0].address, '/resumable/tear')
    case.assertEqual((200, SERVED), (answer.status, answer.body))


def test_torn_stream_that_cannot_resume_looks_torn(
    case: support.Case,
) -> None:
    """Its caller sees a broken answer, not a short one."""
    running = start_fleet(case)
    with case.assertRaises(deployments.LOST):
        send(running.entries[0].address, '/stream/tear')


def test_once_calls_run_once(case: support.Case) -> None:
    """A cut, foreign or shed answer never leads to a second run."""
    running = start_fleet(case)
    for word, status in (('cut', 502), ('foreign', 502), ('shed', 503)):
        request_id = uuid.uuid4().hex
        answer = send(
            running.entries[0].address, f'/once/{word}', request_id=request_id
        )
        case.assertEqual(status, answer.status, word)
        runs = running.list_run_ids(running.services).count(request_id)
        case.assertEqual(0 if status == 503 else 1, runs, word)


def test_refusals_say_when_to_return(case: support.Case) -> None:
    """A call that no server took has a Retry-After."""
    running = start_fleet(case)
    answer = send(running.entries[0].address, '/once/shed')
    case.assertGreater(float(answer.headers['retry-after']), 0.0)


def test_bounds_of_requests_are_kept(case: support.Case) -> None:
    """Large bodies and headers, unknown keys and routes are refused."""
    running = start_fleet(case, hosts=1)
    address = running.entries[0].address
    long = {'x-long': 'x' * 20_000}
    case.assertEqual(413, send(address, '/once/a', body=b'x' * 200_000).status)
    case.assertEqual(431, send(address, '/once/a', headers=long).status)
    case.assertEqual(401, send(address, '/once/a', key='none').status)
    case.assertEqual(404, send(address, '/none/a').status)


def test_key_is_revoked_within_its_bound(case: support.Case) -> None:
    """Also while the store is silent, no host uses a key for longer."""
    running = start_fleet(case)
    address = running.entries[0].address
    running.write_desired_state(tenants=[])
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 401, 'the key still works'
    )
    running.write_desired_state()
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 200, 'the key is back'
    )
    running.set_store_fault('silent')
    cut_at = time.monotonic()
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 503, 'the key still works'
    )
    case.assertLess(time.monotonic() - cut_at, REVOCATION_SECONDS)
    running.set_store_fault('none')
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 200, 'the store is back'
    )


def test_lost_history_is_read_again(case: support.Case) -> None:
    """After the store has forgotten its history, changes still arrive."""
    running = start_fleet(case, hosts=1)
    running.set_store_fault('forget')
    running.write_desired_state(tenants=[])
    started = time.monotonic()
    address = running.entries[0].address
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 401, 'the old state holds'
    )
    case.assertLess(time.monotonic() - started, APPLY_SECONDS)


def test_weights_are_rolled_out_by_one_host(case: support.Case) -> None:
    """All engines load the newest version, ordered by one holder."""
    running = start_fleet(case, hosts=3)
    running.set_weights_version(2)

    def list_states() -> list[dict[str, object]]:
        return [
            deployment.call('GET', engine.address, '/standin/state')
            for engine in running.engines
        ]

    deployment.wait_until(
        lambda: all(state['weights'] == 2 for state in list_states()),
        'the engines keep old weights',
    )
    orders = [order for state in list_states() for order in state['orders']]
    case.assertEqual(1, len({order['holder'] for order in orders}))
    case.assertEqual(2, len(orders))
    streamed = send(running.entries[0].address, '/stream/whole')
    case.assertEqual(SERVED, streamed.body)


def test_leaving_server_gets_nothing_new(case: support.Case) -> None:
    """A server that says it leaves is passed over within the bound."""
    running = start_fleet(case, hosts=1, plain=2)
    first = running.services[0]
    deployment.call(
        'POST', first.address, '/standin/state', {'state': 'draining'}
    )
    time.sleep(2.0)
    before = len(running.list_run_ids([first]))
    for _ in range(20):
        case.assertEqual(
            200, send(running.entries[0].address, '/once/a').status
        )
    case.assertEqual(before, len(running.list_run_ids([first])))


def test_caller_that_leaves_frees_its_server(case: support.Case) -> None:
    """The work ends at the host soon after the channel has closed."""
    running = start_fleet(case, hosts=1)
    member = running.entries[0]
    host, _, port = member.address.rpartition(':')
    request = (
        f'POST /stream/silent HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
        'X-Pistachioseam-Request-Id: 77\r\n\r\n'
    )
    with contextlib.closing(socket.create_connection((host, int(port)))) as s:
        s.sendall(request.encode())
        deployment.wait_until(
            lambda: running.dump(member)['own_loads'], 'nothing was sent'
        )
    left_at = time.monotonic()
    deployment.wait_until(
        lambda: not running.dump(member)['own_loads'], 'the work goes on'
    )
    case.assertLess(time.monotonic() - left_at, 0.5)


def test_planned_stop_cuts_off_nothing(case: support.Case) -> None:
    """Calls in progress and on kept channels are answered until the end."""
    running = start_fleet(case, hosts=1)
    member = running.entries[0]
    host, _, port = member.address.rpartition(':')
    connection = client.HTTPConnection(host, int(port), timeout=10)
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
    }

    def ask() -> client.HTTPResponse:
        headers['x-pistachioseam-request-id'] = uuid.uuid4().hex
        connection.request('POST', '/once/a', b'b', headers)
        response = connection.getresponse()
        response.read()
        return response

    with contextlib.closing(connection):
        case.assertEqual(200, ask().status)
        member.process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        response = ask()
        case.assertEqual(200, response.status)
        case.assertEqual('close', response.getheader('connection'))
    case.assertEqual(0, member.process.wait(8.0))


def test_reload_signal_puts_bounds_in_force(case: support.Case) -> None:
    """Changed bounds hold after SIGHUP; defects change nothing."""
    running = start_fleet(case, hosts=1)
    member = running.entries[0]
    path = running.folder / 'host-1.yaml'
    sound = path.read_text()
    path.write_text(sound.replace('revocation_ms: 5000', 'revocation_ms: -1'))
    member.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    case.assertEqual(200, send(member.address, '/once/a').status)
    log = (running.folder / 'host-1.log').read_text()
    case.assertIn('bounds.revocation_ms', log)
    path.write_text(sound.replace('revocation_ms: 5000', 'revocation_ms: 401'))
    member.process.send_signal(signal.SIGHUP)
    deployment.wait_until(
        lambda: send(member.address, '/once/a').status == 503,
        'the former bound still holds',
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
