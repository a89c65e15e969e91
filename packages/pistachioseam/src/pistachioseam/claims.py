"""Claims that keep a non-idempotent call from running twice.

A claim is one row of the platform's `claims` table, inserted before the first
byte of the call is sent to a target. A router that finds the claim of a failed
host resolves it, as clients do with abandoned locks in Percolator (Peng and
Dabek, OSDI 2010).
"""

import enum
import typing

import attrs
from returns import pipeline
from returns import result

from pistachioseam import claim_records
from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam import refusals

MAX_UNCONFIRMED_INSERTS = 3
"""Number of inserts without a response after which the call is refused."""
RETRY_AFTER_SECONDS = 2.0
BACKOFF_INITIAL_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0
HOLDER_POLL_SECONDS = 0.2
"""Pause between queries of a holder whose call is still in flight."""


@attrs.frozen
class Claim:
    """Right of this process to send a call, at most once.

    `version` is that of the claim row when it was inserted.
    """

    key: interfaces.RowKey
    version: int
    record: claim_records.Record


@attrs.frozen
class RecordedAnswer:
    """Recorded answer of an earlier call with the same key."""

    answer: interfaces.TargetResponse


class HolderReport(enum.Enum):
    """State of a claim, as learned by asking the host of its holder.

    Peers send it as `state` of a `ClaimReport` message.
    """

    ACTIVE = 'active'
    """The call is in flight, or its outcome is not stored yet."""
    DROPPED = 'dropped'
    """The holder gave up the claim and will never send the call."""
    DEAD = 'dead'
    """The holder's incarnation has ended."""
    UNREACHABLE = 'unreachable'
    """The host is not known or did not respond; peers never send this."""


