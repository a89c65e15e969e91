"""Calls forwarded by hosts that use the stand-in of the metadata store.

The last segment of a path selects the behaviour of the server stand-in, see
`pistachioseam_standins.fleet_server`.
"""

import collections
from concurrent import futures
import contextlib
from http import client
import itertools
import pathlib
import signal
import socket
import time
import uuid

import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from pistachioseam_standins import fleet_server
from tests import deployments
from tests import support

WHOLE_STREAM = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 9)
)
MAX_REVOCATION_SECONDS = 5.0
MAX_APPLY_SECONDS = 3.0
ODD_ENTRY_SECONDS = 1.5
COPY_ROUNDS = 12
SLOW_READ_BYTES = 150_000
SLOW_READ_SECONDS = 0.1
SHUTDOWN_SECONDS = 8.0
LIMIT_STABLE_SECONDS = 4.0
LIMIT_WINDOW_SECONDS = 4.0
PRESS_SECONDS = 10.0


class RunningFleet(fixtures.Fixture):
    """Run stand-ins and hosts on loopback while a test runs."""

    def __init__(self, spec: fleet.FleetSpec | None = None) -> None:
        super().__init__()
        self._spec = spec or fleet.FleetSpec()

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        running = fleet.Fleet(self._spec, folder)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__)


def start_fleet(case: support.Case, **counts: int) -> fleet.Fleet:
    """Return a running fleet of the given size; it ends with the test."""
    fixture = RunningFleet(fleet.FleetSpec(**counts))
    running: fleet.Fleet = case.useFixture(fixture).fleet
    return running


def send(
    address: str,
    path: str,
    key: str = 'key-1',
    body: bytes = b'content',
    headers: dict[str, str] | None = None,
    request_id: str = '',
) -> deployments.Response:
    """Send a request with an account's API key."""
    request_headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': f'Bearer {key}',
        'x-pistachioseam-request-id': request_id or uuid.uuid4().hex,
        'x-pistachioseam-deadline-ms': '3000',
        **(headers or {}),
    }
    return deployments.send(address, 'POST', path, body, request_headers)


def test_plain_and_streamed_calls_are_served(case: support.Case) -> None:
    """Every host forwards whole plain responses and whole streams."""
    running = start_fleet(case)
    for host in running.entries:
        plain = send(host.address, '/once/whole')
        case.assertEqual((200, b'content'), (plain.status, plain.body))
        case.assertIn('x-pistachioseam-server-stamp', plain.headers)
        streamed = send(host.address, '/stream/whole')
        case.assertEqual((200, WHOLE_STREAM), (streamed.status, streamed.body))


def test_interrupted_stream_is_resumed(case: support.Case) -> None:
    """When an engine aborts a stream, another engine sends the rest."""
    running = start_fleet(case)
    response = send(running.entries[0].address, '/resumable/tear')
    case.assertEqual((200, WHOLE_STREAM), (response.status, response.body))


def test_interrupted_non_resumable_stream_breaks_the_connection(
    case: support.Case,
) -> None:
    """A broken connection shows the caller that the stream is incomplete."""
    running = start_fleet(case)
    with case.assertRaises(deployments.CONNECTION_ERRORS):
        send(running.entries[0].address, '/stream/tear')


def test_non_idempotent_calls_run_at_most_once(case: support.Case) -> None:
    """A missing, foreign or refusing response never leads to a second run.

    `cut` aborts the connection without a response, `foreign` responds only
    with the id of another request, so that the call waits for its own response
    until its time is over, `shed` refuses without running.
    """
    running = start_fleet(case)
    for behaviour, status in (('cut', 502), ('foreign', 504), ('shed', 503)):
        request_id = uuid.uuid4().hex
        response = send(
            running.entries[0].address,
            f'/once/{behaviour}',
            request_id=request_id,
        )
        case.assertEqual(status, response.status, behaviour)
        run_count = running.list_executed_request_ids(running.services).count(
            request_id
        )
        case.assertEqual(0 if status == 503 else 1, run_count, behaviour)


def test_refusals_have_retry_after(case: support.Case) -> None:
    """The refusal of a call that no server executed has Retry-After."""
    running = start_fleet(case)
    response = send(running.entries[0].address, '/once/shed')
    case.assertGreater(float(response.headers['retry-after']), 0.0)


