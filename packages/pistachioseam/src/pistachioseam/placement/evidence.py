"""Evidence that a target still caches a prefix.

Evidence comes from own sends, engines' reports, cache events and peers. It
fades with a lifetime that is learned per target, and is dropped whole when
the target shows a new incarnation.
"""

import collections
from collections import abc
import math

import attrs

FIRST_LIFETIME_SECONDS = 100.0
LEAST_LIFETIME_SECONDS = 0.5
GREATEST_LIFETIME_SECONDS = 120.0
LEARNING_RATE = 0.1
MAX_PREFIXES = 20_000


@attrs.define
class _TargetTrack:
    incarnation: str = ''
    generation: int = 0
    lifetime: float = FIRST_LIFETIME_SECONDS


@attrs.define
class _Sighting:
    """Last time (seconds) a prefix was used, and the track's generation."""

    seen_at: float
    generation: int


class Evidence:
    """Bounded index from prefix hash to the targets that may cache it."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._tracks: dict[str, _TargetTrack] = {}
        self._sightings: collections.OrderedDict[int, dict[str, _Sighting]] = (
            collections.OrderedDict()
        )

    def _track(self, target: str) -> _TargetTrack:
        track = self._tracks.get(target)
        if track is None:
            track = self._tracks[target] = _TargetTrack()
        return track

    def count_prefixes(self) -> int:
        """Return the number of prefixes tracked."""
        return len(self._sightings)

    def get_lifetime(self, target: str) -> float:
        """Return the learned lifetime of cached pieces in seconds."""
        return self._track(target).lifetime

    def note_incarnation(self, target: str, incarnation: str) -> bool:
        """Drop all evidence if the incarnation is new; return whether."""
        track = self._track(target)
        if track.incarnation == incarnation:
            return False
        is_restart = bool(track.incarnation)
        track.incarnation = incarnation
        if is_restart:
            self.drop_target(target)
        return is_restart

    def drop_target(self, target: str) -> None:
        """Drop all evidence about a target."""
        self._track(target).generation += 1

    def note_seen(
        self, target: str, chain: abc.Sequence[int], now: float
    ) -> None:
        """Note that the target has just used or computed the whole chain."""
        generation = self._track(target).generation
        sightings = self._sightings
        for prefix in chain:
            by_target = sightings.get(prefix)
            if by_target is None:
                by_target = sightings[prefix] = {}
            else:
                sightings.move_to_end(prefix)
            by_target[target] = _Sighting(now, generation)
        while len(sightings) > self._max_prefixes:
            sightings.popitem(last=False)

    def note_evicted(self, target: str, prefix: int) -> None:
        """Note a cache event that tells of an eviction."""
        by_target = self._sightings.get(prefix)
        if by_target is not None:
            by_target.pop(target, None)

    def list_holders(self, chain: abc.Sequence[int]) -> abc.Iterable[str]:
        """Return the targets with evidence for any level of the chain."""
        holders: set[str] = set()
        for prefix in chain:
            by_target = self._sightings.get(prefix)
            if not by_target:
                break
            holders.update(by_target)
        return holders

    def estimate_cached(
        self, target: str, chain: abc.Sequence[int], now: float
    ) -> float:
        """Return the expected number of leading pieces in the cache."""
        track = self._track(target)
        expected = 0.0
        for prefix in chain:
            by_target = self._sightings.get(prefix)
            sighting = by_target.get(target) if by_target else None
            if sighting is None or sighting.generation != track.generation:
                break
            age = max(0.0, now - sighting.seen_at)
            expected += math.exp(-((age / track.lifetime) ** 2))
        return expected

    def note_outcome(
        self,
        target: str,
        chain: abc.Sequence[int],
        cached_pieces: int,
        now: float,
    ) -> None:
        """Learn the lifetime from a reported number of cached pieces."""
        track = self._track(target)
        for level, prefix in enumerate(chain):
            by_target = self._sightings.get(prefix)
            sighting = by_target.get(target) if by_target else None
            if sighting is None or sighting.generation != track.generation:
                break
            age = now - sighting.seen_at
            self._learn(track, age, is_hit=level < cached_pieces)

    def _learn(self, track: _TargetTrack, age: float, *, is_hit: bool) -> None:
        if is_hit and age > track.lifetime / 2:
            goal = 2 * age
        elif not is_hit and age < track.lifetime:
            goal = age
        else:
            return
        learned = track.lifetime + LEARNING_RATE * (goal - track.lifetime)
        track.lifetime = min(
            max(learned, LEAST_LIFETIME_SECONDS), GREATEST_LIFETIME_SECONDS
        )
