"""Confirmation by the domain's leader that the platform's store is unchanged.

Load pattern: many hosts that each watch the store for themselves. Calls to
the store are expensive and calls within a region are not. So only the leader
of each region watches the store. The leaders of its domains follow it, and the
other hosts follow the leader of their domain: they send long polls to it. They
read the store only when the leader has seen a change that they have not. A
confirmation carries its age, counted from when the read of the store was sent,
so the age remains correct even if the confirmation passes through several
hosts.
"""

import asyncio
from collections import abc
import typing

import attrs

from pistachioseam.forwarding import store_versions

LONG_POLL_SECONDS = 0.5
"""Time for which a follower's query waits for a change."""
MAX_AGE_SECONDS = 2.0
"""Age beyond which a confirmation of the desired state is rejected and the
store is read directly. The long poll of the region's leader takes up to 0.8 s,
those of the domain's leader and of its followers up to 0.5 s each. A host
stays ready without a confirmation for `freshness.READY_FRACTION` of the
setting `revocation_ms`: 3 s if the setting is 5 s."""
MAX_DESIRED_AGE_SECONDS = MAX_AGE_SECONDS + LONG_POLL_SECONDS
"""Age beyond which the desired state is read again in any case. A confirmation
that is just young enough reaches it before the next long poll returns."""
MAX_TARGETS_AGE_SECONDS = 1.5
"""The same for the entries of targets, which the region's leader reads about
once a second. It is less than the time without a read that the catalog takes
for an outage of the store."""
MAX_DRAIN_FRACTION = 0.5
"""Age of the entries beyond which they are read again, as a fraction of the
time for which a target serves after its entry shows that it leaves. The rest
is for the read, and for the connect of a call that is placed before it."""
YOUNG_FRACTION = 0.5
"""Fraction of the greatest age below which a cache is not read again, though
the leader's confirmation is too old."""
DIRECT_SECONDS = 2.0
"""Time for which the store is read directly after the leader has failed to
confirm."""
LEADER_CHECK_SECONDS = 0.5
"""Pause between two checks of whether another host has become the leader."""
SETTLE_SECONDS = 1.2
"""Time after the first read in which a host that has just started looks for a
leader, before it watches the store itself."""
SETTLE_CHECK_SECONDS = 0.1
"""Pause between two checks during that time."""
REFRESH_RETRY_SECONDS = 0.25
"""Pause after a read of an old cache, which may have failed."""
MIN_ADVANCE_SECONDS = 0.1
"""Least progress of a confirmation that is passed on at once. The times of two
confirmations of the same read differ by the latency of their responses."""
NEVER = float('-inf')


@attrs.frozen(kw_only=True)
class TableStatus:
    """How far a host has read a table of the store.

    `cursor` is the position up to which it has read, `last_change_cursor`
    that of the last change (`changed` in `TableWord`), and `age_seconds` the
    time since the store confirmed this. Peers receive it as a `TableWord`
    message.
    """

    cursor: store_versions.StoreVersion
    last_change_cursor: store_versions.StoreVersion
    age_seconds: float


@attrs.frozen(kw_only=True)
class StoreStatus:
    """Response to a query that waited `held_seconds` for a change.

    Peers receive it as a `StoreWord` message.
    """

    desired: TableStatus
    targets: TableStatus
    held_seconds: float


@attrs.frozen(kw_only=True)
class StoreQuery:
    """How far the querying host has read the tables.

    The ages are the times since the store confirmed this. Peers receive it as
    a `StoreQuestion` message.
    """

    desired_cursor: store_versions.StoreVersion
    targets_cursor: store_versions.StoreVersion
    desired_age_seconds: float = 0.0
    targets_age_seconds: float = 0.0


