"""Admission control of model calls by their expected time to first token.

Load pattern: more prompts than all engines can prefill. Without admission
control every call waits in the engines' queues, all miss their objective, and
most callers give up before the first token. With it, the admitted calls meet
their objective.
"""

import attrs

MAX_OBJECTIVE_RATIO = 1.2
"""Largest admitted time to first token, as a multiple of the objective."""
MAX_HOLD_FRACTION = 1 / 8
"""Longest time a call is held for capacity, as a fraction of the objective."""
HOLD_INTERVAL_SECONDS = 0.04
"""Pause before a held call is placed again."""
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 2.0
"""Bounds of the retry-after time of a refused call, before jitter."""


@attrs.frozen
class Admit:
    """The call is sent now."""


@attrs.frozen
class Hold:
    """The call waits for capacity and is placed again after `seconds`."""

    seconds: float


@attrs.frozen
class Refuse:
    """The call is refused; the caller may retry after the given time."""

    retry_after_seconds: float


Decision = Admit | Hold | Refuse


def decide(
    expected_seconds: float,
    waited_seconds: float,
    objective_seconds: float,
    jitter: float,
    max_expected_seconds: float = float('inf'),
) -> Decision:
    """Decide whether to admit, hold or refuse a call.

    The time to first token is `waited_seconds` so far plus `expected_seconds`,
    the expected time to the first byte, which carries the first token. A
    refused call may be retried after the expected time beyond half the
    objective, varied by `jitter`. A call that is expected to take more than
    `max_expected_seconds` is not admitted.
    """
    limit_seconds = objective_seconds * MAX_OBJECTIVE_RATIO
    if expected_seconds <= max_expected_seconds and (
        objective_seconds <= 0
        or expected_seconds + waited_seconds <= limit_seconds
    ):
        return Admit()
    if (
        waited_seconds
        < objective_seconds * MAX_HOLD_FRACTION - HOLD_INTERVAL_SECONDS
    ):
        return Hold(HOLD_INTERVAL_SECONDS)
    return refuse(expected_seconds - objective_seconds / 2, jitter)


def refuse(excess_seconds: float, jitter: float) -> Refuse:
    """Refuse a call whose first token would come so much too late.

    It may be retried after that time, within bounds; `jitter` in [0, 1) varies
    this by up to 25 % either way, so that callers do not retry all at once.
    """
    retry_seconds = min(
        MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess_seconds)
    )
    return Refuse(retry_seconds * (0.75 + jitter / 2))
