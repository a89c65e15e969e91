"""Simulated hosts that may have no path to the targets.

Modes of a host's path: `pass`; `hang`: nothing passes and connects hang;
`cut`: open connections are reset and connects refused; `refuse`: connects are
refused and open connections live on.
"""

import asyncio
import collections
from collections import abc
import random
import typing

import attrs
from returns import result

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces
from pistachioseam import links
from pistachioseam import membership
from pistachioseam_entry import relay_client
from pistachioseam_entry import relay_service
from pistachioseam_entry import routed_connections
from pistachioseam_entry import runtime
from pistachioseam_entry import target_connections
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import fleets

Kind = interfaces.FailureKind
CONNECT_SECONDS = 0.002
RUN_SECONDS = 0.05
EVENTS = 5
EVENT_SECONDS = 0.02
LINK_SECONDS = 0.001


@attrs.define
class Run:
    """Run of a call at a target."""

    request_id: str
    host: str
    address: str
    started_at: float
    ended_at: float | None = None


@attrs.define(eq=False)
class Connection:
    """Connection of a host to a target."""

    pool: 'Pool'
    address: str
    broken: asyncio.Event = attrs.field(factory=asyncio.Event)

    def drop(self) -> None:
        """Close the connection."""
        self.broken.set()


class Pool:
    """Connections of one host to the targets."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.mode = 'pass'
        self.runs: list[Run] = []
        self.opened = 0
        self.on_received: abc.Callable[[], None] = lambda: None
        self.listeners: list[ports.ResponseListener] = []
        self._idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self._open: set[Connection] = set()

    def set_mode(self, mode: str) -> None:
        """Set the mode of the path."""
        self.mode = mode
        if mode == 'cut':
            for connection in list(self._open):
                connection.drop()

    def add_listener(self, listener: ports.ResponseListener) -> None:
        """Call `listener` with the head of each response."""
        self.listeners.append(listener)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.drop()

    def close_all_idle(self) -> None:
        """Close the idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def take_idle(
        self, address: str, call: ports.OutgoingCall
    ) -> Connection | None:
        """Return an idle connection."""
        idle = [c for c in self._idle[address] if not c.broken.is_set()]
        self._idle[address] = idle
        return idle.pop() if idle else None

    async def connect(
        self, address: str, seconds: float = 1.0
    ) -> result.Result[Connection, interfaces.CallFailure]:
        """Open a connection."""
        self.opened += 1
        if self.mode == 'hang':
            await asyncio.sleep(seconds)
        await asyncio.sleep(CONNECT_SECONDS)
        if self.mode != 'pass':
            failure = interfaces.CallFailure(Kind.NOT_SENT, self.mode)
            return result.Failure(failure)
        connection = Connection(self, address)
        self._open.add(connection)
        return result.Success(connection)

    async def is_reachable(self, address: str, seconds: float) -> bool:
        """Return whether an address accepts a connection."""
        connected = await self.connect(address, seconds)
        return isinstance(connected, result.Success)

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether an address refuses a connection."""
        return self.mode in ('cut', 'refuse')

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Send a call by this host's own path."""
        connection = self.take_idle(address, call)
        if connection is None:
            connected = await self.connect(address)
            if not isinstance(connected, result.Success):
                return result.Failure(connected.failure())
            connection = connected.unwrap()
        if not call.begin_sending():
            connection.drop()
            failure = interfaces.CallFailure(Kind.NOT_SENT, 'not begun')
            return result.Failure(failure)
        return await self.send_on(connection, call)

    async def send_on(
        self, connection: Connection, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Run a call at its target; return when the head arrives."""
        run = Run(
            call.request_id,
            self.host,
            connection.address,
            asyncio.get_running_loop().time(),
        )
        if self.mode != 'hang':
            self.runs.append(run)
        try:
            is_whole = await self.pass_time(connection, RUN_SECONDS)
        except asyncio.CancelledError:
            run.ended_at = asyncio.get_running_loop().time()
            connection.drop()
            raise
        if not is_whole:
            run.ended_at = asyncio.get_running_loop().time()
            return result.Failure(interfaces.CallFailure(Kind.BROKEN, 'reset'))
        chunks = [call_fakes.event(n) for n in range(1, EVENTS + 1)]
        response = Response(connection, run, call.request_id, chunks)
        self.report_response(
            connection.address, call, run.started_at, response.head
        )
        return result.Success(response)

    def report_response(
        self,
        address: str,
        call: ports.OutgoingCall,
        sent_at: float,
        head: ports.ResponseHead,
    ) -> None:
        """Call the listeners with the head of a response."""
        call_fakes.report_response(
            self.listeners, address, call, sent_at, head
        )

    async def pass_time(self, connection: Connection, seconds: float) -> bool:
        """Wait, and while nothing passes; return whether bytes arrive."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        while loop.time() < due_at or self.mode == 'hang':
            if connection.broken.is_set():
                return False
            await asyncio.sleep(max(0.01, min(0.05, due_at - loop.time())))
        if connection.broken.is_set():
            return False
        self.on_received()
        return True

    def release(self, connection: Connection) -> None:
        """Keep a connection whose response has been read."""
        self._idle[connection.address].append(connection)


class Response:
    """Response of a target, which ends its run."""

    def __init__(
        self,
        connection: Connection,
        run: Run,
        request_id: str,
        chunks: list[bytes],
    ) -> None:
        self.head = ports.ResponseHead(
            status=200,
            headers=((b'id', request_id.encode()),),
            request_id=request_id,
            stamp='stamp',
        )
        self.declared_bytes: int | None = None
        self.is_end_marked = False
        self.connection = ''
        self._connection = connection
        self._run = run
        self._chunks = chunks

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next event."""
        pool = self._connection.pool
        if not await pool.pass_time(self._connection, EVENT_SECONDS):
            return result.Failure(interfaces.CallFailure(Kind.BROKEN, 'reset'))
        if self._chunks:
            return result.Success(self._chunks.pop(0))
        self._end()
        pool.release(self._connection)
        return result.Success(b'')

    def _end(self) -> None:
        if self._run.ended_at is None:
            self._run.ended_at = asyncio.get_running_loop().time()

    def abort(self) -> None:
        """Close the connection unless the body has been read."""
        if self._run.ended_at is None:
            self.drop()

    def drop(self) -> None:
        """Close the connection."""
        self._connection.drop()
        self._end()


class _Link:
    """Stream of a relayed call between two simulated hosts."""

    def __init__(
        self, network: 'Network', sender: str, receiver: 'Host | None'
    ) -> None:
        self._network = network
        self._ends = {sender, receiver.own.name if receiver else ''}
        self._to_server: asyncio.Queue[typing.Any] = asyncio.Queue()
        self._to_client: asyncio.Queue[typing.Any] = asyncio.Queue()
        self._receiver = receiver
        self._task: asyncio.Future[None] | None = None

    async def send(self, message: messages_pb2.Message) -> None:
        """Send a message to the other host."""
        if self._receiver is None:
            raise ConnectionRefusedError
        await asyncio.sleep(LINK_SECONDS)
        if self._ends & self._network.silent:
            return
        if self._task is None:
            self._task = asyncio.ensure_future(self._serve())
        self._to_server.put_nowait(message)

    async def receive(self) -> messages_pb2.Message | None:
        """Return the next message of the other host."""
        message = await self._to_client.get()
        while self._ends & self._network.silent:
            await asyncio.sleep(0.05)
        return typing.cast('messages_pb2.Message | None', message)

    async def _serve(self) -> None:
        assert self._receiver is not None
        await self._receiver.relay_service.serve(_ServerEnd(self))
        self._to_client.put_nowait(None)

    def close(self) -> None:
        """End the stream; the other host cancels the call."""
        if self._task is not None:
            self._task.cancel()


class _ServerEnd:
    """The relaying host's end of a stream."""

    def __init__(self, link: _Link) -> None:
        self._link = link

    async def send(self, message: messages_pb2.Message) -> None:
        """Send a message to the host that opened the stream."""
        await asyncio.sleep(LINK_SECONDS)
        payload = message.SerializeToString()
        self._link._to_client.put_nowait(
            messages_pb2.Message.FromString(payload)
        )

    async def receive(self) -> messages_pb2.Message | None:
        """Return the next message of that host."""
        return typing.cast(
            'messages_pb2.Message | None', await self._link._to_server.get()
        )


class Network(fleets.Network):
    """Network between hosts; those in `silent` get no relayed calls."""

    def __init__(self) -> None:
        super().__init__()
        self.silent: set[str] = set()


class _RelayLink:
    """Connections of one host for relayed calls."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host
        self.opened: list[str] = []

    def open_relay(self, address: str) -> _Link:
        """Return a stream to a host."""
        self.opened.append(address)
        receiver = self._network.hosts.get(address)
        return _Link(
            self._network, self._host, typing.cast('Host | None', receiver)
        )

    def disconnect_relay(self, address: str) -> None:
        """Do nothing; streams are independent."""


class Decoder:
    """Wire format of the simulated targets."""

    def decode_response(
        self, status: int, headers: ports.HeaderPairs
    ) -> ports.ResponseHead:
        """Return the head of a response."""
        header_map = dict(headers)
        return ports.ResponseHead(
            status=status,
            headers=headers,
            request_id=header_map[b'id'].decode(),
            stamp='stamp',
        )


class Host(fleets.Host):
    """Host with calls to simulated targets, direct and relayed."""

    network: Network

    def __init__(
        self,
        own: membership.Peer,
        network: Network,
        targets: abc.Sequence[catalog.LiveTarget],
        regions: tuple[links.Region, ...],
    ) -> None:
        self.pool = Pool(own.name)
        self.may_send = True
        sink = call_fakes.Sink()
        own_runtime = runtime.AsyncioRuntime(sink)
        self.paths = paths.TargetPaths(
            own_runtime,
            call_fakes.SeededRandom(),
            sink,
            lambda: [target.address for target in targets],
            self.pool.is_reachable,
        )
        self.link = _RelayLink(network, own.name)
        self.relay_client = relay_client.RelayClient(
            own,
            lambda: self.peers.relay_peers,
            own_runtime,
            sink,
            Decoder(),
            lambda: self.link,
            lambda _: self.may_send,
        )
        pool = typing.cast(target_connections.ConnectionPool, self.pool)
        connections = routed_connections.RoutedConnections(
            pool, self.paths, self.relay_client, own_runtime
        )
        fixture = call_fakes.RouterFixture(
            targets, typing.cast(typing.Any, connections), own.domain
        )
        fixture.sink.events = sink.events
        super().__init__(own, network, fixture)
        self.router.topology = links.Topology(
            domain=own.domain, regions=regions
        )
        self.peers.relay_peers.topology = self.router.topology
        self.router.is_cut_off = self.paths.is_lost
        self.paths.add_listener(self._handle_paths_change)
        self.relay_service = relay_service.RelayService(
            self.router, self.paths, pool
        )
        self.router.runtime.start(self.paths.run())
        self.router.runtime.start(self.router.software.run())
        self.router.runtime.start(self._keep_fresh())

    def _handle_paths_change(self) -> None:
        self.router.health.forget_failures()
        self.router.loads.finish_prefills()
        self.peers.send_status()

    async def _keep_fresh(self) -> None:
        while True:
            self.router.freshness.record_confirmation(
                self.router.runtime.now()
            )
            await asyncio.sleep(0.5)

    async def serve(
        self, prefix: str, request_id: str, timeout_seconds: float = 3.0
    ) -> calls.Call:
        """Serve one call."""
        prompt = None
        if prefix in ('/stream/', '/resumable/'):
            prompt = prompts.Prompt(
                model=call_fakes.MODEL,
                prompt_tokens=100,
                output_tokens=10,
                parts=(),
            )
        call = self.fixture.create_call(
            prefix,
            prompt,
            request_id=request_id,
            timeout_seconds=timeout_seconds,
        )
        await routers.run_filters(call, self.router)
        return call


@attrs.frozen
class Outcome:
    """Result of a caller's first attempt."""

    host: str
    prefix: str
    request_id: str
    sent_at: float
    is_served: bool
    seconds: float


class Fleet:
    """Hosts and targets, with callers of all hosts."""

    def __init__(self, hosts: int, domains: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.network = Network()
        names = [f'd{number}' for number in range(domains)]
        half = (domains + 1) // 2
        regions = (
            links.Region(name='r1', domains=tuple(names[:half])),
            links.Region(name='r2', domains=tuple(names[half:])),
        )
        targets = [
            call_fakes.create_target(n, domain=names[n % domains])
            for n in range(4)
        ] + [
            call_fakes.create_target(
                n, call_fakes.ENGINE_SERVICE, domain=names[n % domains]
            )
            for n in range(10, 16)
        ]
        self.targets = targets
        peers = fleets.create_peers(hosts, names)
        self.hosts = [
            Host(peer, self.network, targets, regions) for peer in peers
        ]
        self.outcomes: list[Outcome] = []
        self._runtime = runtime.AsyncioRuntime(call_fakes.Sink())
        for host in self.hosts:
            host.peers.members.add_discovered(peers)
            host.peers._has_host_list = True
            host.router.runtime.start(host.run(float('inf')))

    async def call(self, seconds: float, calls_per_second: float) -> None:
        """Send calls to all hosts for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running: list[asyncio.Future[None]] = []
        while loop.time() < end:
            host = self.random.choice(self.hosts)
            prefix = self.random.choice(tuple(call_fakes.ROUTES))
            running.append(asyncio.ensure_future(self._call(host, prefix)))
            await asyncio.sleep(self.random.expovariate(calls_per_second))
        await asyncio.gather(*running)

    async def _call(self, host: Host, prefix: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        request_id = f'r{self.random.getrandbits(48):x}'
        call = await host.serve(prefix, request_id)
        self.outcomes.append(
            Outcome(
                host.own.name,
                prefix,
                request_id,
                sent_at,
                call.is_served and call.status == 200,
                loop.time() - sent_at,
            )
        )

    def list_runs(self) -> list[Run]:
        """Return the runs of all targets."""
        return [run for host in self.hosts for run in host.pool.runs]

    def count_served(
        self, hosts: abc.Collection[str], since: float, until: float
    ) -> tuple[int, int]:
        """Return how many first attempts at hosts were served, and all."""
        served = [
            outcome.is_served
            for outcome in self.outcomes
            if outcome.host in hosts and since <= outcome.sent_at < until
        ]
        return sum(served), len(served)
