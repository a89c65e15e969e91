"""Choice of a target for one request, from prefix, evidence and load."""

from collections import abc

import attrs

from pistachioseam import interfaces
from pistachioseam.placement import evidence
from pistachioseam.placement import homes
from pistachioseam.placement import loads
from pistachioseam.placement import policies

CANDIDATE_LIMIT = 16
HOME_LIMIT = 4
SAMPLED_TARGETS = 4
DIGEST_LIMIT = 2000


@attrs.frozen(kw_only=True)
class Settings:
    """Placement of a deployment.

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
            raise ValueError(f'unknown policy; known: {known}')


@attrs.frozen(kw_only=True)
class Query:
    """Request to place: its chain, and its size in pieces (fractional)."""

    chain: tuple[int, ...]
    pieces: float


@attrs.frozen(kw_only=True)
class Option:
    """Target that may be chosen, with its one-way latency in seconds."""

    name: str
    latency: float = 0.0


@attrs.frozen(kw_only=True)
class Decision:
    """Chosen target and the candidates it was compared with.

    `work` is the expected prefill in seconds, `expected_wait` the seconds
    until it starts.
    """

    target: str
    query: Query
    work: float
    expected_wait: float
    expected_cached: float
    candidates: tuple[policies.Candidate, ...]


@attrs.frozen
class Sighting:
    """Digest entry for peers: a target has used this chain's pieces."""

    target: str
    chain: tuple[int, ...]


@attrs.frozen
class Digest:
    """What one host tells its peers several times a second."""

    sightings: tuple[Sighting, ...]
    shares: tuple[loads.Share, ...]


class Placer:
    """Placement of one host; all times are seconds of one clock."""

    def __init__(
        self, settings: Settings, random: interfaces.RandomSource
    ) -> None:
        self.settings = settings
        self.evidence = evidence.Evidence()
        self.loads = loads.LoadBoard()
        self._homes = homes.HomeOrder()
        self._random = random
        self._sightings: list[Sighting] = []

    def place(
        self, query: Query, options: abc.Sequence[Option], now: float
    ) -> Decision | None:
        """Return the choice among the options, or None without any."""
        if not options:
            return None
        candidates = self._list_candidates(query, options, now)
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
        self, query: Query, options: abc.Sequence[Option], now: float
    ) -> list[policies.Candidate]:
        names = tuple(option.name for option in options)
        latencies = {option.name: option.latency for option in options}
        home = query.chain[0] if query.chain else None
        chosen: list[str]
        if home is None:
            chosen = self._sample(names, CANDIDATE_LIMIT)
        elif len(names) <= CANDIDATE_LIMIT:
            chosen = list(self._homes.rank(home, names, len(names)))
        else:
            chosen = list(self._homes.rank(home, names, HOME_LIMIT))
            holders = self.evidence.list_holders(query.chain)
            chosen.extend(n for n in holders if n in latencies)
            chosen.extend(self._sample(names, SAMPLED_TARGETS))
            chosen = list(dict.fromkeys(chosen))
        return [
            self._describe(query, name, rank, latencies[name], now)
            for rank, name in enumerate(chosen)
        ]

    def _sample(self, names: abc.Sequence[str], limit: int) -> list[str]:
        if len(names) <= limit:
            return list(names)
        picks = (int(self._random.random() * len(names)) for _ in range(limit))
        return list(dict.fromkeys(names[pick] for pick in picks))

    def _describe(
        self, query: Query, name: str, rank: int, latency: float, now: float
    ) -> policies.Candidate:
        cached = self.evidence.estimate_cached(name, query.chain, now)
        return policies.Candidate(
            name=name,
            rank=rank,
            wait=self.loads.estimate_wait(name, now),
            cached=cached,
            missing=max(0.0, query.pieces - cached),
            prefill=self.settings.prefill_seconds_per_piece,
            latency=latency,
        )

    def note_sent(self, decision: Decision, now: float) -> None:
        """Note that the request is on its way."""
        self.loads.add_own(decision.target, decision.work, now)
        chain = decision.query.chain
        if chain:
            self._sightings.append(Sighting(decision.target, chain))
            del self._sightings[:-DIGEST_LIMIT]

    def note_prefilled(
        self, decision: Decision, cached_pieces: int | None, now: float
    ) -> None:
        """Note the first token, with the reported number of cached pieces."""
        target, chain = decision.target, decision.query.chain
        self.loads.add_own(target, -decision.work, now)
        if cached_pieces is not None:
            self.evidence.note_outcome(target, chain, cached_pieces, now)
        self.evidence.note_seen(target, chain, now)

    def note_failed(self, decision: Decision, now: float) -> None:
        """Note that the request ended before its first token."""
        self.loads.add_own(decision.target, -decision.work, now)

    def note_incarnation(self, target: str, incarnation: str) -> bool:
        """Drop evidence and load of a restarted target; return whether."""
        is_restart = self.evidence.note_incarnation(target, incarnation)
        if is_restart:
            self.loads.drop(target)
        return is_restart

    def note_digest(self, peer: str, digest: Digest, now: float) -> None:
        """Take in a peer's digest."""
        for sighting in digest.sightings:
            self.evidence.note_seen(sighting.target, sighting.chain, now)
        self.loads.note_peer(peer, digest.shares, now)

    def take_digest(self) -> Digest:
        """Return the own sends since the last call and the work they left."""
        digest = Digest(tuple(self._sightings), self.loads.list_own())
        self._sightings.clear()
        return digest
