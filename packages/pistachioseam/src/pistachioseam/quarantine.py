"""Quarantine of requests that crash the targets that run them.

Every crash of a target makes what was in flight there a suspect. A suspect
runs again only on a target with no other suspect, so the next crash tells.
"""

from collections import abc
import hashlib

import attrs

from pistachioseam import interfaces

CRASHES_TO_QUARANTINE = 2
QUARANTINE_SECONDS = 120.0
SUSPICION_SECONDS = 60.0
DIGEST_BYTES = 16


@attrs.define
class _Record:
    crashes: int
    expires_at: float
    changed_at: float


@attrs.frozen
class Suspect:
    """Crashes that a request was in flight at, for peers."""

    digest: str
    crashes: int
    seconds_left: float


def digest_request(
    account: str, path: str, idempotency_key: str, body: bytes
) -> str:
    """Return the identity under which a request is suspected."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), path.encode(), idempotency_key.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Suspected and quarantined requests by digest."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        crashes_to_quarantine: int = CRASHES_TO_QUARANTINE,
    ) -> None:
        self._runtime = runtime
        self._limit = crashes_to_quarantine
        self._records: dict[str, _Record] = {}
        self._suspects: dict[str, str] = {}
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each crash that this host has seen."""
        self._listeners.append(listener)

    def is_suspect(self, digest: str) -> bool:
        """Tell whether the request was in flight at a crash."""
        return self._get(digest) is not None

    def is_quarantined(self, digest: str) -> bool:
        """Tell whether the request is to be refused."""
        record = self._get(digest)
        if record is None:
            return False
        return record.crashes >= self._limit

    def get_retry_seconds(self, digest: str) -> float:
        """Return the seconds until the request may be tried again."""
        record = self._records[digest]
        return max(0.0, record.expires_at - self._runtime.now())

    def has_suspect(self, target: str, digest: str) -> bool:
        """Tell whether another suspect runs on the target."""
        other = self._suspects.get(target)
        return other is not None and other != digest

    def has_room(self, targets: abc.Iterable[str], digest: str) -> bool:
        """Tell whether any target runs no other suspect."""
        return any(not self.has_suspect(t, digest) for t in targets)

    def note_start(self, target: str, digest: str) -> None:
        """Note that a suspect now runs on a target."""
        if self.is_suspect(digest):
            self._suspects[target] = digest

    def note_end(self, target: str, digest: str) -> None:
        """Note that a request has left a target, whatever became of it."""
        if self._suspects.get(target) == digest:
            del self._suspects[target]

    def note_crash(self, digest: str) -> bool:
        """Count a crash against a request; return if it is quarantined."""
        now = self._runtime.now()
        self._expire(now)
        record = self._records.get(digest)
        crashes = record.crashes + 1 if record else 1
        is_over = crashes >= self._limit
        seconds = QUARANTINE_SECONDS if is_over else SUSPICION_SECONDS
        self._records[digest] = _Record(crashes, now + seconds, now)
        for listener in self._listeners:
            listener()
        return is_over

    def merge(self, suspect: Suspect) -> None:
        """Take in what a peer has seen of a request."""
        now = self._runtime.now()
        own = self._records.get(suspect.digest)
        expires_at = now + min(suspect.seconds_left, QUARANTINE_SECONDS)
        if own is None or own.expires_at <= now:
            record = _Record(suspect.crashes, expires_at, now)
            self._records[suspect.digest] = record
        elif suspect.crashes > own.crashes:
            own.crashes = suspect.crashes
            own.changed_at = now
            own.expires_at = max(own.expires_at, expires_at)

    def list_suspects(
        self, within_seconds: float = float('inf')
    ) -> tuple[Suspect, ...]:
        """Return what peers should know, or what of it is new."""
        now = self._runtime.now()
        return tuple(
            Suspect(digest, record.crashes, record.expires_at - now)
            for digest, record in self._records.items()
            if record.expires_at > now
            and now - record.changed_at < within_seconds
        )

    def note_completion(self, digest: str) -> None:
        """Clear a request that ran to its end."""
        self._records.pop(digest, None)

    def list_quarantined(self) -> tuple[str, ...]:
        """Return the digests of quarantined requests."""
        return tuple(
            sorted(d for d in self._records if self.is_quarantined(d))
        )

    def _get(self, digest: str) -> _Record | None:
        record = self._records.get(digest)
        if record is None or record.expires_at <= self._runtime.now():
            return None
        return record

    def _expire(self, now: float) -> None:
        ended = [d for d, r in self._records.items() if r.expires_at <= now]
        for digest in ended:
            del self._records[digest]
