"""Calls keep their limits on the way through another host."""

import attrs

from pistachioseam.forwarding import ports
from pistachioseam_entry import relay_messages
from tests import support

CALL = ports.OutgoingCall(
    request_id='request-1',
    method=b'POST',
    uri=b'/x',
    headers=(),
    body=b'',
    seconds_left=5.0,
    incarnation='engine-1',
)


def test_relayed_call_keeps_the_limit_of_its_run(case: support.Case) -> None:
    """Its engine would work on outdated weights until the deadline."""
    limited = attrs.evolve(CALL, run_seconds_left=2.0)
    request = relay_messages.encode_request(limited)
    relayed = relay_messages.decode_request(request, 0.5)
    case.assertEqual(1.5, relayed.get_target_seconds())
    case.assertEqual(4.5, relayed.seconds_left)


def test_relayed_call_without_a_limit_gets_none(case: support.Case) -> None:
    """An unset field, as of hosts of former builds, is no limit of 0."""
    request = relay_messages.encode_request(CALL)
    case.assertFalse(request.HasField('caller_time_left_ms'))
    relayed = relay_messages.decode_request(request, 0.5)
    case.assertEqual(4.5, relayed.get_target_seconds())
    case.assertEqual(4.5, relayed.seconds_left)


def test_hosts_of_former_builds_pass_the_limit_on(case: support.Case) -> None:
    """They know only the field that became the engine's time limit."""
    limited = attrs.evolve(CALL, run_seconds_left=2.0)
    request = relay_messages.encode_request(limited)
    case.assertEqual(2000, request.time_left_ms)


def test_hosts_of_former_builds_open_a_connection_for_a_second_attempt(
    case: support.Case,
) -> None:
    """Guards against TWICE: they know only a bound on the idle time."""
    second = attrs.evolve(
        CALL, max_idle_seconds=2.0, needs_new_connection=True
    )
    request = relay_messages.encode_request(second)
    case.assertTrue(request.HasField('max_idle_ms'))
    case.assertEqual(0, request.max_idle_ms)
    relayed = relay_messages.decode_request(request, 0.0)
    case.assertTrue(relayed.needs_new_connection)
    for first in (CALL, attrs.evolve(CALL, max_idle_seconds=2.0)):
        request = relay_messages.encode_request(first)
        relayed = relay_messages.decode_request(request, 0.0)
        case.assertFalse(relayed.needs_new_connection)
        case.assertEqual(first.max_idle_seconds, relayed.max_idle_seconds)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
