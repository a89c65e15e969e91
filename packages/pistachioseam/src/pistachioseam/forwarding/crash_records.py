"""Records, in the platform's store, of what crashes targets.

What hosts know of requests and prompt parts that crash targets ends with the
last host. So the host that finds one writes it to the store, and each host
reads these records as it starts.

A record stays in force while calls that it concerns come. After a pause a
single call of the whole fleet may try a single target: its host has replaced
the record, on condition that no other host has. If the target survives, the
record is cleared; else the next pause is longer.
"""

from collections import abc
import hashlib
import typing

import attrs
from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import crash_evidence
from pistachioseam import interfaces
from pistachioseam import quarantine

TRIAL_PAUSES_SECONDS = (120.0, 960.0)
"""Pauses before the trials, each counted from the last crash or trial. There
are no further trials."""
TOUCH_SECONDS = 3600.0
"""Age of the last known call after which it is written anew."""
CHECK_SECONDS = 60.0
"""Longest pause between two reads of a record that concerns calls which come
after the quarantine; another host may have cleared it."""
FAILURE_PAUSE_SECONDS = 5.0
"""Pause after a failed read or write before a trial is considered again."""
RETRY_SECONDS = 0.3
"""Pause before a failed read at the start, or write, is repeated, before
jitter."""
MAX_WAIT_SECONDS = 5.0
"""Time for which calls are refused because the records have not been read,
once all else has been."""
KEY_BYTES = 16


@attrs.frozen(kw_only=True)
class Subject:
    """Request, by its digest, or part of the prompts of a model."""

    digest: str = ''
    model: str = ''
    part: str = ''

    def get_key(self) -> str:
        """Return the key of the subject's record."""
        if self.digest:
            return f'request-{self.digest}'
        text = f'{self.model}\0{self.part}'
        digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES)
        return f'part-{digest.hexdigest()}'


@attrs.frozen(kw_only=True)
class CrashRecord:
    """What the store keeps of a subject that crashes targets.

    A request has a number of `crashes`, a part has `crash_times`. All times
    are seconds of the store's clock: `blocked_at` is that of the last crash or
    trial, `called_at` that of a recent call. `row_version` is 0 if there is no
    row yet.
    """

    subject: Subject
    crashes: int = 0
    crash_times: abc.Mapping[crash_evidence.Incarnation, float] = attrs.field(
        factory=dict
    )
    trials: int = 0
    blocked_at: float = 0.0
    called_at: float = 0.0
    is_cleared: bool = False
    row_version: int = 0


@attrs.frozen
class CrashRecordsRead:
    """Records by subject, and the time of the store's clock in seconds.

    `findings` names malformed rows.
    """

    records: abc.Mapping[Subject, CrashRecord]
    store_seconds: float
    findings: tuple[str, ...] = ()


class Store(typing.Protocol):
    """Rows of the platform's store."""

    async def read_crash_records(
        self,
    ) -> result.Result[CrashRecordsRead, typing.Any]:
        """Return the records that any host has written."""

    async def write_crash_record(
        self, record: CrashRecord
    ) -> result.Result[None, typing.Any]:
        """Replace a record unless it has changed."""

    async def remove_crash_record(
        self, subject: Subject
    ) -> result.Result[None, typing.Any]:
        """Remove a record."""


