"""Targets that are leaving, merged from several sources.

Sources: the platform's list of targets (`/v1/hosts`), as read by this host and
by its peers.
Targets that the pools table marks as leaving are not tracked here.
"""

from collections import abc

import attrs

LIST_TTL_SECONDS = 30.0
"""Bounds how long a source that stopped reporting excludes a target."""
LOCAL_SOURCE = ''
"""Source name of the list that this host has read from the platform itself."""


@attrs.frozen
class _SourceList:
    addresses: frozenset[str]
    read_at: float


class LeavingTargets:
    """Addresses of targets that get no new requests, by source.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._lists: dict[str, _SourceList] = {}

    def replace_list(
        self, source: str, addresses: abc.Iterable[str], now: float
    ) -> None:
        """Replace the list of `LOCAL_SOURCE` or of the peer named."""
        self._lists[source] = _SourceList(frozenset(addresses), now)

    def list_local(self) -> tuple[str, ...]:
        """Return the list that this host has read itself, sorted."""
        local = self._lists.get(LOCAL_SOURCE)
        return tuple(sorted(local.addresses)) if local else ()

    def is_leaving(self, address: str, now: float) -> bool:
        """Return whether any list within its TTL has the address."""
        return any(
            address in listed.addresses
            for listed in self._lists.values()
            if now - listed.read_at < LIST_TTL_SECONDS
        )
