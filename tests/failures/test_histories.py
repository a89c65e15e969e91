"""Histories of real processes under faults keep every promise.

Callers repeat failed bookings at other hosts while hosts are killed, answers
are cut and the store is down or loses answers. What callers and stand-ins saw
becomes one history, and all checkers judge it.
"""

import hashlib
import threading
import time

from pistachioseam import history
from pistachioseam.history import checkers
from pistachioseam.history import records
from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CALLERS = 6
CALLS = 12
MAX_TRIES = 3
TOKENS = 8
FAULT_SECONDS = 0.4
ACCOUNT = 'carvers/main'
assert history


class Recorder:
    """History that threads append to."""

    def __init__(self) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self.records: list[records.Record] = []

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._started

    def add(self, *added: records.Record) -> None:
        """Append records."""
        with self._lock:
            self.records.extend(added)


def _hash(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _book(
    recorder: Recorder, entry: deployment.ServerProcess, key: str
) -> bool:
    """Book once; return whether the answer is final."""
    at = recorder.now()
    try:
        answer = deployments.book(entry.address, key)
    except deployments.LOST:
        return False
    outcome = answer.get_outcome()
    request_id = answer.headers['pistachioseam-request-id']
    recorder.add(
        records.Invoked(
            at=at,
            request_id=request_id,
            host=entry.name,
            account=ACCOUNT,
            key=key,
        ),
        records.Responded(
            at=recorder.now(),
            request_id=request_id,
            outcome=outcome,
            answer=_hash(answer.body) if outcome == 'done' else '',
        ),
    )
    return outcome != 'not-run'


def _stream(
    recorder: Recorder, entry: deployment.ServerProcess, name: str
) -> None:
    expected = deployments.expect_tokens(name, TOKENS)[:-1]
    recorder.add(
        records.Invoked(
            at=recorder.now(),
            request_id=name,
            host=entry.name,
            account=ACCOUNT,
        ),
        records.Promised(
            at=recorder.now(), request_id=name, pieces=tuple(expected)
        ),
    )
    try:
        answer = deployments.stream(entry.address, name, TOKENS)
    except deployments.LOST:
        return
    if answer.status != 200:
        return
    tokens = deployments.read_tokens(answer)
    for number, token in enumerate(tokens):
        is_end = token == '[DONE]'
        recorder.add(
            records.Delivered(
                at=recorder.now(),
                request_id=name,
                number=number,
                text='' if is_end else token,
                is_end=is_end,
            )
        )
    recorder.add(
        records.Executed(
            at=recorder.now(),
            target='engine',
            incarnation='',
            request_id=name,
            account=ACCOUNT,
        ),
        records.Responded(at=recorder.now(), request_id=name, outcome='done'),
    )


def _call(
    recorder: Recorder, local: deployment.Deployment, caller: int
) -> None:
    for number in range(CALLS):
        key = f'{caller}-{number}'
        for attempt in range(MAX_TRIES):
            entry = local.entries[(caller + number + attempt) % 3]
            if _book(recorder, entry, key):
                break
        _stream(recorder, local.entries[number % 3], f's{key}')


def _cause_faults(local: deployment.Deployment) -> None:
    """Bring about one fault after another, two of them together."""
    deployments.set_faults(local.services[0], cut_answers=3)
    time.sleep(FAULT_SECONDS)
    deployments.set_faults(local.platform, mode='lose_answers')
    time.sleep(FAULT_SECONDS)
    deployments.set_faults(local.platform, mode='none')
    local.kill(local.entries[0])
    time.sleep(FAULT_SECONDS)
    deployments.set_faults(local.platform, mode='down')
    local.entries[0] = local.start_entry(0, local.entries[0])
    local.kill(local.engines[0])
    time.sleep(FAULT_SECONDS)
    deployments.set_faults(local.platform, mode='none')
    local.wait_ready(local.entries[0])


def test_history_under_faults_keeps_all_promises(case: support.Case) -> None:
    """No checker complains of what callers and targets saw."""
    local = case.useFixture(deployments.LocalDeployment()).local
    recorder = Recorder()
    callers = [
        threading.Thread(target=_call, args=(recorder, local, number))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    _cause_faults(local)
    for caller in callers:
        caller.join()
    mended_at = recorder.now()
    for entry in local.entries:
        case.assertTrue(_book(recorder, entry, f'last-{entry.name}'))
        _stream(recorder, entry, f'last-{entry.name}')
    for number, ran in enumerate(deployments.list_executions(local)):
        booked = {'booking': number + 1, 'key': ran['key']}
        recorder.add(
            records.Executed(
                at=recorder.now(),
                target='service',
                incarnation='',
                request_id=ran['request'],
                account=ACCOUNT,
                key=ran['key'],
                answer=_hash(deployments.encode_booking(booked)),
            )
        )
    case.assertEqual((), checkers.check_history(recorder.records))
    answers = [
        record.outcome
        for record in records.select(recorder.records, records.Responded)
        if record.at >= mended_at
    ]
    case.assertEqual(['done'] * 2 * len(local.entries), answers)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
