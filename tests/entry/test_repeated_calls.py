"""Callers that leave or are impatient, and send a call again under its id."""

import asyncio
from collections import abc
import json
import typing

import attrs
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from pistachioseam.forwarding import notices
from pistachioseam_entry import call_listener
from pistachioseam_entry import metrics
from pistachioseam_entry import reactors
from pistachioseam_platform import headers
from tests import call_fakes
from tests import support

RUN_SECONDS = 0.1
PAUSE_SECONDS = 0.1
"""Pause of a target that is short enough for a call to wait."""
LAST_CHUNK = b'0\r\n\r\n'
TEST_TIMEOUT_SECONDS = 10.0


class Caller:
    """Connection of a caller on which one call under `REQUEST_ID` is sent."""

    def __init__(
        self,
        listener: call_listener.CallListener,
        prefix: str,
        missing_bytes: int = 0,
    ) -> None:
        self._protocol: typing.Any = listener.create_site().buildProtocol(None)
        self._transport = testing.StringTransport()
        self._protocol.makeConnection(self._transport)
        self._protocol.dataReceived(
            b'POST %bx HTTP/1.1\r\nHost: host.example\r\n'
            b'%b: %b\r\nContent-Length: %d\r\n\r\n'
            % (
                prefix.encode(),
                headers.REQUEST_ID,
                call_fakes.REQUEST_ID.encode(),
                missing_bytes,
            )
        )

    def leave(self) -> None:
        """Close the connection."""
        self._protocol.connectionLost(failure.Failure(error.ConnectionDone()))

    async def wait_until_closed(self) -> bytes:
        """Return the response once the host has closed the connection."""
        while not self._transport.disconnecting:
            await asyncio.sleep(0.001)
        return self._transport.value()

    async def receive(self) -> tuple[int, str]:
        """Return the status, and the code if it is a refusal's."""
        while b'\r\n\r\n' not in self._transport.value():
            await asyncio.sleep(0.001)
        head, _, body = self._transport.value().partition(b'\r\n\r\n')
        code = ''
        if b'application/json' in head:
            code = json.loads(body)['error']['code']
        return int(head.split()[1]), code


class Host:
    """Host before scripted targets that take RUN_SECONDS for each call."""

    def __init__(self) -> None:
        self.fixture = call_fakes.RouterFixture(
            [
                call_fakes.create_target(1),
                call_fakes.create_target(2, call_fakes.ENGINE_SERVICE),
            ]
        )
        self.fixture.targets.script = [
            [
                RUN_SECONDS,
                call_fakes.respond(chunks=(call_fakes.event(1),)),
            ]
            for _ in range(3)
        ]
        self.listener = call_listener.CallListener(
            self.fixture.router, headers.HeaderCodec(), metrics.Metrics()
        )

    async def send(self, prefix: str) -> Caller:
        """Send a call; return its caller once the call is in progress."""
        caller = Caller(self.listener, prefix)
        await asyncio.sleep(RUN_SECONDS / 5)
        return caller

    def count_sent(self) -> int:
        """Return how many calls were sent to targets."""
        return len(self.fixture.targets.sent)

    async def wait_until_idle(self) -> None:
        """Wait until no call is in progress."""
        while self.listener.active_requests:
            await asyncio.sleep(0.001)


