"""Addresses for the processes of a run."""

from collections import abc
import contextlib
import socket

from pistachioseam_standins import deployment
from tests import support

HOST = '127.0.0.1'


def test_search_for_an_address_ends_when_no_port_is_free(
    case: support.Case,
) -> None:
    """The error names the address and the number of ports."""
    with contextlib.ExitStack() as stack:
        ports = [stack.enter_context(listen()) for _ in range(2)]
        addresses = deployment.AddressRange(ports, HOST)
        with case.assertRaisesRegex(OSError, f'all 2 ports of {HOST}'):
            addresses.find_free()


def test_addresses_are_handed_out_in_turn(case: support.Case) -> None:
    """A port that is taken is left out; others return after all were used."""
    with contextlib.ExitStack() as stack:
        taken = stack.enter_context(listen())
        free = [find_free_port(), find_free_port()]
        addresses = deployment.AddressRange([free[0], taken, free[1]], HOST)
        found = [addresses.find_free() for _ in range(3)]
    case.assertEqual(
        [f'{HOST}:{free[0]}', f'{HOST}:{free[1]}', f'{HOST}:{free[0]}'], found
    )


@contextlib.contextmanager
def listen() -> abc.Iterator[int]:
    """Yield the port of a listening socket."""
    with socket.create_server((HOST, 0)) as server:
        yield int(server.getsockname()[1])


def find_free_port() -> int:
    """Return a port to which no socket is bound."""
    with socket.create_server((HOST, 0)) as server:
        return int(server.getsockname()[1])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
