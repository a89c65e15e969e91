"""Outstanding prefill work of targets, corrected for lagging reports.

Work is in seconds of prefill. A report covers all routers but is old; own
sends are known at once. The estimate takes the others' part from the report,
drains it over time, and adds the own part as it is now.
"""

import collections

import attrs

STALE_SECONDS = 5.0
HISTORY_LIMIT = 512


@attrs.define
class _Load:
    own: float = 0.0
    others: float = 0.0
    others_at: float = 0.0
    history: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_LIMIT)
    )


class LoadBoard:
    """Outstanding work per target name."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}

    def _get(self, target: str) -> _Load:
        load = self._loads.get(target)
        if load is None:
            load = self._loads[target] = _Load()
        return load

    def add_own(self, target: str, work: float, now: float) -> None:
        """Add work that this host has just sent; negative when it ended."""
        load = self._get(target)
        load.own = max(0.0, load.own + work)
        load.history.append((now, load.own))

    def note_report(
        self, target: str, outstanding: float, measured_at: float
    ) -> None:
        """Note an engine's report of all work as of `measured_at`."""
        load = self._get(target)
        own_then = 0.0
        for at, own in load.history:
            if at > measured_at:
                break
            own_then = own
        load.others = max(0.0, outstanding - own_then)
        load.others_at = measured_at

    def drop(self, target: str) -> None:
        """Forget a target's load after its restart."""
        self._loads.pop(target, None)

    def estimate_wait(self, target: str, now: float) -> float:
        """Return the expected seconds before new work starts."""
        load = self._loads.get(target)
        if load is None:
            return 0.0
        age = now - load.others_at
        others = load.others if age < STALE_SECONDS else 0.0
        return load.own + max(0.0, others - age)
