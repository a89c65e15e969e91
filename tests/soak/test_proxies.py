"""Proxies of the soak change their modes while processes are started."""

import subprocess
import sys

from tests.soak import proxies
from tests import support

HOLD_SECONDS = 0.5


def test_port_is_used_again_though_a_new_process_has_its_socket(
    case: support.Case,
) -> None:
    """A process started at that moment kept the address in use."""
    with proxies.Proxy('127.0.0.1:9') as proxy:
        for listening in proxy._sockets.values():
            process = subprocess.Popen(
                [
                    sys.executable,
                    '-c',
                    f'import time; time.sleep({HOLD_SECONDS})',
                ],
                pass_fds=[listening.fileno()],
            )
        proxy.set_mode('hang')
        case.assertEqual('hang', proxy.mode)
        proxy.set_mode('pass')
        process.wait()


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
