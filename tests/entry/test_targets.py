"""Tests of the client of targets of the product's own tables."""

import asyncio
from collections import abc
import contextlib
import typing
from unittest import mock

import attrs
from returns import pipeline
from twisted.internet import address
from twisted.internet import interfaces as twisted_interfaces
from zope import interface

from pistachioseam import interfaces
from pistachioseam_entry import reactors
from pistachioseam_entry import settings
from pistachioseam_entry import targets
from tests import dark_ports
from tests.entry import test_target_connections
from tests import support

Kind = interfaces.FailureKind
MODEL_HEADERS = {'cache-salt': 's', 'weights-version': '1'}
TIMEOUT_SECONDS = 0.3
OK = b'HTTP/1.1 200 OK\r\n'


def create_response(status_line: bytes, body: bytes) -> bytes:
    """Return a whole response of the incarnation `i`."""
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return status_line + b'Incarnation: i\r\n' + length + body


def create_event(request_id: str, number: int, data: str) -> bytes:
    """Return a piece of a stream as a server-sent event."""
    return f'id: {request_id}:{number}\ndata: {data}\n\n'.encode()


REJECTIONS = tuple(
    create_response(b'HTTP/1.1 ' + status + b'\r\n', b'')
    for status in (b'503 Service Unavailable', b'409 Conflict', b'410 Gone')
)
ANOTHER = create_response(OK, b'answer to another call')


class CopyingTarget:
    """Server that sends each response again, before the next on a connection.

    It answers with the scripted responses in turn. `request_ids` are those of
    all requests, `connections` counts the connections.
    """

    def __init__(self, *responses: bytes) -> None:
        self.responses = list(responses)
        self.request_ids: list[str] = []
        self.connections = 0
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection until it ends."""
        self.connections += 1
        copy = b''
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionResetError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = head.lower().split(b'\r\n')
                self.request_ids.extend(
                    field.partition(b': ')[2].decode()
                    for field in fields
                    if field.startswith(b'request-id:')
                )
                response = self.responses.pop(0)
                writer.write(copy + response)
                copy = response
                if b'connection: close' in fields:
                    break
        writer.close()


@interface.implementer(twisted_interfaces.IHostnameResolver)
class AddressResolver:
    """Resolver of IP addresses; needs no threads, which tests do not start."""

    def resolveHostName(  # noqa: N802
        self, receiver: typing.Any, host: str, **options: typing.Any
    ) -> typing.Any:
        """Pass on the address."""
        receiver.resolutionBegan(self)
        port = options['portNumber']
        receiver.addressResolved(address.IPv4Address('TCP', host, port))
        receiver.resolutionComplete()
        return receiver


@contextlib.asynccontextmanager
async def run_server(*responses: bytes) -> abc.AsyncIterator[CopyingTarget]:
    """Run a target on a free port."""
    target = CopyingTarget(*responses)
    server = await asyncio.start_server(target.serve, '127.0.0.1')
    port = server.sockets[0].getsockname()[1]
    target.address = f'127.0.0.1:{port}'
    try:
        yield target
    finally:
        server.close()


@contextlib.asynccontextmanager
async def run_target(
    *responses: bytes,
) -> abc.AsyncIterator[tuple[CopyingTarget, targets.HttpTargetClient]]:
    """Run a target and a client of it."""
    reactor = reactors.get_reactor()
    former_resolver = reactor.installNameResolver(AddressResolver())
    try:
        async with run_server(*responses) as target:
            yield target, targets.HttpTargetClient(settings.Requests())
    finally:
        reactor.installNameResolver(former_resolver)


def create_request(
    request_id: str, method: str = 'POST', **fields: typing.Any
) -> interfaces.TargetRequest:
    """Return a request without a body."""
    return interfaces.TargetRequest(
        request_id=request_id,
        method=method,
        path='/x',
        body=b'',
        timeout_seconds=5.0,
        **fields,
    )


async def fetch(
    client: targets.HttpTargetClient,
    target: CopyingTarget,
    request: interfaces.TargetRequest,
) -> bytes | interfaces.FailureKind:
    """Return the body of a response, or the kind of the failure."""
    called = await client.call(target.address, request)
    if not pipeline.is_successful(called):
        return called.failure().kind
    return called.unwrap().body


def test_late_copy_of_a_rejection_decides_about_no_model_request(
    case: support.Case,
) -> None:
    """The next call has run; it would count as not run and be sent again."""

    async def work() -> None:
        for rejection in REJECTIONS:
            async with run_target(rejection, create_response(OK, b'own')) as (
                target,
                client,
            ):
                request = create_request('first', headers=MODEL_HEADERS)
                failed = await fetch(client, target, request)
                case.assertIn(failed, (Kind.BUSY, Kind.GONE))
                request = create_request('second', headers=MODEL_HEADERS)
                case.assertEqual(b'own', await fetch(client, target, request))
                case.assertEqual(['first', 'second'], target.request_ids)

    test_target_connections.run(work)


def test_late_copy_of_an_answer_is_no_answer_to_another_call(
    case: support.Case,
) -> None:
    """A caller would get the answer of another account."""

    async def work() -> None:
        for method, sent_headers in (('POST', MODEL_HEADERS), ('GET', {})):
            async with run_target(ANOTHER, create_response(OK, b'own')) as (
                target,
                client,
            ):
                bodies = [
                    await fetch(
                        client,
                        target,
                        create_request(name, method, headers=sent_headers),
                    )
                    for name in ('first', 'second')
                ]
                case.assertEqual(
                    [b'answer to another call', b'own'], bodies, method
                )

    test_target_connections.run(work)


def test_late_copy_decides_about_no_resumed_stream(case: support.Case) -> None:
    """A stream that goes on would be given up, or get another's events."""

    async def work() -> None:
        pieces = create_event('s', 0, 'a') + create_event('s', 1, '[DONE]')
        own = create_response(OK, pieces)
        for earlier in (*REJECTIONS, ANOTHER):
            async with run_target(earlier, own) as (target, client):
                await client.resume_stream(target.address, 'i', 'other', 0)
                # The body of the first response is read to its end.
                await asyncio.sleep(test_target_connections.WAIT_SECONDS)
                opened = await client.resume_stream(
                    target.address, 'i', 's', 0
                )
                case.assertTrue(pipeline.is_successful(opened), opened)
                received = await opened.unwrap().receive()
                case.assertEqual(b'a', received.unwrap().data)
                case.assertEqual(['other', 's'], target.request_ids)

    test_target_connections.run(work)


