"""Proxies of the soak change their modes while processes are started."""

import contextlib
import socket
import subprocess
import sys
import time

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


def test_dark_proxy_passes_nothing_on_later(case: support.Case) -> None:
    """What a machine had taken before it lost power is gone."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        address, port = server.getsockname()
        with proxies.Proxy(f'{address}:{port}') as proxy:
            host, _, proxy_port = proxy.address.rpartition(':')
            with socket.create_connection((host, int(proxy_port))) as sender:
                taken, _ = server.accept()
                proxy.set_mode('dark')
                sender.sendall(b'late')
                time.sleep(proxies.DELAY_SECONDS)
                proxy.set_mode('pass')
                with taken, contextlib.suppress(ConnectionResetError):
                    case.assertEqual(b'', taken.recv(4))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
