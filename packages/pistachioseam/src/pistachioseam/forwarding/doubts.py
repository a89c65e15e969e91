"""Targets that may have restarted since their entry was read.

Load pattern: the targets of a service are upgraded in place, each ends and
starts again at its address with the next software version. The entries are
read about once a second, so hosts would for that time take it for what it was,
just when callers come back to take up the streams that broke.
"""

from collections import abc
import typing

REGISTER_SECONDS = 0.5
"""Time from a target's start to accept connections until the store has its new
entry; it registers as soon as it starts."""


class Connector(typing.Protocol):
    """Connections by which a target shows that it accepts them."""

    async def is_connection_refused(self, address: str) -> bool:
        """Connect; return whether the address refuses connections."""


class TargetDoubts:
    """Addresses whose targets may have restarted; times are of the boot clock.

    A connection that broke or was refused makes a target doubtful. It is known
    again once its entry was read after it had accepted a new connection.
    """

    def __init__(self, read_boot_clock: abc.Callable[[], float]) -> None:
        self._read_boot_clock = read_boot_clock
        self._broken: set[str] = set()
        self._opened_at: dict[str, float] = {}
        self._connecting: set[str] = set()

    def record_broken(self, address: str) -> None:
        """Record that a connection broke, or could not be opened."""
        self._broken.add(address)
        self._opened_at.pop(address, None)

    def record_opened(self, address: str) -> None:
        """Record that a new connection was opened."""
        if address in self._broken:
            self._opened_at.setdefault(address, self._read_boot_clock())

    def forget(self, address: str) -> None:
        """Forget the doubts about a target whose new entry was read."""
        self._broken.discard(address)
        self._opened_at.pop(address, None)

    def is_doubtful(self, address: str, read_at: float | None) -> bool:
        """Return whether a target may be another one than in its entry.

        `read_at` is the time up to which the entries are known.
        """
        if address not in self._broken:
            return False
        opened_at = self._opened_at.get(address)
        if opened_at is None or read_at is None:
            return True
        if read_at < opened_at + REGISTER_SECONDS:
            return True
        self.forget(address)
        return False

    async def reconnect(self, address: str, connector: Connector) -> None:
        """Connect to a doubtful target that no other call connects to."""
        if address in self._connecting or address in self._opened_at:
            return
        self._connecting.add(address)
        try:
            await connector.is_connection_refused(address)
        finally:
            self._connecting.discard(address)