class LeaderClient(typing.Protocol):
    """Client of the domain's leader, the host that watches the store."""

    def find_leader_address(self) -> str | None:
        """Return the leader's address, None if this host is the leader."""

    async def fetch_store_status(
        self, address: str, query: StoreQuery
    ) -> StoreStatus | None:
        """Return the leader's response, None if there is none in time."""


class TableProgress:
    """How far this host has read a table of the store, and when.

    `cursor` is None while everything must be read again, `last_change_cursor`
    is the position of the last change. `era` is that of the last read, None
    before the first one. `direct_watch` is set while this host
    watches the store itself.
    """

    def __init__(self) -> None:
        self.cursor: store_versions.StoreVersion | None = None
        self.last_change_cursor = store_versions.FIRST
        self.era: int | None = None
        self.confirmed_at = NEVER
        self.direct_watch = asyncio.Event()
        self.direct_watch.set()
        self._listeners: list[abc.Callable[[], None]] = []
        self._confirmation_listeners: list[abc.Callable[[], None]] = []
        self._is_followed = False

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each read that brought a change."""
        self._listeners.append(listener)

    def add_confirmation_listener(
        self, listener: abc.Callable[[], None]
    ) -> None:
        """Call `listener` after each later confirmation by the store."""
        self._confirmation_listeners.append(listener)

    def stop_after_first_read(self) -> None:
        """Clear `direct_watch` after the first read; a follower sets it."""
        self._is_followed = True

    def is_restored(self, cursor: store_versions.StoreVersion) -> bool:
        """Return whether the store was restored since the last read."""
        return self.era is not None and cursor.era > self.era

    def record_read(
        self,
        cursor: store_versions.StoreVersion,
        has_changed: bool,
        sent_at: float,
    ) -> None:
        """Record a successful read of the store, sent at `sent_at`."""
        if self.era is None and self._is_followed:
            self.direct_watch.clear()
        self._advance(cursor, sent_at)
        self.era = cursor.era
        if has_changed:
            self.last_change_cursor = max(self.last_change_cursor, cursor)
            for listener in self._listeners:
                listener()

    def record_status(self, status: TableStatus, confirmed_at: float) -> None:
        """Record the leader's confirmation that this host has all changes."""
        self._advance(status.cursor, confirmed_at)
        self.last_change_cursor = max(
            self.last_change_cursor, status.last_change_cursor
        )

    def _advance(
        self, cursor: store_versions.StoreVersion, confirmed_at: float
    ) -> None:
        self.cursor = max(cursor, self.cursor or cursor)
        progress_seconds = confirmed_at - self.confirmed_at
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if progress_seconds > MIN_ADVANCE_SECONDS:
            for listener in self._confirmation_listeners:
                listener()

    def reset(self) -> None:
        """Drop the cursor, so that everything is read again."""
        self.cursor = None

    def get_status(self, now: float) -> TableStatus | None:
        """Return the status that peers get, None before the first read."""
        if self.cursor is None:
            return None
        return TableStatus(
            cursor=self.cursor,
            last_change_cursor=self.last_change_cursor,
            age_seconds=now - self.confirmed_at,
        )


