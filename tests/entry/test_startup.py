"""A host's start imports only what it needs to serve."""

import subprocess
import sys

from tests import support

SCRIPT = """
import sys
from pistachioseam_entry import startup
with startup.speed_up_imports():
    from pistachioseam_platform import program
    from pistachioseam_entry import reactors
    reactors.install_reactor()
    from pistachioseam_platform import wiring
print(*sorted(sys.modules))
"""
UNUSED = {
    'cryptography',
    'klein',
    'pistachioseam.claims',
    'pistachioseam.tables',
    'service_identity',
    'werkzeug',
}
"""Modules of TLS, of the admin pages and of the other front door."""


def test_start_imports_no_unused_libraries(case: support.Case) -> None:
    """The processor time of a start is most of a small host's first second."""
    printed = subprocess.run(
        [sys.executable, '-c', SCRIPT],
        check=True,
        capture_output=True,
        text=True,
    )
    case.assertEqual(set(), UNUSED & set(printed.stdout.split()))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
