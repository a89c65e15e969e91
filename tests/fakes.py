"""Fakes of the core's interfaces; the test picks each call's outcome."""

from collections import abc
import copy
import json
import types
import typing

import attrs
from returns import result

from pistachioseam.history import records
from pistachioseam import interfaces

if typing.TYPE_CHECKING:
    from tests import simulations

Kind = interfaces.FailureKind
StoreError = interfaces.StoreError


@attrs.define
class PendingCall:
    """Call at which a coroutine is suspended, and its possible outcomes.

    The first outcome is that without a fault. `wakes_at` is the time at which
    a timer ends; `on_crash` runs when the host of the coroutine crashes.
    """

    outcomes: abc.Sequence[abc.Callable[[], object]]
    is_ready: abc.Callable[[], bool] = lambda: True
    wakes_at: float | None = None
    on_crash: abc.Callable[[], None] = lambda: None


@types.coroutine
def suspend(
    pending_call: PendingCall,
) -> abc.Generator[PendingCall, typing.Any, typing.Any]:
    """Suspend the coroutine until the simulation ends the call."""
    return (yield pending_call)


def create_failure(kind: Kind) -> typing.Any:
    """Return a failed call to a target."""
    return result.Failure(interfaces.CallFailure(kind, 'fault'))


class Store:
    """Versioned tables; responses and writes may be lost or delayed."""

    def __init__(self, simulation: 'simulations.Simulation') -> None:
        self.simulation = simulation
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
        outcomes = (
            lambda: result.Success(self.get(key)),
            lambda: result.Failure(StoreError.UNAVAILABLE),
        )
        response = await suspend(PendingCall(outcomes))
        await suspend(PendingCall([lambda: None]))
        return response

    async def scan(self, tables: abc.Sequence[str]) -> interfaces.ScanResult:
        def view() -> interfaces.ScanResult:
            rows = [r for k, r in self.rows.items() if k.table in tables]
            view = interfaces.TablesView(self.revision, tuple(rows))
            return result.Success(copy.deepcopy(view))

        outcomes = (view, lambda: result.Failure(StoreError.UNAVAILABLE))
        response = await suspend(PendingCall(outcomes))
        await suspend(PendingCall([lambda: None]))
        return response

    async def commit(
        self,
        conditions: abc.Sequence[interfaces.Condition],
        writes: abc.Sequence[interfaces.Write],
    ) -> interfaces.CommitResult:
        def apply() -> interfaces.CommitResult:
            return self.apply(conditions, writes)

        def lose_response(is_delayed: bool) -> interfaces.CommitResult:
            if is_delayed:
                self.simulation.delayed_effects.append(apply)
            else:
                apply()
            return result.Failure(StoreError.LOST)

        outcomes = (
            apply,
            lambda: lose_response(False),
            lambda: lose_response(True),
            lambda: result.Failure(StoreError.LOST),
            lambda: result.Failure(StoreError.UNAVAILABLE),
        )
        pending_call = PendingCall(
            outcomes,
            on_crash=lambda: self.simulation.delayed_effects.append(apply),
        )
        response = await suspend(pending_call)
        await suspend(PendingCall([lambda: None]))
        return response


class Stream:
    """Open stream of a fake engine."""

    cached_pieces = 0

    def __init__(
        self,
        simulation: 'simulations.Simulation',
        target: str,
        request_id: str,
        position: int,
    ) -> None:
        self.simulation = simulation
        self.target = target
        self.request_id = request_id
        self.position = position
        self.incarnation = str(simulation.incarnations[target])

    def _create_piece(self, number: int, request_id: str = '') -> typing.Any:
        pieces = self.simulation.response_pieces[self.request_id]
        owner = request_id or self.request_id
        if number >= len(pieces):
            piece = interfaces.Piece(owner, len(pieces), b'[DONE]', True)
            return result.Success(piece)
        delta = {'choices': [{'delta': {'content': pieces[number]}}]}
        data = json.dumps(delta).encode()
        return result.Success(interfaces.Piece(owner, number, data))

    async def receive(self) -> typing.Any:
        def advance(count: int) -> typing.Any:
            self.position += count
            return self._create_piece(self.position - 1)

        outcomes = (
            lambda: advance(1),
            lambda: create_failure(Kind.BROKEN),
            lambda: advance(2),
            lambda: self._create_piece(max(0, self.position - 1)),
            lambda: self._create_piece(self.position, 'another'),
            lambda: create_failure(Kind.TIMED_OUT),
        )
        response = await suspend(PendingCall(outcomes))
        if self.incarnation != str(self.simulation.incarnations[self.target]):
            return create_failure(Kind.BROKEN)
        return response

    def cancel(self) -> None:
        pass

    def disconnect(self) -> None:
        pass