def test_invalid_requests_are_refused(case: support.Case) -> None:
    """Oversized requests and unknown keys and routes are refused."""
    running = start_fleet(case, hosts=1)
    address = running.entries[0].address
    large_headers = {'x-long': 'x' * 20_000}
    case.assertEqual(413, send(address, '/once/a', body=b'x' * 200_000).status)
    case.assertEqual(
        431, send(address, '/once/a', headers=large_headers).status
    )
    case.assertEqual(401, send(address, '/once/a', key='none').status)
    case.assertEqual(404, send(address, '/none/a').status)


def test_api_key_is_revoked_in_time(case: support.Case) -> None:
    """A key stops working in time when revoked or the store is unresponsive.

    A host that cannot confirm its keys at the store refuses calls after the
    revocation bound.
    """
    running = start_fleet(case)
    address = running.entries[0].address
    running.write_desired_state(tenants=[])
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 401, 'the key still works'
    )
    running.write_desired_state()
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 200,
        'the key is still refused',
    )
    running.set_store_fault('silent')
    silenced_at = time.monotonic()
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 503,
        'calls are not refused while the store does not respond',
    )
    case.assertLess(time.monotonic() - silenced_at, MAX_REVOCATION_SECONDS)
    running.set_store_fault('none')
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 200,
        'calls are still refused',
    )


def test_lost_store_history_is_recovered(case: support.Case) -> None:
    """Changes take effect after the store has lost its change history."""
    running = start_fleet(case, hosts=1)
    running.set_store_fault('forget')
    running.write_desired_state(tenants=[])
    started = time.monotonic()
    address = running.entries[0].address
    deployment.wait_until(
        lambda: send(address, '/once/a').status == 401,
        'the old state is still in force',
    )
    case.assertLess(time.monotonic() - started, MAX_APPLY_SECONDS)


def test_weights_are_rolled_out_by_one_host(case: support.Case) -> None:
    """All engines load the newest version, ordered by one lease holder."""
    running = start_fleet(case, hosts=3)
    running.set_weights_version(2)

    def list_states() -> list[dict[str, object]]:
        return [
            deployment.call('GET', engine.address, '/standin/state')
            for engine in running.engines
        ]

    deployment.wait_until(
        lambda: all(state['weights'] == 2 for state in list_states()),
        'some engine still has old weights',
    )
    orders = [order for state in list_states() for order in state['orders']]
    case.assertEqual(1, len({order['holder'] for order in orders}))
    case.assertEqual(2, len(orders))
    streamed = send(running.entries[0].address, '/stream/whole')
    case.assertEqual(WHOLE_STREAM, streamed.body)


def test_draining_server_gets_no_new_calls(case: support.Case) -> None:
    """A server gets no new calls 2 s after it reports that it is draining."""
    check_draining_server(case, start_fleet(case, hosts=1, plain=2))


def check_draining_server(case: support.Case, running: fleet.Fleet) -> None:
    """Let a plain server drain and check that it gets no new calls."""
    draining_server = running.services[0]
    deployment.call(
        'POST',
        draining_server.address,
        '/standin/state',
        {'state': 'draining'},
    )
    time.sleep(2.0)
    run_count = len(running.list_executed_request_ids([draining_server]))
    for _ in range(20):
        case.assertEqual(
            200, send(running.entries[0].address, '/once/a').status
        )
    case.assertEqual(
        run_count, len(running.list_executed_request_ids([draining_server]))
    )


def test_draining_server_beside_an_odd_entry_gets_no_new_calls(
    case: support.Case,
) -> None:
    """Guards against DRAIN: another writer's entry ended the watch of all."""
    running = start_fleet(case, hosts=1, plain=2)
    running.write_row('servers', 'odd', {'born': float('inf')})
    running.write_raw_row('servers', 'odd-too', '[' * 20_000)
    time.sleep(ODD_ENTRY_SECONDS)
    check_draining_server(case, running)


