"""Retry budget that all hosts of the fleet share."""

import collections
from collections import abc

import attrs

SAFETY_FACTOR = 0.8
"""Fraction of the budget that hosts spend; the rest is a margin.

Each host counts only its own calls and retries, and divides the slack by the
number of hosts that it sees itself. Hosts that see different numbers, or that
have restarted and lost their counts, may together exceed the budget.
"""


@attrs.frozen(kw_only=True)
class BudgetTerms:
    """Bound: in any window, retries stay below `ratio` x calls + `slack`."""

    ratio: float = 0.2
    window_seconds: float = 10.0
    slack: float = 20.0


class RetryBudgetShare:
    """This host's share of the budget, counted separately for each service.

    `slack` is divided by the number of hosts.
    """

    def __init__(
        self, terms: BudgetTerms, count_hosts: abc.Callable[[], int]
    ) -> None:
        self.terms = terms
        self._count_hosts = count_hosts
        self._calls: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_call(self, service: str, now: float) -> None:
        """Count a new call for a service, excluding retries."""
        self._calls.setdefault(service, collections.deque()).append(now)
        self._count(self._calls, service, now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        retries = self.count_retries(service, now)
        if retries + 1 > self.get_allowed_retries(service, now):
            return False
        self._retries.setdefault(service, collections.deque()).append(now)
        return True

    def get_allowed_retries(self, service: str, now: float) -> float:
        """Return how many retries this host may send in the current window."""
        calls = self._count(self._calls, service, now)
        slack = self.terms.slack / max(1, self._count_hosts())
        return SAFETY_FACTOR * (self.terms.ratio * calls + slack)

    def list_services(self) -> list[str]:
        """Return the services that have received calls."""
        return list(self._calls)

    def count_retries(self, service: str, now: float) -> int:
        """Return the retries that this host sent in the current window."""
        return self._count(self._retries, service, now)

    def _count(
        self,
        timestamps: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> int:
        recent = timestamps.get(service)
        if recent is None:
            return 0
        while recent and recent[0] <= now - self.terms.window_seconds:
            recent.popleft()
        return len(recent)
