"""How fast engines begin to answer, against what was expected of them.

Load pattern: some targets of a service are slower than others, or become so
for a while, though their health checks pass.
"""

import attrs

WEIGHT = 0.2
"""Weight of the newest answer in the moving average."""
LEAST = 0.7
MOST = 4.0
"""Bounds of the factor; beyond them a target is suspected, not slow."""
LEAST_EXPECTED_SECONDS = 0.02
"""Shorter expectations say nothing of an engine's speed."""
FORGET_SECONDS = 5.0
"""Age after which a factor no longer counts: slowness passes."""


@attrs.define
class _Pace:
    factor: float
    noted_at: float


class PaceBoard:
    """Factors by target name."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note(
        self, target: str, expected: float, actual: float, now: float
    ) -> None:
        """Note the seconds to the first byte of an answer."""
        if expected < LEAST_EXPECTED_SECONDS:
            return
        ratio = min(MOST, max(LEAST, actual / expected))
        factor = self.get(target, now)
        factor += WEIGHT * (ratio - factor)
        self._paces[target] = _Pace(factor, now)

    def get(self, target: str, now: float) -> float:
        """Return by how much a target takes longer than expected."""
        pace = self._paces.get(target)
        if pace is None or now - pace.noted_at > FORGET_SECONDS:
            return 1.0
        return pace.factor

    def forget(self, target: str) -> None:
        """Drop what was known of a target that has ended."""
        self._paces.pop(target, None)
