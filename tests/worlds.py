"""Deterministic world of hosts, a store and targets around the real core.

Coroutines of the core stop at every call of an interface. A step picks one of
them and decides how its call ends, so a test controls every interleaving.
"""

from collections import abc
import copy
import hashlib
import json
import types
import typing

import attrs
from returns import result

from pistachioseam import acceptance
from pistachioseam import claims
from pistachioseam import exchanges
from pistachioseam import filters
from pistachioseam import health
from pistachioseam.history import records
from pistachioseam import identity
from pistachioseam import interfaces
from pistachioseam import journal
from pistachioseam import leaving
from pistachioseam import limits
from pistachioseam import links
from pistachioseam import pipeline
from pistachioseam.placement import placer
from pistachioseam import quarantine
from pistachioseam import retries
from pistachioseam import router as routers

assert filters
Kind = interfaces.FailureKind
StoreError = interfaces.StoreError
TOKENS = 4
STEP_LIMIT = 20_000
KEY = 'key'


@attrs.define
class Wait:
    """Call at which a coroutine stopped, and the ways it may end."""

    endings: abc.Sequence[abc.Callable[[], object]]
    is_ready: abc.Callable[[], bool] = lambda: True
    wakes_at: float | None = None
    on_crash: abc.Callable[[], None] = lambda: None


@types.coroutine
def suspend(wait: Wait) -> abc.Generator[Wait, typing.Any, typing.Any]:
    """Stop the coroutine until the world ends the call."""
    return (yield wait)


def fail(kind: Kind) -> typing.Any:
    """Return a failure of a call to a target."""
    return result.Failure(interfaces.CallFailure(kind, 'fault'))


@attrs.define(eq=False)
class Task:
    """Coroutine on a host, stopped at a wait."""

    host: 'Host'
    work: abc.Coroutine[typing.Any, typing.Any, None]
    wait: Wait


class Store:
    """Tables with versions; answers and writes may be lost or late."""

    def __init__(self, world: 'World') -> None:
        self.world = world
        self.revision = 0
        self.rows: dict[interfaces.RowKey, interfaces.Row] = {}

    def get(self, key: interfaces.RowKey) -> interfaces.Row:
        return self.rows.get(key, interfaces.Row(key, 0, None))

    def apply(
        self,
        conditions: abc.Sequence[interfaces.Condition],
        writes: abc.Sequence[interfaces.Write],
    ) -> interfaces.CommitResult:
        for condition in conditions:
            if self.get(condition.key).version != condition.version:
                return result.Failure(StoreError.CONFLICT)
        self.revision += 1
        for write in writes:
            self.rows.pop(write.key, None)
            if write.value is not None:
                value = copy.deepcopy(write.value)
                row = interfaces.Row(write.key, self.revision, value)
                self.rows[write.key] = row
        return result.Success(self.revision)

    async def read(self, key: interfaces.RowKey) -> interfaces.ReadResult:
        ends = (
            lambda: result.Success(self.get(key)),
            lambda: result.Failure(StoreError.UNAVAILABLE),
        )
        answer = await suspend(Wait(ends))
        await suspend(Wait([lambda: None]))
        return answer

    async def scan(self, tables: abc.Sequence[str]) -> interfaces.ScanResult:
        def view() -> interfaces.ScanResult:
            rows = [r for k, r in self.rows.items() if k.table in tables]
            view = interfaces.TablesView(self.revision, tuple(rows))
            return result.Success(copy.deepcopy(view))

        ends = (view, lambda: result.Failure(StoreError.UNAVAILABLE))
        answer = await suspend(Wait(ends))
        await suspend(Wait([lambda: None]))
        return answer

    async def commit(
        self,
        conditions: abc.Sequence[interfaces.Condition],
        writes: abc.Sequence[interfaces.Write],
    ) -> interfaces.CommitResult:
        def apply() -> interfaces.CommitResult:
            return self.apply(conditions, writes)

        def lose(is_late: bool) -> interfaces.CommitResult:
            if is_late:
                self.world.late.append(apply)
            else:
                apply()
            return result.Failure(StoreError.LOST)

        ends = (
            apply,
            lambda: lose(False),
            lambda: lose(True),
            lambda: result.Failure(StoreError.LOST),
            lambda: result.Failure(StoreError.UNAVAILABLE),
        )
        wait = Wait(ends, on_crash=lambda: self.world.late.append(apply))
        answer = await suspend(wait)
        await suspend(Wait([lambda: None]))
        return answer


