"""Lease of an exclusive duty, kept as one row of the platform's store.

The row's version only grows, so it serves as fencing token. Targets may
ignore fencing tokens; a holder past its lease therefore stays silent, and a
successor waits until the holder's last act is a whole lease away.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import ports

HOLD_SECONDS = 1.0
"""Time after the sending of a renewal in which its holder may act."""
RENEW_SECONDS = 0.5
"""Age at which a holder that has something to do renews."""
CLOCK_MARGIN_SECONDS = 0.3
"""Difference of two hosts' clocks over one lease, and delays of calls."""


@attrs.define(kw_only=True)
class Lease:
    """What this host knows of the lease; times are of the boot clock.

    `lease_seconds` is the least distance between acts of two holders.
    """

    holder: str
    lease_seconds: float
    read_boot_clock: abc.Callable[[], float]
    row: ports.LeaseRow | None = None
    unchanged_since: float = 0.0
    renewed_at: float | None = None

    def note_row(self, row: ports.LeaseRow, read_at: float) -> None:
        """Take in the row as it was read; `read_at` is when it was asked."""
        if self.row is None or row.version != self.row.version:
            self.row = row
            self.unchanged_since = self.read_boot_clock()
        if row.holder != self.holder:
            self.renewed_at = None

    def note_written(self, row: ports.LeaseRow, sent_at: float) -> None:
        """Note that this host's write has succeeded."""
        self.row = row
        self.unchanged_since = self.read_boot_clock()
        self.renewed_at = sent_at

    def note_conflict(self) -> None:
        """Note that another host has written the row."""
        self.row = None
        self.renewed_at = None

    def is_own(self) -> bool:
        """Tell whether this host was the last to write the row."""
        return self.row is not None and self.row.holder == self.holder

    def may_act(self) -> bool:
        """Tell whether the holder may still act; asked before each act."""
        if self.renewed_at is None:
            return False
        return self.read_boot_clock() - self.renewed_at < HOLD_SECONDS

    def needs_renewal(self) -> bool:
        """Tell whether a holder that wants to act should renew first."""
        if self.renewed_at is None:
            return True
        return self.read_boot_clock() - self.renewed_at > RENEW_SECONDS

    def may_write(self) -> bool:
        """Tell whether this host may write the row now."""
        if self.row is None:
            return False
        if self.row.version == 0 or self.is_own():
            return True
        silent = self.read_boot_clock() - self.unchanged_since
        wait = self.lease_seconds + HOLD_SECONDS + CLOCK_MARGIN_SECONDS
        return silent > wait
