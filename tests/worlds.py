"""Deterministic world of hosts, a store and targets around the real core.

Coroutines of the core stop at every call of an interface. A step picks one of
them and decides how its call ends, so a test controls every interleaving.
"""

from collections import abc
import hashlib
import json
import typing

import attrs

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
from tests import fakes

assert filters
TOKENS = 4
STEP_LIMIT = 20_000
KEY = 'key'


@attrs.define(eq=False)
class Task:
    """Coroutine on a host, stopped at a wait."""

    host: 'Host'
    work: abc.Coroutine[typing.Any, typing.Any, None]
    wait: fakes.Wait


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
        keeper = claims.ClaimManager(
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
            client=fakes.Client(world),
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
        ready = fakes.Wait(
            [lambda: None], lambda: self.world.clock >= end, end
        )
        await fakes.suspend(ready)

    def create_signal(self) -> fakes.Signal:
        return fakes.Signal()

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        self.world.start(self, work)

    async def query_holder(
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
        return await fakes.suspend(fakes.Wait(ends))


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
        self.store = fakes.Store(self)
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
            reply=fakes.Reply(self, request_id),
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
