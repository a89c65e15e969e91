"""Connections of callers' calls to targets, which notice a lost path."""

from returns import pipeline
from returns import result

from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam_entry import target_connections


class RoutedConnections:
    """Connections to targets over this host's own path.

    Control calls use the pool itself.
    """

    def __init__(
        self,
        pool: target_connections.ConnectionPool,
        target_paths: paths.TargetPaths,
    ) -> None:
        self._pool = pool
        self._paths = target_paths
        pool.on_received = target_paths.record_received

    def add_listener(self, listener: ports.ResponseListener) -> None:
        """Call `listener` with the head of each response."""
        self._pool.add_listener(listener)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        self._pool.close_idle(address)

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Send once, without a retry; return when the head arrives."""
        opened = await self._pool.open(address, call)
        if not pipeline.is_successful(opened):
            await self._paths.check()
            return result.Failure(opened.failure())
        return await self._send_direct(opened.unwrap(), call)

    async def _send_direct(
        self,
        connection: target_connections.Connection,
        call: ports.OutgoingCall,
    ) -> ports.SendResult:
        waiting = object()
        self._paths.record_sent(waiting)
        try:
            return await self._pool.send_on(connection, call)
        finally:
            self._paths.record_head(waiting)

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether an address refuses a new connection."""
        return await self._pool.is_connection_refused(address)
