"""`story` collects a request's lines from the logs of all hosts."""

import json
import subprocess
import sys

from pistachioseam_operator import stories
from tests import support

LINES = (
    '12.5 host-b '
    + json.dumps(
        {
            'time': '2026-01-01T00:00:02',
            'host': 'host-b',
            'event': 302,
            'message': 'request refused',
            'request_id': 'r-1',
            'status': 503,
            'detail': '',
        }
    ),
    json.dumps(
        {
            'time': '2026-01-01T00:00:01',
            'host': 'host-a',
            'event': 309,
            'message': 'call placed on a target',
            'request_id': 'r-1',
            'costs': ['t=1', 'u=2'],
        }
    ),
    json.dumps({'time': '0', 'request_id': 'r-12', 'event': 301}),
    'Traceback r-1 of something else',
)


def test_lines_of_all_hosts_are_ordered(case: support.Case) -> None:
    """Only the request's own lines are returned, ordered by time."""
    found = stories.find_request_lines(LINES, 'r-1')
    case.assertEqual([309, 302], [line.event for line in found])
    case.assertIn('costs=t=1,u=2', found[0].format())
    case.assertIn('host-b 302', found[1].format())


def test_command_reads_standard_input(case: support.Case) -> None:
    """Without files `story` reads standard input.

    It exits with 1 if the request has no line.
    """
    for request, status in (('r-1', 0), ('r-9', 1)):
        ran = subprocess.run(
            [sys.executable, '-m', 'pistachioseam_operator', 'story', request],
            input='\n'.join(LINES),
            capture_output=True,
            text=True,
            timeout=30,
        )
        case.assertEqual(status, ran.returncode, ran.stderr)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
