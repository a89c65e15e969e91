"""Client of the protocol between entry hosts."""

import asyncio

from grpclib import client
from returns import pipeline
from returns import result

from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_grpc
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers


class PeerClient:
    """Connections to other entry hosts by address `IP-number:port`."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self._channels: dict[str, client.Channel] = {}

    def __enter__(self) -> 'PeerClient':
        """Return the client."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Close the connection to an address."""
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