class Stream:
    """Open stream of a fake engine."""

    cached_pieces = 0

    def __init__(
        self, world: 'World', target: str, request_id: str, position: int
    ) -> None:
        self.world = world
        self.target = target
        self.request_id = request_id
        self.position = position
        self.incarnation = str(world.incarnations[target])

    def _piece(self, number: int, request_id: str = '') -> typing.Any:
        tokens = self.world.answers[self.request_id]
        owner = request_id or self.request_id
        if number >= len(tokens):
            piece = interfaces.Piece(owner, len(tokens), b'[DONE]', True)
            return result.Success(piece)
        delta = {'choices': [{'delta': {'content': tokens[number]}}]}
        data = json.dumps(delta).encode()
        return result.Success(interfaces.Piece(owner, number, data))

    async def receive(self) -> typing.Any:
        def advance(count: int) -> typing.Any:
            self.position += count
            return self._piece(self.position - 1)

        ends = (
            lambda: advance(1),
            lambda: fail(Kind.BROKEN),
            lambda: advance(2),
            lambda: self._piece(max(0, self.position - 1)),
            lambda: self._piece(self.position, 'another'),
            lambda: fail(Kind.TIMED_OUT),
        )
        answer = await suspend(Wait(ends))
        if self.incarnation != str(self.world.incarnations[self.target]):
            return fail(Kind.BROKEN)
        return answer

    def cancel(self) -> None:
        pass

    def disconnect(self) -> None:
        pass


class Client:
    """Calls from one host to the fake targets."""

    def __init__(self, world: 'World') -> None:
        self.world = world

    async def call(
        self, address: str, request: interfaces.TargetRequest
    ) -> typing.Any:
        def run() -> typing.Any:
            return result.Success(self.world.execute(address, request))

        def break_(is_run: bool, is_late: bool = False) -> typing.Any:
            if is_late:
                self.world.late.append(run)
            elif is_run:
                run()
            return fail(Kind.BROKEN)

        ends = (
            run,
            lambda: break_(True),
            lambda: fail(Kind.NOT_SENT),
            lambda: break_(False, True),
            lambda: break_(False),
        )
        wait = Wait(ends, on_crash=lambda: self.world.late.append(run))
        answer = await suspend(wait)
        await suspend(Wait([lambda: None]))
        return answer

    async def open_stream(
        self, address: str, request: interfaces.TargetRequest
    ) -> typing.Any:
        def run() -> typing.Any:
            self.world.execute(address, request)
            first = int(request.headers.get('first-piece-number', 0))
            stream = Stream(self.world, address, request.request_id, first)
            return result.Success(stream)

        ends = (
            run,
            lambda: fail(Kind.NOT_SENT),
            lambda: fail(Kind.BUSY),
            lambda: fail(Kind.BROKEN),
        )
        return await suspend(Wait(ends))

    async def resume_stream(
        self, address: str, incarnation: str, request_id: str, after: int
    ) -> typing.Any:
        def reopen() -> typing.Any:
            if incarnation != str(self.world.incarnations[address]):
                return fail(Kind.GONE)
            stream = Stream(self.world, address, request_id, after)
            return result.Success(stream)

        ends = (reopen, lambda: fail(Kind.NOT_SENT))
        return await suspend(Wait(ends))


class Reply:
    """Caller's side of a request."""

    def __init__(self, world: 'World', request_id: str) -> None:
        self.world = world
        self.request_id = request_id
        self.begun = False

    def is_begun(self) -> bool:
        return self.begun

    async def begin(self, status: int, headers: object) -> None:
        self.begun = True

    async def write(self, data: bytes) -> None:
        head, _, body = data.partition(b'\ndata: ')
        is_end = body.startswith(b'[DONE]')
        text = ''
        if not is_end:
            text = json.loads(body)['choices'][0]['delta']['content']
        number = int(head.removeprefix(b'id: '))
        self.world.history.append(
            records.Delivered(
                at=self.world.clock,
                request_id=self.request_id,
                number=number,
                text=text,
                is_end=is_end,
            )
        )
        await suspend(Wait([lambda: None]))


class Signal:
    """One-shot event of the world."""

    def __init__(self) -> None:
        self.is_set = False

    def set(self) -> None:
        self.is_set = True

    async def wait(self) -> None:
        await suspend(Wait([lambda: None], is_ready=lambda: self.is_set))


