"""Where parts of prompts are cached, as this host and its peers have seen.

Load pattern: prompts share long nested parts that exceed one engine's
memory; each part that is read twice takes time from every other request. The
engines' own lists come late and are dear, so their caches are modelled from
the calls that were sent to them: the least recently used parts yield.
"""

import collections
from collections import abc

import attrs

from pistachioseam.forwarding import prompts

BLOCK_TOKENS = 16
"""Engines give out memory in blocks; users' sheets."""
KEPT_SIGHTINGS = 64
"""Sightings that wait for the next message to peers; later ones replace."""

PartKey = tuple[str, str]
"""Salt and name of a part."""


@attrs.frozen
class Sighting:
    """Parts that a call brings into a target's or store's cache.

    `ready_seconds` is the time until they can be fetched from there.
    """

    holder: str
    salt: str
    parts: tuple[prompts.Part, ...]
    ready_seconds: float = 0.0


@attrs.define
class _CachedPart:
    tokens: int
    ready_at: float


class CacheModel:
    """Parts in one cache, least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens = 0
        self._parts: collections.OrderedDict[PartKey, _CachedPart] = (
            collections.OrderedDict()
        )

    def note_use(
        self, salt: str, parts: abc.Sequence[prompts.Part], ready_at: float
    ) -> None:
        """Move parts to the end; the first of a chain yields last."""
        for part in reversed(parts):
            key = (salt, part.name)
            cached = self._parts.pop(key, None)
            if cached is None:
                tokens = -(-part.tokens // BLOCK_TOKENS) * BLOCK_TOKENS
                cached = _CachedPart(tokens, ready_at)
                self._tokens += tokens
            cached.ready_at = min(cached.ready_at, ready_at)
            self._parts[key] = cached
        while self._tokens > self.capacity_tokens and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped.tokens

    def count_leading(
        self,
        salt: str,
        parts: abc.Sequence[prompts.Part],
        at: float = float('inf'),
    ) -> int:
        """Return the tokens of the leading parts that are there at a time."""
        tokens = 0
        for part in parts:
            cached = self._parts.get((salt, part.name))
            if cached is None or cached.ready_at > at:
                break
            tokens += part.tokens
        return tokens

    def count_parts(self) -> int:
        """Return the number of parts."""
        return len(self._parts)


class ResidencyMap:
    """Models of the caches of all targets and stores by name."""

    def __init__(self) -> None:
        self._caches: dict[str, CacheModel] = {}
        self._sightings: collections.deque[Sighting] = collections.deque(
            maxlen=KEPT_SIGHTINGS
        )

    def note_use(
        self, sighting: Sighting, capacity_tokens: int, now: float
    ) -> None:
        """Note what a call of this host brings into a cache."""
        self.merge(sighting, capacity_tokens, now)
        self._sightings.append(sighting)

    def merge(
        self, sighting: Sighting, capacity_tokens: int, now: float
    ) -> None:
        """Take in what this host or a peer has seen."""
        cache = self._caches.get(sighting.holder)
        if cache is None:
            cache = CacheModel(capacity_tokens)
            self._caches[sighting.holder] = cache
        cache.capacity_tokens = capacity_tokens
        ready_at = now + sighting.ready_seconds
        cache.note_use(sighting.salt, sighting.parts, ready_at)

    def count_leading(
        self,
        holder: str,
        salt: str,
        parts: abc.Sequence[prompts.Part],
        at: float = float('inf'),
    ) -> int:
        """Return the tokens of the leading parts a holder has at a time.

        Without a time, parts that are still being read count too.
        """
        cache = self._caches.get(holder)
        return cache.count_leading(salt, parts, at) if cache else 0

    def forget(self, holder: str) -> None:
        """Drop what a target or store held, as after a restart."""
        self._caches.pop(holder, None)

    def take_sightings(self) -> tuple[Sighting, ...]:
        """Return what peers have not been told yet."""
        taken = tuple(self._sightings)
        self._sightings.clear()
        return taken

    def count_parts(self) -> int:
        """Return the number of parts in all models."""
        return sum(cache.count_parts() for cache in self._caches.values())
