"""Exchange of statuses between hosts that forward calls."""

import collections
from collections import abc
import secrets

import attrs
from returns import pipeline

from pistachioseam import events
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import relays
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam import membership
from pistachioseam_entry import admission_exchange
from pistachioseam_entry import coalescing
from pistachioseam_entry import member_messages
from pistachioseam_entry import peer_messages
from pistachioseam_entry import permit_exchange
from pistachioseam_entry import quota_exchange
from pistachioseam_entry import relay_service
from pistachioseam_entry import status_changes
from pistachioseam_entry import status_messages
from pistachioseam_peer import clients
from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

MAX_MESSAGE_BYTES = 4_194_304
"""Largest message that is accepted. Relayed bodies have up to 900,000 bytes,
no other message is larger."""
MAX_HELD_BYTES = 8_388_608
"""What peers together may make this host hold of incomplete messages."""
CACHE_UPDATE_DELAY_SECONDS = 0.02
"""Time for which updates of new prefills, and of streams that have begun, are
batched for peers; also that of targets that get no more calls."""
RELAY_DELAY_SECONDS = 0.1
"""Time for which urgent statuses of one domain are batched for another."""
HOST_LIST_POLL_SECONDS = 10.0
"""Pause between reads of the host list. It may be long, as new hosts send a
handshake to their peers themselves."""
FOLLOWER_LIST_POLL_SECONDS = 60.0
"""The same for hosts of a large fleet that do not lead their domain. Their
leader relays to them what they need to know about others."""
REWRITE_SPREAD_SECONDS = 3.0
"""Time over which all hosts together write their entries again after the store
was restored."""
STORE_RETRY_SECONDS = 0.5
"""Pause before a failed call to the store is retried."""
PROBE_INTERVAL_SECONDS = 1.0
"""Shortest pause between two probes of a silent peer."""
SENDER_EXPIRY_SECONDS = 1.5
"""Time for which a peer gets the status of this host after it has sent its own
in the belief that this host leads the domain."""
HANDSHAKE_TIMEOUT_SECONDS = 1.0
"""Longest wait for the response to a handshake."""
LEADER_TIMEOUT_SECONDS = confirmations.LONG_POLL_SECONDS + 0.3
"""Longest wait for the leader's response to a long poll."""
SECOND_LIST_READ_SECONDS = 3.0
"""Time after which the list is read again for the first time: in a fleet that
starts at once, the first read finds only the hosts that wrote before it."""
LIST_CHECK_SECONDS = 1.0
"""Pause between two checks of whether the list is to be read again."""
RESERVED_BYTES = 8
"""Bytes for the tags and lengths around the parts of a message."""
SECRET_BYTES = 16
RECENT_SECONDS = 1.3
"""Time without a heartbeat after which a host no longer counts for the share
of the quotas that this host may grant. Every host sends one each 0.6 s. It is
shorter than `membership.PEER_TIMEOUT_SECONDS`, as an issuer that is cut off
grants alongside its successor until it notices."""
ASSUMED_HOSTS = 16
"""Number of hosts assumed until the host list has been read, to compute this
host's share of the fleet's retry budget."""


