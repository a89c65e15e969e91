"""Index of which targets probably have a prompt prefix in their KV cache.

Entries come from this host's requests and peers' digests. The probability that
a target still has a prefix falls with the time since its last use there. How
fast it falls is given by a cache lifetime, learned for each target from the
cache hits that it reports. All entries of a target are dropped when it
restarts, and when a call to it fails with a broken connection or an error or
invalid response.
"""

import collections
from collections import abc
import math

import attrs

INITIAL_LIFETIME_SECONDS = 100.0
MIN_LIFETIME_SECONDS = 0.5
MAX_LIFETIME_SECONDS = 120.0
LEARNING_RATE = 0.1
MAX_PREFIXES = 20_000


@attrs.define
class _TargetState:
    """Last known incarnation and learned cache lifetime (seconds) of a target.

    Uses recorded in an earlier generation are invalid.
    """

    incarnation: str = ''
    generation: int = 0
    lifetime: float = INITIAL_LIFETIME_SECONDS


@attrs.define
class _LastUse:
    """Time (seconds) of a prefix's last use, and its target's generation."""

    used_at: float
    generation: int


class PrefixIndex:
    """LRU index from prefix hash to the targets that may have it cached."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._states: dict[str, _TargetState] = {}
        self._last_uses: collections.OrderedDict[int, dict[str, _LastUse]] = (
            collections.OrderedDict()
        )

    def _get_state(self, target: str) -> _TargetState:
        state = self._states.get(target)
        if state is None:
            state = self._states[target] = _TargetState()
        return state

    def count_prefixes(self) -> int:
        """Return the number of prefixes tracked."""
        return len(self._last_uses)

    def get_lifetime(self, target: str) -> float:
        """Return the learned lifetime of cached pieces in seconds."""
        return self._get_state(target).lifetime

    def record_incarnation(self, target: str, incarnation: str) -> bool:
        """Drop a restarted target's entries; return whether it restarted."""
        state = self._get_state(target)
        if state.incarnation == incarnation:
            return False
        is_restart = bool(state.incarnation)
        state.incarnation = incarnation
        if is_restart:
            self.drop_target(target)
        return is_restart

    def drop_target(self, target: str) -> None:
        """Invalidate all entries of a target."""
        self._get_state(target).generation += 1

    def record_use(
        self, target: str, chain: abc.Sequence[int], now: float
    ) -> None:
        """Record that the target has just used or prefilled the chain."""
        generation = self._get_state(target).generation
        last_uses = self._last_uses
        for prefix in chain:
            by_target = last_uses.get(prefix)
            if by_target is None:
                by_target = last_uses[prefix] = {}
            else:
                last_uses.move_to_end(prefix)
            by_target[target] = _LastUse(now, generation)
        while len(last_uses) > self._max_prefixes:
            last_uses.popitem(last=False)

    def record_eviction(self, target: str, prefix: int) -> None:
        """Remove a prefix that the target reports as evicted."""
        by_target = self._last_uses.get(prefix)
        if by_target is not None:
            by_target.pop(target, None)

    def list_holders(self, chain: abc.Sequence[int]) -> abc.Iterable[str]:
        """Return the targets with entries for the chain, even invalid ones."""
        holders: set[str] = set()
        for prefix in chain:
            by_target = self._last_uses.get(prefix)
            if not by_target:
                break
            holders.update(by_target)
        return holders

    def estimate_cached(
        self, target: str, chain: abc.Sequence[int], now: float
    ) -> float:
        """Return the expected number of leading pieces in the cache.

        It is the sum of the probabilities that each piece is still cached.
        """
        state = self._get_state(target)
        expected = 0.0
        for prefix in chain:
            by_target = self._last_uses.get(prefix)
            last_use = by_target.get(target) if by_target else None
            if last_use is None or last_use.generation != state.generation:
                break
            age = max(0.0, now - last_use.used_at)
            expected += math.exp(-((age / state.lifetime) ** 2))
        return expected

    def learn_lifetime(
        self,
        target: str,
        chain: abc.Sequence[int],
        cached_pieces: int,
        now: float,
    ) -> None:
        """Adjust the lifetime by the number of pieces that were cache hits."""
        state = self._get_state(target)
        for level, prefix in enumerate(chain):
            by_target = self._last_uses.get(prefix)
            last_use = by_target.get(target) if by_target else None
            if last_use is None or last_use.generation != state.generation:
                break
            age = now - last_use.used_at
            self._adjust_lifetime(state, age, is_hit=level < cached_pieces)

    def _adjust_lifetime(
        self, state: _TargetState, age: float, *, is_hit: bool
    ) -> None:
        """Move the lifetime towards an estimate from one hit or miss.

        A hit soon after the last use, or a miss long after it, is expected
        and changes nothing.
        """
        if is_hit and age > state.lifetime / 2:
            estimate = 2 * age
        elif not is_hit and age < state.lifetime:
            estimate = age
        else:
            return
        learned = state.lifetime + LEARNING_RATE * (estimate - state.lifetime)
        state.lifetime = min(
            max(learned, MIN_LIFETIME_SECONDS), MAX_LIFETIME_SECONDS
        )