def check_copies_decide_nothing(
    case: support.Case, behaviours: tuple[str, ...], keeps_id: bool = False
) -> None:
    """Check that orders and streams run at most once, refused ones never.

    A caller that keeps its id sends the same request with all behaviours.
    """
    running = start_fleet(case, hosts=1, engines=2, plain=2)
    host = running.entries[0].address
    for prefix in ('/once/', '/stream/'):
        statuses: dict[str, int] = {}
        for number in range(COPY_ROUNDS):
            for behaviour in behaviours:
                request_id = f'{number}-{prefix}'
                if not keeps_id:
                    request_id += behaviour
                response = send(
                    host, prefix + behaviour, request_id=request_id
                )
                statuses[request_id] = response.status
        runs = collections.Counter(running.list_logged_request_ids())
        for request_id, status in statuses.items():
            case.assertLessEqual(runs[request_id], 1, request_id)
            if status == 503:
                case.assertEqual(0, runs[request_id], request_id)
        case.assertIn(200, statuses.values())


def test_late_copies_of_rejections_decide_about_no_other_call(
    case: support.Case,
) -> None:
    """Guards against TWICE and REFUSED, for orders and streams alike."""
    check_copies_decide_nothing(case, ('copy', 'whole', 'again'))


def test_late_copies_of_rejections_decide_about_no_repeat_of_their_call(
    case: support.Case,
) -> None:
    """The same when a caller sends a rejected request again under its id."""
    check_copies_decide_nothing(case, ('copy', 'whole'), keeps_id=True)


def test_torn_copies_of_rejections_decide_about_no_other_call(
    case: support.Case,
) -> None:
    """The same for copies that break off in their head."""
    check_copies_decide_nothing(case, ('torn', 'whole'))


def test_call_that_ran_is_not_refused_as_not_run(case: support.Case) -> None:
    """Guards against REFUSED: a server's 503 without proof is no promise."""
    running = start_fleet(case, hosts=1, engines=1, plain=1)
    host = running.entries[0].address
    for prefix in ('/once/', '/stream/'):
        response = send(host, prefix + 'unproven', request_id=prefix)
        case.assertIn(prefix, running.list_logged_request_ids())
        case.assertEqual(502, response.status)


def count_received(servers: list[deployment.ServerProcess]) -> list[int]:
    """Return the number of requests that each server has received."""
    return [
        len(
            deployment.call('GET', server.address, '/standin/state')[
                'received_at'
            ]
        )
        for server in servers
    ]


def test_server_that_says_it_leaves_gets_no_new_calls(
    case: support.Case,
) -> None:
    """Its entry in the store still says that it is ready."""
    running = start_fleet(case, hosts=2, plain=2)
    first = running.entries[0].address
    case.assertEqual(200, send(first, '/safe/leave').status)
    before = count_received(running.services)
    # Peers learn of it with the next status of the host.
    time.sleep(1.0)
    for host in running.entries:
        for _ in range(6):
            case.assertEqual(200, send(host.address, '/safe/whole').status)
    gained = [
        after - number
        for after, number in zip(
            count_received(running.services), before, strict=True
        )
    ]
    case.assertEqual([0, 12], sorted(gained))


def test_servers_that_ask_for_a_pause_get_nothing(
    case: support.Case,
) -> None:
    """All do; callers are refused at once and told when to come back."""
    running = start_fleet(case, hosts=1, plain=2)
    address = running.entries[0].address
    refused = send(address, '/safe/pause')
    case.assertEqual(503, refused.status)
    received = count_received(running.services)
    case.assertEqual([1, 1], received)
    refused = send(address, '/safe/whole')
    case.assertEqual(503, refused.status)
    seconds = float(refused.headers['retry-after'])
    case.assertTrue(
        fleet_server.PAUSE_SECONDS / 2 < seconds < 3.0, f'{seconds} s'
    )
    case.assertEqual(received, count_received(running.services))
    time.sleep(seconds)
    case.assertEqual(200, send(address, '/safe/whole').status)


def test_hosts_share_the_limit_of_a_server(case: support.Case) -> None:
    """Callers press at all hosts; the limit is kept, and used."""
    running = start_fleet(case, hosts=3, plain=1)
    case.assertEqual(
        200, send(running.entries[0].address, '/safe/limit').status
    )
    start = time.time()
    with futures.ThreadPoolExecutor(len(running.entries)) as callers:
        for host in running.entries:
            callers.submit(press, host.address, start + PRESS_SECONDS)
    server = running.services[0].address
    state = deployment.call('GET', server, '/standin/state')
    times = [
        at for at in state['received_at'] if at > start + LIMIT_STABLE_SECONDS
    ]
    most = max(
        sum(at <= other < at + LIMIT_WINDOW_SECONDS for other in times)
        for at in times
    )
    due = fleet_server.REQUESTS_PER_SECOND * LIMIT_WINDOW_SECONDS
    case.assertLessEqual(most, 1.5 * due + 5)
    case.assertGreaterEqual(most, 0.8 * due)


