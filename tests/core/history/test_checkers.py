"""Each checker catches a seeded defect and passes its mended history."""

from pistachioseam import history
from pistachioseam.history import checkers
from pistachioseam.history import records
from tests import support

R = records
assert history


def _invoke(request_id: str, key: str = '') -> records.Invoked:
    return R.Invoked(
        at=0, request_id=request_id, host='h', account='a', key=key
    )


def _execute(request_id: str, answer: str, key: str = '') -> R.Executed:
    return R.Executed(
        at=1,
        target='t',
        incarnation='i',
        request_id=request_id,
        account='a',
        key=key,
        answer=answer,
    )


def _respond(request_id: str, outcome: str, answer: str = '') -> R.Responded:
    return R.Responded(
        at=2, request_id=request_id, outcome=outcome, answer=answer
    )


def _deliver(number: int, text: str, *, is_end: bool = False) -> R.Delivered:
    return R.Delivered(
        at=1, request_id='r', number=number, text=text, is_end=is_end
    )


def _use_cache(**evidence: str) -> R.CacheUsed:
    values = {'account': 'a', 'weights_version': '1', 'incarnation': 'i'}
    named = {f'evidence_{k}': evidence.get(k, v) for k, v in values.items()}
    return R.CacheUsed(at=1, request_id='r', target='t', **values, **named)


PROMISED = R.Promised(at=0, request_id='r', pieces=('x', 'y'))
X, Y = _deliver(0, 'x'), _deliver(1, 'y')
END = _deliver(2, '', is_end=True)
DONE = _respond('r', 'done')
START = R.HostStarted(at=0, host='h')
SENT = [_invoke('r'), _execute('r', '')]
SERVED = R.HostServed(at=0.5, host='h')
LATE = R.HostStarted(at=99, host='other')
LATE_SERVED = R.HostServed(at=99, host='other')

DEFECTS: dict[str, list[list[records.Record]]] = {
    'at_most_once': [[_execute('r', 'x', 'k'), _execute('s', 'x', 'k')]],
    'true_refusals': [
        [_invoke('r'), _execute('r', 'x'), _respond('r', 'not-run')]
    ],
    'own_answer': [
        [_invoke('r'), _execute('r', 'x'), _respond('r', 'done', 'y')],
        [_invoke('r'), _respond('r', 'unknown'), _respond('r', 'unknown')],
    ],
    'whole_streams': [
        [*SENT, PROMISED, Y, X, END, DONE],
        [*SENT, PROMISED, X, X, Y, END, DONE],
        [*SENT, PROMISED, X, END, DONE],
        [*SENT, PROMISED, X, Y, DONE],
        [*SENT, PROMISED, X, Y, END, _respond('r', 'unknown')],
    ],
    'cache_isolation': [
        [_use_cache(account='b')],
        [_use_cache(weights_version='0')],
        [_use_cache(incarnation='old')],
    ],
    'leaving_targets': [[R.TargetLeft(at=-9, target='t'), _execute('r', 'x')]],
    'planned_stop': [[_invoke('r'), R.StopAsked(at=1, host='h')]],
    'configuration': [
        [
            R.InForce(at=1, host='h', number=2),
            R.InForce(at=2, host='h', number=1),
        ],
        [START, SERVED, R.Accepted(at=1, number=1), LATE, LATE_SERVED],
    ],
    'restart': [
        [START, R.HostServed(at=9, host='h')],
        [START, LATE, LATE_SERVED],
    ],
}
SOUND: list[records.Record] = [
    START,
    SERVED,
    R.Accepted(at=0.6, number=1),
    R.InForce(at=0.7, host='h', number=1),
    _invoke('q', 'k'),
    _execute('q', 'x', 'k'),
    _respond('q', 'done', 'x'),
    R.Invoked(at=0, request_id='r', host='h', account='a'),
    PROMISED,
    _execute('r', ''),
    X,
    Y,
    END,
    DONE,
    _use_cache(),
    R.TargetLeft(at=0, target='t'),
    R.StopAsked(at=3, host='h'),
    LATE,
    LATE_SERVED,
]


def test_every_checker_catches_its_defects(case: support.Case) -> None:
    """Each seeded defect is a violation of just its promise."""
    case.assertEqual(sorted(DEFECTS), sorted(checkers.REGISTRY))
    for promise, histories in DEFECTS.items():
        for defect in histories:
            found = {v.promise for v in checkers.check_history(defect)}
            case.assertEqual({promise}, found, defect)


def test_a_sound_history_passes(case: support.Case) -> None:
    """No checker complains of a history that keeps all promises."""
    case.assertEqual((), checkers.check_history(SOUND))


def test_records_survive_a_file(case: support.Case) -> None:
    """A line of a file gives back its record."""
    lines = [records.encode(record) for record in SOUND]
    case.assertEqual(SOUND, [records.decode(line) for line in lines])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
