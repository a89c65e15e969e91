"""Quarantine of requests that crash the targets that run them.

A crash of a target makes every request in flight there a suspect. A suspect
is retried only on a target with no other suspect, so that the next crash
identifies the request that causes it.
"""

from collections import abc
import hashlib

import attrs

from pistachioseam import interfaces

CRASHES_TO_QUARANTINE = 2
QUARANTINE_SECONDS = 120.0
SUSPICION_SECONDS = 60.0
KEEP_SECONDS = 86_400.0
"""Time without a call after which a request that was quarantined is forgotten.
Until then a single further crash quarantines it again."""
SAME_CRASH_SECONDS = 1.0
"""Time in which all calls that were in flight at a crash have broken off. A
later one shows another crash of a target whose restart is not known yet."""
DIGEST_BYTES = 16

Incarnation = tuple[str, int]
"""Name and start time of a target."""


@attrs.define
class _CrashRecord:
    crashes: int
    expires_at: float
    changed_at: float
    called_at: float
    crashed_at: dict[Incarnation, float] = attrs.field(factory=dict)


@attrs.frozen
class Suspect:
    """Request during which targets crashed, as exchanged with peers.

    `targets` are those whose incarnations are known.
    """

    digest: str
    crashes: int
    seconds_left: float
    targets: frozenset[Incarnation] = frozenset()


def digest_request(
    account: str, path: str, idempotency_key: str, body: bytes
) -> str:
    """Return the digest that identifies equal requests of an account."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), path.encode(), idempotency_key.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Crash counts of suspected and quarantined requests, by digest."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        crashes_to_quarantine: int = CRASHES_TO_QUARANTINE,
    ) -> None:
        self._runtime = runtime
        self._crash_threshold = crashes_to_quarantine
        self._records: dict[str, _CrashRecord] = {}
        self._running_suspects: dict[str, str] = {}
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each crash that this host observes."""
        self._listeners.append(listener)

    def is_suspect(self, digest: str) -> bool:
        """Return whether the request was in flight at a recent crash."""
        return self._get(digest) is not None

    def is_quarantined(self, digest: str) -> bool:
        """Return whether the request has reached the crash threshold."""
        record = self._get(digest)
        if record is None:
            return False
        return record.crashes >= self._crash_threshold

    def is_blocked(self, digest: str) -> bool:
        """Return whether a request was quarantined and has not been cleared.

        Each call keeps it so.
        """
        record = self._records.get(digest)
        if record is None or record.crashes < self._crash_threshold:
            return False
        record.called_at = self._runtime.now()
        return True

    def count_crashes(self, digest: str) -> int:
        """Return the number of crashes that are known."""
        record = self._records.get(digest)
        return 0 if record is None else record.crashes

    def get_retry_seconds(self, digest: str) -> float:
        """Return the seconds until the quarantine of the request ends."""
        record = self._records[digest]
        return max(0.0, record.expires_at - self._runtime.now())

    def has_other_suspect(self, target: str, digest: str) -> bool:
        """Return whether another suspect runs on the target."""
        other = self._running_suspects.get(target)
        return other is not None and other != digest

    def has_target_for(self, targets: abc.Iterable[str], digest: str) -> bool:
        """Return whether any of the targets runs no other suspect."""
        return any(not self.has_other_suspect(t, digest) for t in targets)

    def record_start(self, target: str, digest: str) -> None:
        """Record the target on which a request runs, if it is a suspect."""
        if self.is_suspect(digest):
            self._running_suspects[target] = digest

    def release_target(self, target: str, digest: str) -> None:
        """Let other suspects use a target again.

        The request has ended there, or its prefill is done.
        """
        if self._running_suspects.get(target) == digest:
            del self._running_suspects[target]

    def record_crash(
        self, digest: str, target: Incarnation | None = None
    ) -> bool:
        """Count a crash of a target that ran a request.

        Several calls with the request may have been in flight at the same
        crash. Return whether the request is quarantined.
        """
        now = self._runtime.now()
        self._expire(now)
        record = self._records.setdefault(
            digest, _CrashRecord(0, now, now, now)
        )
        crashed_at = float('-inf')
        if target is not None:
            crashed_at = record.crashed_at.setdefault(target, crashed_at)
        if now - crashed_at > SAME_CRASH_SECONDS:
            record.crashes += 1
            if target is not None:
                record.crashed_at[target] = now
        is_quarantined = record.crashes >= self._crash_threshold
        seconds = QUARANTINE_SECONDS if is_quarantined else SUSPICION_SECONDS
        record.expires_at = now + seconds
        record.changed_at = record.called_at = now
        for listener in self._listeners:
            listener()
        return is_quarantined

    def merge(self, suspect: Suspect) -> None:
        """Merge the crashes of a peer; the highest count wins."""
        now = self._runtime.now()
        self._expire(now)
        expires_at = now + min(suspect.seconds_left, QUARANTINE_SECONDS)
        own = self._records.get(suspect.digest)
        if own is None:
            own = _CrashRecord(0, expires_at, now, now)
            self._records[suspect.digest] = own
        for target in suspect.targets:
            own.crashed_at.setdefault(target, now)
        crashes = max(own.crashes, suspect.crashes, len(own.crashed_at))
        if crashes > own.crashes or own.expires_at <= now:
            own.crashes = crashes
            own.changed_at = now
            own.expires_at = max(own.expires_at, expires_at)

    def list_suspects(
        self, within_seconds: float = float('inf')
    ) -> tuple[Suspect, ...]:
        """Return the suspects whose record changed within `within_seconds`."""
        now = self._runtime.now()
        return tuple(
            Suspect(
                digest,
                record.crashes,
                record.expires_at - now,
                frozenset(record.crashed_at),
            )
            for digest, record in self._records.items()
            if record.expires_at > now
            and now - record.changed_at < within_seconds
        )

    def record_completion(self, digest: str) -> None:
        """Clear the crash count of a request that has completed."""
        self._records.pop(digest, None)

    def list_quarantined(self) -> tuple[str, ...]:
        """Return the sorted digests of quarantined requests."""
        return tuple(
            sorted(d for d in self._records if self.is_quarantined(d))
        )

    def _get(self, digest: str) -> _CrashRecord | None:
        record = self._records.get(digest)
        if record is None or record.expires_at <= self._runtime.now():
            return None
        return record

    def _expire(self, now: float) -> None:
        """Drop suspects whose time is over; keep those once quarantined."""
        for digest, record in list(self._records.items()):
            end = record.expires_at
            if record.crashes >= self._crash_threshold:
                end = max(end, record.called_at + KEEP_SECONDS)
            if end <= now:
                del self._records[digest]
