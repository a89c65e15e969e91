"""A host's start imports only what it needs to serve."""

import subprocess
import sys

from tests import support

FORWARDING_SCRIPT = """
import sys
from pistachioseam_entry import startup
with startup.speed_up_imports():
    from pistachioseam_platform import program
    from pistachioseam_entry import reactors
    reactors.install_reactor()
    from pistachioseam_platform import wiring
print(*sys.modules)
"""
SCRIPT = """
import sys
from pistachioseam_entry import command
from pistachioseam_entry import reactors
reactors.install_reactor()
from pistachioseam_entry import process
print(*sys.modules)
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


def list_imported(script: str) -> set[str]:
    """Return the modules that a script has imported, which it prints."""
    printed = subprocess.run(
        [sys.executable, '-c', script],
        check=True,
        capture_output=True,
        text=True,
    )
    return set(printed.stdout.split())


def test_start_imports_no_unused_libraries(case: support.Case) -> None:
    """The processor time of a start is most of a small host's first second."""
    case.assertEqual(set(), UNUSED & list_imported(FORWARDING_SCRIPT))


def test_start_imports_nothing_of_the_other_front_door(
    case: support.Case,
) -> None:
    """Hosts that all restart at once share the processors."""
    forwarding = {
        name
        for name in list_imported(SCRIPT)
        if name.startswith('pistachioseam.forwarding')
    }
    case.assertEqual(set(), forwarding)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