class CallPeers:
    """Exchange of this host's status with its peers.

    Also gives access to the domain's leader, for long polls of the store.
    """

    def __init__(
        self,
        own: membership.Peer,
        router: routers.CallRouter,
        rollout: rollouts.Rollout,
        store: ports.Platform,
        confirmer: confirmations.Confirmer,
        relay_service: relay_service.RelayService | None = None,
    ) -> None:
        self.members = membership.Members(own, router.runtime, router.sink)
        self.relay_peers = relays.RelayPeers(
            own,
            router.topology,
            router.random,
            self.members.list_alive,
            self.members.list_known,
        )
        self._relay_service = relay_service
        self.rejected_messages = 0
        self._router = router
        self._rollout = rollout
        self._store = store
        self._confirmer = confirmer
        self._statuses = status_messages.StatusMessages(
            router, rollout, self._list_watched_cache_stores
        )
        runtime = router.runtime
        self._cache_update_timer = coalescing.CoalescingTimer(
            runtime, CACHE_UPDATE_DELAY_SECONDS, self._send_direct_updates
        )
        self._begun_streams_timer = coalescing.CoalescingTimer(
            runtime, CACHE_UPDATE_DELAY_SECONDS, self._send_direct_updates
        )
        self._urgent_timer = coalescing.CoalescingTimer(
            runtime, CACHE_UPDATE_DELAY_SECONDS, self._send_direct_updates
        )
        self._inbound_relay_timer = coalescing.CoalescingTimer(
            runtime, RELAY_DELAY_SECONDS, self._send_direct_updates
        )
        self.permits = permit_exchange.PermitExchange(
            own, router, self._get_view, self._exchange
        )
        self.admissions = admission_exchange.AdmissionExchange(
            router,
            self._get_view,
            self._create_message,
            self._exchange,
            self._send_one_way,
        )
        router.coordinators = coordinator_clients.CoordinatorClient(
            runtime,
            self.admissions,
            router.rendezvous_hash,
            router.topology.get_latency,
            router.sink,
        )
        self.quotas = quota_exchange.QuotaExchange(
            own, router, self._get_view, self._get_quota_share, self._exchange
        )
        self._has_host_list = False
        self._client: clients.PeerClient | None = None
        self._server: servers.PeerServer | None = None
        self._probed_at: dict[str, float] = {}
        self._introduced: set[str] = set()
        self._has_whole_state = False
        self._received_at: dict[str, float] = {}
        self._announced_hosts = 0
        self._list_reads = 0
        self._contacts = contacts.Contacts(direct_peers=())
        self._bytes_by_kind: collections.Counter[str] = collections.Counter()
        self._versions: dict[str, int] = {}
        self._heartbeats: dict[str, status_changes.Heartbeat] = {}
        self._budget = status_changes.ByteBudget(runtime)
        self._direct_changes = status_changes.StatusChanges(runtime)
        self._domain_changes = status_changes.StatusChanges(runtime)

    def __enter__(self) -> 'CallPeers':
        """Start the exchange with peers."""
        self._router.runtime.start_loop('peers', self._run)
        self.follow_router()
        return self

    def follow_router(self) -> None:
        """Send the router's news between the regular statuses."""
        self._rollout.add_listener(self.send_status)
        self._router.quarantine.add_listener(self.send_status)
        self._router.prefill_listeners.append(self._schedule_cache_update)
        self._router.stream_origins.add_listener(self._schedule_begun_streams)
        self._router.catalog.add_departure_listener(
            self._urgent_timer.schedule
        )
        self._router.brittleness.add_listener(self._urgent_timer.schedule)
        self._router.restore_listeners.append(
            lambda: self._router.runtime.start(self.rewrite_entries())
        )
        self._router.restore_listeners.append(
            self._router.software.forget_rows
        )

    def __exit__(self, *_: object) -> None:
        """Close the peer port and all connections to peers."""
        if self._server is not None:
            self._server.close()
        if self._client is not None:
            self._client.__exit__()

    def take_traffic(self) -> clients.Traffic:
        """Return the traffic to peers since the last call."""
        if self._client is None:
            return clients.Traffic()
        return self._client.take_traffic()

    def take_bytes_by_kind(self) -> collections.Counter[str]:
        """Return the bytes of statuses since the last call, by kind.

        A kind is `direct` or `domains`, for the receivers, and the field.
        """
        taken = self._bytes_by_kind
        self._bytes_by_kind = collections.Counter()
        return taken

    def count_hosts(self) -> int:
        """Return the number of hosts in the fleet, lost ones included."""
        if not self._has_host_list:
            return ASSUMED_HOSTS
        return max(1 + len(self.members.list_known()), self._announced_hosts)

    def count_known_hosts(self) -> int | None:
        """Return the size of the fleet, None before the list was read."""
        return self.count_hosts() if self._has_host_list else None

    def get_standby_rank(self) -> int:
        """Return this host's rank among the standbys for a lease, 0 first."""
        return contacts.get_standby_rank(
            self.members.own,
            self.members.list_known(),
            self.members.list_alive(),
            self._router.rendezvous_hash,
            self._announced_hosts,
        )

    def is_region_leader(self, domain: str) -> bool:
        """Return whether this host is the leader of the region of a domain."""
        if self._router.topology.is_remote(domain):
            return False
        return self._find_region_leader().name == self.members.own.name

    def _find_region_leader(self) -> membership.Peer:
        return contacts.find_region_leader(
            self.members.own,
            self.members.list_alive(),
            self._router.topology,
            self._router.rendezvous_hash,
        )

    def find_leader_address(self) -> str | None:
        """Return the address of the host that watches the store for this one.

        This is the leader of the domain, or for that the leader of the region.
        Return None if this host leads the region, or before the client for
        peers has been created.
        """
        own = self.members.own
        leader = contacts.find_domain_leader(
            own, self.members.list_alive(), self._router.rendezvous_hash
        )
        if leader.name == own.name:
            leader = self._find_region_leader()
        if self._client is None or leader.name == own.name:
            return None
        return leader.address

    async def fetch_store_status(
        self, address: str, query: confirmations.StoreQuery
    ) -> confirmations.StoreStatus | None:
        """Return the leader's store status, None on failure or timeout."""
        message = self._create_message()
        peer_messages.add_store_query(message, query)
        response = await self._exchange(
            address, message, LEADER_TIMEOUT_SECONDS
        )
        if response is None or response.WhichOneof('content') != 'store_word':
            return None
        return peer_messages.decode_store_status(response.store_word)

    def _get_view(self) -> contacts.FleetView:
        return contacts.FleetView(
            own=self.members.own,
            known=self.members.list_known(),
            alive=self.members.list_alive(),
            remote_leaders=self._contacts.remote_peers,
            host_count=self.count_hosts(),
            relays_statuses=self._relays_statuses(),
        )

    def _get_quota_share(self) -> float:
        """Return the part of the accounts' rates that this host may grant."""
        if not self._has_host_list:
            return 0.0
        view = attrs.evolve(
            self._get_view(), alive=self.members.list_recent(RECENT_SECONDS)
        )
        return quotas.compute_share(contacts.compute_seen_fraction(view))

    async def _exchange(
        self, address: str, message: messages_pb2.Message, seconds: float
    ) -> messages_pb2.Message | None:
        """Send a message; return the response, None on failure or timeout."""
        if self._client is None:
            return None
        received = await self._client.exchange(address, message, seconds)
        return received.value_or(None)

    def _send_one_way(
        self, address: str, message: messages_pb2.Message
    ) -> None:
        if self._client is not None:
            self._client.send_to_all([address], message)

    def _relays_statuses(self) -> bool:
        return contacts.should_relay_statuses(
            self.members.list_known(), self._announced_hosts
        )

    async def _run(self) -> None:
        """Join the fleet, then send statuses periodically."""
        if self._server is None:
            await self._join()
        while True:
            await self._router.runtime.sleep(
                self._contacts.get_pause_seconds()
            )
            self.run_round()

    async def _join(self) -> None:
        """Listen for the peers, with the secret that all hosts share."""
        proposal = secrets.token_hex(SECRET_BYTES).encode()
        secret = await self._agree_on_secret(proposal)
        self._client = clients.PeerClient(secret)
        server = servers.PeerServer(
            secret,
            self._handle_request,
            self._handle_message,
            self._handle_rejection,
            self._relay_service.serve
            if self._relay_service
            else servers.refuse_relay,
            MAX_MESSAGE_BYTES,
            MAX_HELD_BYTES,
        )
        host, _, port = self.members.own.address.rpartition(':')
        await server.start(host, int(port))
        self._server = server
        self._router.runtime.start_loop('host list', self._poll_host_list)

    def run_round(self) -> None:
        """Choose the contacts again, send the status and probe lost peers."""
        self._contacts = self._choose_contacts()
        if self._contacts.is_leader:
            self._router.loads.forget_table(loads.FLEET_SOURCE)
        self.quotas.follow_fleet()
        self.send_status()
        self._probe_peers()
        self.members.expire_peers()

    async def _agree_on_secret(self, proposal: bytes) -> bytes:
        while True:
            agreed = await self._store.share_secret(proposal)
            if pipeline.is_successful(agreed):
                return agreed.unwrap()
            await self._router.runtime.sleep(STORE_RETRY_SECONDS)

    async def rewrite_entries(self) -> None:
        """Write again what a restored store may have lost of this host.

        Load pattern: all hosts learn at the same moment that the store was
        restored, so each waits for a random time before it writes.
        """
        delay = self._router.random.random() * REWRITE_SPREAD_SECONDS
        await self._router.runtime.sleep(delay)
        await self._write_own_entry()
        if self._client is None or self._server is None:
            return
        # A host that has started since then may have stored a new secret.
        agreed = await self._agree_on_secret(self._client.secret)
        self._server.add_secret(agreed)
        self._client.secret = agreed

    async def _write_own_entry(self) -> None:
        own = self.members.own
        entry = ports.HostEntry(
            name=own.name,
            incarnation=own.incarnation,
            domain=own.domain,
            peer_address=own.address,
        )
        while not pipeline.is_successful(await self._store.write_host(entry)):
            await self._router.runtime.sleep(STORE_RETRY_SECONDS)

    async def _poll_host_list(self) -> None:
        """Write this host's entry, then read the host list periodically."""
        await self._write_own_entry()
        while True:
            listed = await self._store.list_hosts()
            if pipeline.is_successful(listed):
                self._apply_host_list(listed.unwrap())
            self._list_reads += 1
            read_at = self._router.runtime.now()
            jitter = 0.75 + self._router.random.random() / 2
            while self._router.runtime.now() - read_at < (
                self._get_list_poll_seconds() * jitter
            ):
                await self._router.runtime.sleep(LIST_CHECK_SECONDS)

    def _get_list_poll_seconds(self) -> float:
        """Return the mean time between two reads of the host list."""
        is_follower = self._contacts.leaders and not self._contacts.is_leader
        if is_follower:
            return FOLLOWER_LIST_POLL_SECONDS
        if self._list_reads == 1:
            return SECOND_LIST_READ_SECONDS
        return HOST_LIST_POLL_SECONDS

    def _apply_host_list(self, read: ports.HostsRead) -> None:
        self._has_host_list = True
        for finding in read.findings:
            self._router.sink.emit(
                events.Event.DOCUMENT_MALFORMED, finding=finding
            )
        self._announced_hosts = 0
        self.members.add_discovered(
            membership.Peer(
                name=host.name,
                incarnation=host.incarnation,
                domain=host.domain,
                address=host.peer_address,
            )
            for host in read.entries
        )

    async def leave(self) -> None:
        """Remove this host from the host list."""
        await self._store.remove_host(self.members.own.name)

    def _choose_contacts(self) -> contacts.Contacts:
        return contacts.choose_contacts(
            self.members.own,
            self.members.list_known(),
            self.members.list_alive(),
            self._router.rendezvous_hash,
            self._list_senders(),
            self._announced_hosts,
        )

    def _list_senders(self) -> list[membership.Peer]:
        """Return the peers that take this host for their leader or deputy."""
        now = self._router.runtime.now()
        for name, received_at in list(self._received_at.items()):
            if now - received_at > SENDER_EXPIRY_SECONDS:
                del self._received_at[name]
        return [
            peer
            for peer in self.members.list_alive()
            if peer.name in self._received_at
            and peer.domain == self.members.own.domain
        ]

    def send_status(self) -> None:
        """Send this host's status to its direct peers.

        A relaying domain leader also sends the merged status of its domain.
        Other hosts of a large fleet send theirs to the leaders only; those
        that take this host for one of them get a heartbeat.
        """
        receivers = self._contacts
        status = self._statuses.create_host_status()
        self._add_membership(status)
        self._statuses.add_updates(status, receivers.is_leader)
        if receivers.is_leader:
            self._send_as_leader(status, is_regular=True)
            return
        leaders = {peer.name for peer in receivers.leaders}
        direct_peers = receivers.direct_peers
        if leaders:
            followers = [p for p in direct_peers if p.name not in leaders]
            direct_peers = tuple(p for p in direct_peers if p.name in leaders)
            heartbeat = messages_pb2.HostStatus(is_partial=True)
            self._add_membership(heartbeat)
            self._send(followers, heartbeat)
        self._send(direct_peers, status)

    def _list_domain_hosts(self) -> set[str]:
        """Return the names of the live hosts of this host's domain."""
        return {
            peer.name
            for peer in self.members.list_alive()
            if peer.domain == self.members.own.domain
        }

    def _understands_changes(self, peer: membership.Peer) -> bool:
        version = self._versions.get(peer.name, 0)
        return version >= status_changes.CHANGES_VERSION

    def _send_as_leader(
        self, status: messages_pb2.HostStatus, is_regular: bool
    ) -> None:
        """Send changes to the peers that understand them, `status` to others.

        `status` is that for hosts of this domain; it may be partial.
        """
        alive = {peer.name for peer in self.members.list_alive()}
        direct = [p for p in self._contacts.direct_peers if p.name in alive]
        remote = [p for p in self._contacts.remote_peers if p.name in alive]
        former = [p for p in direct if not self._understands_changes(p)]
        self._send(former, status)
        if not former:
            self._statuses.drop_reports()
        direct = [p for p in direct if self._understands_changes(p)]
        now = self._router.runtime.now()
        tracker = self._router.loads
        sums = tracker.sum_all(now) if is_regular else {}
        receivers = max(1, len(direct) + len(remote))
        self._budget.set_receivers(receivers)
        room = max(0.0, self._budget.get_left()) / receivers
        self._send_changes(
            direct,
            self._statuses.create_fleet_status(),
            lambda peer: tracker.subtract_peer(sums, peer.name),
            room,
            is_regular,
        )
        if not remote:
            return
        domain_hosts = self._list_domain_hosts()
        domain_status = self._statuses.create_domain_status(domain_hosts)
        former = [p for p in remote if not self._understands_changes(p)]
        if is_regular:
            self._send(former, domain_status)
        else:
            partial = messages_pb2.HostStatus()
            partial.CopyFrom(domain_status)
            partial.is_partial = True
            partial.ClearField('loads')
            self._send(former, partial)
        domain_loads = loads.hash_targets(
            self._router.loads.sum_with_peers(domain_hosts, now)
        )
        self._send_changes(
            [p for p in remote if self._understands_changes(p)],
            domain_status,
            lambda peer: domain_loads,
            room,
            is_regular,
        )

    def _send_changes(
        self,
        receivers: abc.Collection[membership.Peer],
        status: messages_pb2.HostStatus,
        get_loads: abc.Callable[
            [membership.Peer], abc.Mapping[int, loads.Load]
        ],
        room: float,
        is_regular: bool,
    ) -> None:
        """Send each receiver what is new to it, up to `room` bytes if regular.

        Between regular statuses only receivers that must know something at
        once get a message.
        """
        is_domain = status.is_domain
        changes = self._domain_changes if is_domain else self._direct_changes
        changes.keep_receivers(receivers)
        changes.queue_sightings(status.sightings)
        words = status_changes.list_words(status, self._router.runtime.now())
        header_bytes = self._create_message().ByteSize()
        pending = []
        left = room * len(receivers)
        for peer in receivers:
            new = messages_pb2.HostStatus(is_partial=True, is_domain=is_domain)
            new.changes.SetInParent()
            has_words = changes.add_words(new, peer, words, is_regular)
            if is_regular:
                new.known_hosts = 1 + len(self.members.list_known())
                if not is_domain:
                    self._add_heartbeats(new, peer)
                changes.add_loads(
                    new,
                    peer,
                    get_loads(peer),
                    room - new.ByteSize() - header_bytes - RESERVED_BYTES,
                )
            if has_words or is_regular:
                pending.append((peer, new))
                left -= new.ByteSize() + header_bytes + RESERVED_BYTES
        sightings = []
        if is_regular and pending:
            sightings = changes.take_sightings(left / len(pending))
        for peer, new in pending:
            new.sightings.extend(sightings)
            self._send([peer], new)

    def _add_heartbeats(
        self, status: messages_pb2.HostStatus, receiver: membership.Peer
    ) -> None:
        own = status_changes.Heartbeat(
            self.members.own,
            self._router.runtime.now(),
            self._router.is_cut_off(),
        )
        since = own.heard_at - membership.PEER_TIMEOUT_SECONDS
        self._heartbeats = {
            name: heartbeat
            for name, heartbeat in self._heartbeats.items()
            if heartbeat.heard_at > since
        }
        heartbeats = [*self._heartbeats.values(), own]
        self._direct_changes.add_heartbeats(status, receiver, heartbeats)
        self._direct_changes.add_leaders(
            status, receiver, self._contacts.leaders
        )

    def _add_membership(self, status: messages_pb2.HostStatus) -> None:
        status.known_hosts = 1 + len(self.members.list_known())
        status.leaders.extend(
            member_messages.encode_peer(peer)
            for peer in self._contacts.leaders
        )

    def _schedule_cache_update(self) -> None:
        """Send cache updates early, so that peers do not repeat the prefill.

        In a large fleet a host rarely gets a prompt part whose prefill another
        host has just started, so the next regular status is early enough.
        """
        if not self._relays_statuses():
            self._cache_update_timer.schedule()

    def _schedule_begun_streams(self) -> None:
        """Tell peers soon which streams have begun, if versions differ."""
        if self._router.software.has_several():
            self._begun_streams_timer.schedule()

    def _send_direct_updates(self) -> None:
        """Send cache updates and relayed statuses to the direct peers.

        A leader also sends the updates of its domain to others.
        """
        receivers = self._contacts
        status = self._statuses.create_partial_status()
        self._statuses.add_updates(status, receivers.is_leader)
        if receivers.is_leader:
            self._send_as_leader(status, is_regular=False)
        else:
            self._send(receivers.direct_peers, status)

    def _send(
        self,
        peers: abc.Iterable[membership.Peer],
        status: messages_pb2.HostStatus,
    ) -> None:
        if self._client is None:
            return
        alive = {peer.name for peer in self.members.list_alive()}
        message = self._create_message()
        message.host_status.CopyFrom(status)
        addresses = [peer.address for peer in peers if peer.name in alive]
        if not addresses:
            return
        self._client.send_to_all(addresses, message)
        self._budget.spend(message.ByteSize() * len(addresses))
        kind = 'domains' if status.is_domain else 'direct'
        for field, size in peer_messages.measure_fields(status).items():
            self._bytes_by_kind[f'{kind}.{field}'] += size * len(addresses)

    def _probe_peers(self) -> None:
        """Send handshakes to silent and new peers, at a bounded rate each."""
        now = self._router.runtime.now()
        silent = contacts.choose_probes(
            self._contacts,
            self.members.list_known(),
            self.members.list_alive(),
            self._probed_at,
            self._router.rendezvous_hash,
        )
        for peer in (*silent, *self._list_new_peers()):
            if now - self._probed_at.get(peer.address, 0.0) > (
                PROBE_INTERVAL_SECONDS
            ):
                self._probed_at[peer.address] = now
                self._router.runtime.start(self._probe(peer.address))

    def _list_new_peers(self) -> list[membership.Peer]:
        """Return the live contacts that have not sent their whole state.

        A host that restarts hears its peers before it knows them, so they are
        not silent; their regular statuses hold only what has changed. In a
        large fleet, the state of one leader is that of all.
        """
        if self._contacts.leaders and self._has_whole_state:
            return []
        alive = self.members.list_alive()
        incarnations = {peer.incarnation for peer in alive}
        self._introduced &= incarnations
        names = {
            peer.name
            for peer in self._contacts.leaders or self._contacts.direct_peers
        }
        return [
            peer
            for peer in alive
            if peer.name in names and peer.incarnation not in self._introduced
        ]

    async def _probe(self, address: str) -> None:
        assert self._client is not None
        received = await self._client.exchange(
            address, self._create_handshake(), HANDSHAKE_TIMEOUT_SECONDS
        )
        if pipeline.is_successful(received):
            self._handle_handshake(received.unwrap())
        else:
            self._client.disconnect(address)

    def _handle_handshake(self, message: messages_pb2.Message) -> None:
        self._introduced.add(message.sender.incarnation)
        self._has_whole_state = True
        self._handle_message(message)

    async def _handle_request(
        self, message: messages_pb2.Message
    ) -> messages_pb2.Message:
        """Return the response to a handshake or a query."""
        content = message.WhichOneof('content')
        if content == 'permit_question':
            return await self.permits.respond(message.permit_question)
        asked = message.host_status
        if asked.HasField('admission_question'):
            return await self.admissions.respond(asked.admission_question)
        if asked.HasField('quota_question'):
            return await self.quotas.respond(asked.quota_question)
        if content != 'store_question':
            self._handle_handshake(message)
            return self._create_handshake()
        status = await self._confirmer.respond(
            peer_messages.decode_store_query(message.store_question)
        )
        response = self._create_message()
        if status is not None:
            response.store_word.CopyFrom(
                peer_messages.encode_store_status(status)
            )
        return response

    def _create_message(self) -> messages_pb2.Message:
        return messages_pb2.Message(
            version=self._get_version(),
            sender=member_messages.encode_peer(self.members.own),
        )

    def _get_version(self) -> int:
        """Return the message version, a leader's that of its whole domain.

        Other domains then send it what it can relay to all of its hosts.
        """
        if not self._contacts.is_leader:
            return status_changes.CHANGES_VERSION
        versions = [
            self._versions.get(name, 0) for name in self._list_domain_hosts()
        ]
        return min([status_changes.CHANGES_VERSION, *versions])

    def _create_handshake(self) -> messages_pb2.Message:
        """Return a full status for a peer that may have no state yet."""
        message = self._create_message()
        status = self._statuses.create_host_status(is_handshake=True)
        self._add_membership(status)
        message.host_status.CopyFrom(status)
        return message

    def _handle_message(self, message: messages_pb2.Message) -> None:
        """Apply a peer's status; schedule an early relay if it is urgent."""
        if message.host_status.HasField('admission_progress'):
            self.admissions.apply_progress(
                message.host_status.admission_progress
            )
            return
        sender = member_messages.decode_peer(message.sender)
        self.members.record_heartbeat(sender)
        self._versions[sender.name] = message.version
        status = message.host_status
        self._statuses.expand_changes(status)
        if status.HasField('changes'):
            self._apply_changes(sender, status)
        if status.is_domain:
            self._statuses.apply_domain_status(sender.domain, status)
            if status_messages.is_urgent(status):
                self._inbound_relay_timer.schedule()
            return
        if self.members.own.name in [peer.name for peer in status.leaders]:
            self._received_at[sender.name] = self._router.runtime.now()
        self._apply_host_status(sender.name, status)
        self._apply_reports(status)
        if (
            self._contacts.is_leader
            and sender.domain == self.members.own.domain
        ):
            self._relay(message)

    def _apply_changes(
        self, sender: membership.Peer, status: messages_pb2.HostStatus
    ) -> None:
        """Apply the loads and heartbeats that a leader relays."""
        now = self._router.runtime.now()
        changed = status_changes.decode_loads(status.changes.loads)
        if status.is_domain:
            source = f'domain {sender.domain}'
        elif not self._contacts.is_leader:
            source = loads.FLEET_SOURCE
        else:
            source = None
        if source is not None:
            self._router.loads.update_table(
                source, sender.incarnation, changed, now
            )
        for host in status.changes.members:
            self.members.record_heartbeat(member_messages.decode_peer(host))
        if not status.changes.heard:
            return
        heard = set(status.changes.heard)
        cut_off = set(status.changes.cut_off)
        for peer in self.members.list_known():
            key = status_changes.hash_host(peer)
            if key in heard:
                self.members.record_heartbeat(peer)
                self.relay_peers.record_status(peer.name, key in cut_off, now)

    def _apply_host_status(
        self, name: str, status: messages_pb2.HostStatus
    ) -> None:
        self._statuses.apply_host_status(name, status)
        if not status.is_partial:
            self.relay_peers.record_status(
                name, status.reaches_no_target, self._router.runtime.now()
            )

    def get_relay_link(self) -> clients.PeerClient | None:
        """Return the client by which calls are relayed, None at first."""
        return self._client

    def _apply_reports(self, status: messages_pb2.HostStatus) -> None:
        """Apply the statuses of other hosts that the leader has relayed."""
        self._announced_hosts = max(self._announced_hosts, status.known_hosts)
        for report in status.reports:
            if report.sender.name != self.members.own.name:
                self.members.record_heartbeat(
                    member_messages.decode_peer(report.sender)
                )
                self._apply_host_status(report.sender.name, report.status)
        self.members.add_discovered(
            member_messages.decode_peer(leader) for leader in status.leaders
        )

    def _relay(self, message: messages_pb2.Message) -> None:
        """Queue the status of a host of this domain for all others."""
        status = message.host_status
        self._record_heard(member_messages.decode_peer(message.sender), status)
        self._statuses.queue_for_relay(status)
        self._statuses.queue_report(message.sender, status)
        if status_messages.is_urgent(status):
            self._inbound_relay_timer.schedule()

    def _record_heard(
        self, peer: membership.Peer, status: messages_pb2.HostStatus
    ) -> None:
        known = self._heartbeats.get(peer.name)
        reaches_no_target = status.reaches_no_target
        if status.is_partial:
            reaches_no_target = known is not None and known.reaches_no_target
        self._heartbeats[peer.name] = status_changes.Heartbeat(
            peer, self._router.runtime.now(), reaches_no_target
        )

    def _list_watched_cache_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            store
            for store in state.list_cache_stores()
            if self.is_region_leader(store.domain)
        ]

    def _handle_rejection(self, rejection: envelopes.Rejection) -> None:
        self.rejected_messages += 1
        self._router.sink.emit(
            events.Event.PEER_REJECTED, reason=rejection.value
        )
