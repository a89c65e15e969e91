"""The checks of the soak test find each kind of violation."""

import contextlib
import pathlib
import socket
import threading

import attrs
import fixtures
from twisted.internet import task
from twisted.internet import testing

from pistachioseam_standins import adversarial_server
from pistachioseam_standins import adversary
from pistachioseam_standins import fleet
from pistachioseam_standins import run_queues
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests import support

HOST = '127.0.0.1:1'
RESULT = callers.CallResult(
    request_id='id-1',
    prefix='/once/',
    behaviour='whole',
    address=HOST,
    connected_at=10.0,
    sent_at=20.0,
    status=200,
    has_begun=True,
    response_id='id-1',
    body=b'id-1',
    is_stamped=True,
)
UNANSWERED = attrs.evolve(
    RESULT, status=0, has_begun=False, response_id='', body=b''
)
REFUSED = attrs.evolve(
    RESULT, status=503, body=b'{"error": {}}', is_stamped=False
)


def _find(
    result: callers.CallResult, run_count: int, *kills: checks.Kill
) -> list[str]:
    found = checks.find_violations([result], ['id-1'] * run_count, kills)
    return [violation.message.partition(':')[0] for violation in found]


def test_allowed_results_are_no_violations(case: support.Case) -> None:
    """Served calls, and refused or unanswered ones that did not run."""
    for result, run_count in ((RESULT, 1), (REFUSED, 0), (UNANSWERED, 0)):
        case.assertEqual([], _find(result, run_count))


def test_violations_are_found(case: support.Case) -> None:
    """Each kind of violation gets its own message."""
    case.assertEqual(['ran 2 times'], _find(RESULT, 2))
    case.assertEqual(['refused as not run but ran'], _find(REFUSED, 1))
    stamped = attrs.evolve(REFUSED, is_stamped=True)
    case.assertEqual(['refused as not run but ran'], _find(stamped, 1))
    safe = attrs.evolve(stamped, prefix='/safe/')
    case.assertEqual([], _find(safe, 1))
    foreign = attrs.evolve(RESULT, response_id='id-2')
    case.assertEqual(['response of another call'], _find(foreign, 1))
    swapped = attrs.evolve(RESULT, body=b'id-2')
    case.assertEqual(['incomplete or foreign response'], _find(swapped, 1))


def test_call_over_the_quota_that_ran_is_found(case: support.Case) -> None:
    """On every route, a host that answers 429 must not have sent the call."""
    for prefix in fleet.ROUTES:
        rejected = attrs.evolve(REFUSED, status=429, prefix=prefix)
        case.assertEqual([], _find(rejected, 0))
        case.assertEqual(['refused as not run but ran'], _find(rejected, 1))


def _find_excess(times: list[tuple[float, float]], **fields: str) -> list[str]:
    """Return the rules that prompts break, sent and arrived at times.

    They cost 28 tokens each; 112 may run in 8 s.
    """
    bound = checks.QuotaBound(callers.LIMITED_ACCOUNT, 8.0, 112.0)
    prompt = attrs.evolve(RESULT, prefix='/stream/', account=bound.account)
    prompt = attrs.evolve(prompt, **fields)
    results, arrivals = [], []
    for number, (sent_at, arrived_at) in enumerate(times):
        name = f'id-{number}'
        results.append(attrs.evolve(prompt, request_id=name, sent_at=sent_at))
        # The quota covers the second attempt; the first one counts.
        arrivals += [(name, arrived_at), (name, arrived_at + 0.2)]
    found = checks.find_quota_excess(results, arrivals, bound)
    return [violation.rule for violation in found]


def test_runs_over_the_quota_in_a_sliding_window_are_found(
    case: support.Case,
) -> None:
    """Guards against hosts that together send more than a quota allows."""
    full = [(14.0, 14.1), (15.0, 15.1), (16.0, 16.1), (21.8, 21.9)]
    excess = [*full, (14.5, 14.6)]
    case.assertEqual(['QUOTA'], _find_excess(excess))
    case.assertEqual([], _find_excess(excess, prefix='/once/'))
    case.assertEqual([], _find_excess(excess, account=callers.ACCOUNT))
    # Sent before the window of the others, or arrived after it.
    for times in ((13.8, 13.9), (13.0, 14.6), (14.5, 22.1)):
        case.assertEqual([], _find_excess([*full, times]))


def test_work_that_runs_under_two_ids_is_found(case: support.Case) -> None:
    """A call that is sent again after a broken promise runs again."""
    again = attrs.evolve(
        RESULT, request_id='id-2', response_id='id-2', body=b'id-2'
    )
    results = [
        attrs.evolve(RESULT, work='id-1'),
        attrs.evolve(again, work='id-1'),
    ]
    found = checks.find_violations(results, ['id-1', 'id-2'], [])
    case.assertEqual(['AGAIN'], [violation.rule for violation in found])
    case.assertEqual([], checks.find_violations(results, ['id-2'], []))


