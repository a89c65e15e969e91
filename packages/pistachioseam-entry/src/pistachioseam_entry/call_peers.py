"""Gossip between hosts that forward calls: loads, weights, suspects."""

import secrets

from returns import pipeline

from pistachioseam import events
from pistachioseam.forwarding import beliefs
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import store_watches
from pistachioseam import membership
from pistachioseam_entry import peer_messages
from pistachioseam_peer import clients
from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

GOSSIP_SECONDS = 0.35
"""Pause between two messages to each peer; bytes between zones are dear."""
SIGHTING_SECONDS = 0.02
"""Time for which parts that begin to be read are gathered for peers."""
HOSTS_SECONDS = 5.0
"""Pause between reads of the list of hosts."""
RETRY_SECONDS = 0.5
"""Pause before another try at the store."""
RETRY_SILENT_SECONDS = 1.0
"""Pause between tries at a silent peer."""
MESSAGE_SECONDS = 1.0
"""Longest wait for a peer's answer."""
SUSPECT_SECONDS = 1.0
"""Age up to which suspected requests are told again."""
SECRET_BYTES = 16
UNKNOWN_HOSTS = 16
"""Hosts assumed before any list was read; budgets are shared by as many."""
DUTY_PREFIX = 2
"""Seed of the order in which hosts stand by for duties."""