class Confirmer:
    """Responds to the long polls of the domain's other hosts.

    Confirmations by the store are passed on at once. If each host on the way
    held them for a long poll, they would be old when they arrive.
    """

    def __init__(
        self,
        desired: TableProgress,
        targets: TableProgress,
        read_boot_clock: abc.Callable[[], float],
    ) -> None:
        self._desired = desired
        self._targets = targets
        self._read_boot_clock = read_boot_clock
        self._changed = asyncio.Event()
        for progress in (desired, targets):
            progress.add_listener(self._notify)
            progress.add_confirmation_listener(self._notify)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, query: StoreQuery) -> StoreStatus | None:
        """Respond once a table has changed or was confirmed, or after a wait.


        Return None while a table has not been read.
        """
        received_at = self._read_boot_clock()
        if not (self._has_changed(query) or self._has_confirmation(query)):
            changed = self._changed
            try:
                async with asyncio.timeout(LONG_POLL_SECONDS):
                    await changed.wait()
            except TimeoutError:
                # The response confirms that nothing has changed.
                pass
        now = self._read_boot_clock()
        desired = self._desired.get_status(now)
        targets = self._targets.get_status(now)
        if desired is None or targets is None:
            return None
        return StoreStatus(
            desired=desired, targets=targets, held_seconds=now - received_at
        )

    def _has_changed(self, query: StoreQuery) -> bool:
        return (
            self._desired.last_change_cursor > query.desired_cursor
            or self._targets.last_change_cursor > query.targets_cursor
        )

    def _has_confirmation(self, query: StoreQuery) -> bool:
        """Return whether a later confirmation came between two queries."""
        now = self._read_boot_clock()
        return any(
            age_seconds - (now - progress.confirmed_at) > MIN_ADVANCE_SECONDS
            for progress, age_seconds in (
                (self._desired, query.desired_age_seconds),
                (self._targets, query.targets_age_seconds),
            )
        )


