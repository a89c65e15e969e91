"""Choice of a target for a request by cached prefixes and load."""

from collections import abc

import attrs

from pistachioseam import interfaces
from pistachioseam.placement import loads
from pistachioseam.placement import policies
from pistachioseam.placement import prefix_index
from pistachioseam.placement import rendezvous

MAX_TARGETS_WITHOUT_SELECTION = 16
"""Number of eligible targets up to which all are candidates.

It also limits the random sample for a prompt shorter than a piece.
"""
RANKED_TARGETS = 4
"""Number of candidates taken first from the rendezvous ranking.

Used if more than `MAX_TARGETS_WITHOUT_SELECTION` targets are eligible.
"""
SAMPLED_TARGETS = 4
"""Number of candidates drawn at random in addition.

Used if more than `MAX_TARGETS_WITHOUT_SELECTION` targets are eligible.
"""
MAX_DIGEST_USES = 2000
"""Maximum number of prefix uses in a digest; the oldest are dropped."""


@attrs.frozen(kw_only=True)
class Settings:
    """Placement settings, the same for all targets.

    `piece_bytes` is the prompt size of one cached piece and
    `prefill_seconds_per_piece` the time an engine needs to compute it.
    """

    policy: str = attrs.field(default='cost')
    piece_bytes: int = 8000
    prefill_seconds_per_piece: float = 0.1
    weights: policies.Weights = attrs.field(factory=policies.Weights)

    @policy.validator
    def _check_policy(self, _: object, value: str) -> None:
        if value not in policies.REGISTRY:
            known = ', '.join(sorted(policies.REGISTRY))
            raise ValueError(
                f'unknown placement policy; must be one of {known}'
            )


@attrs.frozen(kw_only=True)
class Query:
    """Prompt to place: its chain of prefix hashes, and its size in pieces.

    The size is fractional; the chain covers whole pieces only.
    """

    chain: tuple[int, ...]
    pieces: float


@attrs.frozen(kw_only=True)
class EligibleTarget:
    """Target that may run the request, with its one-way latency in seconds."""

    name: str
    latency: float = 0.0


@attrs.frozen(kw_only=True)
class Decision:
    """Chosen target and the candidates it was compared with.

    `work` is the expected prefill in seconds, `expected_wait` the seconds
    until it starts, and `expected_cached` the expected number of cached
    pieces.
    """

    target: str
    query: Query
    work: float
    expected_wait: float
    expected_cached: float
    candidates: tuple[policies.Candidate, ...]


@attrs.frozen
class PrefixUse:
    """Request sent to a target, whose cache then holds the chain's pieces.

    Peers receive it as a `Sighting` message.
    """

    target: str
    chain: tuple[int, ...]


@attrs.frozen
class Digest:
    """Placement state that a host sends its peers several times a second.

    `prefix_uses` are new since the last digest; `shares` are complete. Peers
    receive both in a `Gossip` message.
    """

    prefix_uses: tuple[PrefixUse, ...]
    shares: tuple[loads.Share, ...]


