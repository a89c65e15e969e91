"""Claims that keep a non-idempotent call from running twice.

A claim is one row of the platform's `claims` table, inserted before the first
byte is sent. Abandoned claims are resolved by whichever router meets them, as
locks are in Percolator (Peng and Dabek, OSDI 2010).
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

INSERT_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 2.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LAST_SECONDS = 5.0
POLL_SECONDS = 0.2


@attrs.frozen
class Claim:
    """Right of this host to send one call once; `version` of its row."""

    key: interfaces.RowKey
    version: int
    record: claim_records.Record


@attrs.frozen
class Remembered:
    """Recorded answer of an earlier call with the same key."""

    answer: interfaces.TargetAnswer


class HolderReport(enum.Enum):
    """What the holder of a claim says about it."""

    ACTIVE = 'active'
    DROPPED = 'dropped'
    """The holder will never send this attempt."""
    DEAD = 'dead'
    """The holder's incarnation has ended."""
    UNREACHABLE = 'unreachable'


class Holders(typing.Protocol):
    """Access to the holders of other hosts' claims."""

    async def ask(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> HolderReport:
        """Return what the holder says of an attempt."""


AcquireResult: typing.TypeAlias = result.Result[
    Claim | Remembered, refusals.Refusal
]


@attrs.define
class _Held:
    """Claim in progress on this host, with the signal for its joiners."""

    digest: str
    token: str
    signal: interfaces.Signal
    ended: result.Result[Remembered, refusals.Refusal] | None = None


def refuse_unknown() -> refusals.Refusal:
    """Return the refusal of a call that may have run."""
    return refusals.Refusal(
        502,
        refusals.Reason.OUTCOME_UNKNOWN,
        'the call may have run; it will not be sent again',
        refusals.Outcome.UNKNOWN,
    )


def _refuse_store() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        refusals.Reason.STORE_UNAVAILABLE,
        'the claim could not be recorded',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _refuse_reused() -> refusals.Refusal:
    return refusals.Refusal(
        422,
        refusals.Reason.IDEMPOTENCY_KEY_REUSED,
        'this idempotency key belongs to a different request',
    )


class ClaimKeeper:
    """Claims of one process incarnation.

    `holder` names the incarnation; it is new with every start of a process.
    """

    def __init__(
        self,
        *,
        store: interfaces.TableStore,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        holders: Holders,
        holder: str,
    ) -> None:
        self.holder = holder
        self._store = store
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._holders = holders
        self._held: dict[interfaces.RowKey, _Held] = {}
        self._unsettled: dict[str, interfaces.Signal] = {}

    def count_held(self) -> int:
        """Return the number of calls that hold a claim here."""
        return len(self._held)

    def count_unsettled(self) -> int:
        """Return the number of ended calls whose row is not written yet."""
        return len(self._unsettled)

    def report(self, token: str) -> HolderReport:
        """Answer another router that met one of our claims."""
        tokens = {held.token for held in self._held.values()}
        if token in tokens or token in self._unsettled:
            return HolderReport.ACTIVE
        return HolderReport.DROPPED

    async def acquire(
        self,
        key: interfaces.RowKey,
        digest: str,
        number: int,
        deadline: float,
    ) -> AcquireResult:
        """Claim a call, or return what became of an equal earlier one.

        `deadline` (monotonic seconds) bounds the wait for another holder.
        """
        while key in self._held:
            joined = await self._join(self._held[key], digest)
            if joined is not None:
                return joined
        signal = self._runtime.create_signal()
        held = _Held(digest, self._random.token(), signal)
        self._held[key] = held
        acquired: AcquireResult = result.Failure(_refuse_store())
        try:
            acquired = await self._insert(key, held, number, deadline)
        finally:
            if not _is_claim(acquired):
                self._forget(key, held)
        return acquired

    async def _join(self, held: _Held, digest: str) -> AcquireResult | None:
        if held.digest != digest:
            return result.Failure(_refuse_reused())
        await held.signal.wait()
        return held.ended

    async def _insert(
        self,
        key: interfaces.RowKey,
        held: _Held,
        number: int,
        deadline: float,
    ) -> AcquireResult:
        record = claim_records.Record(
            state=claim_records.State.CLAIMED,
            token=held.token,
            holder=self.holder,
            digest=held.digest,
            configuration_number=number,
        )
        condition = interfaces.Condition(key, 0)
        write = interfaces.Write(key, claim_records.encode(record))
        is_lost = False
        attempts = 0
        while attempts < INSERT_ATTEMPTS:
            committed = await self._store.commit([condition], [write])
            if pipeline.is_successful(committed):
                claim = Claim(key, committed.unwrap(), record)
                return result.Success(claim)
            error = committed.failure()
            if error is interfaces.StoreError.UNAVAILABLE:
                break
            if error is interfaces.StoreError.LOST:
                is_lost = True
                attempts += 1
                continue
            met = await self._meet(key, held, deadline)
            if met is not None:
                return met
        if is_lost:
            self._sink.emit(events.Event.CLAIM_UNRESOLVED, key=key.key)
            self._drop(key, held)
        return result.Failure(_refuse_store())

    async def _meet(
        self, key: interfaces.RowKey, held: _Held, deadline: float
    ) -> AcquireResult | None:
        """Return what an existing row means; None to insert again."""
        while True:
            read = await self._store.read(key)
            if not pipeline.is_successful(read):
                self._drop(key, held)
                return result.Failure(refuse_unknown())
            row = read.unwrap()
            record = claim_records.decode(row)
            if record is None:
                return None
            if record.token == held.token:
                return result.Success(Claim(key, row.version, record))
            if record.digest != held.digest:
                return result.Failure(_refuse_reused())
            if record.state is claim_records.State.DONE:
                return result.Success(
                    Remembered(claim_records.read_answer(record))
                )
            if record.state is claim_records.State.UNKNOWN:
                return result.Failure(refuse_unknown())
            report = await self._ask(key, record)
            if report is HolderReport.DROPPED:
                await self._delete(key, row.version)
            elif self._runtime.now() >= deadline:
                return result.Failure(refuse_unknown())
            elif report is HolderReport.ACTIVE:
                await self._runtime.sleep(POLL_SECONDS)
            else:
                return await self._resolve(row, record, report)

    async def _ask(
        self, key: interfaces.RowKey, record: claim_records.Record
    ) -> HolderReport:
        if record.holder == self.holder:
            return self.report(record.token)
        return await self._holders.ask(record.holder, key, record.token)

    async def _resolve(
        self,
        row: interfaces.Row,
        record: claim_records.Record,
        report: HolderReport,
    ) -> AcquireResult:
        """Answer for a claim whose holder cannot be asked."""
        self._sink.emit(events.Event.OUTCOME_UNKNOWN, key=row.key.key)
        if report is HolderReport.DEAD:
            unknown = attrs.evolve(record, state=claim_records.State.UNKNOWN)
            write = interfaces.Write(row.key, claim_records.encode(unknown))
            condition = interfaces.Condition(row.key, row.version)
            await self._store.commit([condition], [write])
        return result.Failure(refuse_unknown())

    async def _delete(self, key: interfaces.RowKey, version: int) -> bool:
        condition = interfaces.Condition(key, version)
        write = interfaces.Write(key, None)
        committed = await self._store.commit([condition], [write])
        return pipeline.is_successful(committed)

    def settle(self, claim: Claim, answer: interfaces.TargetAnswer) -> None:
        """Record a whole answer; joiners get it at once."""
        record = claim_records.add_answer(claim.record, answer)
        self._end(claim, result.Success(Remembered(answer)), record)

    def mark_unknown(self, claim: Claim) -> None:
        """Record that a call was sent and its outcome is not known."""
        self._sink.emit(events.Event.OUTCOME_UNKNOWN, key=claim.key.key)
        record = attrs.evolve(claim.record, state=claim_records.State.UNKNOWN)
        self._end(claim, result.Failure(refuse_unknown()), record)

    def release(self, claim: Claim) -> None:
        """Give up a claim whose call was never sent."""
        held = self._held.get(claim.key)
        if held is not None and held.token == claim.record.token:
            self._drop(claim.key, held)

    def _drop(self, key: interfaces.RowKey, held: _Held) -> None:
        self._forget(key, held)
        self._runtime.start(self._remove_orphan(key, held.token))

    def _forget(self, key: interfaces.RowKey, held: _Held) -> None:
        if self._held.get(key) is held:
            del self._held[key]
        held.signal.set()

    async def _remove_orphan(self, key: interfaces.RowKey, token: str) -> None:
        delay = BACKOFF_FIRST_SECONDS
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
            delay = min(delay * 2, BACKOFF_LAST_SECONDS)

    def _end(
        self,
        claim: Claim,
        ended: result.Result[Remembered, refusals.Refusal],
        record: claim_records.Record,
    ) -> None:
        held = self._held.get(claim.key)
        self._unsettled[record.token] = self._runtime.create_signal()
        if held is not None and held.token == record.token:
            held.ended = ended
            held.signal.set()
        self._runtime.start(self._write_back(claim, record))

    async def _write_back(
        self, claim: Claim, record: claim_records.Record
    ) -> None:
        """Write the final state until the row holds it."""
        version = claim.version
        delay = BACKOFF_FIRST_SECONDS
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
                events.Event.CLAIM_SETTLE_RETRIED, key=claim.key.key
            )
            await self._runtime.sleep(delay)
            delay = min(delay * 2, BACKOFF_LAST_SECONDS)
        self._finish(claim, record)

    def _finish(self, claim: Claim, record: claim_records.Record) -> None:
        held = self._held.get(claim.key)
        if held is not None and held.token == record.token:
            del self._held[claim.key]
        self._unsettled.pop(record.token).set()

    async def drain(self) -> None:
        """Return when every ended call is recorded."""
        while self._unsettled:
            await next(iter(self._unsettled.values())).wait()


def _is_claim(acquired: AcquireResult) -> bool:
    if not pipeline.is_successful(acquired):
        return False
    return isinstance(acquired.unwrap(), Claim)