def run(
    work: abc.Callable[[Host], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a test on the reactor's loop."""

    async def start() -> None:
        await work(Host())

    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(start(), TEST_TIMEOUT_SECONDS))


def test_call_goes_on_alone_after_its_caller_has_left(
    case: support.Case,
) -> None:
    """Guards against TWICE: the caller comes back for the same call."""

    async def work(host: Host) -> None:
        first = await host.send('/once/')
        first.leave()
        again = await host.send('/once/')
        case.assertEqual((502, 'in_progress'), await again.receive())
        case.assertEqual(1, host.count_sent())
        await host.wait_until_idle()
        later = await host.send('/once/')
        case.assertEqual((200, ''), await later.receive())
        case.assertEqual(2, host.count_sent())

    run(work)


def test_stream_of_a_caller_that_left_is_sent_again(
    case: support.Case,
) -> None:
    """It was cancelled, and is in progress no more."""

    async def work(host: Host) -> None:
        first = await host.send('/stream/')
        first.leave()
        again = await host.send('/stream/')
        case.assertEqual((200, ''), await again.receive())
        case.assertEqual(2, host.count_sent())

    run(work)


def test_impatient_caller_gets_the_answer_of_its_first_try(
    case: support.Case,
) -> None:
    """The second one is answered at once and spoils nothing."""

    async def work(host: Host) -> None:
        for number, prefix in enumerate(('/once/', '/stream/'), 1):
            first = await host.send(prefix)
            again = await host.send(prefix)
            case.assertEqual((502, 'in_progress'), await again.receive())
            case.assertEqual((200, ''), await first.receive())
            case.assertEqual(number, host.count_sent())
            await host.wait_until_idle()

    run(work)


def test_stopping_host_promises_nothing_of_a_call_in_progress(
    case: support.Case,
) -> None:
    """Guards against REFUSED: 503 would say that the call never runs."""

    async def work(host: Host) -> None:
        first = await host.send('/once/')
        host.listener.is_refusing_calls = True
        again = await host.send('/once/')
        case.assertEqual((502, 'in_progress'), await again.receive())
        case.assertEqual((200, ''), await first.receive())
        await host.wait_until_idle()
        later = await host.send('/once/')
        case.assertEqual((503, 'not_ready'), await later.receive())

    run(work)


def test_call_that_waited_never_runs_after_its_caller_has_left(
    case: support.Case,
) -> None:
    """Only the second try runs."""

    async def work(host: Host) -> None:
        for target in host.fixture.router.catalog.list_all():
            host.fixture.router.notices.record(
                target.get_incarnation(),
                notices.Notice(retry_after_seconds=PAUSE_SECONDS),
                host.fixture.runtime.now(),
            )
        first = await host.send('/once/')
        case.assertEqual(1, host.listener.active_requests)
        first.leave()
        again = await host.send('/once/')
        case.assertEqual(0, host.count_sent())
        case.assertEqual((200, ''), await again.receive())
        case.assertEqual(1, host.count_sent())

    run(work)


def test_stream_that_broke_is_sent_again(case: support.Case) -> None:
    """Its caller, whose connection the host has closed, knows no outcome."""

    async def work(host: Host) -> None:
        broken = call_fakes.create_failure(call_fakes.Kind.BROKEN)
        host.fixture.targets.script.insert(
            0, [call_fakes.respond(chunks=(call_fakes.event(1), broken))]
        )
        first = await host.send('/stream/')
        response = await first.wait_until_closed()
        case.assertIn(call_fakes.event(1), response)
        case.assertFalse(response.endswith(LAST_CHUNK))
        again = await host.send('/stream/')
        case.assertEqual((200, ''), await again.receive())
        case.assertEqual(2, host.count_sent())

    run(work)


def test_call_that_came_too_slowly_is_sent_when_it_comes_again(
    case: support.Case,
) -> None:
    """A try that is answered 408 has not run."""

    async def work(host: Host) -> None:
        state = host.fixture.router.desired.state
        assert state is not None
        limits = attrs.evolve(
            state.limits, header_seconds=RUN_SECONDS, idle_seconds=RUN_SECONDS
        )
        host.fixture.set_state(attrs.evolve(state, version=2, limits=limits))
        first = Caller(host.listener, '/once/', missing_bytes=1)
        response = await first.wait_until_closed()
        case.assertTrue(response.startswith(b'HTTP/1.1 408 '), response)
        again = await host.send('/once/')
        case.assertEqual((200, ''), await again.receive())
        case.assertEqual(1, host.count_sent())

    run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
