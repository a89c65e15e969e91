"""Client of the protocol between entry hosts."""

import asyncio
from collections import abc

from grpclib import client
from returns import pipeline
from returns import result

from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_grpc
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

MAX_WAITING = 4


class _Pipe:
    """Open stream of one-way messages to one peer."""

    def __init__(self, channel: client.Channel) -> None:
        self._channel = channel
        self._waiting: asyncio.Queue[messages_pb2.Envelope] = asyncio.Queue(
            MAX_WAITING
        )
        self._task = asyncio.ensure_future(self._run())

    def is_open(self) -> bool:
        """Tell whether messages still go through."""
        return not self._task.done()

    def put(self, envelope: messages_pb2.Envelope) -> None:
        """Queue a message; a peer that is too slow misses it."""
        if not self._waiting.full():
            self._waiting.put_nowait(envelope)

    def close(self) -> None:
        """End the stream."""
        self._task.cancel()

    async def _run(self) -> None:
        stub = messages_grpc.PeerStub(self._channel)
        try:
            async with stub.Tell.open() as stream:
                while True:
                    await stream.send_message(await self._waiting.get())
        except Exception:
            # The next message opens a new stream.
            return


class PeerClient:
    """Connections to other entry hosts by address `IP-number:port`."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self._channels: dict[str, client.Channel] = {}
        self._pipes: dict[str, _Pipe] = {}

    def __enter__(self) -> 'PeerClient':
        """Return the client."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Close the connection to an address."""
        pipe = self._pipes.pop(address, None)
        if pipe is not None:
            pipe.close()
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _get_channel(self, address: str) -> client.Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            channel = client.Channel(host.strip('[]'), int(port))
            self._channels[address] = channel
        return channel

    def tell(
        self, addresses: abc.Iterable[str], message: messages_pb2.Message
    ) -> None:
        """Send a message one way; it is sealed once for all addresses."""
        envelope = envelopes.seal(self._secret, message, servers.get_now_ms())
        for address in addresses:
            pipe = self._pipes.get(address)
            if pipe is None or not pipe.is_open():
                pipe = self._pipes[address] = _Pipe(self._get_channel(address))
            pipe.put(envelope)

    async def exchange(
        self,
        address: str,
        message: messages_pb2.Message,
        timeout_seconds: float,
    ) -> result.Result[messages_pb2.Message, str]:
        """Send a message and return the answer, or why there is none."""
        stub = messages_grpc.PeerStub(self._get_channel(address))
        now = servers.get_now_ms()
        envelope = envelopes.seal(self._secret, message, now)
        try:
            async with asyncio.timeout(timeout_seconds):
                answered = await stub.Exchange(envelope)
        except Exception as error:
            return result.Failure(type(error).__name__)
        opened = envelopes.open_envelope(
            self._secret, answered, servers.get_now_ms()
        )
        if not pipeline.is_successful(opened):
            return result.Failure(opened.failure().value)
        return result.Success(opened.unwrap())
