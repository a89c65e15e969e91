"""Which callers' connections a host turns away when they hold too much.

Callers are not trusted: they may send bodies without ending them and leave
responses unread. A host gives all of them together one budget of bytes and of
connections. All decisions are made from numbers that are passed in; nothing
here reads a clock or a connection.
"""

from collections import abc
import enum

import attrs

MEBIBYTE = 1_048_576
OWN_BYTES = 80 * MEBIBYTE
"""Memory that a host needs without callers: 59 MB at rest, and the state of
targets, peers and calls."""
CALLER_SHARE = 0.5
"""Part of the remaining memory that callers may use. The other part is for
copies on the way to targets, responses of targets, and fragmentation."""
MIN_BYTES = 8 * MEBIBYTE
"""Smallest budget: one body of the default limit of 4 MiB and its copy on the
way to a target."""
OWN_DESCRIPTORS = 256
MIN_CONNECTIONS = 64
ORDINARY_BYTES = 65_536
"""A connection that holds at most this is not turned away for the bytes that
others hold."""
ORDINARY_RESERVE = 0.25
"""Part of the budget that ordinary connections may use beyond it."""
RELIEF = 0.1
"""Part of the budget that is freed at once, so that a full budget does not
need a decision for each packet."""
BASE_RATE = 1024.0
"""Rate in bytes/s that is added to a connection's own, so that stalled
connections are compared by what they hold."""
NEW_SECONDS = 1.0
"""Age below which a connection is not judged by its slow progress."""
SMALL_CHUNK_BYTES = 512
FREE_SMALL_CHUNKS = 256
"""Small chunks of a request that are parsed without delay."""
CHUNKS_PER_SECOND = 10_000.0
"""Small chunks that a host parses a second: about 5 % of a core, at 5 us
each. 40 callers with chunks of 7 bytes kept a host from confirming its
desired state for 5 s."""


class Stage(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    """A request has begun to arrive; it has not run."""
    SERVING = 'serving'
    SENDING = 'sending'
    """A response is not yet accepted by the caller's side."""


@attrs.frozen(kw_only=True)
class Holding:
    """What one connection holds, and how it progresses.

    `rate` is in bytes/s, in both directions together. `still_seconds` is the
    time since the last byte, `age_seconds` that since the connection was
    opened. `served` counts its requests that have been received.
    """

    key: abc.Hashable
    stage: Stage
    held_bytes: int
    rate: float
    still_seconds: float
    age_seconds: float
    served: int


@attrs.frozen(kw_only=True)
class Budget:
    """What all callers of a host together may hold."""

    bytes: int
    connections: int


def derive_budget(memory_mb: float, max_descriptors: int) -> Budget:
    """Return the budget of a host with the given limits.

    A call needs one descriptor for its caller and one for its target.
    """
    spare_bytes = int(memory_mb * MEBIBYTE) - OWN_BYTES
    spare_descriptors = max_descriptors - OWN_DESCRIPTORS
    return Budget(
        bytes=max(MIN_BYTES, int(spare_bytes * CALLER_SHARE)),
        connections=max(MIN_CONNECTIONS, spare_descriptors // 2),
    )


DEFAULT_BUDGET = derive_budget(128.0, 4100)
"""Budget of the smallest hosts."""


def choose_holders(
    holdings: abc.Iterable[Holding], total_bytes: int, budget: Budget
) -> list[Holding]:
    """Return the connections to turn away for the bytes that they hold.

    `total_bytes` is what all callers hold, requests being served included.
    Those that would take longest to bring again what they hold go first.
    Requests being served are not chosen: they may have run. Of the others
    with more than an ordinary connection holds, the best one stays, so that
    a calm host of any size receives the largest body and delivers the largest
    response. Ordinary connections are chosen only for what they hold beyond
    their reserve.
    """
    if total_bytes <= budget.bytes:
        return []
    candidates = sorted(
        (h for h in holdings if h.stage in (Stage.RECEIVING, Stage.SENDING)),
        key=_get_cost,
        reverse=True,
    )
    large = [h for h in candidates if h.held_bytes > ORDINARY_BYTES]
    ordinary = [h for h in candidates if h.held_bytes <= ORDINARY_BYTES]
    spared_bytes = large[-1].held_bytes if large else 0
    goal_bytes = budget.bytes * (1 - RELIEF)
    limit_bytes = budget.bytes * (1 + ORDINARY_RESERVE) + spared_bytes
    chosen = []
    left_bytes = total_bytes
    for group, bound in ((large[:-1], goal_bytes), (ordinary, limit_bytes)):
        for holding in group:
            if left_bytes <= bound:
                break
            chosen.append(holding)
            left_bytes -= holding.held_bytes
    return chosen


def _get_cost(holding: Holding) -> float:
    """Return the seconds in which a connection brings what it holds."""
    return holding.held_bytes / (holding.rate + BASE_RATE)


def choose_connections(
    holdings: abc.Collection[Holding], budget: Budget
) -> list[Holding]:
    """Return the connections to close because there are too many.

    Those that have never brought a request go first, the slowest of them
    before the others; then idle ones, then those with an unread response, as
    it may still be in progress; new connections go last. None is chosen whose
    request is being served.
    """
    excess = len(holdings) - budget.connections
    if excess <= 0:
        return []
    candidates = [h for h in holdings if h.stage is not Stage.SERVING]
    candidates.sort(
        key=lambda h: (
            h.age_seconds < NEW_SECONDS,
            h.served > 0,
            h.stage is Stage.SENDING,
            h.rate,
            -h.still_seconds,
        )
    )
    return candidates[:excess]


def can_serve(
    body_bytes: int,
    served_bytes: int,
    budget: Budget,
    is_only_large: bool = False,
) -> bool:
    """Return whether a body may be held while its request is served.

    `served_bytes` is what the requests being served hold. One that is alone,
    or beside ordinary ones only, is always served; ordinary ones may use the
    reserve.
    """
    if is_only_large:
        return True
    limit_bytes = float(budget.bytes)
    if body_bytes <= ORDINARY_BYTES:
        limit_bytes *= 1 + ORDINARY_RESERVE
    return not served_bytes or served_bytes + body_bytes <= limit_bytes


def is_too_slow(
    received_bytes: int,
    elapsed_seconds: float,
    grace_seconds: float,
    bytes_per_second: float,
) -> bool:
    """Return whether a body falls behind the least rate after its grace."""
    late_seconds = elapsed_seconds - grace_seconds
    return received_bytes < late_seconds * bytes_per_second


class ChunkPacer:
    """Limit on the small chunks that a host parses, in order of arrival."""

    def __init__(self, chunks_per_second: float = CHUNKS_PER_SECOND) -> None:
        self._seconds_per_chunk = 1.0 / chunks_per_second
        self._free_at = 0.0

    def take(self, count: int, now: float) -> float:
        """Return how long to wait after parsing some small chunks."""
        self._free_at = (
            max(now, self._free_at) + count * self._seconds_per_chunk
        )
        return self._free_at - now
