"""Protocols between the routing decisions and their environment.

The entry process and test fakes implement these protocols. The package opens
no sockets and reads no entropy. It reads the time through these protocols;
only `forwarding` also uses the timeouts and locks of `asyncio`.
"""

from collections import abc
import enum
import typing

import attrs
from returns import result


class StoreError(enum.Enum):
    """Reason why a table transaction is not known to have succeeded."""

    CONFLICT = 'conflict'
    """A condition failed; nothing was written."""
    UNAVAILABLE = 'unavailable'
    """The store was unreachable or refused the call; nothing was written."""
    LOST = 'lost'
    """No response arrived; the write may have taken effect."""


@attrs.frozen
class RowKey:
    """Identifier of one row: name of the table and key in that table."""

    table: str
    key: str


@attrs.frozen
class Row:
    """One stored row; `version` is 0 and `value` None while it is absent."""

    key: RowKey
    version: int
    value: dict[str, typing.Any] | None


@attrs.frozen
class Condition:
    """Precondition of a transaction: the row has exactly this version."""

    key: RowKey
    version: int


@attrs.frozen
class Write:
    """New content of a row; None deletes it."""

    key: RowKey
    value: dict[str, typing.Any] | None


@attrs.frozen
class TablesView:
    """Rows of several tables at one store revision."""

    revision: int
    rows: tuple[Row, ...]


CommitResult: typing.TypeAlias = result.Result[int, StoreError]
ReadResult: typing.TypeAlias = result.Result[Row, StoreError]
ScanResult: typing.TypeAlias = result.Result[TablesView, StoreError]


class TableStore(typing.Protocol):
    """Transactional table service of the platform."""

    async def read(self, key: RowKey) -> ReadResult:
        """Return the current row."""

    async def scan(self, tables: abc.Sequence[str]) -> ScanResult:
        """Return all rows of the tables, read in one transaction."""

    async def commit(
        self,
        conditions: abc.Sequence[Condition],
        writes: abc.Sequence[Write],
    ) -> CommitResult:
        """Apply the writes if all conditions hold; return the revision."""


class Signal(typing.Protocol):
    """One-shot event that any number of coroutines may wait for."""

    def set(self) -> None:
        """Wake all current waiters; later ones return at once."""

    async def wait(self) -> None:
        """Return once the signal is set."""


class Runtime(typing.Protocol):
    """Clock and concurrency primitives of the routing decisions."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Return after a delay."""

    def create_signal(self) -> Signal:
        """Return a new unset signal."""

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine in the background until it ends."""

    def start_loop(
        self,
        name: str,
        work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
        is_essential: bool = False,
    ) -> None:
        """Run a loop in the background, again after each error it raises.

        Callers are served wrongly while an essential one does not run.
        """


class RandomSource(typing.Protocol):
    """Source of randomness; seeded in tests."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def token(self) -> str:
        """Return a new unique token."""


class FailureKind(enum.Enum):
    """What is known about a call that got no complete response."""

    NOT_SENT = 'not-sent'
    """No byte of the request left this host."""
    BROKEN = 'broken'
    """Connection broken or response invalid; the call may have run."""
    TIMED_OUT = 'timed-out'
    """No response arrived in time; the call may have run."""
    OUTDATED = 'outdated'
    """Given up in the engine's queue, as its weights had become too old; the
    call may have run."""
    PATH_LOST = 'path-lost'
    """Given up as the host has no path to any target; the call may have run.
    """
    BUSY = 'busy'
    """The target rejected the request; the call has not run."""
    WRONG_TARGET = 'wrong-target'
    """The target has another incarnation or weights; the call has not run."""
    FAILED = 'failed'
    """The target ran the call and returned an error."""
    UNPROVEN = 'unproven'
    """The target rejected the request without proof; the call may have run."""
    GONE = 'gone'
    """The engine no longer has the stream that was to be resumed."""


@attrs.frozen
class CallFailure:
    """Failure of one call to a target.

    `is_refused` is set if the target's machine refused the connection.
    `connection` names the one that the call was sent on, for the log; it is
    empty if there was none or it is not known. `is_given_up` is set if this
    host ended the call by closing its channel, to the target or to the host
    that relays it; the target may work on.
    """

    kind: FailureKind
    detail: str
    is_refused: bool = False
    connection: str = ''
    is_given_up: bool = False


def ignore_sending() -> None:
    """Do nothing with the fact that a request is sent."""


@attrs.frozen
class TargetRequest:
    """Request sent to a target.

    `headers` holds only headers that the target may see. `fencing_number` is
    the number of the configuration in force, which only increases; targets
    may check it. `on_sending` is called right before the first byte is sent;
    from then on the request may be executed.
    """

    request_id: str
    method: str
    path: str
    headers: abc.Mapping[str, str]
    body: bytes
    timeout_seconds: float
    fencing_number: int = 0
    on_sending: abc.Callable[[], None] = attrs.field(
        default=ignore_sending, repr=False, eq=False
    )


@attrs.frozen
class TargetResponse:
    """Complete response; `cached_pieces` is None unless an engine sent it."""

    status: int
    content_type: str
    body: bytes
    incarnation: str = ''
    cached_pieces: int | None = None


@attrs.frozen
class Piece:
    """One numbered piece of a stream.

    The number of the end mark is the count of pieces before it.
    """

    request_id: str
    number: int
    data: bytes
    is_end: bool = False


class TargetStream(typing.Protocol):
    """Open stream of numbered pieces from an engine."""

    incarnation: str
    cached_pieces: int

    async def receive(self) -> result.Result[Piece, CallFailure]:
        """Return the next piece in order of arrival."""

    def cancel(self) -> None:
        """Stop the generation at the engine; no effect after the end mark."""

    def disconnect(self) -> None:
        """Drop the connection; the engine keeps the stream for a resume."""


class TargetClient(typing.Protocol):
    """Client of targets; addresses are `IP:port`."""

    async def call(
        self, address: str, request: TargetRequest
    ) -> result.Result[TargetResponse, CallFailure]:
        """Send once and return the complete response."""

    async def open_stream(
        self, address: str, request: TargetRequest
    ) -> result.Result[TargetStream, CallFailure]:
        """Send once and return the stream of the response."""

    async def resume_stream(
        self, address: str, incarnation: str, request_id: str, after: int
    ) -> result.Result[TargetStream, CallFailure]:
        """Reopen a stream of the same incarnation after `after` pieces."""


class Reply(typing.Protocol):
    """Response to the caller; a slow caller exerts backpressure."""

    async def begin(self, status: int, headers: abc.Mapping[str, str]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the buffer is full."""

    def is_begun(self) -> bool:
        """Return whether the status has been sent."""


class EventSink(typing.Protocol):
    """Receiver of numbered events, see `pistachioseam.events`."""

    def emit(self, event: typing.Any, **fields: object) -> None:
        """Record one event with its fields."""
