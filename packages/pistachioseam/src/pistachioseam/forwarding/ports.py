"""Protocols between forwarding decisions and I/O, with their messages."""

from collections import abc
import typing

import attrs
from returns import result

from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam import interfaces

KeysByOrigin: typing.TypeAlias = abc.Mapping[
    stream_origins.StreamOrigin, abc.Sequence[int]
]
"""Keys of streams by the service and software version that began them."""
HeaderPairs: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]


@attrs.frozen(kw_only=True)
class CallHead:
    """Decoded headers of a caller's request.

    `headers` are those that may be forwarded. `timeout_seconds` is the
    caller's timeout, None if it sends none. `after_event` is the id of the
    last event that a caller resuming a stream has received, and
    `resumed_request_id` that of its request which brought the first event;
    otherwise both are empty. `token_count` is the number of prompt and output
    tokens that the request states, None if it states none.
    """

    request_id: str
    host: str
    headers: HeaderPairs
    key: str = attrs.field(repr=False)
    timeout_seconds: float | None
    prompt: prompts.Prompt | None
    after_event: str
    resumed_request_id: str = ''
    token_count: int | None = None


def allow_sending() -> bool:
    """Return True: nothing forbids that a call is sent."""
    return True


@attrs.frozen(kw_only=True)
class OutgoingCall:
    """Call as it is sent to one target.

    `headers` are the caller's that may be forwarded. The fields from
    `seconds_left` to `after_event` become further headers; an empty text or
    None sends none. `incarnation` is the name of the target's entry; a target
    with another name rejects the call with status 421. `fetch_from` is the
    address of an engine or KV cache store from which the engine fetches
    missing KV cache, `save_to` that of the store to which it saves.
    `max_idle_seconds` bounds how long a reused connection may have been idle;
    with `needs_new_connection` none is reused.
    `is_retryable` is set if the call may run more than once. The target stops
    after `run_seconds_left` if that is shorter than `seconds_left`, the time
    that the caller waits. `begin_sending` is called right before the first
    byte is sent, and returns whether it may be; from then on the call may run.
    `caller` tells whether the caller still waits.
    """

    request_id: str
    method: bytes
    uri: bytes
    headers: HeaderPairs
    body: bytes = attrs.field(repr=False)
    seconds_left: float
    run_seconds_left: float = float('inf')
    incarnation: str
    account: str = ''
    cache_salt: str = ''
    weights_version: int | None = None
    priority: int | None = None
    fetch_from: str = ''
    save_to: str = ''
    after_event: str = ''
    max_idle_seconds: float = float('inf')
    needs_new_connection: bool = False
    is_retryable: bool = False
    begin_sending: abc.Callable[[], bool] = attrs.field(
        default=allow_sending, repr=False, eq=False
    )
    caller: caller_presence.CallerPresence = attrs.field(
        factory=caller_presence.CallerPresence, repr=False, eq=False
    )

    def get_target_seconds(self) -> float:
        """Return the time in seconds after which the target stops."""
        return min(self.seconds_left, self.run_seconds_left)

    def spend(self, seconds: float) -> 'OutgoingCall':
        """Return the call after some seconds of its time."""
        return attrs.evolve(
            self,
            seconds_left=self.seconds_left - seconds,
            run_seconds_left=self.run_seconds_left - seconds,
        )


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and decoded headers of a target's response.

    `stamp` is the header by which a target proves that the response is its
    own. `is_not_run` is set if the target states that it has not run the call,
    `is_encoded` if the body has a content encoding. `is_ambiguous` is set if
    the head may be made of those of two responses, so that status and headers
    need not belong together. `weights_version` is the
    version of the weights that the target runs. `other_incarnation` is the
    incarnation that responded instead of the expected one. `is_leaving` is set
    if the target states that it leaves. `retry_after_seconds` is the time for
    which the target wants no requests, `max_request_rate` the number of
    requests a second that it takes from all hosts together, `max_rejections`
    the number of requests that it can reject in a second before it crashes:
    None if it states none, not a number (NaN) if the value is malformed.
    """

    status: int
    headers: HeaderPairs
    request_id: str = ''
    stamp: str = ''
    is_not_run: bool = False
    is_encoded: bool = False
    is_ambiguous: bool = False
    weights_version: int | None = None
    other_incarnation: str = ''
    is_leaving: bool = False
    retry_after_seconds: float | None = None
    max_request_rate: float | None = None
    max_rejections: float | None = None


@attrs.frozen(kw_only=True)
class ConnectionUse:
    """What a connection has carried when a response arrives on it.

    `number` counts the connections of a host. `requests` includes the one
    that waits; `extra_responses` are those passed over as belonging to other
    requests.
    """

    number: int
    requests: int
    extra_responses: int

    def describe(self) -> str:
        """Return `number/requests/extra responses`."""
        return f'{self.number}/{self.requests}/{self.extra_responses}'


@attrs.frozen(kw_only=True)
class ReceivedHead:
    """Head of a response and the call that it came for.

    `incarnation` is the one that the call expected, `sent_at` the monotonic
    time at which it was sent. `is_own` is set if the response names the id of
    a caller's request; another one may be the late copy of an earlier
    response, or the response to a control call. `awaited_request_id` is the id
    of the call that waits, empty for a control call. `connection` is the text
    of `ConnectionUse` for a response that is passed over, empty for others.
    """

    address: str
    incarnation: str
    sent_at: float
    is_own: bool
    head: ResponseHead
    awaited_request_id: str = ''
    connection: str = ''

    @classmethod
    def create(
        cls,
        address: str,
        call: OutgoingCall,
        sent_at: float,
        head: ResponseHead,
        connection: str = '',
    ) -> 'ReceivedHead':
        """Return the head of a response that came while a call waits."""
        return cls(
            address=address,
            incarnation=call.incarnation,
            sent_at=sent_at,
            is_own=head.request_id == call.request_id != '',
            head=head,
            awaited_request_id=call.request_id,
            connection=connection,
        )

    def is_passed_over(self) -> bool:
        """Return whether it belongs to another request than the call."""
        return self.head.request_id not in ('', self.awaited_request_id)


ResponseListener: typing.TypeAlias = abc.Callable[[ReceivedHead], None]


class OpenResponse(typing.Protocol):
    """Response of a target whose head has arrived.

    `declared_bytes` is the length of the body, None if it is not declared.
    `is_end_marked` is set at the end of a body that did not end with its
    connection: its length was reached, or its last chunk was read.
    `connection` is the text of `ConnectionUse`, empty if another host has
    sent the call.
    """

    head: ResponseHead
    declared_bytes: int | None
    connection: str

    @property
    def is_end_marked(self) -> bool:
        """Return whether the target has marked the end of the body."""

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next bytes of the body; empty at its complete end."""

    def abort(self) -> None:
        """Close the connection unless the body has been read to its end."""

    def drop(self) -> None:
        """Close the connection, so that no other call gets its bytes."""


