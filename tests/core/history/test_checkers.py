"""Checkers find the defects of faulty histories and accept a valid one."""

from pistachioseam import history
from pistachioseam.history import checkers
from pistachioseam.history import records
from tests import support

R = records
# Importing `history` registers the checkers; the assertion marks the import
# as used.
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
    evidence_fields = {
        f'evidence_{k}': evidence.get(k, v) for k, v in values.items()
    }
    return R.CacheUsed(
        at=1, request_id='r', target='t', **values, **evidence_fields
    )


PROMISED = R.Promised(at=0, request_id='r', pieces=('x', 'y'))
FIRST, SECOND = _deliver(0, 'x'), _deliver(1, 'y')
END = _deliver(2, '', is_end=True)
DONE = _respond('r', 'done')
STARTED = R.HostStarted(at=0, host='h')
INVOKED_AND_EXECUTED = [_invoke('r'), _execute('r', '')]
SERVED = R.HostServed(at=0.5, host='h')
# These records extend a history beyond all time limits.
OTHER_STARTED = R.HostStarted(at=99, host='other')
OTHER_SERVED = R.HostServed(at=99, host='other')

DEFECTIVE_HISTORIES: dict[str, list[list[records.Record]]] = {
    'at_most_once': [[_execute('r', 'x', 'k'), _execute('s', 'x', 'k')]],
    'true_refusals': [
        [_invoke('r'), _execute('r', 'x'), _respond('r', 'not-run')]
    ],
    'own_answer': [
        [_invoke('r'), _execute('r', 'x'), _respond('r', 'done', 'y')],
        [_invoke('r'), _respond('r', 'unknown'), _respond('r', 'unknown')],
    ],
    'whole_streams': [
        [*INVOKED_AND_EXECUTED, PROMISED, SECOND, FIRST, END, DONE],
        [*INVOKED_AND_EXECUTED, PROMISED, FIRST, FIRST, SECOND, END, DONE],
        [*INVOKED_AND_EXECUTED, PROMISED, FIRST, END, DONE],
        [*INVOKED_AND_EXECUTED, PROMISED, FIRST, SECOND, DONE],
        [
            *INVOKED_AND_EXECUTED,
            PROMISED,
            FIRST,
            SECOND,
            END,
            _respond('r', 'unknown'),
        ],
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
        [
            STARTED,
            SERVED,
            R.Accepted(at=1, number=1),
            OTHER_STARTED,
            OTHER_SERVED,
        ],
    ],
    'restart': [
        [STARTED, R.HostServed(at=9, host='h')],
        [STARTED, OTHER_STARTED, OTHER_SERVED],
    ],
}
VALID_HISTORY: list[records.Record] = [
    STARTED,
    SERVED,
    R.Accepted(at=0.6, number=1),
    R.InForce(at=0.7, host='h', number=1),
    _invoke('q', 'k'),
    _execute('q', 'x', 'k'),
    _respond('q', 'done', 'x'),
    R.Invoked(at=0, request_id='r', host='h', account='a'),
    PROMISED,
    _execute('r', ''),
    FIRST,
    SECOND,
    END,
    DONE,
    _use_cache(),
    R.TargetLeft(at=0, target='t'),
    R.StopAsked(at=3, host='h'),
    OTHER_STARTED,
    OTHER_SERVED,
]


def test_every_checker_finds_its_defects(case: support.Case) -> None:
    """Each defect violates exactly the promise it is listed under."""
    case.assertEqual(sorted(DEFECTIVE_HISTORIES), sorted(checkers.REGISTRY))
    for promise, histories in DEFECTIVE_HISTORIES.items():
        for defective in histories:
            found = {v.promise for v in checkers.check_history(defective)}
            case.assertEqual({promise}, found, defective)


def test_valid_history_passes(case: support.Case) -> None:
    """No checker finds a violation in a history without defects."""
    case.assertEqual((), checkers.check_history(VALID_HISTORY))


def test_decoded_records_equal_encoded_ones(case: support.Case) -> None:
    """Records are the same after a round trip through a history file."""
    lines = [records.encode(record) for record in VALID_HISTORY]
    case.assertEqual(VALID_HISTORY, [records.decode(line) for line in lines])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
