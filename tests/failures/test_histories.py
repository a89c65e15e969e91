"""All history checkers pass for real processes under faults.

Callers repeat failed bookings at other hosts while hosts are killed, responses
are cut off and the platform is down or loses responses. The observations of
the callers and the stand-ins form one history.
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

CALLER_COUNT = 6
CALLS_PER_CALLER = 12
MAX_ATTEMPTS = 3
TOKEN_COUNT = 8
FAULT_DURATION_SECONDS = 0.4
ACCOUNT = 'carvers/main'
# Importing the package registers the checkers.
assert history


class Recorder:
    """Thread-safe history of records with times in seconds since its start."""

    def __init__(self) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self.records: list[records.Record] = []

    def now(self) -> float:
        """Return the seconds since the start of the history."""
        return time.monotonic() - self._started

    def add(self, *new_records: records.Record) -> None:
        """Append records to the history."""
        with self._lock:
            self.records.extend(new_records)


def _hash(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _book(
    recorder: Recorder, entry: deployment.ServerProcess, key: str
) -> bool:
    """Send a booking; return whether its outcome is `done` or `unknown`."""
    at = recorder.now()
    try:
        response = deployments.book(entry.address, key)
    except deployments.CONNECTION_ERRORS:
        return False
    outcome = response.get_outcome()
    request_id = response.headers['pistachioseam-request-id']
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
            answer=_hash(response.body) if outcome == 'done' else '',
        ),
    )
    return outcome != 'not-run'


def _stream(
    recorder: Recorder, entry: deployment.ServerProcess, request_id: str
) -> None:
    """Stream a prompt that equals its request id, and record the tokens.

    A complete response is also recorded as an execution.
    """
    expected = deployments.create_expected_tokens(request_id, TOKEN_COUNT)[:-1]
    recorder.add(
        records.Invoked(
            at=recorder.now(),
            request_id=request_id,
            host=entry.name,
            account=ACCOUNT,
        ),
        records.Promised(
            at=recorder.now(), request_id=request_id, pieces=tuple(expected)
        ),
    )
    try:
        response = deployments.stream(entry.address, request_id, TOKEN_COUNT)
    except deployments.CONNECTION_ERRORS:
        return
    if response.status != 200:
        return
    tokens = deployments.parse_tokens(response)
    for number, token in enumerate(tokens):
        is_end = token == '[DONE]'
        recorder.add(
            records.Delivered(
                at=recorder.now(),
                request_id=request_id,
                number=number,
                text='' if is_end else token,
                is_end=is_end,
            )
        )
    # Derived from the response, as the executions that a killed engine listed
    # are lost.
    recorder.add(
        records.Executed(
            at=recorder.now(),
            target='engine',
            incarnation='',
            request_id=request_id,
            account=ACCOUNT,
        ),
        records.Responded(
            at=recorder.now(), request_id=request_id, outcome='done'
        ),
    )


def _run_caller(
    recorder: Recorder, local: deployment.Deployment, caller: int
) -> None:
    for number in range(CALLS_PER_CALLER):
        key = f'{caller}-{number}'
        for attempt in range(MAX_ATTEMPTS):
            entry = local.entries[(caller + number + attempt) % 3]
            if _book(recorder, entry, key):
                break
        _stream(recorder, local.entries[number % 3], f's{key}')


def _inject_faults(local: deployment.Deployment) -> None:
    """Inject faults in turn; a platform outage and a crash overlap."""
    deployments.set_faults(local.services[0], cut_answers=3)
    time.sleep(FAULT_DURATION_SECONDS)
    deployments.set_faults(local.platform, mode='lose_answers')
    time.sleep(FAULT_DURATION_SECONDS)
    deployments.set_faults(local.platform, mode='none')
    local.kill(local.entries[0])
    time.sleep(FAULT_DURATION_SECONDS)
    deployments.set_faults(local.platform, mode='down')
    local.entries[0] = local.start_entry(0, local.entries[0])
    local.kill(local.engines[0])
    time.sleep(FAULT_DURATION_SECONDS)
    deployments.set_faults(local.platform, mode='none')
    local.wait_ready(local.entries[0])


def test_history_under_faults_has_no_violations(case: support.Case) -> None:
    """No checker finds a violation, and all hosts serve after the faults."""
    local = case.useFixture(deployments.LocalDeployment()).local
    recorder = Recorder()
    callers = [
        threading.Thread(target=_run_caller, args=(recorder, local, number))
        for number in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    _inject_faults(local)
    for caller in callers:
        caller.join()
    recovered_at = recorder.now()
    for entry in local.entries:
        case.assertTrue(_book(recorder, entry, f'last-{entry.name}'))
        _stream(recorder, entry, f'last-{entry.name}')
    for number, execution in enumerate(deployments.list_executions(local)):
        content = {'booking': number + 1, 'key': execution['key']}
        recorder.add(
            records.Executed(
                at=recorder.now(),
                target='service',
                incarnation='',
                request_id=execution['request'],
                account=ACCOUNT,
                key=execution['key'],
                answer=_hash(deployments.encode_booking_response(content)),
            )
        )
    case.assertEqual((), checkers.check_history(recorder.records))
    final_outcomes = [
        record.outcome
        for record in records.select(recorder.records, records.Responded)
        if record.at >= recovered_at
    ]
    case.assertEqual(['done'] * 2 * len(local.entries), final_outcomes)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
