"""CPU time to parse one response: Twisted's client parser and h11.

Source of the figures in docs/explanation/decisions/0008-response-parser.md.

Run: `.venv/bin/python -m benchmarks.parsers`
"""

from collections import abc
import time
import typing

import h11
from twisted.internet import testing
from twisted.web import _newclient
from twisted.web import http_headers

from pistachioseam_entry import response_parsers

ROUNDS = 3
RESPONSES = 5000
BODY = b'x' * 200
RESPONSE = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: application/json\r\n'
    b'Date: Sun, 06 Nov 1994 08:49:37 GMT\r\n'
    b'Request-Id: 0123456789abcdef\r\n'
    b'Server-Stamp: 0123456789abcdef\r\n'
    b'Keep-Alive: timeout=5\r\n'
    b'Content-Length: %d\r\n\r\n' % len(BODY)
) + BODY


class AcceptingFilter:
    """Filter that accepts each response."""

    def accept_head(self, *_: typing.Any) -> bool:
        """Return True."""
        return True


def ignore_rest(rest: bytes) -> None:
    """Do nothing with bytes behind a response."""


def parse_with_twisted() -> None:
    """Parse the response as hosts do."""
    headers = http_headers.Headers({b'Host': [b'h']})
    request = _newclient.Request(b'GET', b'/x', headers, None, True)
    parser = response_parsers.ResponseParser(
        request, ignore_rest, AcceptingFilter()
    )
    former = _newclient.HTTPClientParser(request, ignore_rest)
    parser.take_over(former, testing.StringTransport())
    parser.dataReceived(RESPONSE)
    assert parser.state == _newclient.DONE


def parse_with_h11() -> None:
    """Parse the response with a connection of h11."""
    connection = h11.Connection(h11.CLIENT)
    headers = [('Host', 'h')]
    connection.send(h11.Request(method='GET', target='/x', headers=headers))
    connection.send(h11.EndOfMessage())
    connection.receive_data(RESPONSE)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass


def measure_us(parse: abc.Callable[[], None]) -> float:
    """Return the CPU time of one response in microseconds."""
    started = time.process_time()
    for _ in range(RESPONSES):
        parse()
    return (time.process_time() - started) / RESPONSES * 1e6


def main() -> None:
    """Print the CPU times of both, alternating."""
    for _ in range(ROUNDS):
        print(f'twisted {measure_us(parse_with_twisted):.1f} us')
        print(f'h11 {measure_us(parse_with_h11):.1f} us')


if __name__ == '__main__':
    main()