def _find_repeated(*executed: str) -> list[str]:
    """Return the broken rules of a refused call that is served again."""
    served = attrs.evolve(RESULT, repeat=1, body=b'id-1/1')
    found = checks.find_violations([REFUSED, served], executed, [])
    return [violation.rule for violation in found]


def test_refused_call_may_run_when_it_is_sent_again_under_its_id(
    case: support.Case,
) -> None:
    """Servers tell the sendings apart; the id runs once in all."""
    case.assertEqual([], _find_repeated('id-1/1'))
    case.assertEqual(['REFUSED'], _find_repeated('id-1'))
    case.assertEqual(['REFUSED', 'TWICE'], _find_repeated('id-1', 'id-1/1'))
    case.assertEqual(['TWICE'], _find_repeated('id-1/1', 'id-1/1'))
    case.assertEqual(['UNASKED'], _find_repeated('id-1/1', 'id-1/2'))
    twice_refused = [REFUSED, attrs.evolve(REFUSED, repeat=1)]
    for executed in ('id-1', 'id-1/1'):
        found = checks.find_violations(twice_refused, [executed], [])
        case.assertEqual(['REFUSED'], [violation.rule for violation in found])
    swapped = attrs.evolve(RESULT, repeat=1)
    found = checks.find_violations([swapped], ['id-1/1'], [])
    case.assertEqual(['MIXED'], [violation.rule for violation in found])


def test_id_that_comes_again_on_its_connection_is_found(
    case: support.Case,
) -> None:
    """Servers log it; other connections may carry the id."""
    server = adversarial_server.AdversarialServer(
        *[''] * 6, faults=adversary.Faults(rejected=1.0, copied=0.0)
    )
    first, second = (adversarial_server.Connection(server) for _ in range(2))
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    running = faults.SoakFleet(fleet.FleetSpec(), folder)
    path = folder / 'plain-1.log'
    with path.open('w') as log, contextlib.redirect_stdout(log):
        for connection in (first, second):
            connection.makeConnection(testing.StringTransport())
        for connection, name in (
            *((first, 'id-1'), (second, 'id-1'), (first, 'id-2')),
            *((first, 'id-1'), (first, ''), (first, '')),
        ):
            connection.dataReceived(
                b'POST / HTTP/1.1\r\nX-Pistachioseam-Request-Id: %b'
                b'\r\n\r\n' % name.encode()
            )
    found = running.find_violations([])
    case.assertEqual(
        [('REPEATED', 'id-1')], [(v.rule, v.request_id) for v in found]
    )


def test_call_that_ran_though_reset_as_unread_is_found(
    case: support.Case,
) -> None:
    """A reset tells callers that the host has not read the request."""
    kill = checks.Kill(HOST, 5.0, 25.0)
    reset = attrs.evolve(UNANSWERED, is_reset=True)
    case.assertEqual(['reset as unread but ran'], _find(reset, 1, kill))
    case.assertEqual([], _find(reset, 0, kill))


def test_streams_of_two_software_versions_are_found(
    case: support.Case,
) -> None:
    """Joined within one response, or over the tries of a caller."""
    first, second = callers.WHOLE_STREAMS
    head = first[: first.index(b'id: 4')]
    rest = second[second.index(b'id: 4') :]
    stream = attrs.evolve(RESULT, prefix='/resumable/', body=first)
    case.assertEqual([], _find(stream, 1))
    resumed = attrs.evolve(stream, received=head, body=first[len(head) :])
    case.assertEqual([], _find(resumed, 1))
    violation = ['incomplete or foreign response']
    joined = attrs.evolve(stream, body=head + rest)
    case.assertEqual(violation, _find(joined, 1))
    case.assertEqual(violation, _find(attrs.evolve(resumed, body=rest), 1))


def test_only_a_kill_of_the_host_excuses_a_lost_response(
    case: support.Case,
) -> None:
    """The killed process must have had the connection and got the call."""
    violation = ['ran but got no response']
    case.assertEqual(violation, _find(UNANSWERED, 1))
    for started_at, killed_at, expected in (
        (5.0, 25.0, []),
        (5.0, 15.0, violation),
        (12.0, 25.0, violation),
    ):
        kill = checks.Kill(HOST, started_at, killed_at)
        case.assertEqual(expected, _find(UNANSWERED, 1, kill))
    other_kill = checks.Kill('127.0.0.1:2', 5.0, 25.0)
    case.assertEqual(violation, _find(UNANSWERED, 1, other_kill))


