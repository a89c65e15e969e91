"""The checks of the soak test find each kind of violation."""

import attrs

from tests.soak import callers
from tests.soak import checks
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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