def press(address: str, end: float) -> None:
    """Send requests one after the other until a time is reached."""
    while time.time() < end:
        send(address, '/safe/whole')
        time.sleep(0.02)


def test_crashing_prompt_part_reaches_no_further_server(
    case: support.Case,
) -> None:
    """Unlike requests with one prompt part crashed server after server."""
    running = start_fleet(case, hosts=2, engines=5)
    requests = itertools.count()

    def send_prompt(
        number: int, path: str, *names: str
    ) -> deployments.Response:
        own = f'own{next(requests)}'
        prefix = ','.join(f'{name}:10' for name in (*names, own))
        return send(
            running.entries[number % 2].address,
            path,
            body=own.encode(),
            headers={
                'x-pistachioseam-model': fleet.MODEL,
                'x-pistachioseam-token-count': '30,5',
                'x-pistachioseam-prompt-prefix': prefix,
            },
        )

    for number in range(3):
        response = send_prompt(number, '/stream/crash', 'base', 'bad')
        case.assertEqual(502, response.status)
        # Crashes within half a second are one occasion.
        time.sleep(0.7)
        response = send_prompt(number, '/stream/whole', 'base', 'good')
        case.assertEqual(200, response.status)
    for number in range(2):
        response = send_prompt(number, '/stream/crash', 'bad', 'other')
        case.assertEqual(503, response.status)
        case.assertIn(b'prompt part bad', response.body)
        response = send_prompt(number, '/stream/whole', 'base', 'good')
        case.assertEqual(200, response.status)
    for host in running.entries:
        quarantined = running.dump(host)['quarantined_parts']
        case.assertEqual([[fleet.MODEL, 'bad']], quarantined)


def test_restored_store_takes_nothing_back(case: support.Case) -> None:
    """The store comes back from a copy that is older than the last changes.

    A route that the operators had added stays in force, new servers stay
    known, fencing tokens grow, and later changes reach all hosts.
    """
    running = start_fleet(case, hosts=2, engines=1, plain=1)
    running.set_weights_version(2)
    wait_weights(running, 2)
    running.set_store_fault('copy')
    later = fleet.create_desired_state(0)['routes']
    later.append({**later[0], 'name': 'later', 'prefix': '/later/'})
    running.write_desired_state(routes=later)
    wait_status(running, '/later/whole', 200)
    running.set_weights_version(3)
    wait_weights(running, 3)
    running.set_store_fault('restore')
    deployment.wait_until(
        lambda: all(
            'store restored' in path.read_text(errors='replace')
            for path in running.folder.glob('host-*.log')
        ),
        'some host has not noticed the new era of the store',
    )
    time.sleep(1.0)
    for host in running.entries:
        case.assertEqual(200, send(host.address, '/later/whole').status)
        case.assertEqual(200, send(host.address, '/stream/whole').status)
    running.write_desired_state()
    wait_status(running, '/later/whole', 404)
    running.set_weights_version(4)
    wait_weights(running, 4)
    state = deployment.call(
        'GET', running.engines[0].address, '/standin/state'
    )
    tokens = [order['fencingToken'] for order in state['orders']]
    case.assertEqual(3, len(tokens))
    case.assertEqual(sorted(tokens), tokens)
    case.assertLess(tokens[1], tokens[2])


def wait_weights(running: fleet.Fleet, version: int) -> None:
    """Wait until all engines run a version of the weights."""
    deployment.wait_until(
        lambda: all(
            deployment.call('GET', server.address, '/standin/state')['weights']
            == version
            for server in running.engines
        ),
        f'some engine does not run weights version {version}',
    )


def wait_status(running: fleet.Fleet, path: str, status: int) -> None:
    """Wait until all hosts respond with a status to a path."""
    deployment.wait_until(
        lambda: all(
            send(host.address, path).status == status
            for host in running.entries
        ),
        f'some host does not respond with {status} to {path}',
    )


