"""Lease for an exclusive task, kept as one row of the platform's store.

The row's version and the era of the store only grow, so together they serve as
the fencing token. When the store has been restored from an older copy, the row
may name a holder that has been replaced since; then every host waits as if
another one held the lease. Targets may
ignore fencing tokens. Therefore a holder does not act after its renewal has
expired, and a successor waits until the minimum handover time has passed since
the last possible action of the previous holder.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions

VALIDITY_SECONDS = 1.0
"""Time until a renewal expires, counted from when the holder sent it."""
RENEW_AFTER_SECONDS = 0.5
"""Age of the last renewal from which a holder renews before it acts."""
CLOCK_MARGIN_SECONDS = 0.3
"""Upper limit of how far two hosts' clocks drift apart during one handover,
plus the delays of store calls."""


@attrs.define(kw_only=True)
class Lease:
    """State of the lease as known to this host; times are of the boot clock.

    `min_handover_seconds` is the least time between the actions of two holders
    (setting `lease_ms`). `row` is None when the row must be read before it can
    be written.
    """

    holder: str
    min_handover_seconds: float
    read_boot_clock: abc.Callable[[], float]
    row: ports.LeaseRow | None = None
    unchanged_since: float = 0.0
    renewed_at: float | None = None

    def record_read(self, row: ports.LeaseRow, sent_at: float) -> None:
        """Record the row from a read that was sent at `sent_at`.

        `unchanged_since` counts from when the read returned, which is later.
        """
        if self.row is None or row.version != self.row.version:
            self.row = row
            self.unchanged_since = self.read_boot_clock()
        if not self.is_last_holder():
            self.renewed_at = None

    def record_write(self, row: ports.LeaseRow, sent_at: float) -> None:
        """Record a successful write of this host, sent at `sent_at`."""
        self.row = row
        self.unchanged_since = self.read_boot_clock()
        self.renewed_at = sent_at if row.is_conclusive() else None

    def invalidate(self) -> None:
        """Discard the row, which may have changed and must be read again."""
        self.row = None
        self.renewed_at = None

    def is_last_holder(self) -> bool:
        """Return whether this host was the last to write the row."""
        return (
            self.row is not None
            and self.row.holder == self.holder
            and self.row.is_conclusive()
        )

    def can_act(self) -> bool:
        """Return whether this host may act; check this before each action."""
        return self.get_renewal_age() < VALIDITY_SECONDS

    def needs_renewal(self) -> bool:
        """Return whether this host must renew the lease before it acts."""
        return self.get_renewal_age() > RENEW_AFTER_SECONDS

    def get_renewal_age(self) -> float:
        """Return the time in seconds since the renewal, infinite if none."""
        if self.renewed_at is None:
            return float('inf')
        return self.read_boot_clock() - self.renewed_at

    def _is_new(self) -> bool:
        """Return whether nobody has ever held the lease.

        A store that was restored may have lost the row.
        """
        assert self.row is not None
        return self.row.version == store_versions.FIRST

    def is_free(self) -> bool:
        """Return whether no host is known to hold the lease, and it is due."""
        if self.row is None or not self.can_write():
            return False
        return self.row.version.number == 0 or not self.row.is_conclusive()

    def can_write(self) -> bool:
        """Return whether this host may write the row now.

        The last holder may at any time; another host waits until the row has
        been unchanged for the validity of a renewal, the minimum handover time
        and the clock margin.
        """
        if self.row is None:
            return False
        if self.is_last_holder() or self._is_new():
            return True
        return self.is_expired()

    def is_expired(self, extra_seconds: float = 0.0) -> bool:
        """Return whether the row is old enough for another host to write it.

        `extra_seconds` is further time for which it must have been unchanged.
        """
        unchanged_seconds = self.read_boot_clock() - self.unchanged_since
        required_seconds = (
            self.min_handover_seconds + VALIDITY_SECONDS + CLOCK_MARGIN_SECONDS
        )
        return unchanged_seconds > required_seconds + extra_seconds
