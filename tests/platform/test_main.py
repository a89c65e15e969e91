"""Signals that arrive during the start of a host."""

import signal
import types
from unittest import mock

import pistachioseam_platform
from pistachioseam_platform import __main__ as entry_point
from tests import support


def test_reload_during_a_start_ends_nothing(case: support.Case) -> None:
    """SIGHUP is ignored before the libraries are imported."""
    before = signal.getsignal(signal.SIGHUP)
    case.addCleanup(signal.signal, signal.SIGHUP, before)
    seen: list[object] = []
    program = types.SimpleNamespace(
        run=lambda: seen.append(signal.getsignal(signal.SIGHUP))
    )
    name = 'pistachioseam_platform.program'
    with (
        mock.patch.dict('sys.modules', {name: program}),
        mock.patch.object(
            pistachioseam_platform, 'program', program, create=True
        ),
    ):
        entry_point.main()
    case.assertEqual([signal.SIG_IGN], seen)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