class Placer:
    """Chooses targets and tracks their caches and loads for one host.

    All times are seconds of one clock.
    """

    def __init__(
        self, settings: Settings, random: interfaces.RandomSource
    ) -> None:
        self.settings = settings
        self.prefix_index = prefix_index.PrefixIndex()
        self.loads = loads.LoadTracker()
        self._rendezvous = rendezvous.RendezvousHash()
        self._random = random
        self._prefix_uses: list[PrefixUse] = []

    def place(
        self, query: Query, eligible: abc.Sequence[EligibleTarget], now: float
    ) -> Decision | None:
        """Return the policy's choice, or None if no target is eligible."""
        if not eligible:
            return None
        candidates = self._list_candidates(query, eligible, now)
        policy = policies.REGISTRY[self.settings.policy]
        chosen = policy(candidates, self.settings.weights, self._random)
        return Decision(
            target=chosen.name,
            query=query,
            work=chosen.missing * chosen.prefill,
            expected_wait=chosen.wait,
            expected_cached=chosen.cached,
            candidates=tuple(candidates),
        )

    def _list_candidates(
        self, query: Query, eligible: abc.Sequence[EligibleTarget], now: float
    ) -> list[policies.Candidate]:
        """Return the candidates; a candidate's rank is its position.

        Few targets are all candidates, in order of rendezvous hashing. Of
        many, the candidates are the first ones by rendezvous hashing, then
        those that may have the prefix cached, then a random sample. A prompt
        shorter than a piece gets a random sample only.
        """
        names = tuple(target.name for target in eligible)
        latencies = {target.name: target.latency for target in eligible}
        first_prefix = query.chain[0] if query.chain else None
        chosen: list[str]
        if first_prefix is None:
            chosen = self._sample(names, MAX_TARGETS_WITHOUT_SELECTION)
        elif len(names) <= MAX_TARGETS_WITHOUT_SELECTION:
            chosen = list(
                self._rendezvous.rank(first_prefix, names, len(names))
            )
        else:
            chosen = list(
                self._rendezvous.rank(first_prefix, names, RANKED_TARGETS)
            )
            holders = self.prefix_index.list_holders(query.chain)
            chosen.extend(n for n in holders if n in latencies)
            chosen.extend(self._sample(names, SAMPLED_TARGETS))
            chosen = list(dict.fromkeys(chosen))
        return [
            self._create_candidate(query, name, rank, latencies[name], now)
            for rank, name in enumerate(chosen)
        ]

    def _sample(self, names: abc.Sequence[str], limit: int) -> list[str]:
        if len(names) <= limit:
            return list(names)
        indexes = (
            int(self._random.random() * len(names)) for _ in range(limit)
        )
        return list(dict.fromkeys(names[index] for index in indexes))

    def _create_candidate(
        self, query: Query, name: str, rank: int, latency: float, now: float
    ) -> policies.Candidate:
        cached = self.prefix_index.estimate_cached(name, query.chain, now)
        return policies.Candidate(
            name=name,
            rank=rank,
            wait=self.loads.estimate_wait(name, now),
            cached=cached,
            missing=max(0.0, query.pieces - cached),
            prefill=self.settings.prefill_seconds_per_piece,
            latency=latency,
        )

    def record_sent(self, decision: Decision, now: float) -> None:
        """Record that the request was sent to the chosen target."""
        self.loads.add_own_work(decision.target, decision.work, now)
        chain = decision.query.chain
        if chain:
            self._prefix_uses.append(PrefixUse(decision.target, chain))
            del self._prefix_uses[:-MAX_DIGEST_USES]

    def record_prefilled(
        self, decision: Decision, cached_pieces: int | None, now: float
    ) -> None:
        """Record the end of prefill, at the first token or the whole response.

        `cached_pieces` is the number of cache hits if the target reported it.
        """
        target, chain = decision.target, decision.query.chain
        self.loads.add_own_work(target, -decision.work, now)
        if cached_pieces is not None:
            self.prefix_index.learn_lifetime(target, chain, cached_pieces, now)
        self.prefix_index.record_use(target, chain, now)

    def record_failure(self, decision: Decision, now: float) -> None:
        """Record that the request ended before its prefill was finished."""
        self.loads.add_own_work(decision.target, -decision.work, now)

    def record_incarnation(self, target: str, incarnation: str) -> bool:
        """Reset a restarted target; return whether it restarted."""
        is_restart = self.prefix_index.record_incarnation(target, incarnation)
        if is_restart:
            self.loads.drop(target)
        return is_restart

    def merge_digest(self, peer: str, digest: Digest, now: float) -> None:
        """Apply a peer's digest to the prefix index and the loads."""
        for prefix_use in digest.prefix_uses:
            self.prefix_index.record_use(
                prefix_use.target, prefix_use.chain, now
            )
        self.loads.set_peer_shares(peer, digest.shares, now)

    def take_digest(self) -> Digest:
        """Return the digest for peers, and clear the recorded prefix uses."""
        digest = Digest(tuple(self._prefix_uses), self.loads.list_own_shares())
        self._prefix_uses.clear()
        return digest