class Client:
    """Client whose calls to fake targets may fail or be delayed."""

    def __init__(self, simulation: 'simulations.Simulation') -> None:
        self.simulation = simulation

    async def call(
        self, address: str, request: interfaces.TargetRequest
    ) -> typing.Any:
        request.on_sending()

        def run() -> typing.Any:
            return result.Success(self.simulation.execute(address, request))

        def break_connection(
            has_run: bool, is_delayed: bool = False
        ) -> typing.Any:
            if is_delayed:
                self.simulation.delayed_effects.append(run)
            elif has_run:
                run()
            return create_failure(Kind.BROKEN)

        outcomes = (
            run,
            lambda: break_connection(True),
            lambda: create_failure(Kind.NOT_SENT),
            lambda: break_connection(False, True),
            lambda: break_connection(False),
        )
        pending_call = PendingCall(
            outcomes,
            on_crash=lambda: self.simulation.delayed_effects.append(run),
        )
        response = await suspend(pending_call)
        await suspend(PendingCall([lambda: None]))
        return response

    async def open_stream(
        self, address: str, request: interfaces.TargetRequest
    ) -> typing.Any:
        def run() -> typing.Any:
            self.simulation.execute(address, request)
            first = int(request.headers.get('first-piece-number', 0))
            stream = Stream(
                self.simulation, address, request.request_id, first
            )
            return result.Success(stream)

        outcomes = (
            run,
            lambda: create_failure(Kind.NOT_SENT),
            lambda: create_failure(Kind.BUSY),
            lambda: create_failure(Kind.BROKEN),
        )
        return await suspend(PendingCall(outcomes))

    async def resume_stream(
        self, address: str, incarnation: str, request_id: str, after: int
    ) -> typing.Any:
        def reopen() -> typing.Any:
            if incarnation != str(self.simulation.incarnations[address]):
                return create_failure(Kind.GONE)
            stream = Stream(self.simulation, address, request_id, after)
            return result.Success(stream)

        outcomes = (reopen, lambda: create_failure(Kind.NOT_SENT))
        return await suspend(PendingCall(outcomes))


class Reply:
    """Response that records the delivered pieces in the history."""

    def __init__(
        self, simulation: 'simulations.Simulation', request_id: str
    ) -> None:
        self.simulation = simulation
        self.request_id = request_id
        self.has_begun = False

    def is_begun(self) -> bool:
        return self.has_begun

    async def begin(self, status: int, headers: object) -> None:
        self.has_begun = True

    async def write(self, data: bytes) -> None:
        head, _, body = data.partition(b'\ndata: ')
        is_end = body.startswith(b'[DONE]')
        text = ''
        if not is_end:
            text = json.loads(body)['choices'][0]['delta']['content']
        number = int(head.removeprefix(b'id: '))
        self.simulation.history.append(
            records.Delivered(
                at=self.simulation.clock,
                request_id=self.request_id,
                number=number,
                text=text,
                is_end=is_end,
            )
        )
        await suspend(PendingCall([lambda: None]))


class Signal:
    """One-shot event of the simulation."""

    def __init__(self) -> None:
        self.is_set = False

    def set(self) -> None:
        self.is_set = True

    async def wait(self) -> None:
        await suspend(
            PendingCall([lambda: None], is_ready=lambda: self.is_set)
        )
