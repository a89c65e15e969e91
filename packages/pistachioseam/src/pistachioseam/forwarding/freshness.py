"""Age of what is known of the desired state.

Ages are counted on a clock that goes on while the host is suspended, from
the moment a successful call was sent.
"""

import attrs

KEY_MARGIN_SECONDS = 0.4
"""Time for a checked request to reach its target."""
READY_SHARE = 0.6
"""Share of the revocation bound after which callers better go elsewhere."""


@attrs.define
class Freshness:
    """Freshness of the desired state; `bound_seconds` bounds revocation."""

    bound_seconds: float
    confirmed_at: float | None = None

    def note_confirmed(self, sent_at: float) -> None:
        """Note a successful read that was sent at `sent_at`."""
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def get_age(self, now: float) -> float:
        """Return the age in seconds; infinite before the first read."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at

    def is_fit_for_keys(self, now: float) -> bool:
        """Tell whether a key that is known is surely not revoked too long."""
        return self.get_age(now) < self.bound_seconds - KEY_MARGIN_SECONDS

    def is_fit_to_be_ready(self, now: float) -> bool:
        """Tell whether new callers should come to this host."""
        return self.get_age(now) < self.bound_seconds * READY_SHARE