SendResult: typing.TypeAlias = result.Result[
    OpenResponse, interfaces.CallFailure
]


class TargetConnections(typing.Protocol):
    """Connections to targets; addresses are `IP:port`."""

    async def send(self, address: str, call: OutgoingCall) -> SendResult:
        """Send once, without a retry; return when the head arrives.

        `call.begin_sending` is called right before the first byte is sent. If
        it returns False, the call fails with the kind `NOT_SENT`.
        """

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether an address refuses a new connection."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""

    def add_listener(self, listener: ResponseListener) -> None:
        """Call `listener` with the head of each response."""


class CallReply(typing.Protocol):
    """Response to the caller, with backpressure while the caller is slow."""

    async def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting while the send buffer is full."""

    def write_late(self, data: bytes) -> None:
        """Send a part of the body without waiting."""

    def is_begun(self) -> bool:
        """Return whether a status has been sent."""

    def abort(self) -> None:
        """Close the connection, so that the response is seen as truncated."""


@attrs.frozen(kw_only=True)
class DesiredChange:
    """Changes to the operators' documents after a cursor.

    `state` is None if it has not changed. `weights` holds, by model, the
    newest version that operators have named, `weights_rows` the store's
    versions of the rows that name them. `cursor` is for the next read.
    `store_seconds` is the time of the store's clock, None if unknown.
    """

    state: desired.DesiredState | None
    weights: abc.Mapping[str, int]
    cursor: store_versions.StoreVersion
    findings: tuple[str, ...] = ()
    weights_rows: abc.Mapping[str, store_versions.StoreVersion] = attrs.field(
        factory=dict
    )
    store_seconds: float | None = None


@attrs.frozen(kw_only=True)
class TargetsRead:
    """Changes to the targets' entries after a cursor.

    `store_seconds` is the time of the store's clock, None if unknown.
    """

    change: catalog.TargetChange
    cursor: store_versions.StoreVersion
    findings: tuple[str, ...] = ()
    store_seconds: float | None = None


@attrs.frozen(kw_only=True)
class StoreFailure:
    """Failed call to the platform's store.

    `is_history_lost` says that the store no longer has the changes after the
    cursor, or has been restored, so everything must be read again;
    `is_conflict` that a condition failed and nothing was written;
    `is_outcome_unknown` that the call may have taken effect.
    """

    detail: str
    is_history_lost: bool = False
    is_conflict: bool = False
    is_outcome_unknown: bool = False


FENCING_TOKENS_PER_ERA = 2**40
"""More than the store can give out versions in one era."""


@attrs.frozen(kw_only=True)
class LeaseRow:
    """Lease of a duty, a task that one host at a time performs for the fleet.

    `version` is that of the row, whose number is 0 if there is none.
    `written_era` is the era that the holder saw before it wrote the row. If
    the store has been restored since, the row does not show who acted last.
    """

    holder: str
    version: store_versions.StoreVersion
    written_era: int = 0

    def is_conclusive(self) -> bool:
        """Return whether nobody can have acted after the row's holder."""
        return self.written_era == self.version.era

    def get_fencing_token(self) -> int:
        """Return a number that grows with each write, also across eras."""
        return self.version.era * FENCING_TOKENS_PER_ERA + self.version.number


