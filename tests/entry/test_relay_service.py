"""Relayed calls keep their limits at the host that sends them."""

import asyncio
import typing

import attrs
import grpclib

from pistachioseam.forwarding import paths
from pistachioseam_entry import relay_messages
from pistachioseam_entry import relay_service
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests.entry import test_relay_messages
from tests import support

WAITED_SECONDS = 0.3
"""Time that passed at the other host until it ordered the call to be sent."""
GO_SECONDS = 0.1
"""Time that the order took."""
LEFT_SECONDS = 0.2
"""Time from the order to the word that the caller has left."""


class Stream:
    """Stream of a host that relays one call and confirms it late."""

    def __init__(self, request: messages_pb2.RelayRequest) -> None:
        self._request: messages_pb2.RelayRequest | None = request
        self._nonce = b''
        self.words: list[messages_pb2.RelayWord] = []

    async def send(self, message: messages_pb2.Message) -> None:
        """Keep the word, and the nonce of the acceptance."""
        self.words.append(message.relay_word)
        self._nonce = message.relay_word.accepted_nonce or self._nonce

    async def receive(self) -> messages_pb2.Message | None:
        """Return the request, then the order to send it."""
        if self._request is not None:
            request, self._request = self._request, None
            return messages_pb2.Message(relay_request=request)
        await asyncio.sleep(GO_SECONDS)
        waited_ms = int(WAITED_SECONDS * relay_messages.MS_PER_SECOND)
        go = messages_pb2.RelayGo(nonce=self._nonce, waited_ms=waited_ms)
        return messages_pb2.Message(relay_go=go)


class OpenPaths:
    """Paths that are never lost."""

    def is_lost(self) -> bool:
        """Return False."""
        return False


def test_time_to_agree_on_a_relayed_call_is_taken_off_its_limit(
    case: support.Case,
) -> None:
    """The target would work for longer than the call may take."""

    async def run() -> None:
        target = call_fakes.create_target(1)
        fixture = call_fakes.RouterFixture([target])
        service = relay_service.RelayService(
            fixture.router,
            typing.cast(paths.TargetPaths, OpenPaths()),
            fixture.targets,
        )
        call = attrs.evolve(test_relay_messages.CALL, incarnation=target.name)
        fixture.targets.script.append([call_fakes.respond()])
        await service.serve(Stream(relay_messages.encode_request(call)))
        ((_, sent),) = fixture.targets.sent
        case.assertLessEqual(
            sent.get_target_seconds(),
            call.seconds_left - WAITED_SECONDS - GO_SECONDS,
        )

    clocks.run(run())


def test_truncated_response_is_relayed_as_such(case: support.Case) -> None:
    """Guards against MIXED: half a body would count as the whole one."""

    async def run() -> None:
        target = call_fakes.create_target(1)
        fixture = call_fakes.RouterFixture([target])
        service = relay_service.RelayService(
            fixture.router,
            typing.cast(paths.TargetPaths, OpenPaths()),
            fixture.targets,
        )
        call = attrs.evolve(test_relay_messages.CALL, incarnation=target.name)
        broken = call_fakes.create_failure(call_fakes.Kind.BROKEN)
        fixture.targets.script.append(
            [call_fakes.respond(chunks=(b'half', broken))]
        )
        stream = Stream(relay_messages.encode_request(call))
        await service.serve(stream)
        *_, data, end = stream.words
        case.assertEqual(b'half', data.data)
        case.assertEqual('failure', end.WhichOneof('word'))
        failure = relay_messages.decode_failure(end.failure)
        case.assertIs(call_fakes.Kind.BROKEN, failure.kind)

    clocks.run(run())


class UnreadStream(Stream):
    """Stream of a host that takes no part of a body."""

    async def send(self, message: messages_pb2.Message) -> None:
        """Keep a word; wait without an end with a part."""
        await super().send(message)
        if message.relay_word.data:
            await asyncio.Event().wait()


def test_stalled_call_makes_way_for_another(case: support.Case) -> None:
    """Guards against unread responses that use up all relayed calls.

    A call whose part has just been sent is not ended for another.
    """

    async def run() -> None:
        target = call_fakes.create_target(1)
        fixture = call_fakes.RouterFixture([target])
        service = relay_service.RelayService(
            fixture.router,
            typing.cast(paths.TargetPaths, OpenPaths()),
            fixture.targets,
            max_calls=1,
        )
        call = attrs.evolve(test_relay_messages.CALL, incarnation=target.name)
        request = relay_messages.encode_request(call)
        fixture.targets.script = [[call_fakes.respond()] for _ in range(2)]
        unread = asyncio.ensure_future(service.serve(UnreadStream(request)))
        await asyncio.sleep(WAITED_SECONDS)
        early, late = Stream(request), Stream(request)
        await service.serve(early)
        case.assertEqual('too many relayed calls', early.words[0].refused)
        case.assertFalse(unread.done())
        await asyncio.sleep(relay_service.STALL_SECONDS)
        await service.serve(late)
        case.assertTrue(late.words[-1].has_ended)
        case.assertIsInstance(unread.exception(), grpclib.GRPCError)
        case.assertEqual(0, service.active)

    clocks.run(run())


class DepartingStream(Stream):
    """Stream of a host whose caller leaves soon after the order."""

    _has_ordered = False

    async def receive(self) -> messages_pb2.Message | None:
        """Return the request and the order, then that the caller has left."""
        if self._has_ordered:
            await asyncio.sleep(LEFT_SECONDS)
            return messages_pb2.Message(
                relay_caller_left=messages_pb2.RelayCallerLeft()
            )
        message = await super().receive()
        self._has_ordered = message is not None and message.HasField(
            'relay_go'
        )
        return message


async def relay_until_caller_left(
    fixture: call_fakes.RouterFixture,
) -> messages_pb2.RelayWord:
    """Relay a call whose caller leaves; return the last word."""
    service = relay_service.RelayService(
        fixture.router,
        typing.cast(paths.TargetPaths, OpenPaths()),
        fixture.targets,
    )
    (target,) = fixture.router.catalog.list_all()
    call = attrs.evolve(test_relay_messages.CALL, incarnation=target.name)
    stream = DepartingStream(relay_messages.encode_request(call))
    await service.serve(stream)
    return stream.words[-1]


def test_relayed_call_whose_caller_left_is_not_sent(
    case: support.Case,
) -> None:
    """Guards against GONE: it was sent once the connect had succeeded."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
        fixture.targets.connect_seconds = 2 * LEFT_SECONDS
        end = await relay_until_caller_left(fixture)
        case.assertEqual([], fixture.targets.sent)
        failure = relay_messages.decode_failure(end.failure)
        case.assertIs(call_fakes.Kind.NOT_SENT, failure.kind)

    clocks.run(run())


def test_relayed_call_that_was_sent_goes_on_without_its_caller(
    case: support.Case,
) -> None:
    """A call that may run only once, and may have run, runs to its end."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
        fixture.targets.script = [[2 * LEFT_SECONDS, call_fakes.respond()]]
        end = await relay_until_caller_left(fixture)
        case.assertTrue(end.has_ended)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
