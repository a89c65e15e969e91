"""Calls that this host sends through other hosts, as it reaches no target."""

import asyncio
from collections import abc
import contextlib
import typing

import attrs
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import relays
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam import response_budgets
from pistachioseam import statuses
from pistachioseam_entry import relay_messages
from pistachioseam_peer import clients
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

ACCEPT_SECONDS = 0.4
"""Time in which a host must accept a call, connect included. Until then it has
not sent the call, so that another one can be asked."""
SILENCE_SECONDS = 2.0
"""Time without any word of the other host after which a call counts as broken.
The host sends one each `relay_service.WORD_INTERVAL_SECONDS`."""
MAX_REQUEST_BYTES = 900_000
"""Largest body of a relayed call; a message between hosts is limited."""

Kind = interfaces.FailureKind


class ClosableStream(servers.RelayStream, typing.Protocol):
    """Stream of a relayed call that this host has opened."""

    def close(self) -> None:
        """End the stream; the other host cancels the call unless it ended."""


class RelayLink(typing.Protocol):
    """Connections to other hosts for relayed calls."""

    def open_relay(self, address: str) -> ClosableStream:
        """Return a new stream to a host."""

    def disconnect_relay(self, address: str) -> None:
        """Open a new connection for the next call to a host."""


class HeadDecoder(typing.Protocol):
    """Wire format of targets' responses."""

    def decode_response(
        self, status: int, headers: ports.HeaderPairs
    ) -> ports.ResponseHead:
        """Return the decoded status and headers of a response."""


class RelayClient:
    """Sends calls through other hosts.

    `may_send` says whether a call may still be sent, right before the other
    host is told to do so and the call is marked as sent. `get_link` returns
    None until the host has joined the fleet.
    """

    def __init__(
        self,
        own: membership.Peer,
        get_peers: abc.Callable[[], relays.RelayPeers],
        runtime: interfaces.Runtime,
        sink: interfaces.EventSink,
        decoder: HeadDecoder,
        get_link: abc.Callable[[], RelayLink | None],
        may_send: abc.Callable[[ports.OutgoingCall], bool],
        budget: response_budgets.ResponseBudget | None = None,
    ) -> None:
        self._own = own
        self._budget = budget or response_budgets.ResponseBudget()
        self._get_peers = get_peers
        self._runtime = runtime
        self._sink = sink
        self._decoder = decoder
        self._get_link = get_link
        self._may_send = may_send

    async def send(self, call: ports.OutgoingCall) -> ports.SendResult:
        """Send a call once through another host; return when the head arrives.

        A failure of kind `NOT_SENT` proves that no host has sent the call.
        """
        link = self._get_link()
        if link is None or len(call.body) > MAX_REQUEST_BYTES:
            return _fail(Kind.NOT_SENT, 'no path to targets')
        started_at = self._runtime.now()
        for peer in self._get_peers().choose(started_at):
            relayed = RelayedCall(
                link.open_relay(peer.address), self._own, self._budget
            )
            asked_at = self._runtime.now()
            answer = await relayed.request_relay(
                call.spend(asked_at - started_at)
            )
            if answer.target_refusal:
                return _fail(Kind.NOT_SENT, answer.target_refusal)
            if not answer.nonce:
                self._record_refusal(peer, answer.refusal, call)
                if answer.is_broken:
                    link.disconnect_relay(peer.address)
                continue
            if not self._may_send(call) or not call.begin_sending():
                relayed.close()
                return _fail(Kind.NOT_SENT, 'it may no longer be sent')
            waited_seconds = self._runtime.now() - asked_at
            return await self._send_accepted(
                relayed, answer.nonce, peer, call, waited_seconds
            )
        return _fail(
            Kind.NOT_SENT, 'no path to targets, and no host relays the call'
        )

    def _record_refusal(
        self, peer: membership.Peer, refusal: str, call: ports.OutgoingCall
    ) -> None:
        self._get_peers().record_refusal(peer.name, self._runtime.now())
        self._sink.emit(
            events.Event.RELAY_REFUSED,
            request_id=call.request_id,
            relay=peer.name,
            reason=refusal,
        )

    async def _send_accepted(
        self,
        relayed: 'RelayedCall',
        nonce: bytes,
        peer: membership.Peer,
        call: ports.OutgoingCall,
        waited_seconds: float,
    ) -> ports.SendResult:
        self._sink.emit(
            events.Event.CALL_RELAYED,
            request_id=call.request_id,
            relay=peer.name,
            target=call.incarnation,
        )
        self._get_peers().start(peer.name)
        relayed.on_closed = lambda: self._get_peers().finish(peer.name)
        return await relayed.send(
            nonce, self._decoder, waited_seconds, call.caller
        )


@attrs.frozen(kw_only=True)
class RelayAnswer:
    """Whether a host relays a call.

    `nonce` is set if it does, else one of the reasons: `refusal` concerns all
    calls, `target_refusal` only those to the same target. `is_broken` is set
    if there was no answer.
    """

    nonce: bytes = b''
    refusal: str = ''
    target_refusal: str = ''
    is_broken: bool = False


def _fail(kind: interfaces.FailureKind, detail: str) -> ports.SendResult:
    return result.Failure(interfaces.CallFailure(kind, detail))


def _give_up(detail: str) -> interfaces.CallFailure:
    """Return the failure of a call without word of its relaying host."""
    return interfaces.CallFailure(
        Kind.BROKEN, f'relayed: {detail}', is_given_up=True
    )