@attrs.frozen
class SoftwareRow:
    """Software versions at which streams of a service may have begun.

    `row_version` is that of the row in the store, 0 if there is none.
    """

    service: str
    versions: tuple[str, ...] = ()
    row_version: int = 0


@attrs.frozen
class StreamsRead:
    """Streams that hosts have written; `findings` names malformed rows."""

    streams: KeysByOrigin
    findings: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HostEntry:
    """Entry in the platform's store by which peers discover a host."""

    name: str
    incarnation: str
    domain: str
    peer_address: str


@attrs.frozen
class HostsRead:
    """Entries of all hosts; `findings` names malformed ones."""

    entries: tuple[HostEntry, ...]
    findings: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class EngineReport:
    """State that an engine reports about itself.

    `orders` counts the weights orders that it has accepted; `is_loading` is
    set while it loads weights; `weights` holds the version that it runs for
    each model.
    """

    orders: int
    is_loading: bool
    weights: abc.Mapping[str, int]
    runs: drains.EngineRuns


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order to load weights.

    The engine rejects it unless it has accepted exactly `expected_orders`
    orders, so that a delayed order has no effect. It is given up without an
    answer after `seconds_left`.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    switch: drains.SwitchMode
    seconds_left: float


class Platform(typing.Protocol):
    """Store of the platform: desired state, targets, leases and hosts."""

    async def read_desired(
        self, after: store_versions.StoreVersion | None, wait_seconds: float
    ) -> result.Result[DesiredChange, StoreFailure]:
        """Return the changes after the cursor `after`; everything if None.

        It is a long poll of up to `wait_seconds`.
        """

    async def read_targets(
        self, after: store_versions.StoreVersion | None
    ) -> result.Result[TargetsRead, StoreFailure]:
        """Return the changes after a cursor, or all entries if None."""

    async def read_lease(
        self, lease_name: str
    ) -> result.Result[LeaseRow, StoreFailure]:
        """Return the lease of a duty; version 0 if there is none."""

    async def write_lease(
        self, lease_name: str, holder: str, previous: LeaseRow
    ) -> result.Result[LeaseRow, StoreFailure]:
        """Replace the lease if it has not changed, else `is_conflict`.

        If the store has been restored since the previous row was read, the
        write may replace another one; the new row is then not conclusive.
        """

    async def write_host(
        self, entry: HostEntry
    ) -> result.Result[None, StoreFailure]:
        """Write the entry of this host."""

    async def remove_host(
        self, name: str
    ) -> result.Result[None, StoreFailure]:
        """Remove the entry of a host that stops."""

    async def list_hosts(self) -> result.Result[HostsRead, StoreFailure]:
        """Return the entries of all hosts."""

    async def share_secret(
        self, proposal: bytes
    ) -> result.Result[bytes, StoreFailure]:
        """Return the fleet's secret, storing `proposal` if there was none."""

    async def read_software(
        self,
    ) -> result.Result[abc.Mapping[str, SoftwareRow], StoreFailure]:
        """Return the software versions of each service's streams."""

    async def write_software(
        self, row: SoftwareRow
    ) -> result.Result[None, StoreFailure]:
        """Replace a service's row if it has not changed, else fail with
        `is_conflict`.
        """

    async def read_streams(self) -> result.Result[StreamsRead, StoreFailure]:
        """Return the streams that any host has written."""

    async def write_streams(
        self, host: str, streams: KeysByOrigin
    ) -> result.Result[None, StoreFailure]:
        """Replace the streams that a host has written."""

    async def read_crash_records(
        self,
    ) -> result.Result[crash_records.CrashRecordsRead, StoreFailure]:
        """Return the records of what crashes targets."""

    async def write_crash_record(
        self, record: crash_records.CrashRecord
    ) -> result.Result[None, StoreFailure]:
        """Replace a record if it has not changed, else `is_conflict`."""

    async def remove_crash_record(
        self, subject: crash_records.Subject
    ) -> result.Result[None, StoreFailure]:
        """Remove a record."""


@attrs.frozen
class CacheStoreEpoch:
    """Epoch of a KV cache store, which changes when the store restarts.

    `cursor` is for the next read.
    """

    epoch: int
    cursor: int


class EngineControl(typing.Protocol):
    """Control calls to model engines, and calls to KV cache stores."""

    async def read_report(
        self, target: catalog.LiveTarget, *, needs_new_connection: bool = False
    ) -> result.Result[EngineReport, interfaces.CallFailure]:
        """Return the state that an engine reports."""

    async def order_weights(
        self,
        target: catalog.LiveTarget,
        order: WeightsOrder,
        may_send: abc.Callable[[], bool],
    ) -> result.Result[int, interfaces.CallFailure]:
        """Send an order; return the HTTP status of the response.

        `may_send` is called right before its first byte is written; if it
        returns False, the order fails with the kind `NOT_SENT`.
        """

    async def read_epoch(
        self, address: str, after: int, *, needs_new_connection: bool = False
    ) -> result.Result[CacheStoreEpoch, interfaces.CallFailure]:
        """Return the current epoch of a KV cache store.

        `after` is the cursor of the last read, 0 at first. An answer of an odd
        status or content fails with the kind `FAILED`.
        """
