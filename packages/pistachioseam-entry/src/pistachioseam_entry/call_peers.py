"""Talk between hosts that forward calls: who is told what, and when."""

from collections import abc
import secrets

from returns import pipeline

from pistachioseam import events
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam_entry import peer_messages
from pistachioseam_entry import status_messages
from pistachioseam_peer import clients
from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers

SIGHTING_SECONDS = 0.02
"""Time for which parts that begin to be read are gathered for peers."""
RELAY_SECONDS = 0.1
"""Time for which news of one domain is gathered for another."""
HOSTS_SECONDS = 10.0
"""Pause between reads of the list of hosts; new ones greet their peers."""
RETRY_SECONDS = 0.5
"""Pause before another try at the store."""
RETRY_SILENT_SECONDS = 1.0
"""Pause between tries at a silent peer."""
MESSAGE_SECONDS = 1.0
"""Longest wait for a peer's answer."""
CONFIRM_SECONDS = confirmations.LONG_POLL_SECONDS + 0.3
"""Longest wait for a peer's word on the store."""
SECRET_BYTES = 16
UNKNOWN_HOSTS = 16
"""Hosts assumed before any list was read; budgets are shared by as many."""


class Soon:
    """Something to do after a while, once for all requests till then."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        seconds: float,
        act: abc.Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._seconds = seconds
        self._act = act
        self._is_waiting = False

    def request(self) -> None:
        """Ask for the act."""
        if not self._is_waiting:
            self._is_waiting = True
            self._runtime.start(self._wait())

    async def _wait(self) -> None:
        await self._runtime.sleep(self._seconds)
        self._is_waiting = False
        self._act()


class CallPeers:
    """This host among its peers."""

    def __init__(
        self,
        own: membership.Peer,
        router: routers.CallRouter,
        rollout: rollouts.Rollout,
        store: ports.Platform,
        confirmer: confirmations.Confirmer,
    ) -> None:
        self.members = membership.Members(own, router.runtime, router.sink)
        self.rejected = 0
        self._router = router
        self._rollout = rollout
        self._store = store
        self._confirmer = confirmer
        self._statuses = status_messages.StatusMessages(
            router, rollout, self._list_watched_stores
        )
        runtime = router.runtime
        self._near_soon = Soon(runtime, SIGHTING_SECONDS, self._tell_near)
        self._pass_on_soon = Soon(runtime, RELAY_SECONDS, self._tell_near)
        self._distant_soon = Soon(runtime, RELAY_SECONDS, self._tell_distant)
        self._is_listed = False
        self._client: clients.PeerClient | None = None
        self._server: servers.PeerServer | None = None
        self._tried_at: dict[str, float] = {}
        self._contacts = contacts.Contacts(direct_peers=())

    def __enter__(self) -> 'CallPeers':
        """Start to look for peers."""
        self._router.runtime.start(self._run())
        self._rollout.add_listener(self.tell)
        self._router.quarantine.add_listener(self.tell)
        self._router.prefill_listeners.append(self._tell_near_soon)
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
        return contacts.get_standby_rank(
            self.members.own,
            self.members.list_known(),
            self.members.list_alive(),
            self._router.home_order,
        )

    def is_first_near(self, domain: str) -> bool:
        """Tell whether this host is the first of a domain's region."""
        topology = self._router.topology
        if topology.is_remote(domain):
            return False
        near = [
            peer
            for peer in self.members.list_alive()
            if not topology.is_remote(peer.domain)
        ]
        own = self.members.own
        ranked = contacts.rank_peers([*near, own], self._router.home_order)
        return ranked[0].name == own.name

    def find(self) -> str | None:
        """Return the address of the host that asks the store for others."""
        speaker = contacts.find_domain_leader(
            self.members.own,
            self.members.list_alive(),
            self._router.home_order,
        )
        if self._client is None or speaker.name == self.members.own.name:
            return None
        return speaker.address

    async def ask(
        self, address: str, question: confirmations.StoreQuery
    ) -> confirmations.StoreStatus | None:
        """Return a peer's word on the store, None if there is none."""
        assert self._client is not None
        message = self._create_message()
        message.store_question.desired_cursor = question.desired_cursor
        message.store_question.targets_cursor = question.targets_cursor
        answered = await self._client.exchange(
            address, message, CONFIRM_SECONDS
        )
        if not pipeline.is_successful(answered):
            return None
        answer = answered.unwrap()
        if answer.WhichOneof('content') != 'store_word':
            return None
        return peer_messages.decode_store_word(answer.store_word)

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
            await self._router.runtime.sleep(
                self._contacts.get_pause_seconds()
            )
            self._contacts = self._choose_contacts()
            self.tell()
            self._greet_silent()
            self.members.expire_silent()

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
        self.members.add_discovered(
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

    def _choose_contacts(self) -> contacts.Contacts:
        return contacts.choose_contacts(
            self.members.own,
            self.members.list_known(),
            self.members.list_alive(),
            self._router.home_order,
        )

    def tell(self) -> None:
        """Tell the live peers what this host knows."""
        chosen = self._contacts
        status = self._statuses.create_own()
        self._statuses.add_news(status, bool(chosen.relayed_peers))
        self._send(chosen.direct_peers, status)
        if chosen.relayed_peers:
            near = {peer.name for peer in chosen.direct_peers}
            self._send(
                chosen.relayed_peers, self._statuses.create_domain(near)
            )

    def _tell_near_soon(self) -> None:
        """Tell of parts that begin to be read, before others read them too.

        In a large fleet a host rarely gets a part that another has just
        begun to read, and the next regular message tells of it.
        """
        if not contacts.is_relayed(self.members.list_known()):
            self._near_soon.request()

    def _tell_near(self) -> None:
        """Tell the domain what is new, before others read the same parts."""
        chosen = self._contacts
        status = self._statuses.create_partial()
        self._statuses.add_news(status, bool(chosen.relayed_peers))
        self._send(chosen.direct_peers, status)

    def _tell_distant(self) -> None:
        """Tell other domains what is new in this one."""
        chosen = self._contacts
        status = self._statuses.create_partial(is_domain=True)
        self._send(chosen.relayed_peers, status)

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
        self._client.broadcast(
            [peer.address for peer in peers if peer.name in alive], message
        )

    def _greet_silent(self) -> None:
        """Try the contacts that are silent, each once in a while."""
        now = self._router.runtime.now()
        alive = {peer.address for peer in self.members.list_alive()}
        for peer in self._contacts.list_all():
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
            address, self._create_greeting(), MESSAGE_SECONDS
        )
        if pipeline.is_successful(answered):
            self._hear(answered.unwrap())
        else:
            self._client.disconnect(address)

    async def _answer(
        self, message: messages_pb2.Message
    ) -> messages_pb2.Message:
        """Return the answer to a peer's greeting or question."""
        if message.WhichOneof('content') != 'store_question':
            self._hear(message)
            return self._create_greeting()
        asked = message.store_question
        word = await self._confirmer.answer(
            confirmations.StoreQuery(
                desired_cursor=asked.desired_cursor,
                targets_cursor=asked.targets_cursor,
            )
        )
        answer = self._create_message()
        if word is not None:
            answer.store_word.CopyFrom(peer_messages.encode_store_word(word))
        return answer

    def _create_message(self) -> messages_pb2.Message:
        return messages_pb2.Message(
            sender=peer_messages.encode_peer(self.members.own)
        )

    def _create_greeting(self) -> messages_pb2.Message:
        """Return what a peer is told that may know nothing yet."""
        message = self._create_message()
        message.host_status.CopyFrom(
            self._statuses.create_own(is_greeting=True)
        )
        return message

    def _hear(self, message: messages_pb2.Message) -> None:
        """Learn all that a message tells."""
        sender = peer_messages.decode_peer(message.sender)
        self.members.record_heartbeat(sender)
        status = message.host_status
        if status.is_domain:
            self._statuses.hear_domain(sender.domain, status)
            if status_messages.is_urgent(status):
                self._pass_on_soon.request()
            return
        self._statuses.hear_near(sender.name, status)
        if self._contacts.relayed_peers:
            self._statuses.keep_for_distant(status)
            if status_messages.is_urgent(status):
                self._distant_soon.request()

    def _list_watched_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            store
            for store in state.list_cache_stores()
            if self.is_first_near(store.domain)
        ]

    def _reject(self, rejection: envelopes.Rejection) -> None:
        self.rejected += 1
        self._router.sink.emit(
            events.Event.PEER_REJECTED, reason=rejection.value
        )
