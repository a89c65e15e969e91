"""Calls that this host sends to targets for hosts that reach none."""

import asyncio
import contextlib
import secrets
import typing

import attrs
import grpclib
from grpclib import const
from returns import pipeline

from pistachioseam import events
from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces
from pistachioseam_entry import relay_messages
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

MAX_RELAYED_CALLS = 256
"""Calls that this host relays at a time; it refuses further ones."""
RELAYED_CALL_BYTES = 196_608
"""Memory of one relayed call: its objects, the least buffers of its response,
and the copies of the part that is sent."""
STALL_SECONDS = 0.5
"""Time after which a part that the other host does not take makes way for
other calls."""
WORD_INTERVAL_SECONDS = 0.5
"""Time without news of a relayed call after which the other host gets a word,
so that it can tell a slow target from a lost host."""
GO_SECONDS = 1.0
"""Time in which the other host must confirm a call that was accepted."""
NONCE_BYTES = 16


class RelayService:
    """Relays calls of other hosts, always by this host's own connections.

    So a call is relayed once at most. `active` counts the calls in progress,
    `max_calls` bounds them; while `is_refusing`, no further ones are accepted.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        target_paths: paths.TargetPaths,
        connections: ports.TargetConnections,
        max_calls: int = MAX_RELAYED_CALLS,
    ) -> None:
        self.active = 0
        self.is_refusing = False
        self.max_calls = min(MAX_RELAYED_CALLS, max_calls)
        self._waiting_parts: dict[asyncio.Task[None], float] = {}
        self._router = router
        self._paths = target_paths
        self._connections = connections

    async def serve(self, stream: servers.RelayStream) -> None:
        """Relay the call of a stream, or refuse it."""
        message = await stream.receive()
        if message is None or not message.HasField('relay_request'):
            return
        request = message.relay_request
        refusal = self._find_refusal()
        if refusal:
            await _tell(stream, refused=refusal)
            return
        refusal = self._find_target_refusal(request)
        if refusal:
            await _tell(stream, target_refused=refusal)
            return
        self.active += 1
        try:
            async with asyncio.timeout(
                relay_messages.get_caller_seconds(request)
            ):
                await self._serve_accepted(stream, request)
        except TimeoutError:
            await _tell_failure(
                stream, interfaces.FailureKind.BROKEN, 'the deadline passed'
            )
        finally:
            self.active -= 1

    def _find_refusal(self) -> str:
        """Return why this host relays no call, empty if it does."""
        if self.is_refusing:
            return 'this host stops'
        if self.active >= self.max_calls and not self._end_stalled():
            return 'too many relayed calls'
        if self._paths.is_lost():
            return 'this host reaches no target'
        return ''

    def _end_stalled(self) -> bool:
        """End the call whose caller has not read for longest, if any."""
        before = self._router.runtime.now() - STALL_SECONDS
        stalled = [
            (since, task)
            for task, since in self._waiting_parts.items()
            if since <= before
        ]
        if not stalled:
            return False
        _, task = min(stalled, key=lambda pair: pair[0])
        del self._waiting_parts[task]
        task.cancel()
        return True

    async def _tell_part(
        self, stream: servers.RelayStream, part: bytes
    ) -> None:
        """Send a part of a body; the call may be ended while it waits."""
        sending = asyncio.ensure_future(_tell(stream, data=part))
        self._waiting_parts[sending] = self._router.runtime.now()
        try:
            await asyncio.wait((sending,))
            if sending.cancelled():
                raise grpclib.GRPCError(
                    const.Status.RESOURCE_EXHAUSTED,
                    'the caller does not read the response',
                )
            sending.result()
        finally:
            self._waiting_parts.pop(sending, None)
            sending.cancel()

    def _find_target_refusal(self, request: messages_pb2.RelayRequest) -> str:
        """Return why a target gets no calls from this host, empty if it does.

        It may have told this host what the other one does not know.
        """
        router = self._router
        target = router.catalog.get(request.incarnation)
        if target is None:
            return 'unknown target'
        if not router.catalog.is_available(target):
            return 'the target leaves'
        if not router.notices.accepts_calls(target, router.runtime.now()):
            return 'the target wants no calls'
        if request.after_event and router.is_doubtful(target):
            return 'the target may have restarted'
        return ''

    async def _serve_accepted(
        self, stream: servers.RelayStream, request: messages_pb2.RelayRequest
    ) -> None:
        accepted_at = self._router.runtime.now()
        nonce = secrets.token_bytes(NONCE_BYTES)
        await _tell(stream, accepted_nonce=nonce)
        async with asyncio.timeout(GO_SECONDS):
            message = await stream.receive()
        if message is None or message.relay_go.nonce != nonce:
            return
        refusal = self._find_target_refusal(request)
        if refusal:
            await _tell_failure(
                stream, interfaces.FailureKind.NOT_SENT, refusal
            )
            return
        # Both hosts count the way of the acceptance: rather too short a limit
        # than too long a one.
        waited_seconds = (
            self._router.runtime.now()
            - accepted_at
            + message.relay_go.waited_ms / relay_messages.MS_PER_SECOND
        )
        call = relay_messages.decode_request(request, waited_seconds)
        self._router.sink.emit(
            events.Event.CALL_SENT_FOR_PEER,
            request_id=call.request_id,
            peer=message.sender.name,
            target=call.incarnation,
        )
        target = self._router.catalog.get(call.incarnation)
        assert target is not None
        await self._relay(stream, target.address, call)

    def _log_response(
        self, call: ports.OutgoingCall, outcome: str, connection: str
    ) -> None:
        self._router.sink.emit(
            events.Event.RELAYED_CALL_FAILED,
            request_id=call.request_id,
            target=call.incarnation,
            outcome=outcome,
            connection=connection,
        )

    async def _relay(
        self,
        stream: servers.RelayStream,
        address: str,
        call: ports.OutgoingCall,
    ) -> None:
        """Send a call and pass its response on, complete and in order."""
        with _CallerWatch(stream) as caller:
            call = attrs.evolve(
                call, begin_sending=caller.is_present, caller=caller
            )
            sent = await _wait_with_words(
                stream, self._connections.send(address, call)
            )
        if not pipeline.is_successful(sent):
            failure = sent.failure()
            self._log_response(call, failure.kind.value, failure.connection)
            await _tell_failure(stream, failure.kind, failure.detail)
            return
        response = sent.unwrap()
        if response.head.status >= 400:
            self._log_response(
                call, f'status {response.head.status}', response.connection
            )
        try:
            await _tell(stream, head=relay_messages.encode_head(response))
            while True:
                read = await _wait_with_words(stream, response.read())
                if not pipeline.is_successful(read):
                    failure = read.failure()
                    await _tell_failure(stream, failure.kind, failure.detail)
                    return
                data = read.unwrap()
                if not data:
                    await _tell(
                        stream,
                        has_ended=True,
                        is_end_marked=response.is_end_marked,
                    )
                    return
                await self._tell_part(stream, data)
        except grpclib.GRPCError as error:
            self._log_response(call, str(error.message), response.connection)
            raise
        finally:
            response.abort()


class _CallerWatch:
    """Presence of the caller of a relayed call, as the other host tells it.

    Only until the block ends; the word is received in a task of its own.
    """

    def __init__(self, stream: servers.RelayStream) -> None:
        self._stream = stream
        self._caller = caller_presence.CallerPresence()

    def __enter__(self) -> caller_presence.CallerPresence:
        """Start to wait for the word that the caller has left."""
        self._task = asyncio.ensure_future(self._receive())
        return self._caller

    def __exit__(self, *_: object) -> None:
        """Wait no longer."""
        self._task.cancel()

    async def _receive(self) -> None:
        # The handler of the stream ends with it, so its errors end this too.
        with contextlib.suppress(Exception):
            while message := await self._stream.receive():
                if message.HasField('relay_caller_left'):
                    self._caller.leave()
                    return


async def _tell(stream: servers.RelayStream, **word: typing.Any) -> None:
    await stream.send(
        messages_pb2.Message(relay_word=messages_pb2.RelayWord(**word))
    )


async def _tell_failure(
    stream: servers.RelayStream, kind: interfaces.FailureKind, detail: str
) -> None:
    failure = interfaces.CallFailure(kind, detail)
    await _tell(stream, failure=relay_messages.encode_failure(failure))


async def _wait_with_words(
    stream: servers.RelayStream,
    work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Return the result of some work; tell the other host that it lasts."""
    task = asyncio.ensure_future(work)
    try:
        while True:
            done, _ = await asyncio.wait(
                (task,), timeout=WORD_INTERVAL_SECONDS
            )
            if done:
                return task.result()
            await _tell(stream, is_waiting=True)
    finally:
        task.cancel()
