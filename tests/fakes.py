"""Fakes of the core's interfaces whose calls a test ends as it likes."""

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
    from tests import worlds

Kind = interfaces.FailureKind
StoreError = interfaces.StoreError


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


class Store:
    """Tables with versions; answers and writes may be lost or late."""

    def __init__(self, world: 'worlds.World') -> None:
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
        self,
        world: 'worlds.World',
        target: str,
        request_id: str,
        position: int,
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

    def __init__(self, world: 'worlds.World') -> None:
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

    def __init__(self, world: 'worlds.World', request_id: str) -> None:
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
