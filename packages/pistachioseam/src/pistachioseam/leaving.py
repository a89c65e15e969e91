"""Targets that leave, by whichever source tells it first.

Sources: the platform's list of hosts as this host has read it, and as peers
have. The pools table marks leaving targets in its own rows.
"""

from collections import abc

import attrs

KEEP_SECONDS = 30.0
PLATFORM = ''


@attrs.frozen
class _List:
    addresses: frozenset[str]
    read_at: float


class LeavingTargets:
    """Addresses of targets that get no new work; times are monotonic."""

    def __init__(self) -> None:
        self._lists: dict[str, _List] = {}

    def note_listed(
        self, source: str, addresses: abc.Iterable[str], now: float
    ) -> None:
        """Replace what a source says; `PLATFORM` or the name of a peer."""
        self._lists[source] = _List(frozenset(addresses), now)

    def list_own(self) -> tuple[str, ...]:
        """Return what this host has read itself, for peers."""
        own = self._lists.get(PLATFORM)
        return tuple(sorted(own.addresses)) if own else ()

    def is_leaving(self, address: str, now: float) -> bool:
        """Tell whether any source has lately named the target."""
        return any(
            address in listed.addresses
            for listed in self._lists.values()
            if now - listed.read_at < KEEP_SECONDS
        )