class TableReader(typing.Protocol):
    """The part of `watches.TableWatch` that a follower uses."""

    progress: TableProgress

    async def read(self, wait_seconds: float | None = None) -> bool:
        """Read the store once; return whether the read succeeded."""

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the store has confirmed the cache at `confirmed_at`."""


def ignore_report(address: str, reason: str) -> None:
    """Do nothing with the report of a missing confirmation."""


class Follower:
    """Keeps this host's watches up to date by long polls of the leader.

    `report_unconfirmed` gets the leader's address and the reason whenever the
    leader does not confirm. `get_drain_seconds` returns for how long a target
    serves after its entry shows that it leaves.
    """

    def __init__(
        self,
        desired: TableReader,
        targets: TableReader,
        leader: LeaderClient,
        read_boot_clock: abc.Callable[[], float],
        sleep: abc.Callable[[float], abc.Awaitable[None]],
        report_unconfirmed: abc.Callable[[str, str], None] = ignore_report,
        get_drain_seconds: abc.Callable[[], float] = lambda: float('inf'),
    ) -> None:
        self._get_drain_seconds = get_drain_seconds
        self._report_unconfirmed = report_unconfirmed
        self._desired = desired
        self._targets = targets
        self._leader = leader
        self._read_boot_clock = read_boot_clock
        self._sleep = sleep

    async def run(self) -> None:
        """Keep the watches up to date forever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(
                self._refresh(self._desired, lambda: MAX_DESIRED_AGE_SECONDS)
            )
            group.create_task(
                self._refresh(self._targets, self._get_max_targets_age)
            )

    async def _follow(self) -> None:
        """Poll the leader forever.

        This host watches the store itself while it is the leader or the
        leader does not confirm.
        """
        for reader in (self._desired, self._targets):
            reader.progress.stop_after_first_read()
        await self._settle()
        while True:
            address = self._leader.find_leader_address()
            if address is None:
                self._set_direct(True)
                await self._sleep(LEADER_CHECK_SECONDS)
                continue
            problem = await self.poll_leader(address)
            if problem is None:
                self._set_direct(False)
                continue
            self._report_unconfirmed(address, problem)
            # The long poll that follows would confirm nothing for a while.
            await self._desired.read(0.0)
            self._set_direct(True)
            await self._sleep(DIRECT_SECONDS)

    async def _refresh(
        self, reader: TableReader, get_max_age: abc.Callable[[], float]
    ) -> None:
        """Read a table as soon as its cache is too old, forever.

        A leader that has lost the store goes on responding, and its long polls
        take time, so the age is not checked only when it responds.
        """
        while True:
            age_seconds = self._get_cache_age(reader)
            max_age_seconds = get_max_age()
            if age_seconds < max_age_seconds:
                await self._sleep(max_age_seconds - age_seconds)
                continue
            if not reader.progress.direct_watch.is_set():
                await reader.read(0.0)
            await self._sleep(REFRESH_RETRY_SECONDS)

    def _get_max_targets_age(self) -> float:
        return min(
            MAX_TARGETS_AGE_SECONDS,
            self._get_drain_seconds() * MAX_DRAIN_FRACTION,
        )

    def _get_cache_age(self, reader: TableReader) -> float:
        return self._read_boot_clock() - reader.progress.confirmed_at

    async def _settle(self) -> None:
        """Wait for a leader, at most until the first reads are too old.

        Load pattern: all hosts start at once. Each has read the store once and
        would go on, until it knows of the hosts that read it for all.
        """
        while None in (
            self._desired.progress.cursor,
            self._targets.progress.cursor,
        ):
            await self._sleep(SETTLE_CHECK_SECONDS)
        while (
            self._leader.find_leader_address() is None
            and self._get_age() < SETTLE_SECONDS
        ):
            await self._sleep(SETTLE_CHECK_SECONDS)

    def _get_age(self) -> float:
        """Return the age of the older of the two caches, in seconds."""
        return max(
            self._get_cache_age(reader)
            for reader in (self._desired, self._targets)
        )

    def _set_direct(self, is_direct: bool) -> None:
        for reader in (self._desired, self._targets):
            if is_direct:
                reader.progress.direct_watch.set()
            else:
                reader.progress.direct_watch.clear()

    async def poll_leader(self, address: str) -> str | None:
        """Poll the leader once.

        Return None if this host is up to date, otherwise why it is not known
        to be.
        """
        desired = self._desired.progress.cursor
        targets = self._targets.progress.cursor
        if desired is None or targets is None:
            return 'a table has not been read'
        sent_at = self._read_boot_clock()
        query = StoreQuery(
            desired_cursor=desired,
            targets_cursor=targets,
            desired_age_seconds=self._get_cache_age(self._desired),
            targets_age_seconds=self._get_cache_age(self._targets),
        )
        status = await self._leader.fetch_store_status(address, query)
        if status is None:
            return 'no response'
        # Earliest possible time of the response; latencies are unknown.
        responded_at = sent_at + status.held_seconds
        return await self._apply_status(
            self._desired, status.desired, responded_at, MAX_AGE_SECONDS
        ) or await self._apply_status(
            self._targets, status.targets, responded_at
        )

    def _is_young(self, reader: TableReader, max_age_seconds: float) -> bool:
        """Return whether this host's own cache need not be read again yet."""
        return self._get_cache_age(reader) < max_age_seconds * YOUNG_FRACTION

    async def _apply_status(
        self,
        reader: TableReader,
        status: TableStatus,
        responded_at: float,
        max_age_seconds: float = float('inf'),
    ) -> str | None:
        """Apply a confirmation, or read the table if it has changed.

        Also read it if the confirmation is older than `max_age_seconds`, but
        not again at once. Return None if this host is up to date with the
        table, otherwise why it is not known to be.
        """
        cursor = reader.progress.cursor
        if (
            cursor is None
            or status.last_change_cursor > cursor
            or status.cursor.era > cursor.era
        ):
            is_read = await reader.read(0.0)
            return None if is_read else 'the change could not be read'
        if status.cursor.era < cursor.era:
            return 'it has not read the restored store'
        confirmed_at = responded_at - status.age_seconds
        age_seconds = self._read_boot_clock() - confirmed_at
        if age_seconds > max_age_seconds:
            if self._is_young(reader, max_age_seconds):
                return None
            is_read = await reader.read(0.0)
            problem = f'its confirmation is {age_seconds:.2f} s old'
            return None if is_read else problem
        progress_seconds = confirmed_at - reader.progress.confirmed_at
        reader.progress.record_status(status, confirmed_at)
        if progress_seconds > MIN_ADVANCE_SECONDS:
            reader.record_confirmation(confirmed_at)
        return None