class CrashRecords:
    """Records of what crashes targets, and the trials of such calls."""

    def __init__(
        self,
        requests: quarantine.Quarantine,
        parts: crash_evidence.CrashEvidence,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        store: Store,
    ) -> None:
        self._requests = requests
        self._parts = parts
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._store = store
        self._is_read = False
        self._waiting_since: float | None = None
        self._recorded: set[Subject] = set()
        self._pending: set[Subject] = set()
        self._survived: set[Subject] = set()
        self._not_before: dict[Subject, float] = {}
        self._wanted = runtime.create_signal()

    def has_synced(self) -> bool:
        """Return whether the records were read, or failed to be for long.

        The time counts from the first call, when all else has been read.
        """
        if self._is_read:
            return True
        now = self._runtime.now()
        if self._waiting_since is None:
            self._waiting_since = now
        return now - self._waiting_since > MAX_WAIT_SECONDS

    async def run(self) -> None:
        """Read the records, then write changes, forever."""
        while not await self.read():
            await self._pause()
        while True:
            await self._wanted.wait()
            self._wanted = self._runtime.create_signal()
            while not await self.write_changes():
                await self._pause()

    async def _pause(self) -> None:
        jitter = 0.5 + self._random.random()
        await self._runtime.sleep(RETRY_SECONDS * jitter)

    async def _fetch(self) -> CrashRecordsRead | None:
        read = await self._store.read_crash_records()
        if not returns_pipeline.is_successful(read):
            return None
        found: CrashRecordsRead = read.unwrap()
        for finding in found.findings:
            self._sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        return found

    async def read(self) -> bool:
        """Learn what crashes targets; return whether that succeeded."""
        found = await self._fetch()
        if found is None:
            return False
        self.apply(found)
        for subject, record in found.records.items():
            if _is_outdated(record, found.store_seconds):
                await self._store.remove_crash_record(subject)
        return True

    def apply(self, found: CrashRecordsRead) -> None:
        """Apply the records that were read at the start."""
        for record in found.records.values():
            if not (
                record.is_cleared or _is_outdated(record, found.store_seconds)
            ):
                self._merge(record, found.store_seconds)
        self._is_read = True

    def _merge(self, record: CrashRecord, store_seconds: float) -> None:
        """Apply a record as if a peer had reported it."""
        subject = record.subject
        self._recorded.add(subject)
        if subject.digest:
            left = record.blocked_at + quarantine.QUARANTINE_SECONDS
            self._requests.merge(
                quarantine.Suspect(
                    subject.digest,
                    record.crashes,
                    max(0.0, left - store_seconds),
                )
            )
            return
        ages = {
            incarnation: max(0.0, store_seconds - at)
            for incarnation, at in record.crash_times.items()
        }
        report = crash_evidence.PartReport(
            model=subject.model, name=subject.part, crash_ages=ages
        )
        self._parts.merge([report], self._runtime.now())

    def record(self, subject: Subject) -> None:
        """Write that a subject crashes targets."""
        self._recorded.add(subject)
        self._pending.add(subject)
        self._survived.discard(subject)
        self._wanted.set()

    def record_survival(self, subjects: abc.Iterable[Subject]) -> None:
        """Clear the records of subjects whose call a target has survived."""
        if not self._recorded:
            return
        survived = self._recorded.intersection(subjects)
        if survived:
            self._recorded -= survived
            self._pending -= survived
            self._survived |= survived
            self._wanted.set()

    async def write_changes(self) -> bool:
        """Write the changes; return whether none is left."""
        found = await self._fetch()
        if found is None:
            return False
        for subject in list(self._pending):
            if await self._write(self._create_record(subject, found)):
                self._pending.discard(subject)
        for subject in list(self._survived):
            record = found.records.get(subject)
            if record is None or await self._write(
                attrs.evolve(record, is_cleared=True, trials=0)
            ):
                self._survived.discard(subject)
        return not self._pending and not self._survived

    async def _write(self, record: CrashRecord) -> bool:
        written = await self._store.write_crash_record(record)
        return returns_pipeline.is_successful(written)

    def _create_record(
        self, subject: Subject, found: CrashRecordsRead
    ) -> CrashRecord:
        """Return a record of the evidence; its trials are kept."""
        now = found.store_seconds
        record = attrs.evolve(
            found.records.get(subject, CrashRecord(subject=subject)),
            blocked_at=now,
            called_at=now,
            is_cleared=False,
        )
        if subject.digest:
            return attrs.evolve(
                record, crashes=self._requests.count_crashes(subject.digest)
            )
        ages = self._parts.list_crash_ages(
            (subject.model, subject.part), self._runtime.now()
        )
        times = {incarnation: now - age for incarnation, age in ages.items()}
        return attrs.evolve(record, crash_times=times)

    async def begin_trial(self, subject: Subject) -> bool:
        """Return whether a call may be tried at one target now.

        At most one call of the fleet may, after each pause.
        """
        now = self._runtime.now()
        if now < self._not_before.get(subject, 0.0):
            return False
        self._not_before[subject] = now + FAILURE_PAUSE_SECONDS
        found = await self._fetch()
        if found is None:
            return False
        record = found.records.get(subject)
        if record is None:
            self.record(subject)
            return False
        if record.is_cleared:
            self._forget(subject)
            return True
        store_now = found.store_seconds
        seconds_left = float('inf')
        if record.trials < len(TRIAL_PAUSES_SECONDS):
            pause = TRIAL_PAUSES_SECONDS[record.trials]
            seconds_left = record.blocked_at + pause - store_now
        if seconds_left > 0:
            self._not_before[subject] = now + min(seconds_left, CHECK_SECONDS)
            if store_now - record.called_at > TOUCH_SECONDS:
                await self._write(attrs.evolve(record, called_at=store_now))
            return False
        trial = attrs.evolve(
            record,
            trials=record.trials + 1,
            blocked_at=store_now,
            called_at=store_now,
        )
        if not await self._write(trial):
            return False
        self._recorded.add(subject)
        self._sink.emit(
            events.Event.CRASH_TRIAL_BEGUN,
            record=subject.get_key(),
            trial=trial.trials,
        )
        return True

    def _forget(self, subject: Subject) -> None:
        """Drop the evidence, as another host has cleared the record."""
        self._recorded.discard(subject)
        self._not_before.pop(subject, None)
        if subject.digest:
            self._requests.record_completion(subject.digest)
        else:
            self._parts.clear(
                (subject.model, subject.part), self._runtime.now()
            )


def _is_outdated(record: CrashRecord, store_seconds: float) -> bool:
    return store_seconds - record.called_at > quarantine.KEEP_SECONDS
