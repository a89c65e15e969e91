"""Adversarial servers send second copies of their answers."""

import collections
import re

from twisted.internet import testing

from pistachioseam_standins import adversarial_server
from pistachioseam_standins import adversary
from tests.entry import test_adversary
from tests import support

REJECTION = adversary.Answer(is_executed=False)
ID_PATTERN = re.compile(rb'Request-Id: (\w)')


def test_copy_comes_before_or_after_the_next_answer(
    case: support.Case,
) -> None:
    """Once, and beside it nothing is sent twice."""
    for place, expected in (
        ('', b'abc'),
        ('next', b'aabc'),
        ('after', b'abac'),
    ):
        script = collections.deque(
            [adversary.Answer(is_executed=False, copy=place)] + [REJECTION] * 2
        )
        connection = adversarial_server.Connection(
            test_adversary.ScriptedServer('', '', script)
        )
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        for name in b'abc':
            connection.dataReceived(
                b'POST / HTTP/1.1\r\nX-Pistachioseam-Request-Id: %c\r\n\r\n'
                % name
            )
        sent = b''.join(ID_PATTERN.findall(transport.value()))
        case.assertEqual(expected, sent)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