ODD_STATUSES = (b'000', b'999', b'20', b'+200', b'0200')


def test_invalid_status_is_a_broken_response(case: support.Case) -> None:
    """Guards against a status that callers cannot read, or that proves."""

    async def work() -> None:
        for status in ODD_STATUSES:
            odd = create_response(b'HTTP/1.1 ' + status + b' Odd\r\n', b'odd')
            for sent_headers in (MODEL_HEADERS, {}):
                async with run_target(odd) as (target, client):
                    request = create_request('first', headers=sent_headers)
                    failed = await fetch(client, target, request)
                    case.assertIs(Kind.BROKEN, failed, status)
                    case.assertEqual(['first'], target.request_ids)

    test_target_connections.run(work)


def test_response_without_length_is_never_complete(
    case: support.Case,
) -> None:
    """Its connection may have been reset; an engine's streams have an end."""

    async def work() -> None:
        head = OK + b'Incarnation: i\r\nConnection: close\r\n\r\n'
        async with run_target(head + b'half') as (target, client):
            request = create_request('first', headers={})
            case.assertIs(Kind.BROKEN, await fetch(client, target, request))
        pieces = create_event('s', 0, 'a')
        async with run_target(head + pieces) as (target, client):
            opened = await client.resume_stream(target.address, 'i', 's', 0)
            stream = opened.unwrap()
            case.assertEqual(b'a', (await stream.receive()).unwrap().data)
            case.assertIs(Kind.BROKEN, (await stream.receive()).failure().kind)

    test_target_connections.run(work)


async def time_out(is_dark: bool) -> tuple[interfaces.FailureKind, int]:
    """Send a request that is never answered.

    If `is_dark`, the connect hangs. Return the kind of the failure, and how
    often the request was told to be sent.
    """
    sending = mock.Mock()
    request = attrs.evolve(
        create_request('1', headers={}),
        timeout_seconds=TIMEOUT_SECONDS,
        on_sending=sending,
    )
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    target_address = f'{host}:{port}'
    reactor = reactors.get_reactor()
    former_resolver = reactor.installNameResolver(AddressResolver())
    with contextlib.ExitStack() as stack:
        stack.callback(reactor.installNameResolver, former_resolver)
        stack.callback(server.close)
        if is_dark:
            server.close()
            stack.enter_context(dark_ports.DarkPort(target_address))
        client = targets.HttpTargetClient(settings.Requests())
        called = await client.call(target_address, request)
    return called.failure().kind, sending.call_count


def test_request_that_times_out_during_the_connect_is_not_sent(
    case: support.Case,
) -> None:
    """Callers were told that the outcome of an unsent booking is unknown."""

    async def work() -> None:
        case.assertEqual((Kind.NOT_SENT, 0), await time_out(is_dark=True))
        case.assertEqual((Kind.TIMED_OUT, 1), await time_out(is_dark=False))

    test_target_connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
