"""How long an engine's runs may hold up newer weights.

Load pattern: a few long streams keep an engine from loading for seconds,
while it takes no other calls and all others begin on weights that were
replaced. After a while the runs that have begun to answer go on under the
newer weights. Prompts that are still being read must not: what they save
would belong to neither version.
"""

import enum

import attrs

DRAIN_SECONDS = 0.8
"""Time in which most runs end; mean answers take about half of it."""
MOST_DRAIN_SECONDS = 1.6
"""Time after which an engine whose prompts are still being read is left to
finish its runs by itself."""
LATE_SECONDS = 4.0
"""Time after which replaced weights drain more shortly; their use ends within
9 s, and a load takes up to two."""
STEP_SECONDS = 0.1
"""Pause between two looks at the runs that this host knows of."""
REPORT_SECONDS = 0.2
"""Pause between two reports; each is priced like a health check."""


class Switch(enum.Enum):
    """What becomes of the runs of an engine that is ordered to load."""

    FINISH = 'finish'
    """They end before the engine loads."""
    CONTINUE = 'continue'
    """They go on under the newer weights."""


@attrs.frozen(kw_only=True)
class EngineRuns:
    """Runs of an engine; `reading` counts those that have no token yet."""

    running: int
    reading: int


def merge(
    reported: EngineRuns, known_runs: int, known_tokens: int
) -> EngineRuns:
    """Return an engine's runs by its late report and by what hosts know.

    `known_tokens` are those that hosts believe are still to be read there.
    """
    return EngineRuns(
        running=max(reported.running, known_runs),
        reading=max(reported.reading, int(known_tokens > 0)),
    )


def is_worth_asking(known_runs: int, waited_seconds: float) -> bool:
    """Tell whether an engine could be ready to load."""
    return known_runs == 0 or waited_seconds >= DRAIN_SECONDS


def judge(
    runs: EngineRuns, waited_seconds: float, is_late: bool
) -> Switch | None:
    """Return how to order an engine to load, None to wait on."""
    if runs.running == 0 and runs.reading == 0:
        return Switch.FINISH
    if runs.reading == 0 and (is_late or waited_seconds >= DRAIN_SECONDS):
        return Switch.CONTINUE
    limit = DRAIN_SECONDS if is_late else MOST_DRAIN_SECONDS
    if waited_seconds >= limit:
        return Switch.FINISH
    return None