class HolderClient(typing.Protocol):
    """Client that queries other hosts about the claims they hold."""

    async def query_holder(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> HolderReport:
        """Return the state of the claim with that token."""


AcquireResult: typing.TypeAlias = result.Result[
    Claim | RecordedAnswer, refusals.Refusal
]


@attrs.define
class _HeldClaim:
    """Claim held by this process, for coalescing calls with the same key.

    `finished` is set when the call has ended, or the claim was given up or not
    acquired; `call_result` stays None in the last two cases.
    """

    digest: str
    token: str
    finished: interfaces.Signal
    call_result: result.Result[RecordedAnswer, refusals.Refusal] | None = None


def refuse_unknown_outcome() -> refusals.Refusal:
    """Return the refusal of a call that may have run on a target."""
    return refusals.Refusal(
        502,
        refusals.Reason.OUTCOME_UNKNOWN,
        'the call may have run; it will not be sent again',
        refusals.Outcome.UNKNOWN,
    )


def _refuse_store_failure() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        refusals.Reason.STORE_UNAVAILABLE,
        'the idempotency key could not be recorded; the call was not sent',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _refuse_reused_key() -> refusals.Refusal:
    return refusals.Refusal(
        422,
        refusals.Reason.IDEMPOTENCY_KEY_REUSED,
        'this idempotency key belongs to a different request',
    )


class ClaimManager:
    """Claims held by one process incarnation.

    `holder` identifies the incarnation and changes with every process start.
    """

    def __init__(
        self,
        *,
        store: interfaces.TableStore,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        holder_client: HolderClient,
        holder: str,
    ) -> None:
        self.holder = holder
        self._store = store
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._holder_client = holder_client
        self._held: dict[interfaces.RowKey, _HeldClaim] = {}
        self._unsettled: dict[str, interfaces.Signal] = {}

    def count_held(self) -> int:
        """Return the number of claims that this process holds."""
        return len(self._held)

    def count_unsettled(self) -> int:
        """Return the number of ended calls whose outcome is not stored yet."""
        return len(self._unsettled)

    def report_state(self, token: str) -> HolderReport:
        """Return the state of this process's claim with that token.

        An unknown token counts as dropped.
        """
        tokens = {held.token for held in self._held.values()}
        if token in tokens or token in self._unsettled:
            return HolderReport.ACTIVE
        return HolderReport.DROPPED

    async def acquire(
        self,
        key: interfaces.RowKey,
        digest: str,
        configuration_number: int,
        deadline: float,
    ) -> AcquireResult:
        """Claim a call, or return the result of an earlier one with its key.

        `deadline` (monotonic seconds) limits the wait for a claim that
        another host holds; after it the outcome counts as unknown.
        """
        while key in self._held:
            shared = await self._coalesce(self._held[key], digest)
            if shared is not None:
                return shared
        finished = self._runtime.create_signal()
        held = _HeldClaim(digest, self._random.token(), finished)
        self._held[key] = held
        acquired: AcquireResult = result.Failure(_refuse_store_failure())
        try:
            acquired = await self._insert(
                key, held, configuration_number, deadline
            )
        finally:
            if not _is_claim(acquired):
                self._remove_held(key, held)
        return acquired

    async def _coalesce(
        self, held: _HeldClaim, digest: str
    ) -> AcquireResult | None:
        """Wait for the call in flight; return None if it was not sent."""
        if held.digest != digest:
            return result.Failure(_refuse_reused_key())
        await held.finished.wait()
        return held.call_result

    async def _insert(
        self,
        key: interfaces.RowKey,
        held: _HeldClaim,
        configuration_number: int,
        deadline: float,
    ) -> AcquireResult:
        record = claim_records.Record(
            state=claim_records.State.CLAIMED,
            token=held.token,
            holder=self.holder,
            digest=held.digest,
            configuration_number=configuration_number,
        )
        condition = interfaces.Condition(key, 0)
        write = interfaces.Write(key, claim_records.encode(record))
        is_write_unconfirmed = False
        unconfirmed_inserts = 0
        while unconfirmed_inserts < MAX_UNCONFIRMED_INSERTS:
            committed = await self._store.commit([condition], [write])
            if pipeline.is_successful(committed):
                claim = Claim(key, committed.unwrap(), record)
                return result.Success(claim)
            error = committed.failure()
            if error is interfaces.StoreError.UNAVAILABLE:
                break
            if error is interfaces.StoreError.LOST:
                is_write_unconfirmed = True
                unconfirmed_inserts += 1
                continue
            resolved = await self._resolve_conflict(key, held, deadline)
            if resolved is not None:
                return resolved
        if is_write_unconfirmed:
            self._sink.emit(events.Event.CLAIM_DROPPED, key=key.key)
            self._abandon(key, held)
        return result.Failure(_refuse_store_failure())

    async def _resolve_conflict(
        self, key: interfaces.RowKey, held: _HeldClaim, deadline: float
    ) -> AcquireResult | None:
        """Return the result for an existing row, or None to retry.

        If the row cannot be read, an earlier call with this key may have run,
        so the outcome counts as unknown. A row that a lost insert of this
        process left is deleted in the background.
        """
        while True:
            read = await self._store.read(key)
            if not pipeline.is_successful(read):
                self._abandon(key, held)
                return result.Failure(refuse_unknown_outcome())
            row = read.unwrap()
            record = claim_records.decode(row)
            if record is None:
                return None
            if record.token == held.token:
                return result.Success(Claim(key, row.version, record))
            if record.digest != held.digest:
                return result.Failure(_refuse_reused_key())
            if record.state is claim_records.State.DONE:
                return result.Success(
                    RecordedAnswer(claim_records.decode_answer(record))
                )
            if record.state is claim_records.State.UNKNOWN:
                return result.Failure(refuse_unknown_outcome())
            report = await self._query_holder(key, record)
            if report is HolderReport.DROPPED:
                await self._delete(key, row.version)
            elif self._runtime.now() >= deadline:
                return result.Failure(refuse_unknown_outcome())
            elif report is HolderReport.ACTIVE:
                await self._runtime.sleep(HOLDER_POLL_SECONDS)
            else:
                return await self._handle_lost_holder(row, record, report)

    async def _query_holder(
        self, key: interfaces.RowKey, record: claim_records.Record
    ) -> HolderReport:
        if record.holder == self.holder:
            return self.report_state(record.token)
        return await self._holder_client.query_holder(
            record.holder, key, record.token
        )

    async def _handle_lost_holder(
        self,
        row: interfaces.Row,
        record: claim_records.Record,
        report: HolderReport,
    ) -> AcquireResult:
        """Refuse a call whose claim is held by a dead or unreachable host.

        The row of a dead holder is marked unknown permanently. That of an
        unreachable one is left as it is: its call may still be in flight.
        """
        self._sink.emit(events.Event.OUTCOME_UNKNOWN, key=row.key.key)
        if report is HolderReport.DEAD:
            unknown = attrs.evolve(record, state=claim_records.State.UNKNOWN)
            write = interfaces.Write(row.key, claim_records.encode(unknown))
            condition = interfaces.Condition(row.key, row.version)
            await self._store.commit([condition], [write])
        return result.Failure(refuse_unknown_outcome())

    async def _delete(self, key: interfaces.RowKey, version: int) -> bool:
        """Delete the row at that version; return whether it was deleted."""
        condition = interfaces.Condition(key, version)
        write = interfaces.Write(key, None)
        committed = await self._store.commit([condition], [write])
        return pipeline.is_successful(committed)

    def record_answer(
        self, claim: Claim, answer: interfaces.TargetResponse
    ) -> None:
        """Pass the answer to coalesced calls, and start to store it."""
        record = claim_records.add_answer(claim.record, answer)
        self._complete(claim, result.Success(RecordedAnswer(answer)), record)

    def mark_unknown(self, claim: Claim) -> None:
        """Start to store that the outcome of a sent call is unknown."""
        self._sink.emit(events.Event.OUTCOME_UNKNOWN, key=claim.key.key)
        record = attrs.evolve(claim.record, state=claim_records.State.UNKNOWN)
        self._complete(claim, result.Failure(refuse_unknown_outcome()), record)

    def release(self, claim: Claim) -> None:
        """Give up the claim of a call never sent, so it can be retried."""
        held = self._held.get(claim.key)
        if held is not None and held.token == claim.record.token:
            self._abandon(claim.key, held)

    def _abandon(self, key: interfaces.RowKey, held: _HeldClaim) -> None:
        """Give up a claim now, and delete its row in the background."""
        self._remove_held(key, held)
        self._runtime.start(self._delete_own_row(key, held.token))

    def _remove_held(self, key: interfaces.RowKey, held: _HeldClaim) -> None:
        if self._held.get(key) is held:
            del self._held[key]
        held.finished.set()

    async def _delete_own_row(
        self, key: interfaces.RowKey, token: str
    ) -> None:
        """Retry with backoff until no row with this token is left."""
        delay = BACKOFF_INITIAL_SECONDS
        while True:
            read = await self._store.read(key)
            if pipeline.is_successful(read):
                row = read.unwrap()
                record = claim_records.decode(row)
                if record is None or record.token != token:
                    return
                if await self._delete(key, row.version):
                    return
            await self._runtime.sleep(delay)
            delay = min(delay * 2, BACKOFF_MAX_SECONDS)

    def _complete(
        self,
        claim: Claim,
        call_result: result.Result[RecordedAnswer, refusals.Refusal],
        record: claim_records.Record,
    ) -> None:
        """Pass the result to coalesced calls, and start to store it."""
        held = self._held.get(claim.key)
        self._unsettled[record.token] = self._runtime.create_signal()
        if held is not None and held.token == record.token:
            held.call_result = call_result
            held.finished.set()
        self._runtime.start(self._write_back(claim, record))

    async def _write_back(
        self, claim: Claim, record: claim_records.Record
    ) -> None:
        """Retry with backoff until the row holds the final state."""
        version = claim.version
        delay = BACKOFF_INITIAL_SECONDS
        while True:
            condition = interfaces.Condition(claim.key, version)
            write = interfaces.Write(claim.key, claim_records.encode(record))
            committed = await self._store.commit([condition], [write])
            if pipeline.is_successful(committed):
                break
            read = await self._store.read(claim.key)
            if pipeline.is_successful(read):
                row = read.unwrap()
                current = claim_records.decode(row)
                if current is None or current.token != record.token:
                    break
                if current.state is record.state:
                    break
                version = row.version
            self._sink.emit(
                events.Event.CLAIM_WRITE_RETRIED, key=claim.key.key
            )
            await self._runtime.sleep(delay)
            delay = min(delay * 2, BACKOFF_MAX_SECONDS)
        self._finish_write_back(claim, record)

    def _finish_write_back(
        self, claim: Claim, record: claim_records.Record
    ) -> None:
        held = self._held.get(claim.key)
        if held is not None and held.token == record.token:
            del self._held[claim.key]
        self._unsettled.pop(record.token).set()

    async def drain(self) -> None:
        """Wait until the outcome of every ended call is stored."""
        while self._unsettled:
            await next(iter(self._unsettled.values())).wait()


def _is_claim(acquired: AcquireResult) -> bool:
    if not pipeline.is_successful(acquired):
        return False
    return isinstance(acquired.unwrap(), Claim)
