"""Deterministic simulation of hosts, a store and targets with the real core.

Coroutines of the core are suspended at every call of an interface. Each
step resumes one of them with a chosen outcome of its call, so that a test
controls every interleaving.
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
RESPONSE_PIECES = 4
STEP_LIMIT = 20_000
CALLER_KEY = 'key'


@attrs.define(eq=False)
class Task:
    """Coroutine on a host, suspended at a pending call."""

    host: 'Host'
    work: abc.Coroutine[typing.Any, typing.Any, None]
    pending_call: fakes.PendingCall


class Host:
    """One incarnation of a host with its own router and runtime."""

    def __init__(self, simulation: 'Simulation', name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.incarnation = f'{name}:{simulation.token()}'
        self.has_crashed = False
        self.router = self._create_router()
        self.router.acceptor.add_listener(self._record_in_force)

    def _record_in_force(self, snapshot: typing.Any) -> None:
        self.simulation.history.append(
            records.InForce(
                at=self.simulation.clock,
                host=self.name,
                number=snapshot.number,
            )
        )

    def _create_router(self) -> routers.Router:
        simulation = self.simulation
        manager = claims.ClaimManager(
            store=simulation.store,
            runtime=self,
            random=simulation,
            sink=simulation,
            holder_client=self,
            holder=self.incarnation,
        )
        return routers.Router(
            runtime=self,
            random=simulation,
            sink=simulation,
            client=fakes.Client(simulation),
            callers=(
                identity.Caller(
                    team='t',
                    account='a',
                    key_sha256=identity.digest_key(CALLER_KEY),
                ),
            ),
            topology=links.Topology(domain='d'),
            acceptor=acceptance.Acceptor(simulation.store, simulation),
            claims=manager,
            placer=placer.Placer(placer.Settings(piece_bytes=16), simulation),
            limits=limits.AccountLimits(limits.Settings()),
            link_budget=links.LinkBudget(bytes_per_second=1, burst_bytes=1),
            health=health.HealthTracker(self, simulation),
            quarantine=quarantine.Quarantine(self),
            leaving=leaving.LeavingTargets(),
            retry_budget=retries.RetryBudget(),
            journal=journal.Journal(),
        )

    def now(self) -> float:
        return self.simulation.clock

    async def sleep(self, seconds: float) -> None:
        wakes_at = self.simulation.clock + seconds
        timer = fakes.PendingCall(
            [lambda: None], lambda: self.simulation.clock >= wakes_at, wakes_at
        )
        await fakes.suspend(timer)

    def create_signal(self) -> fakes.Signal:
        return fakes.Signal()

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        self.simulation.start(self, work)

    async def query_holder(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> claims.HolderReport:
        def report() -> claims.HolderReport:
            host = self.simulation.find_host(holder)
            if host is None:
                return claims.HolderReport.DEAD
            return host.router.claims.report_state(token)

        outcomes = (
            report,
            lambda: claims.HolderReport.UNREACHABLE,
            lambda: claims.HolderReport.DEAD,
        )
        return await fakes.suspend(fakes.PendingCall(outcomes))


class Simulation:
    """Hosts, store, targets and history of one run."""

    def __init__(self, host_names: abc.Sequence[str]) -> None:
        self.clock = 0.0
        self.history: list[records.Record] = []
        self.delayed_effects: list[abc.Callable[[], object]] = []
        self.tasks: list[Task] = []
        self.response_pieces: dict[str, tuple[str, ...]] = {}
        self.calls: dict[str, tuple[str, str]] = {}
        self.incarnations = {'1.1.1.1:1': 0, '1.1.1.2:1': 0}
        self.store = fakes.Store(self)
        self._token_count = 0
        self._random_count = 0
        self.write_tables()
        self.hosts = {name: Host(self, name) for name in host_names}
        for host in self.hosts.values():
            self.start(host, host.router.acceptor.refresh())
            self.run_to_completion()

    def write_tables(self) -> None:
        """Write the initial routes and pools."""
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
        for row_path, value in rows.items():
            self.edit_row(row_path, value)

    def edit_row(self, row_path: str, value: dict[str, typing.Any]) -> None:
        """Write one row of the tables; `row_path` is `table/key`."""
        table, key = row_path.split('/')
        row_key = interfaces.RowKey(table, key)
        self.store.apply([], [interfaces.Write(row_key, value)])

    def emit(self, event: object, **fields: object) -> None:
        """Ignore log events."""

    def token(self) -> str:
        """Return a new token."""
        self._token_count += 1
        return f'token{self._token_count}'

    def random(self) -> float:
        """Return the next number of a fixed sequence in [0, 1)."""
        self._random_count += 1
        return (self._random_count * 0.618034) % 1.0

    def find_host(self, holder: str) -> Host | None:
        """Return the live host with the incarnation of a claim's holder."""
        for host in self.hosts.values():
            if host.incarnation == holder:
                return host
        return None

    def start(
        self, host: Host, work: abc.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run a coroutine up to its first pending call."""
        if host.has_crashed:
            work.close()
        else:
            self._advance(host, work, None)

    def _advance(self, host: Host, work: typing.Any, value: object) -> None:
        try:
            pending_call = work.send(value)
        except StopIteration:
            return
        self.tasks.append(Task(host, work, pending_call))

    def step(self, task_index: int, outcome_index: int) -> bool:
        """End one pending call; return False if none is ready."""
        ready = [task for task in self.tasks if task.pending_call.is_ready()]
        if not ready:
            return False
        task = ready[task_index % len(ready)]
        self.tasks.remove(task)
        outcomes = task.pending_call.outcomes
        outcome = (
            outcomes[outcome_index]
            if outcome_index < len(outcomes)
            else outcomes[0]
        )
        self.clock += 0.001
        self._advance(task.host, task.work, outcome())
        return True

    def advance_clock(self) -> bool:
        """Move the clock to the next timer; return False if there is none."""
        times = [
            t.pending_call.wakes_at
            for t in self.tasks
            if t.pending_call.wakes_at
        ]
        if not times:
            return False
        self.clock = max(self.clock, min(times))
        return True

    def run_to_completion(self) -> None:
        """Run all tasks to completion without further faults."""
        for _ in range(STEP_LIMIT):
            if self.step(0, 0):
                continue
            if self.delayed_effects:
                self.delayed_effects.pop(0)()
            elif not self.advance_clock():
                return
        raise AssertionError(
            'the simulation still runs after STEP_LIMIT steps'
        )

    def crash_host(self, name: str) -> None:
        """Crash a host, which loses its memory, and restart it."""
        crashed = self.hosts[name]
        crashed.has_crashed = True
        for task in [t for t in self.tasks if t.host is crashed]:
            self.tasks.remove(task)
            task.pending_call.on_crash()
        self.history.append(records.HostLost(at=self.clock, host=name))
        host = self.hosts[name] = Host(self, name)
        self.start(host, host.router.acceptor.refresh())

    def execute(
        self, address: str, request: interfaces.TargetRequest
    ) -> interfaces.TargetResponse:
        """Execute a request at a target and record it in the history."""
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
        return interfaces.TargetResponse(200, 'text/plain', body)

    def send_booking(self, host: str, key: str, body: str) -> None:
        """Send a non-idempotent call to a host."""
        headers = {'idempotency-key': key}
        self._send(host, 'POST', '/booking', headers, body.encode(), key)

    def send_chat(self, host: str, prompt: str) -> None:
        """Send a streamed prompt to a host."""
        body = {
            'model': 'm',
            'stream': True,
            'max_tokens': RESPONSE_PIECES,
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
            pieces = tuple(f'{request_id}.{n}' for n in range(RESPONSE_PIECES))
            self.response_pieces[request_id] = pieces
            self.history.append(
                records.Promised(
                    at=self.clock, request_id=request_id, pieces=pieces
                )
            )
        exchange = exchanges.Exchange(
            request_id=request_id,
            method=method,
            path=path,
            headers={'authorization': f'Bearer {CALLER_KEY}', **headers},
            body=body,
            received_at=self.clock,
            reply=fakes.Reply(self, request_id),
        )
        host = self.hosts[name]
        self.start(host, self._run(host, exchange))

    async def _run(self, host: Host, exchange: exchanges.Exchange) -> None:
        await pipeline.run_filters(exchange, host.router)
        answer = ''
        if exchange.response is not None:
            answer = hashlib.sha256(exchange.response.body).hexdigest()
        self.history.append(
            records.Responded(
                at=self.clock,
                request_id=exchange.request_id,
                outcome=exchange.get_outcome().value,
                answer=answer,
            )
        )

    def list_unanswered(self) -> list[str]:
        """Return unanswered requests whose host did not crash."""
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