def test_caller_disconnect_cancels_its_call(case: support.Case) -> None:
    """A host cancels a call soon after its caller's connection is closed."""
    running = start_fleet(case, hosts=1)
    host_process = running.entries[0]
    host, _, port = host_process.address.rpartition(':')
    request = (
        f'POST /stream/silent HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
        'X-Pistachioseam-Request-Id: 77\r\n\r\n'
    )
    with contextlib.closing(socket.create_connection((host, int(port)))) as s:
        s.sendall(request.encode())
        deployment.wait_until(
            lambda: running.dump(host_process)['own_loads'],
            'the call was not forwarded',
        )
    disconnected_at = time.monotonic()
    deployment.wait_until(
        lambda: not running.dump(host_process)['own_loads'],
        'the call is still in flight',
    )
    case.assertLess(time.monotonic() - disconnected_at, 0.5)


def test_planned_stop_serves_the_open_connection(case: support.Case) -> None:
    """A stopping host serves a call on an open connection, then closes it."""
    running = start_fleet(case, hosts=1)
    host_process = running.entries[0]
    host, _, port = host_process.address.rpartition(':')
    connection = client.HTTPConnection(host, int(port), timeout=10)
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
    }

    def send_on_connection() -> client.HTTPResponse:
        headers['x-pistachioseam-request-id'] = uuid.uuid4().hex
        connection.request('POST', '/once/a', b'b', headers)
        response = connection.getresponse()
        response.read()
        return response

    with contextlib.closing(connection):
        case.assertEqual(200, send_on_connection().status)
        host_process.process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        response = send_on_connection()
        case.assertEqual(200, response.status)
        case.assertEqual('close', response.getheader('connection'))
    case.assertEqual(0, host_process.process.wait(8.0))


def test_planned_stop_waits_until_slow_callers_have_their_answers(
    case: support.Case,
) -> None:
    """Guards against LOST: a large answer is read over some seconds."""
    running = start_fleet(case, hosts=1)
    host_process = running.entries[0]
    host, _, port = host_process.address.rpartition(':')
    request = (
        f'POST /safe/large HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
        'X-Pistachioseam-Request-Id: 78\r\n\r\n'
    )
    received = 0
    with contextlib.closing(socket.socket()) as s:
        # Most of the answer stays with the host.
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
        s.settimeout(10.0)
        s.connect((host, int(port)))
        s.sendall(request.encode())
        first = s.recv(SLOW_READ_BYTES)
        case.assertTrue(first.startswith(b'HTTP/1.1 200 '), first[:400])
        received += len(first)
        host_process.process.send_signal(signal.SIGTERM)
        while part := s.recv(SLOW_READ_BYTES):
            received += len(part)
            time.sleep(SLOW_READ_SECONDS)
    case.assertGreater(received, fleet_server.LARGE_BYTES)
    case.assertEqual(0, host_process.process.wait(10))


def test_planned_stop_ends_though_a_caller_reads_nothing(
    case: support.Case,
) -> None:
    """The caller must not hold up the stop beyond the shutdown limit."""
    running = start_fleet(case, hosts=1)
    host_process = running.entries[0]
    host, _, port = host_process.address.rpartition(':')
    request = (
        f'POST /safe/large HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
        'X-Pistachioseam-Request-Id: 79\r\n\r\n'
    )
    with contextlib.closing(socket.create_connection((host, int(port)))) as s:
        s.sendall(request.encode())
        s.recv(1)
        host_process.process.send_signal(signal.SIGTERM)
        case.assertEqual(0, host_process.process.wait(SHUTDOWN_SECONDS))


def test_reload_signal_applies_bounds(case: support.Case) -> None:
    """SIGHUP applies changed bounds; an invalid file changes nothing."""
    running = start_fleet(case, hosts=1)
    host_process = running.entries[0]
    path = running.folder / 'host-1.yaml'
    valid_settings = path.read_text()
    path.write_text(
        valid_settings.replace('revocation_ms: 5000', 'revocation_ms: -1')
    )
    host_process.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    case.assertEqual(200, send(host_process.address, '/once/a').status)
    log = (running.folder / 'host-1.log').read_text()
    case.assertIn('bounds.revocation_ms', log)
    # Keys are accepted for 400 ms less than the bound (KEY_MARGIN_SECONDS of
    # `freshness`), so 1 ms after a read of the store the host refuses calls.
    path.write_text(
        valid_settings.replace('revocation_ms: 5000', 'revocation_ms: 401')
    )
    host_process.process.send_signal(signal.SIGHUP)
    deployment.wait_until(
        lambda: send(host_process.address, '/once/a').status == 503,
        'the former bound is still in force',
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
