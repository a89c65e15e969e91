"""Narrow protocols between forwarding decisions and the outside."""

from collections import abc
import typing

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import prompts
from pistachioseam import interfaces

HeaderPairs: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]


@attrs.frozen(kw_only=True)
class CallHead:
    """What the head of a caller's request says.

    `headers` may be passed on; `seconds_allowed` is None if the caller did
    not say how long it will wait, `after_event` is empty unless it resumes.
    """

    request_id: str
    host: str
    headers: HeaderPairs
    key: str = attrs.field(repr=False)
    seconds_allowed: float | None
    prompt: prompts.Prompt | None
    after_event: str


@attrs.frozen(kw_only=True)
class OutgoingCall:
    """Call as it is sent to one target.

    `headers` are the caller's that may be passed on; the other fields are
    what the router itself says. An empty text or None says nothing.
    `max_idle_seconds` bounds how long a kept channel may have been idle.
    """

    request_id: str
    method: bytes
    uri: bytes
    headers: HeaderPairs
    body: bytes = attrs.field(repr=False)
    seconds_left: float
    incarnation: str
    account: str = ''
    cache_salt: str = ''
    weights_version: int | None = None
    urgency: int | None = None
    fetch_from: str = ''
    save_to: str = ''
    after_event: str = ''
    max_idle_seconds: float = float('inf')


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a target's answer.

    `is_not_run` tells that the target declares that the call has not run;
    `stamp` is the target's proof of origin, `weights_version` what it runs.
    """

    status: int
    headers: HeaderPairs
    request_id: str = ''
    stamp: str = ''
    is_not_run: bool = False
    is_encoded: bool = False
    weights_version: int | None = None
    other_incarnation: str = ''
    retry_after_seconds: float | None = None


class OpenAnswer(typing.Protocol):
    """Answer of a target whose body is still to be read."""

    head: AnswerHead

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next bytes of the body; empty at its proven end."""

    def abort(self) -> None:
        """Drop the channel unless the body has been read to its end."""


SendResult: typing.TypeAlias = result.Result[
    OpenAnswer, interfaces.CallFailure
]


class TargetLink(typing.Protocol):
    """Channels to targets; addresses are `host:port` with IP numbers."""

    async def send(self, address: str, call: OutgoingCall) -> SendResult:
        """Send once and return the answer when its head is there."""

    async def is_refused(self, address: str) -> bool:
        """Tell whether an address refuses a new channel."""

    def forget(self, address: str) -> None:
        """Drop the idle channels to an address."""


class CallReply(typing.Protocol):
    """Answer to the caller; writing waits while the caller is slow."""

    async def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting for room in the buffer."""

    def is_begun(self) -> bool:
        """Tell whether a status has been sent."""

    def abort(self) -> None:
        """Break off an answer so that it does not look complete."""


@attrs.frozen(kw_only=True)
class DesiredChange:
    """What a read of the operators' documents brought.

    `state` is None when it has not changed; `weights` holds the newest
    version named for each model; `cursor` continues the watch.
    """

    state: desired.DesiredState | None
    weights: abc.Mapping[str, int]
    cursor: int
    findings: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class TargetsRead:
    """What a read of the targets' entries brought."""

    change: catalog.TargetChange
    cursor: int
    findings: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StoreTrouble:
    """Failed call to the platform's store.

    `is_history_lost` tells that everything must be read again,
    `is_conflict` that a condition failed and nothing was written, and
    `is_unknown` that the call may have taken effect.
    """

    detail: str
    is_history_lost: bool = False
    is_conflict: bool = False
    is_unknown: bool = False


@attrs.frozen(kw_only=True)
class LeaseRow:
    """Row of a duty; `version` only grows and serves as fencing token."""

    holder: str
    version: int


@attrs.frozen(kw_only=True)
class HostEntry:
    """Entry of a host of the router itself."""

    name: str
    incarnation: str
    domain: str
    peer_address: str


@attrs.frozen(kw_only=True)
class EngineReport:
    """What an engine says of itself; `orders` counts those it accepted."""

    orders: int
    is_busy: bool
    weights: abc.Mapping[str, int]
    runs: drains.EngineRuns


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order to load weights; `expected_orders` guards against late effects."""

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    switch: drains.SwitchMode


class Platform(typing.Protocol):
    """The platform's store as the router uses it."""

    async def read_desired(
        self, after: int | None, wait_seconds: float
    ) -> result.Result[DesiredChange, StoreTrouble]:
        """Return what changed behind `after`, waiting for a change."""

    async def read_targets(
        self, after: int | None
    ) -> result.Result[TargetsRead, StoreTrouble]:
        """Return what changed behind `after`, or all entries."""

    async def read_lease(
        self, duty: str
    ) -> result.Result[LeaseRow, StoreTrouble]:
        """Return the row of a duty; version 0 while there is none."""

    async def write_lease(
        self, duty: str, holder: str, version: int
    ) -> result.Result[LeaseRow, StoreTrouble]:
        """Replace the row if it still has the version."""

    async def write_host(
        self, entry: HostEntry
    ) -> result.Result[None, StoreTrouble]:
        """Announce this host to its peers."""

    async def remove_host(
        self, name: str
    ) -> result.Result[None, StoreTrouble]:
        """Take this host off the list."""

    async def list_hosts(
        self,
    ) -> result.Result[tuple[HostEntry, ...], StoreTrouble]:
        """Return the hosts that have announced themselves."""

    async def share_secret(
        self, proposal: bytes
    ) -> result.Result[bytes, StoreTrouble]:
        """Return the fleet's secret, the proposal if there was none."""


@attrs.frozen
class StoreEpoch:
    """Run of a store of cached parts; `cursor` is for the next question.

    `epoch` changes when the store restarts.
    """

    epoch: int
    cursor: int


class EngineControl(typing.Protocol):
    """Control of model engines."""

    async def read_report(
        self, target: catalog.LiveTarget
    ) -> result.Result[EngineReport, interfaces.CallFailure]:
        """Return what the engine says of itself."""

    async def order_weights(
        self, target: catalog.LiveTarget, order: WeightsOrder
    ) -> result.Result[int, interfaces.CallFailure]:
        """Give an order; return the status of its answer."""

    async def read_epoch(
        self, address: str, after: int
    ) -> result.Result[StoreEpoch, interfaces.CallFailure]:
        """Return which run of a store of cached parts answers.

        `after` is the cursor of the last answer, 0 at first.
        """
