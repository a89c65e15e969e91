"""Staleness of the cached desired state.

Ages are counted from the time at which a successful read was sent, on a clock
that advances while the host is suspended.
"""

import attrs

KEY_MARGIN_SECONDS = 0.4
"""Longest time from the check of a request's key to the request's arrival at
its target; keys are rejected this long before the revocation bound."""
READY_FRACTION = 0.6
"""Fraction of the revocation bound after which the host reports that it is not
ready, so that callers use other hosts before this one rejects keys."""


@attrs.define
class Freshness:
    """Time of the last confirmed read of the desired state.

    A revoked key must be rejected within `bound_seconds`.
    """

    bound_seconds: float
    confirmed_at: float | None = None

    def record_confirmation(self, sent_at: float) -> None:
        """Record a successful read; those sent before the last are ignored."""
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def get_age(self, now: float) -> float:
        """Return the age in seconds; infinite before the first read."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at

    def can_verify_keys(self, now: float) -> bool:
        """Return whether cached keys may be accepted.

        A key may have been revoked since the last confirmed read.
        """
        return self.get_age(now) < self.bound_seconds - KEY_MARGIN_SECONDS

    def can_be_ready(self, now: float) -> bool:
        """Return whether the state is fresh enough to report readiness."""
        return self.get_age(now) < self.bound_seconds * READY_FRACTION