class CallPeers:
    """This host among its peers."""

    def __init__(
        self,
        own: membership.Peer,
        router: routers.CallRouter,
        rollout: rollouts.Rollout,
        store: ports.Platform,
    ) -> None:
        self.members = membership.Members(own, router.runtime, router.sink)
        self.rejected = 0
        self._router = router
        self._rollout = rollout
        self._store = store
        self._is_listed = False
        self._is_telling = False
        self._client: clients.PeerClient | None = None
        self._server: servers.PeerServer | None = None
        self._tried_at: dict[str, float] = {}

    def __enter__(self) -> 'CallPeers':
        """Start to look for peers."""
        self._router.runtime.start(self._run())
        self._rollout.add_listener(self.tell)
        self._router.quarantine.add_listener(self.tell)
        self._router.first_read_listeners.append(self._tell_sightings_soon)
        return self

    def __exit__(self, *_: object) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        if self._client is not None:
            self._client.__exit__()

    def count_hosts(self) -> int:
        """Return the number of hosts, lost ones included."""
        if not self._is_listed:
            return UNKNOWN_HOSTS
        return 1 + len(self.members.list_known())

    def get_standby_rank(self) -> int:
        """Return this host's place in the succession of duties."""
        own = self.members.own.name
        names = sorted(
            [peer.name for peer in self.members.list_alive()] + [own]
        )
        order = self._router.home_order.rank(DUTY_PREFIX, names, len(names))
        return order.index(own)

    def is_first_near(self, domain: str) -> bool:
        """Tell whether this host is the first of a domain's region."""
        topology = self._router.topology
        if topology.is_remote(domain):
            return False
        names = [
            peer.name
            for peer in self.members.list_alive()
            if not topology.is_remote(peer.domain)
        ]
        own = self.members.own.name
        ranked = self._router.home_order.rank(
            DUTY_PREFIX, sorted([*names, own]), 1
        )
        return ranked == (own,)

    async def _run(self) -> None:
        """Join the fleet, then talk for ever."""
        secret = await self._agree_on_secret()
        self._client = clients.PeerClient(secret)
        self._server = servers.PeerServer(
            secret, self._answer, self._hear, self._reject
        )
        host, _, port = self.members.own.address.rpartition(':')
        await self._server.start(host, int(port))
        self._router.runtime.start(self._follow_hosts())
        while True:
            await self._router.runtime.sleep(GOSSIP_SECONDS)
            self.tell()
            self._greet_silent()
            self.members.note_silence()

    async def _agree_on_secret(self) -> bytes:
        proposal = secrets.token_hex(SECRET_BYTES).encode()
        while True:
            agreed = await self._store.share_secret(proposal)
            if pipeline.is_successful(agreed):
                return agreed.unwrap()
            await self._router.runtime.sleep(RETRY_SECONDS)

    async def _follow_hosts(self) -> None:
        """Announce this host, then read the list for ever."""
        own = self.members.own
        entry = ports.HostEntry(
            name=own.name,
            incarnation=own.incarnation,
            domain=own.domain,
            peer_address=own.address,
        )
        while not pipeline.is_successful(await self._store.write_host(entry)):
            await self._router.runtime.sleep(RETRY_SECONDS)
        while True:
            listed = await self._store.list_hosts()
            if pipeline.is_successful(listed):
                self._note_hosts(listed.unwrap())
            await self._router.runtime.sleep(HOSTS_SECONDS)

    def _note_hosts(self, hosts: tuple[ports.HostEntry, ...]) -> None:
        self._is_listed = True
        self.members.note_named(
            membership.Peer(
                name=host.name,
                incarnation=host.incarnation,
                domain=host.domain,
                address=host.peer_address,
            )
            for host in hosts
        )

    async def leave(self) -> None:
        """Take this host off the list."""
        await self._store.remove_host(self.members.own.name)

    def tell(self) -> None:
        """Tell the live peers what this host knows."""
        message = self._create_message()
        self._add_sightings(message.host_status)
        self._send(message)

    def _tell_sightings_soon(self) -> None:
        """Tell of parts that are being read, before others read them too."""
        if self._is_telling:
            return
        self._is_telling = True
        self._router.runtime.start(self._tell_sightings())

    async def _tell_sightings(self) -> None:
        await self._router.runtime.sleep(SIGHTING_SECONDS)
        self._is_telling = False
        message = self._create_empty_message()
        message.host_status.is_partial = True
        self._add_sightings(message.host_status)
        self._send(message)

    def _send(self, message: messages_pb2.Message) -> None:
        if self._client is not None:
            alive = [peer.address for peer in self.members.list_alive()]
            self._client.tell(alive, message)

    def _add_sightings(self, status: messages_pb2.HostStatus) -> None:
        for sighting in self._router.caches.take_sightings():
            status.sightings.add(
                holder=sighting.holder,
                salt=sighting.salt,
                names=[part.name for part in sighting.parts],
                tokens=[part.tokens for part in sighting.parts],
                ready_ms=int(sighting.ready_seconds * plans.MS),
            )

    def _greet_silent(self) -> None:
        """Try the peers that are silent, each once in a while."""
        now = self._router.runtime.now()
        alive = {peer.address for peer in self.members.list_alive()}
        for peer in self.members.list_known():
            if peer.address in alive:
                continue
            if now - self._tried_at.get(peer.address, 0.0) > (
                RETRY_SILENT_SECONDS
            ):
                self._tried_at[peer.address] = now
                self._router.runtime.start(self._greet(peer.address))

    async def _greet(self, address: str) -> None:
        assert self._client is not None
        answered = await self._client.exchange(
            address, self._create_message(is_greeting=True), MESSAGE_SECONDS
        )
        if pipeline.is_successful(answered):
            self._hear(answered.unwrap())
        else:
            self._client.forget(address)

    def _answer(self, message: messages_pb2.Message) -> messages_pb2.Message:
        """Return the answer to a peer's greeting."""
        self._hear(message)
        return self._create_message(is_greeting=True)

    def _create_empty_message(self) -> messages_pb2.Message:
        message = messages_pb2.Message(
            sender=peer_messages.encode_peer(self.members.own)
        )
        message.host_status.SetInParent()
        return message

    def _create_message(
        self, is_greeting: bool = False
    ) -> messages_pb2.Message:
        """Return the status; a greeting tells older suspects too."""
        message = self._create_empty_message()
        status = message.host_status
        now = self._router.runtime.now()
        for named in self._router.desired.list_ages(now):
            status.named.add(
                model=named.model,
                weights_version=named.version,
                age_ms=int(named.age_seconds * plans.MS),
            )
        for name, load in self._router.loads.get_own().items():
            status.loads.add(
                target=name,
                runs=load.runs,
                tokens=load.tokens,
                prefill_tokens=load.prefill_tokens,
                transfer_ms=load.transfer_ms,
                urgent_tokens=load.urgent_tokens,
            )
        for seen in self._router.weights.list_recent():
            status.engines.add(
                target=seen.target,
                born_ms=seen.born_ms,
                model=seen.model,
                weights_version=seen.version,
            )
        peer_messages.add_suspects(
            status,
            self._router.quarantine.list_suspects(
                float('inf') if is_greeting else SUSPECT_SECONDS
            ),
        )
        for store in self._list_watched_stores():
            epoch = self._router.store_epochs.get(store.address)
            if epoch is not None:
                status.store_epochs.add(address=store.address, epoch=epoch)
        for name, born_ms in self._rollout.loading:
            status.engines.add(target=name, born_ms=born_ms, is_loading=True)
        return message

    def _hear(self, message: messages_pb2.Message) -> None:
        """Learn all that a message tells."""
        sender = peer_messages.decode_peer(message.sender)
        self.members.note_heard(sender)
        status = message.host_status
        for sighting in status.sightings:
            self._hear_sighting(sighting)
        if status.is_partial:
            return
        now = self._router.runtime.now()
        self._router.loads.note_peer(
            sender.name,
            {
                load.target: loads.Load(
                    load.runs,
                    load.tokens,
                    load.prefill_tokens,
                    load.transfer_ms,
                    load.urgent_tokens,
                )
                for load in status.loads
            },
            now,
        )
        for engine in status.engines:
            self._hear_engine(engine)
        watched = {store.address for store in self._list_watched_stores()}
        for told in status.store_epochs:
            if told.address not in watched:
                store_watches.note_epoch(
                    self._router, told.address, told.epoch
                )
        for suspect in peer_messages.decode_suspects(status):
            self._router.quarantine.merge(suspect)
        for named in status.named:
            self._router.desired.merge_age(
                beliefs.NamedWeights(
                    named.model,
                    named.weights_version,
                    named.age_ms / plans.MS,
                ),
                now,
            )

    def _list_watched_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            store
            for store in state.list_cache_stores()
            if self.is_first_near(store.domain)
        ]

    def _hear_sighting(self, sighting: messages_pb2.CacheSighting) -> None:
        parts = tuple(
            prompts.Part(name, tokens)
            for name, tokens in zip(
                sighting.names, sighting.tokens, strict=True
            )
        )
        plans.note_sighting(
            self._router,
            residency.Sighting(
                sighting.holder,
                sighting.salt,
                parts,
                sighting.ready_ms / plans.MS,
            ),
            is_own=False,
        )

    def _hear_engine(self, engine: messages_pb2.EngineState) -> None:
        if engine.is_loading:
            incarnation = (engine.target, engine.born_ms)
            self._router.weights.note_loading(incarnation)
            return
        self._router.weights.merge(
            beliefs.SeenWeights(
                engine.target,
                engine.born_ms,
                engine.model,
                engine.weights_version,
            )
        )

    def _reject(self, rejection: envelopes.Rejection) -> None:
        self.rejected += 1
        self._router.sink.emit(
            events.Event.PEER_REJECTED, reason=rejection.value
        )