class RelayedCall:
    """Call that another host sends, and its response.

    `on_closed` is called once, when the stream is closed.
    """

    head: ports.ResponseHead
    declared_bytes: int | None = None
    is_end_marked = False
    connection = ''

    def __init__(
        self,
        stream: ClosableStream,
        own: membership.Peer,
        budget: response_budgets.ResponseBudget | None = None,
    ) -> None:
        self.on_closed: abc.Callable[[], None] | None = None
        self._budget = budget or response_budgets.ResponseBudget()
        self._counted_bytes = 0
        self._stream = stream
        self._own = own
        self._is_ended = False
        self._is_closed = False
        self._reporting: asyncio.Future[None] | None = None

    async def request_relay(self, call: ports.OutgoingCall) -> RelayAnswer:
        """Ask the host to relay a call."""
        request = relay_messages.encode_request(call)
        try:
            async with asyncio.timeout(ACCEPT_SECONDS):
                await self._stream.send(
                    self._create_message(relay_request=request)
                )
                word = await self._receive()
        except asyncio.CancelledError:
            self.close()
            raise
        except Exception as error:
            self.close()
            return RelayAnswer(refusal=type(error).__name__, is_broken=True)
        if word is None:
            word = messages_pb2.RelayWord()
        if not word.accepted_nonce:
            self.close()
        return RelayAnswer(
            nonce=word.accepted_nonce,
            refusal=word.refused,
            target_refusal=word.target_refused,
        )

    async def send(
        self,
        nonce: bytes,
        decoder: HeadDecoder,
        waited_seconds: float = 0.0,
        caller: caller_presence.CallerPresence | None = None,
    ) -> ports.SendResult:
        """Let the host send the call; return when the head has arrived.

        `waited_seconds` is the time since the host was asked. The host is
        told if `caller` leaves: it then does not send what it has not sent.
        From here on the call may run unless the host says that it was not
        sent.
        """
        try:
            go = messages_pb2.RelayGo(
                nonce=nonce,
                waited_ms=relay_messages.encode_waited_ms(waited_seconds),
            )
            await self._stream.send(self._create_message(relay_go=go))
            caller = caller or caller_presence.CallerPresence()
            with caller.watch(self._start_reporting_left):
                word = await self._receive_news()
        except asyncio.CancelledError:
            self.close()
            raise
        except Exception as error:
            return self._break(type(error).__name__)
        if word is None:
            return self._break('no word of the relaying host')
        if word.WhichOneof('word') == 'failure':
            self.close()
            return result.Failure(relay_messages.decode_failure(word.failure))
        if word.WhichOneof('word') != 'head':
            return self._break('a response without a head')
        head = word.head
        if not statuses.is_final(head.status):
            return self._break(f'malformed status {head.status}')
        self.head = decoder.decode_response(
            head.status, relay_messages.decode_headers(head.headers)
        )
        if head.HasField('declared_bytes'):
            self.declared_bytes = head.declared_bytes
        self._counted_bytes = clients.RELAY_WINDOW_BYTES
        self._budget.held_bytes += self._counted_bytes
        return result.Success(self)

    def _start_reporting_left(self) -> None:
        """Tell the other host in the background that the caller has left."""
        self._reporting = asyncio.ensure_future(self._report_left())

    async def _report_left(self) -> None:
        message = self._create_message(
            relay_caller_left=messages_pb2.RelayCallerLeft()
        )
        # If the stream is broken, the call that waits on it fails too.
        with contextlib.suppress(Exception):
            await self._stream.send(message)

    def _break(self, detail: str) -> ports.SendResult:
        self.close()
        return result.Failure(_give_up(detail))

    async def _receive(self) -> messages_pb2.RelayWord | None:
        """Return the next word, None at the end of the stream."""
        message = await self._stream.receive()
        if message is None or message.WhichOneof('content') != 'relay_word':
            return None
        return message.relay_word

    async def _receive_news(self) -> messages_pb2.RelayWord | None:
        """Return the next word with news, None without any word in time."""
        while True:
            try:
                async with asyncio.timeout(SILENCE_SECONDS):
                    word = await self._receive()
            except TimeoutError:
                return None
            if word is None or word.WhichOneof('word') != 'is_waiting':
                return word

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next bytes of the body; empty at its complete end."""
        if self._is_ended:
            return result.Success(b'')
        try:
            word = await self._receive_news()
        except Exception as error:
            return self._break_body(type(error).__name__)
        content = word.WhichOneof('word') if word else None
        if word is None or content not in ('data', 'has_ended', 'failure'):
            return self._break_body('no word of the relaying host')
        if content == 'data':
            return result.Success(word.data)
        if content == 'failure':
            self.close()
            return result.Failure(relay_messages.decode_failure(word.failure))
        self._is_ended = True
        self.is_end_marked = word.is_end_marked
        self.close()
        return result.Success(b'')

    def _break_body(
        self, detail: str
    ) -> result.Result[bytes, interfaces.CallFailure]:
        self.close()
        return result.Failure(_give_up(detail))

    def abort(self) -> None:
        """End the relayed call unless its body has been read to the end."""
        self.close()

    def drop(self) -> None:
        """End the relayed call; the other host closes its connection."""
        self.close()

    def close(self) -> None:
        """Close the stream."""
        if self._is_closed:
            return
        self._is_closed = True
        self._budget.held_bytes -= self._counted_bytes
        with contextlib.suppress(RuntimeError):
            self._stream.close()
        if self.on_closed is not None:
            self.on_closed()

    def _create_message(self, **content: typing.Any) -> messages_pb2.Message:
        sender = messages_pb2.Host(
            name=self._own.name,
            incarnation=self._own.incarnation,
            domain=self._own.domain,
            address=self._own.address,
        )
        return messages_pb2.Message(sender=sender, **content)
