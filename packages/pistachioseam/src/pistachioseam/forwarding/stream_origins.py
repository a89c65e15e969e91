"""Software versions that began streams, so that callers can resume them.

Load pattern: targets of several software versions serve side by side, and what
two versions write does not fit together. A caller that resumes a stream names
the request that began it, mostly at another host than the one that served it,
which may have ended. So hosts tell each other which streams they have begun.
"""

import collections
from collections import abc
import hashlib

import attrs

MEMORY_SECONDS = 30.0
"""Time for which the origin of a stream is remembered; callers give up
sooner."""
MAX_STREAMS = 20_000
"""Streams that are remembered; the oldest are dropped."""
MAX_UPDATES = 1_000
"""Streams begun here that wait to be told to peers; the oldest are dropped."""
KEY_BYTES = 8


@attrs.frozen
class StreamOrigin:
    """Service and version of the software that wrote a stream's events."""

    service: str
    software_version: str


@attrs.frozen
class _Record:
    origin: StreamOrigin
    recorded_at: float


def compute_key(account: str, request_id: str) -> int:
    """Return the key of the stream that an account's request began."""
    digest = hashlib.blake2b(
        f'{account}\0{request_id}'.encode(), digest_size=KEY_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


class StreamOrigins:
    """Origins of recent streams by key; times are monotonic seconds.

    `added_count` counts the streams that were recorded or merged.
    """

    def __init__(self) -> None:
        self.added_count = 0
        self._records: dict[int, _Record] = {}
        self._updates: collections.deque[tuple[int, StreamOrigin]] = (
            collections.deque(maxlen=MAX_UPDATES)
        )
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after a stream has begun at this host."""
        self._listeners.append(listener)

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record a stream that begins, or goes on, at this host."""
        self._add(key, origin, now)
        self._updates.append((key, origin))
        for listener in self._listeners:
            listener()

    def merge(
        self, keys: abc.Iterable[int], origin: StreamOrigin, now: float
    ) -> None:
        """Record streams that have begun at a peer."""
        for key in keys:
            self._add(key, origin, now)

    def _add(self, key: int, origin: StreamOrigin, now: float) -> None:
        self._records.pop(key, None)
        self._records[key] = _Record(origin, now)
        self.added_count += 1
        while self._records:
            oldest = next(iter(self._records))
            expires_at = self._records[oldest].recorded_at + MEMORY_SECONDS
            if expires_at > now and len(self._records) <= MAX_STREAMS:
                return
            del self._records[oldest]

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        record = self._records.get(key)
        if record is None or now - record.recorded_at >= MEMORY_SECONDS:
            return None
        return record.origin

    def take_updates(self) -> dict[StreamOrigin, list[int]]:
        """Return the keys of streams that peers do not know yet."""
        updates = group_by_origin(self._updates)
        self._updates.clear()
        return updates

    def list_recent(
        self, now: float, max_age_seconds: float, limit: int
    ) -> dict[StreamOrigin, list[int]]:
        """Return the keys of the newest streams, up to an age and a number."""
        newest = list(self._records.items())[-limit:]
        return group_by_origin(
            (key, record.origin)
            for key, record in newest
            if now - record.recorded_at <= max_age_seconds
        )


def group_by_origin(
    streams: abc.Iterable[tuple[int, StreamOrigin]],
) -> dict[StreamOrigin, list[int]]:
    """Return the keys of streams by their origin."""
    keys: dict[StreamOrigin, list[int]] = {}
    for key, origin in streams:
        keys.setdefault(origin, []).append(key)
    return keys