class Host:
    """One incarnation of a host with its own router; also its runtime."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        self.incarnation = f'{name}:{world.token()}'
        self.is_dead = False
        self.router = self._create_router()
        self.router.acceptor.add_listener(self._note_in_force)

    def _note_in_force(self, snapshot: typing.Any) -> None:
        self.world.history.append(
            records.InForce(
                at=self.world.clock, host=self.name, number=snapshot.number
            )
        )

    def _create_router(self) -> routers.Router:
        world = self.world
        keeper = claims.ClaimKeeper(
            store=world.store,
            runtime=self,
            random=world,
            sink=world,
            holders=self,
            holder=self.incarnation,
        )
        return routers.Router(
            runtime=self,
            random=world,
            sink=world,
            client=Client(world),
            callers=(
                identity.Caller(
                    team='t', account='a', key_sha256=identity.digest_key(KEY)
                ),
            ),
            topology=links.Topology(domain='d'),
            acceptor=acceptance.Acceptor(world.store, world),
            claims=keeper,
            placer=placer.Placer(placer.Settings(piece_bytes=16), world),
            limits=limits.AccountLimits(limits.Settings()),
            link=links.LinkBudget(bytes_per_second=1, burst_bytes=1),
            health=health.HealthBoard(self, world),
            quarantine=quarantine.Quarantine(self),
            leaving=leaving.LeavingTargets(),
            budget=retries.RetryBudget(),
            journal=journal.Journal(),
        )

    def now(self) -> float:
        return self.world.clock

    async def sleep(self, seconds: float) -> None:
        end = self.world.clock + seconds
        ready = Wait([lambda: None], lambda: self.world.clock >= end, end)
        await suspend(ready)

    def create_signal(self) -> Signal:
        return Signal()

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        self.world.start(self, work)

    async def ask(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> claims.HolderReport:
        def answer() -> claims.HolderReport:
            host = self.world.find_incarnation(holder)
            if host is None:
                return claims.HolderReport.DEAD
            return host.router.claims.report(token)

        ends = (
            answer,
            lambda: claims.HolderReport.UNREACHABLE,
            lambda: claims.HolderReport.DEAD,
        )
        return await suspend(Wait(ends))


class World:
    """All hosts, the store, the targets and the history of a run."""

    def __init__(self, host_names: abc.Sequence[str]) -> None:
        self.clock = 0.0
        self.history: list[records.Record] = []
        self.late: list[abc.Callable[[], object]] = []
        self.tasks: list[Task] = []
        self.answers: dict[str, tuple[str, ...]] = {}
        self.calls: dict[str, tuple[str, str]] = {}
        self.incarnations = {'1.1.1.1:1': 0, '1.1.1.2:1': 0}
        self.store = Store(self)
        self._tokens = 0
        self._draws = 0
        self.write_tables()
        self.hosts = {name: Host(self, name) for name in host_names}
        for host in self.hosts.values():
            self.start(host, host.router.acceptor.refresh())
            self.settle()

    def write_tables(self) -> None:
        """Write two routes and two pools as operators would."""
        targets = [
            {'name': f't{n}', 'address': a, 'domain': 'd', 'teams': ['t']}
            for n, a in enumerate(self.incarnations)
        ]
        pool = {'name': 'm', 'kind': 'model', 'model': 'm', 'targets': targets}
        rows = {
            'pools/m': {**pool, 'weights_version': '1'},
            'pools/s': {'name': 's', 'kind': 'service', 'targets': targets},
            'routes/m': {'name': 'm', 'team': 't', 'pool': 'm'},
            'routes/s': {
                'name': 's',
                'team': 't',
                'pool': 's',
                'path_prefix': '/booking',
            },
        }
        for address, value in rows.items():
            self.edit(address, value)

    def edit(self, address: str, value: dict[str, typing.Any]) -> None:
        """Write one row of the operators' tables."""
        table, key = address.split('/')
        row = interfaces.RowKey(table, key)
        self.store.apply([], [interfaces.Write(row, value)])

    def emit(self, event: object, **fields: object) -> None:
        """Ignore log events."""

    def token(self) -> str:
        """Return a new token."""
        self._tokens += 1
        return f'token{self._tokens}'

    def random(self) -> float:
        """Return a number of a fixed sequence."""
        self._draws += 1
        return (self._draws * 0.618034) % 1.0

    def find_incarnation(self, holder: str) -> Host | None:
        """Return the live host of a holder's name."""
        for host in self.hosts.values():
            if host.incarnation == holder:
                return host
        return None

    def start(
        self, host: Host, work: abc.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run a coroutine until its first wait."""
        if host.is_dead:
            work.close()
        else:
            self._advance(host, work, None)

    def _advance(self, host: Host, work: typing.Any, value: object) -> None:
        try:
            wait = work.send(value)
        except StopIteration:
            return
        self.tasks.append(Task(host, work, wait))

    def step(self, pick: int, ending: int) -> bool:
        """End one call; return False when nothing can go on."""
        ready = [task for task in self.tasks if task.wait.is_ready()]
        if not ready:
            return False
        task = ready[pick % len(ready)]
        self.tasks.remove(task)
        endings = task.wait.endings
        end = endings[ending] if ending < len(endings) else endings[0]
        self.clock += 0.001
        self._advance(task.host, task.work, end())
        return True

    def pass_time(self) -> bool:
        """Move the clock to the next timer; return False without any."""
        times = [t.wait.wakes_at for t in self.tasks if t.wait.wakes_at]
        if not times:
            return False
        self.clock = max(self.clock, min(times))
        return True

    def settle(self) -> None:
        """Run everything to its end without further faults."""
        for _ in range(STEP_LIMIT):
            if self.step(0, 0):
                continue
            if self.late:
                self.late.pop(0)()
            elif not self.pass_time():
                return
        raise AssertionError('the world does not come to rest')

    def crash(self, name: str) -> None:
        """Lose a host with all it had in memory, and start it anew."""
        old = self.hosts[name]
        old.is_dead = True
        for task in [t for t in self.tasks if t.host is old]:
            self.tasks.remove(task)
            task.wait.on_crash()
        self.history.append(records.HostLost(at=self.clock, host=name))
        host = self.hosts[name] = Host(self, name)
        self.start(host, host.router.acceptor.refresh())

    def execute(
        self, address: str, request: interfaces.TargetRequest
    ) -> interfaces.TargetAnswer:
        """Run a request at a target."""
        account, key = self.calls[request.request_id]
        body = f'{address}:{len(self.history)}'.encode() if key else b''
        self.history.append(
            records.Executed(
                at=self.clock,
                target=address,
                incarnation=str(self.incarnations[address]),
                request_id=request.request_id,
                account=account,
                key=key,
                answer=hashlib.sha256(body).hexdigest() if key else '',
            )
        )
        return interfaces.TargetAnswer(200, 'text/plain', body)

    def book(self, host: str, key: str, body: str) -> None:
        """Send a non-idempotent call to a host."""
        headers = {'idempotency-key': key}
        self._send(host, 'POST', '/booking', headers, body.encode(), key)

    def ask_model(self, host: str, prompt: str) -> None:
        """Send a streamed prompt to a host."""
        body = {
            'model': 'm',
            'stream': True,
            'max_tokens': TOKENS,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        path = '/v1/chat/completions'
        self._send(host, 'POST', path, {}, json.dumps(body).encode(), '')

    def _send(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        key: str,
    ) -> None:
        request_id = self.token()
        self.calls[request_id] = ('t/a', key)
        self.history.append(
            records.Invoked(
                at=self.clock,
                request_id=request_id,
                host=name,
                account='t/a',
                key=key,
            )
        )
        if not key:
            pieces = tuple(f'{request_id}.{n}' for n in range(TOKENS))
            self.answers[request_id] = pieces
            self.history.append(
                records.Promised(
                    at=self.clock, request_id=request_id, pieces=pieces
                )
            )
        exchange = exchanges.Exchange(
            request_id=request_id,
            method=method,
            path=path,
            headers={'authorization': f'Bearer {KEY}', **headers},
            body=body,
            received_at=self.clock,
            reply=Reply(self, request_id),
        )
        host = self.hosts[name]
        self.start(host, self._run(host, exchange))

    async def _run(self, host: Host, exchange: exchanges.Exchange) -> None:
        await pipeline.run_filters(exchange, host.router)
        answer = ''
        if exchange.answer is not None:
            answer = hashlib.sha256(exchange.answer.body).hexdigest()
        self.history.append(
            records.Responded(
                at=self.clock,
                request_id=exchange.request_id,
                outcome=exchange.get_outcome().value,
                answer=answer,
            )
        )

    def list_unanswered(self) -> list[str]:
        """Return requests without an answer whose host was not lost."""
        answered = {
            r.request_id
            for r in records.select(self.history, records.Responded)
        }
        lost = {r.host for r in records.select(self.history, records.HostLost)}
        return [
            r.request_id
            for r in records.select(self.history, records.Invoked)
            if r.request_id not in answered and r.host not in lost
        ]
