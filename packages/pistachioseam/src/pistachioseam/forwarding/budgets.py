"""Retry budget that all hosts of the fleet keep together."""

import collections
from collections import abc

import attrs

SAFETY = 0.8
"""Part of the budget that hosts spend, as they count it separately."""


@attrs.frozen(kw_only=True)
class BudgetTerms:
    """In any window, retries stay below `ratio` x calls + `slack`."""

    ratio: float = 0.2
    window_seconds: float = 10.0
    slack: float = 20.0


class FleetBudget:
    """This host's part of the budget, counted for each service."""

    def __init__(
        self, terms: BudgetTerms, count_hosts: abc.Callable[[], int]
    ) -> None:
        self.terms = terms
        self._count_hosts = count_hosts
        self._calls: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def note_call(self, service: str, now: float) -> None:
        """Count a caller's call for a service."""
        self._calls.setdefault(service, collections.deque()).append(now)

    def take(self, service: str, now: float) -> bool:
        """Spend one retry; return False when the budget is empty."""
        retries = self.count_retries(service, now)
        if retries + 1 > self.get_allowed(service, now):
            return False
        self._retries.setdefault(service, collections.deque()).append(now)
        return True

    def get_allowed(self, service: str, now: float) -> float:
        """Return the retries that this host may spend in a window."""
        calls = self._count(self._calls, service, now)
        slack = self.terms.slack / max(1, self._count_hosts())
        return SAFETY * (self.terms.ratio * calls + slack)

    def list_services(self) -> list[str]:
        """Return the services that had calls."""
        return list(self._calls)

    def count_retries(self, service: str, now: float) -> int:
        """Return the retries in the current window."""
        return self._count(self._retries, service, now)

    def _count(
        self,
        moments: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> int:
        kept = moments.get(service)
        if kept is None:
            return 0
        while kept and kept[0] <= now - self.terms.window_seconds:
            kept.popleft()
        return len(kept)
