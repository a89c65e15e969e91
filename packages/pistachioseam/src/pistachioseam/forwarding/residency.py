"""Model of which prompt parts are in which KV cache.

Load pattern: prompts share long nested prefixes that exceed one engine's
KV cache, and each part that is recomputed delays every other request. The
engines' own cache listings are late and expensive to read, so each cache is
modelled as an LRU cache from the calls that all hosts have sent.
"""

import collections
from collections import abc

import attrs

from pistachioseam.forwarding import prompts

BLOCK_TOKENS = 16
"""Block size of the engines' KV cache, as documented by the platform."""
MAX_PENDING_UPDATES = 64
"""Updates queued for the next message to peers; the oldest are dropped."""

PartKey = tuple[str, str]
"""Cache salt and name of a part."""


@attrs.frozen
class CacheUpdate:
    """Parts that a call adds to the cache of a target or cache store.

    `holder` is the target's name or the store's address, `ready_seconds` the
    time until the parts can be fetched from it. Peers receive an update as a
    `CacheSighting` message.
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
    """LRU model of one cache, with parts ordered least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens = 0
        self._parts: collections.OrderedDict[PartKey, _CachedPart] = (
            collections.OrderedDict()
        )

    def record_use(
        self, salt: str, parts: abc.Sequence[prompts.Part], ready_at: float
    ) -> None:
        """Mark parts as just used, adding missing ones and evicting if full.

        Leading parts become the most recently used ones, so that a prefix is
        evicted after the parts that depend on it.
        """
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
            _, evicted = self._parts.popitem(last=False)
            self._tokens -= evicted.tokens

    def count_prefix_tokens(
        self,
        salt: str,
        parts: abc.Sequence[prompts.Part],
        at: float = float('inf'),
    ) -> int:
        """Return the tokens of the longest prefix that is ready at a time."""
        tokens = 0
        for part in parts:
            cached = self._parts.get((salt, part.name))
            if cached is None or cached.ready_at > at:
                break
            tokens += part.tokens
        return tokens

    def count_parts(self) -> int:
        """Return the number of cached parts."""
        return len(self._parts)


class CacheModels:
    """Cache models of all targets, by name, and cache stores, by address."""

    def __init__(self) -> None:
        self._models: dict[str, CacheModel] = {}
        self._pending: collections.deque[CacheUpdate] = collections.deque(
            maxlen=MAX_PENDING_UPDATES
        )

    def record_use(
        self, update: CacheUpdate, capacity_tokens: int, now: float
    ) -> None:
        """Apply an update of this host and queue it for peers."""
        self.merge(update, capacity_tokens, now)
        self._pending.append(update)

    def merge(
        self, update: CacheUpdate, capacity_tokens: int, now: float
    ) -> None:
        """Apply an update of this host or a peer to the holder's model."""
        model = self._models.get(update.holder)
        if model is None:
            model = CacheModel(capacity_tokens)
            self._models[update.holder] = model
        model.capacity_tokens = capacity_tokens
        ready_at = now + update.ready_seconds
        model.record_use(update.salt, update.parts, ready_at)

    def count_prefix_tokens(
        self,
        holder: str,
        salt: str,
        parts: abc.Sequence[prompts.Part],
        at: float = float('inf'),
    ) -> int:
        """Return the tokens of the longest prefix that a holder has at a time.

        Without a time, parts that are still being prefilled or saved count.
        """
        model = self._models.get(holder)
        return model.count_prefix_tokens(salt, parts, at) if model else 0

    def forget(self, holder: str) -> None:
        """Drop a holder's model, as after a restart with an empty cache."""
        self._models.pop(holder, None)

    def take_updates(self) -> tuple[CacheUpdate, ...]:
        """Return and clear the updates that are queued for peers."""
        taken = tuple(self._pending)
        self._pending.clear()
        return taken

    def count_parts(self) -> int:
        """Return the number of cached parts in all models."""
        return sum(model.count_parts() for model in self._models.values())
