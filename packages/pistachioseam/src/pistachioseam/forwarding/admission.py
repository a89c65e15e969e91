"""Admission of model calls by the time to their first token.

Load pattern: more prompts than all engines can read. Without a bound every
call waits in the engines' queues, all are late, and most callers give up
before the first token; with it, those that are admitted are in time.
"""

import attrs

LATE_FACTOR = 1.2
"""Expected times to the first token up to this times the objective pass."""
HOLD_SHARE = 1 / 8
"""Share of the objective for which a call may be held for room."""
HOLD_STEP_SECONDS = 0.04
"""Pause between two looks for room."""
LEAST_RETRY_SECONDS = 0.2
MOST_RETRY_SECONDS = 2.0
"""Bounds of the time after which a refused caller may come back."""


@attrs.frozen
class Admit:
    """The call is to be sent."""


@attrs.frozen
class Hold:
    """The call is to wait for room."""

    seconds: float


@attrs.frozen
class Refuse:
    """The caller is to come back later."""

    retry_after_seconds: float


Verdict = Admit | Hold | Refuse


def judge(
    expected_seconds: float,
    waited_seconds: float,
    objective_seconds: float,
    jitter: float,
) -> Verdict:
    """Judge a call by the expected and the past time to its first token.

    A refused caller is told to return when the excess has been worked off;
    `jitter` in [0, 1) keeps callers from returning together.
    """
    limit = objective_seconds * LATE_FACTOR
    if objective_seconds <= 0 or expected_seconds + waited_seconds <= limit:
        return Admit()
    if waited_seconds < objective_seconds * HOLD_SHARE - HOLD_STEP_SECONDS:
        return Hold(HOLD_STEP_SECONDS)
    excess = expected_seconds - objective_seconds / 2
    seconds = min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, excess))
    return Refuse(seconds * (0.75 + jitter / 2))