BOUNDS = checks.WeightsBounds(weights_seconds=8.0, stable_seconds=4.0)
NAMINGS = (checks.Naming(2, 100.0), checks.Naming(3, 105.0))
BEGIN = checks.Begin('id-1', 1, 107.0, 108.5)


def _measure_outdated(
    begin: checks.Begin, *disturbances: checks.Disturbance
) -> list[str]:
    found = checks.find_outdated_begins(
        [begin], NAMINGS, disturbances, {'id-1': HOST}, BOUNDS
    )
    return [violation.rule for violation in found]


def answer_one(server: socket.socket, content: bytes) -> None:
    """Send some bytes to one caller, and the end of the connection."""
    accepted, _ = server.accept()
    with accepted:
        accepted.sendall(content)
        accepted.shutdown(socket.SHUT_WR)
        while accepted.recv(callers.READ_BYTES):
            pass


def test_truncated_response_of_declared_length_is_no_response(
    case: support.Case,
) -> None:
    """A killed host was taken for one that ends half a body as the whole."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
    for body, status in ((b'ab', 0), (b'abcd', 200)):
        with socket.create_server(('127.0.0.1', 0)) as server:
            address, port = server.getsockname()
            answering = threading.Thread(
                target=answer_one, args=(server, head + body)
            )
            answering.start()
            result = callers.call(f'{address}:{port}', '/safe/', 'whole')
            answering.join()
        case.assertEqual((status, body), (result.status, result.body))
        case.assertEqual(not status, bool(result.error))


def test_calls_that_arrive_long_after_their_callers_left_are_found(
    case: support.Case,
) -> None:
    """A few are allowed; those of hosts and links in trouble do not count."""
    left = attrs.evolve(UNANSWERED, left_at=20.3)
    count = checks.MAX_LATE_CALLS + 1
    for arrived_at, found in ((20.7, 0), (21.0, count)):
        arrivals = [('id-1', arrived_at)] * count
        late = checks.find_late_arrivals([left], arrivals, ())
        case.assertEqual(['GONE'] * found, [each.rule for each in late])
    case.assertEqual([], checks.find_late_arrivals([left], arrivals[1:], ()))
    case.assertEqual([], _find(left, 1))
    for kind, is_excused in (
        ({'is_holding': True}, True),
        ({'is_holding': True, 'host': HOST}, True),
        ({'is_holding': True, 'host': 'other'}, False),
        ({'host': HOST}, False),
        ({'is_link': True, 'is_store': True}, False),
    ):
        disturbance = checks.Disturbance(
            started_at=20.5, ended_at=20.9, **kind
        )
        late = checks.find_late_arrivals([left], arrivals, [disturbance])
        case.assertEqual(is_excused, not late, kind)


def test_run_that_begins_on_replaced_weights_is_found(
    case: support.Case,
) -> None:
    """Each version counts from its own acknowledgement."""
    case.assertEqual(['VERSION'], _measure_outdated(BEGIN))
    in_time = attrs.evolve(BEGIN, begun_at=107.9)
    case.assertEqual([], _measure_outdated(in_time))
    newer = attrs.evolve(BEGIN, version=2)
    case.assertEqual([], _measure_outdated(newer))
    late = attrs.evolve(newer, begun_at=113.1)
    case.assertEqual(['VERSION'], _measure_outdated(late))
    newest = attrs.evolve(BEGIN, version=3, begun_at=200.0)
    case.assertEqual([], _measure_outdated(newest))


def test_run_of_a_host_out_of_touch_is_excused(case: support.Case) -> None:
    """Only by a disturbance of its own host shortly before it was sent."""
    frozen = checks.Disturbance(started_at=102.0, ended_at=103.5, host=HOST)
    case.assertEqual([], _measure_outdated(BEGIN, frozen))
    thawed = attrs.evolve(frozen, ended_at=102.9)
    case.assertEqual(['VERSION'], _measure_outdated(BEGIN, thawed))
    after = attrs.evolve(frozen, started_at=107.1, ended_at=108.0)
    case.assertEqual(['VERSION'], _measure_outdated(BEGIN, after))
    lasting = checks.Disturbance(started_at=90.0, host=HOST)
    case.assertEqual([], _measure_outdated(BEGIN, lasting))
    other = attrs.evolve(frozen, host='127.0.0.1:2')
    case.assertEqual(['VERSION'], _measure_outdated(BEGIN, other))


def test_time_counts_in_one_stretch(case: support.Case) -> None:
    """After trouble of the store it counts anew once that is stable."""
    late = attrs.evolve(BEGIN, arrived_at=114.9, begun_at=115.0)
    store = checks.Disturbance(started_at=102.0, ended_at=103.0, is_store=True)
    case.assertEqual([], _measure_outdated(late, store))
    later = attrs.evolve(late, begun_at=115.1)
    case.assertEqual(['VERSION'], _measure_outdated(later, store))
    link = attrs.evolve(store, is_store=False, is_link=True)
    case.assertEqual(['VERSION'], _measure_outdated(late, link))
    in_time = attrs.evolve(late, begun_at=110.9)
    case.assertEqual([], _measure_outdated(in_time, link))
    second = attrs.evolve(link, started_at=109.0, ended_at=110.0)
    case.assertEqual([], _measure_outdated(late, link, second))
    case.assertEqual([], _measure_outdated(late, second, link))
    around = attrs.evolve(link, started_at=101.0, ended_at=112.0)
    case.assertEqual([], _measure_outdated(late, around, link))


def test_stretch_before_a_disturbance_counts(case: support.Case) -> None:
    """Hosts must have stopped by its end, whatever came then."""
    late = attrs.evolve(BEGIN, arrived_at=112.9, begun_at=113.0)
    for started_at, expected in ((107.9, []), (108.1, ['VERSION'])):
        link = checks.Disturbance(
            started_at=started_at, ended_at=112.0, is_link=True
        )
        case.assertEqual(expected, _measure_outdated(late, link))


def test_unstable_store_excuses_all_hosts(case: support.Case) -> None:
    """No host is in touch until it has been stable for a while."""
    begin = attrs.evolve(BEGIN, arrived_at=113.9, begun_at=114.0)
    store = checks.Disturbance(started_at=109.0, ended_at=110.0, is_store=True)
    case.assertEqual([], _measure_outdated(begin, store))
    stable = attrs.evolve(begin, arrived_at=114.1, begun_at=114.2)
    case.assertEqual(['VERSION'], _measure_outdated(stable, store))


def test_runs_of_engines_are_logged_at_their_end(case: support.Case) -> None:
    """An engine that works on after its channel has closed logs it later."""
    clock = task.Clock()
    server = adversarial_server.AdversarialServer(
        *('engine-1', '', '', '', 'model-1', 'v1'),
        faults=adversary.Faults(rejected=0.0, copied=0.0, garbled=0.0),
        queue=run_queues.RunQueue(1, linger_seconds=1.5, clock=clock),
        run_seconds=9.0,
    )
    connection = adversarial_server.Connection(server)
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    running = faults.SoakFleet(fleet.FleetSpec(), folder)
    path = folder / 'engine-1.log'
    with path.open('w') as log, contextlib.redirect_stdout(log):
        connection.makeConnection(testing.StringTransport())
        connection.dataReceived(
            b'POST / HTTP/1.1\r\nX-Pistachioseam-Request-Id: id-1\r\n\r\n'
        )
        connection.connectionLost()
        clock.advance(1.4)
        case.assertEqual([], running.list_works())
        clock.advance(0.2)
    (work,) = running.list_works()
    case.assertEqual(('id-1', 'engine-1'), (work.request_id, work.server))
    case.assertGreaterEqual(work.ended_at, work.begun_at)


def test_overlaps_of_engines_are_found(case: support.Case) -> None:
    """One engine works on 0.4 s after another one has begun the call."""
    first = checks.Work('id-1', 'engine-1', 10.0, 12.0)
    hosts = {'id-1': HOST}
    for work, is_found in (
        (checks.Work('id-1', 'engine-2', 11.5, 11.6), True),
        (checks.Work('id-1', 'engine-2', 11.7, 13.0), False),
        (checks.Work('id-1', 'engine-1', 11.0, 13.0), False),
        (checks.Work('id-2', 'engine-2', 11.0, 13.0), False),
    ):
        found = checks.find_overlaps([work, first], [], hosts)
        rules = [(v.rule, v.request_id) for v in found]
        case.assertEqual([('OVERLAP', 'id-1')] * is_found, rules)


def test_overlaps_are_excused_by_disturbances(case: support.Case) -> None:
    """The host may not have reached the engine before."""
    works = [
        checks.Work('id-1', 'engine-1', 10.0, 12.0),
        checks.Work('id-1', 'engine-2', 11.0, 13.0),
    ]
    for kind, started_at, ended_at, is_found in (
        ({'host': HOST}, 5.0, 6.5, False),
        ({'host': HOST}, 5.0, 5.5, True),
        ({'host': HOST}, 12.5, 13.0, True),
        ({'host': 'another'}, 10.0, 13.0, True),
        ({'is_link': True}, 11.0, 11.5, False),
        ({'is_store': True}, 11.0, 11.5, False),
    ):
        disturbance = checks.Disturbance(
            started_at=started_at, ended_at=ended_at, **kind
        )
        found = checks.find_overlaps(works, [disturbance], {'id-1': HOST})
        case.assertEqual(is_found, bool(found))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
