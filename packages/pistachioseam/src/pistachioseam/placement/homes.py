"""Home order of prefixes by rendezvous hashing; needs no state."""

import collections
from collections import abc
import hashlib

SCORE_MASK = (1 << 64) - 1
MIXER = 0x9E3779B97F4A7C15
CACHED_ORDERS = 4096


def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big') | 1


class HomeOrder:
    """Rendezvous order over target names, with the latest orders cached."""

    def __init__(self) -> None:
        self._seeds: dict[str, int] = {}
        self._orders: collections.OrderedDict[
            tuple[int, int], tuple[str, ...]
        ] = collections.OrderedDict()

    def rank(
        self, prefix: int, names: abc.Sequence[str], limit: int
    ) -> tuple[str, ...]:
        """Return the first `limit` homes of a prefix, best first."""
        key = (prefix, hash(tuple(names)))
        order = self._orders.get(key)
        if order is not None and len(order) >= min(limit, len(names)):
            self._orders.move_to_end(key)
            return order[:limit]
        order = self._compute(prefix, names, limit)
        self._orders[key] = order
        if len(self._orders) > CACHED_ORDERS:
            self._orders.popitem(last=False)
        return order

    def _compute(
        self, prefix: int, names: abc.Sequence[str], limit: int
    ) -> tuple[str, ...]:
        seeds = self._seeds
        scored = []
        for name in names:
            seed = seeds.get(name)
            if seed is None:
                seed = seeds[name] = _hash_name(name)
            mixed = ((prefix ^ seed) * MIXER) & SCORE_MASK
            mixed ^= mixed >> 29
            scored.append(((mixed * seed) & SCORE_MASK, name))
        scored.sort(reverse=True)
        return tuple(name for _, name in scored[:limit])
