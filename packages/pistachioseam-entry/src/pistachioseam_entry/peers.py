"""Gossip between entry hosts.

Hosts exchange membership, the configuration, leaving targets, prefix uses,
loads, and requests suspected of crashing targets.
"""

import asyncio
import json
import pathlib
import typing

from returns import pipeline

from pistachioseam import claims
from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam.placement import placer
from pistachioseam import router as routers
from pistachioseam import snapshots
from pistachioseam_entry import digest_messages
from pistachioseam_entry import member_messages
from pistachioseam_entry import settings
from pistachioseam_peer import clients
from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

BROADCAST_TIMEOUT_SECONDS = 0.3
"""Longest time for which peers that do not respond delay a new configuration.
"""
STARTUP_TIMEOUT_SECONDS = 0.5
"""Longest wait for seeds before a starting host reads the tables."""
MESSAGE_TIMEOUT_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 1.0
"""Shortest pause between two probes of a peer that is not alive."""


class PeerNetwork:
    """Peer-to-peer communication; a context manager that owns its connections.

    Implements `acceptance.Broadcaster` and `claims.HolderClient`.
    """

    def __init__(
        self,
        own: membership.Peer,
        options: settings.Peers,
        runtime: interfaces.Runtime,
        sink: interfaces.EventSink,
    ) -> None:
        self.members = membership.Members(own, runtime, sink)
        self.rejected_messages = 0
        self._options = options
        self._runtime = runtime
        self._sink = sink
        secret = pathlib.Path(options.secret_file).read_bytes().strip()
        self._client = clients.PeerClient(secret)
        self._server = servers.PeerServer(
            secret,
            self._handle_request,
            self._handle_message,
            self._handle_rejection,
        )
        self._router: routers.Router | None = None
        self.is_listening = False
        self._probed_at: dict[str, float] = {}

    def __enter__(self) -> 'PeerNetwork':
        """Return the network."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the port and all connections."""
        self._server.close()
        self._client.__exit__()

    async def start(self, router: routers.Router) -> None:
        """Listen, start the gossip, and fetch the state of the seeds."""
        self._router = router
        router.quarantine.add_listener(self._broadcast_status)
        host, _, port = self.members.own.address.rpartition(':')
        await self._server.start(host.strip('[]'), int(port))
        self.is_listening = True
        self._runtime.start_loop('gossip', self._gossip)
        message = self._create_status()
        sends = [
            self._send(seed, message, STARTUP_TIMEOUT_SECONDS)
            for seed in self._options.seeds
            if seed != self.members.own.address
        ]
        await asyncio.gather(*sends)

    async def _gossip(self) -> None:
        """Send gossip to the live peers, and probe others, at an interval."""
        while True:
            await asyncio.sleep(self._options.gossip_seconds)
            assert self._router is not None
            digest = self._router.placer.take_digest()
            message = self._create_gossip(digest)
            alive = [peer.address for peer in self.members.list_alive()]
            self._client.send_to_all(alive, message)
            for address in self._choose_probes(alive):
                send = self._send(address, message, MESSAGE_TIMEOUT_SECONDS)
                self._runtime.start(_discard_result(send))
            self.members.expire_peers()

    def _broadcast_status(self) -> None:
        """Send the live peers this host's status, suspects included."""
        alive = [peer.address for peer in self.members.list_alive()]
        self._client.send_to_all(alive, self._create_status())

    def _choose_probes(self, alive: list[str]) -> list[str]:
        """Return seeds and lost peers to probe now; record the probes."""
        now = self._runtime.now()
        known = [peer.address for peer in self.members.list_known()]
        addresses = []
        for address in dict.fromkeys((*known, *self._options.seeds)):
            if address in alive or address == self.members.own.address:
                continue
            if (
                now - self._probed_at.get(address, 0.0)
                >= PROBE_INTERVAL_SECONDS
            ):
                self._probed_at[address] = now
                addresses.append(address)
        return addresses

    def _handle_message(self, message: messages_pb2.Message) -> None:
        """Apply one-way gossip; fetch the sender's snapshot if it is newer."""
        assert self._router is not None
        self._apply_message(message)
        own_number = self._router.acceptor.snapshot.number
        if message.gossip.configuration_number > own_number:
            status = self._create_status()
            send = self._send(
                message.sender.address, status, MESSAGE_TIMEOUT_SECONDS
            )
            self._runtime.start(_discard_result(send))

    async def _send(
        self,
        address: str,
        message: messages_pb2.Message,
        timeout_seconds: float,
    ) -> messages_pb2.Message | None:
        """Send a message; apply and return the response, None on failure.

        A peer with an older configuration is sent the snapshot in force.
        """
        received = await self._client.exchange(
            address, message, timeout_seconds
        )
        if not pipeline.is_successful(received):
            self._client.disconnect(address)
            return None
        response = received.unwrap()
        self._apply_message(response)
        if self._has_older_configuration(response):
            await self._send_snapshot(address)
        return response

    def _has_older_configuration(self, response: messages_pb2.Message) -> bool:
        assert self._router is not None
        own_number = self._router.acceptor.snapshot.number
        return (
            response.WhichOneof('content') == 'gossip'
            and response.gossip.configuration_number < own_number
        )

    async def _send_snapshot(self, address: str) -> None:
        assert self._router is not None
        snapshot = self._router.acceptor.snapshot
        message = self._create_snapshot_message(snapshot)
        await self._client.exchange(address, message, MESSAGE_TIMEOUT_SECONDS)

    def _create_message(self) -> messages_pb2.Message:
        return messages_pb2.Message(
            sender=member_messages.encode_peer(self.members.own)
        )

    def _create_status(self) -> messages_pb2.Message:
        """Return gossip without prefix uses, which are sent only once."""
        assert self._router is not None
        shares = self._router.placer.loads.list_own_shares()
        return self._create_gossip(placer.Digest((), shares))

    def _create_gossip(self, digest: placer.Digest) -> messages_pb2.Message:
        assert self._router is not None
        message = self._create_message()
        gossip = message.gossip
        gossip.SetInParent()
        gossip.configuration_number = self._router.acceptor.snapshot.number
        gossip.leaving.extend(self._router.leaving.list_local())
        digest_messages.add_digest(gossip, digest)
        suspects = self._router.quarantine.list_suspects()
        member_messages.add_suspects(gossip, suspects)
        return message

    def _create_snapshot_message(
        self, snapshot: snapshots.Snapshot
    ) -> messages_pb2.Message:
        message = self._create_message()
        message.gossip.configuration_number = snapshot.number
        content = snapshots.encode_snapshot(snapshot)
        message.gossip.snapshot = json.dumps(content).encode()
        return message

    async def _handle_request(
        self, message: messages_pb2.Message
    ) -> messages_pb2.Message:
        """Apply a peer's message and return the response to it."""
        assert self._router is not None
        self._apply_message(message)
        if message.WhichOneof('content') == 'claim_question':
            return self._answer_claim_query(message.claim_question)
        own_snapshot = self._router.acceptor.snapshot
        if message.gossip.configuration_number < own_snapshot.number:
            response = self._create_snapshot_message(own_snapshot)
        else:
            response = self._create_status()
        response.gossip.members.extend(
            member_messages.encode_peer(peer)
            for peer in self.members.list_alive()
        )
        return response

    def _answer_claim_query(
        self, query: messages_pb2.ClaimQuestion
    ) -> messages_pb2.Message:
        assert self._router is not None
        claim_manager = self._router.claims
        report = claims.HolderReport.DEAD
        if query.holder == claim_manager.holder:
            report = claim_manager.report_state(query.token)
        response = self._create_message()
        response.claim_report.state = report.value
        return response

    def _apply_message(self, message: messages_pb2.Message) -> None:
        """Update the local state from a peer's message."""
        assert self._router is not None
        sender = member_messages.decode_peer(message.sender)
        self.members.record_heartbeat(sender)
        if message.WhichOneof('content') != 'gossip':
            return
        gossip = message.gossip
        self.members.add_discovered(
            member_messages.decode_peer(p) for p in gossip.members
        )
        for suspect in member_messages.decode_suspects(gossip):
            self._router.quarantine.merge(suspect)
        if gossip.snapshot:
            self._install_snapshot(gossip.snapshot)
            return
        now = self._runtime.now()
        self._router.leaving.replace_list(sender.name, gossip.leaving, now)
        digest = digest_messages.decode_digest(gossip)
        self._router.placer.merge_digest(sender.name, digest, now)

    def _install_snapshot(self, content: bytes) -> None:
        assert self._router is not None
        decoded = snapshots.decode_snapshot(json.loads(content))
        if pipeline.is_successful(decoded):
            self._router.acceptor.install(decoded.unwrap())

    def _handle_rejection(self, rejection: envelopes.Rejection) -> None:
        self.rejected_messages += 1
        self._sink.emit(events.Event.PEER_REJECTED, reason=rejection.value)

    async def broadcast(self, snapshot: snapshots.Snapshot) -> None:
        """Send a snapshot to the live peers and wait, up to a timeout."""
        message = self._create_snapshot_message(snapshot)
        sends = [
            self._client.exchange(
                peer.address, message, BROADCAST_TIMEOUT_SECONDS
            )
            for peer in self.members.list_alive()
        ]
        await asyncio.gather(*sends)

    async def query_holder(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> claims.HolderReport:
        """Return the state of a claim, as reported by its holder."""
        name = holder.partition(':')[0]
        peer = self.members.find(name)
        if peer is None:
            return claims.HolderReport.UNREACHABLE
        message = self._create_message()
        message.claim_question.holder = holder
        message.claim_question.token = token
        response = await self._send(
            peer.address, message, MESSAGE_TIMEOUT_SECONDS
        )
        if response is None:
            return claims.HolderReport.UNREACHABLE
        return claims.HolderReport(response.claim_report.state)

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of the peers for the dump."""
        return {
            'alive': sorted(peer.name for peer in self.members.list_alive()),
            'known': sorted(peer.name for peer in self.members.list_known()),
            'rejected_messages': self.rejected_messages,
            'is_poller': self.members.is_poller(),
        }


async def _discard_result(
    work: typing.Coroutine[typing.Any, typing.Any, object],
) -> None:
    await work
