"""Choice of the ways in which a server answers that the protocol allows."""

import random

import attrs

MAX_RUN_SECONDS = 0.12
MAX_COPY_DELAY_SECONDS = 0.15
MAX_CONNECTIONS = 10_000
"""Connection limit of a server that has none to speak of."""
UNPROVEN_STATUSES = (408, 429, 503)
"""Statuses that promise that a call has not run, sent after it ran."""


@attrs.frozen(kw_only=True)
class Answer:
    """Answer to one request.

    It is a rejection without execution unless `is_executed`. `framing` is how
    the end of its body is marked: `length`, `chunks` or `close`. `ending` is
    `whole`, `reset` (no answer), `torn` (half an answer), `mute` (none, and
    the connection stays open) or `extra` (bytes that belong to no answer
    follow). `copy` is where a second copy of the answer comes: `next` before
    the answer to the next request on the connection, `after` right after it,
    `idle` after `copy_seconds`; empty for none. `split` is the part of the
    copy that comes first, between 0 and 1; the rest comes `copy_seconds`
    later, which may be after the answer to a request. `order` sorts the fields
    of its head. With `is_dropped` its connection is reset `copy_seconds`
    later, unless a request has come by then.
    """

    status: int = 200
    is_executed: bool = True
    has_id: bool = True
    has_stamp: bool = True
    framing: str = 'length'
    ending: str = 'whole'
    copy: str = ''
    split: float = 1.0
    order: float = 0.0
    run_seconds: float = 0.0
    copy_seconds: float = 0.0
    is_dropped: bool = False


@attrs.frozen(kw_only=True)
class Faults:
    """Probabilities of the faults of a server, each between 0 and 1.

    `rejected` is that of a rejection without want of room, `unproven` that of
    a status of `UNPROVEN_STATUSES` after execution, `copied` that of a second
    copy of an answer, `garbled` that of each other fault together, `dropped`
    that of an idle connection that is reset early.
    """

    rejected: float = 0.1
    unproven: float = 0.0
    copied: float = 0.15
    garbled: float = 0.15
    dropped: float = 0.0


GARBLED = (
    {'has_id': False},
    {'framing': 'close'},
    {'framing': 'chunks'},
    {'ending': 'reset'},
    {'ending': 'torn'},
    {'ending': 'extra'},
    {'ending': 'mute'},
    {'status': 500},
)
"""Changes of a whole answer."""


def draw_mismatch(generator: random.Random, faults: Faults) -> Answer:
    """Return the answer to a request that expects another server."""
    return attrs.evolve(
        _draw_whole(generator, faults),
        status=421,
        is_executed=False,
        has_stamp=False,
        run_seconds=0.0,
    )


def _draw_whole(generator: random.Random, faults: Faults) -> Answer:
    """Return a whole answer, of which a second copy may come."""
    return Answer(
        copy=generator.choice(('next', 'after', 'idle'))
        if generator.random() < faults.copied
        else '',
        split=generator.choice((1.0, generator.random())),
        order=generator.random(),
        run_seconds=generator.random() * MAX_RUN_SECONDS,
        copy_seconds=generator.random() * MAX_COPY_DELAY_SECONDS,
        # Drawn only with this fault, so that seeds keep their answers.
        is_dropped=bool(faults.dropped)
        and generator.random() < faults.dropped,
    )


def draw_answer(
    generator: random.Random, faults: Faults, is_full: bool
) -> Answer:
    """Return the answer to a request; a full server rejects it."""
    answer = _draw_whole(generator, faults)
    if is_full or generator.random() < faults.rejected:
        return attrs.evolve(
            answer,
            status=generator.choice((503, 503, 429)),
            is_executed=False,
            has_stamp=False,
            run_seconds=0.0,
        )
    if generator.random() < faults.unproven:
        return attrs.evolve(answer, status=generator.choice(UNPROVEN_STATUSES))
    if generator.random() < faults.garbled:
        return attrs.evolve(answer, **generator.choice(GARBLED))
    return answer
