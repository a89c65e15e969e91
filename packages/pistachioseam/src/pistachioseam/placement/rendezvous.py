"""Ranking of names for a key by rendezvous hashing.

All hosts compute the same ranking without shared state. It is used to rank
targets for a prompt prefix, and hosts as pollers.
"""

import collections
from collections import abc
import hashlib

UINT64_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
"""2**64 divided by the golden ratio, as in Fibonacci hashing."""
MAX_CACHED_RANKINGS = 4096


def _hash_name(name: str) -> int:
    """Return an odd 64-bit hash.

    Multiplication by an odd number loses no bits modulo 2**64.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big') | 1


class RendezvousHash:
    """Rendezvous hashing with an LRU cache of rankings."""

    def __init__(self) -> None:
        self._seeds: dict[str, int] = {}
        self._rankings: collections.OrderedDict[
            tuple[int, int], tuple[str, ...]
        ] = collections.OrderedDict()

    def rank(
        self, key: int, names: abc.Sequence[str], limit: int
    ) -> tuple[str, ...]:
        """Return up to `limit` names, those with the highest scores first."""
        cache_key = (key, hash(tuple(names)))
        ranking = self._rankings.get(cache_key)
        if ranking is not None and len(ranking) >= min(limit, len(names)):
            self._rankings.move_to_end(cache_key)
            return ranking[:limit]
        ranking = self._compute_ranking(key, names, limit)
        self._rankings[cache_key] = ranking
        if len(self._rankings) > MAX_CACHED_RANKINGS:
            self._rankings.popitem(last=False)
        return ranking

    def _compute_ranking(
        self, key: int, names: abc.Sequence[str], limit: int
    ) -> tuple[str, ...]:
        seeds = self._seeds
        scored = []
        for name in names:
            seed = seeds.get(name)
            if seed is None:
                seed = seeds[name] = _hash_name(name)
            mixed = ((key ^ seed) * HASH_MULTIPLIER) & UINT64_MASK
            mixed ^= mixed >> 29
            scored.append(((mixed * seed) & UINT64_MASK, name))
        scored.sort(reverse=True)
        return tuple(name for _, name in scored[:limit])
