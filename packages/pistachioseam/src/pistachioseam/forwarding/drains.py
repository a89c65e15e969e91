"""Draining of an engine before it loads newer weights.

Load pattern: a few long streams keep an engine from loading for seconds. In
that time it accepts no other calls, and calls start on the outdated weights of
the other engines. After a bounded wait the runs in decode therefore continue
under the newer weights. Runs in prefill must not: the KV cache entries that
they save would belong to neither version.
"""

import enum

import attrs

DRAIN_SECONDS = 0.8
"""Time after which an engine is ordered to load although runs in decode
remain; most runs end sooner (the mean run takes about half of it)."""
MAX_DRAIN_SECONDS = 1.6
"""Time after which an engine that still has runs in prefill is ordered to load
once its runs have ended."""
LATE_SECONDS = 4.0
"""Time since a newer version was named after which drains are shortened, so
that the drain and the load, which takes up to 2 s (0.4 s by the engines' data
sheets), end before the setting `weights_ms` forbids the older version. If the
setting is 9 s, for example, the drain must end within 7 s."""
LOCAL_POLL_SECONDS = 0.1
"""Pause between two checks of the hosts' own counts of an engine's runs."""
REPORT_POLL_SECONDS = 0.2
"""Pause between two reads of an engine's report; the platform charges for each
read as for a health check."""


class SwitchMode(enum.Enum):
    """What an engine does with its runs when it is ordered to load."""

    FINISH = 'finish'
    """The runs end before the engine loads."""
    CONTINUE = 'continue'
    """The runs continue under the newer weights."""


@attrs.frozen(kw_only=True)
class EngineRuns:
    """Numbers of an engine's runs, and of those without a first token.

    A run is a request that the engine has accepted and not finished.
    """

    running: int
    prefilling: int


def merge_runs(
    reported: EngineRuns, known_runs: int, known_prefill_tokens: int
) -> EngineRuns:
    """Return the greater of an engine's report and the hosts' own counts.

    The engine's report is delayed. `known_runs` and `known_prefill_tokens`
    are the runs that the hosts have sent there and have not seen end, and
    their prompt tokens that are not yet prefilled.
    """
    return EngineRuns(
        running=max(reported.running, known_runs),
        prefilling=max(reported.prefilling, int(known_prefill_tokens > 0)),
    )


def should_poll_report(known_runs: int, waited_seconds: float) -> bool:
    """Return whether to read the engine's report.

    It is read once all known runs have ended or the drain time is over.
    """
    return known_runs == 0 or waited_seconds >= DRAIN_SECONDS


def may_continue(waited_seconds: float, is_late: bool) -> bool:
    """Return whether runs in decode need not end before an engine loads."""
    return is_late or waited_seconds >= DRAIN_SECONDS


def choose_switch(
    runs: EngineRuns, waited_seconds: float, is_late: bool
) -> SwitchMode | None:
    """Return how to order an engine to load, None to wait for its runs."""
    if runs.running == 0 and runs.prefilling == 0:
        return SwitchMode.FINISH
    if runs.prefilling == 0 and may_continue(waited_seconds, is_late):
        return SwitchMode.CONTINUE
    limit = DRAIN_SECONDS if is_late else MAX_DRAIN_SECONDS
    if waited_seconds >= limit:
        return SwitchMode.FINISH
    return None
