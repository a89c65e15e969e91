"""Targets that leave, by whichever source tells it first.

Sources: the platform's list of hosts, and the targets' own answers. The pools
table marks leaving targets in its rows.
"""

from collections import abc


class LeavingTargets:
    """Addresses of targets that get no new work."""

    def __init__(self) -> None:
        self._listed: frozenset[str] = frozenset()
        self._announced: set[str] = set()

    def set_listed(self, addresses: abc.Iterable[str]) -> None:
        """Replace what the platform's list says."""
        self._listed = frozenset(addresses)

    def note_announced(self, address: str, *, is_leaving: bool) -> None:
        """Note what a target says of itself."""
        if is_leaving:
            self._announced.add(address)
        else:
            self._announced.discard(address)

    def is_leaving(self, address: str) -> bool:
        """Tell whether a target gets no new work."""
        return address in self._listed or address in self._announced
