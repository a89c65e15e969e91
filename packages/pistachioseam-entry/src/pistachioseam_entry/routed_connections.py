"""Connections of callers' calls to targets: direct, or through other hosts."""

import asyncio

import attrs
from returns import pipeline
from returns import result

from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_entry import relay_client
from pistachioseam_entry import target_connections

HANG_SECONDS = 0.5
"""Time after the loss of the path in which open connections must bring bytes.
If none does, those that wait for a response hang."""

Kind = interfaces.FailureKind


@attrs.define(eq=False)
class _WaitingCall:
    """Call on a connection that waits for the head of its response."""

    connection: target_connections.Connection
    is_retryable: bool
    is_given_up: bool = False


class RoutedConnections:
    """Connections to targets; while this host reaches none, through peers.

    Control calls use the pool itself: orders to engines must come from the
    host that holds the lease.
    """

    def __init__(
        self,
        pool: target_connections.ConnectionPool,
        target_paths: paths.TargetPaths,
        relay: relay_client.RelayClient,
        runtime: interfaces.Runtime,
    ) -> None:
        self._pool = pool
        self._paths = target_paths
        self._relay = relay
        self._runtime = runtime
        self._waiting: set[_WaitingCall] = set()
        pool.on_received = target_paths.record_received
        target_paths.add_listener(self._handle_change)

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
        if self._paths.is_lost():
            return await self._send_by_relay(address, call)
        connection = self._pool.take_idle(address, call)
        if connection is not None:
            return await self._send_direct(connection, call)
        started_at = self._runtime.now()
        opened = await self._connect_unless_lost(address)
        if pipeline.is_successful(opened):
            call = call.spend(self._runtime.now() - started_at)
            return await self._send_direct(opened.unwrap(), call)
        if await self._paths.check():
            call = call.spend(self._runtime.now() - started_at)
            return await self._send_by_relay(address, call)
        return result.Failure(opened.failure())

    async def _connect_unless_lost(
        self, address: str
    ) -> target_connections.OpenResult:
        """Open a connection; give it up once the path is lost."""
        connecting = asyncio.ensure_future(self._pool.connect(address))
        lost = asyncio.ensure_future(self._paths.wait_until_lost())
        try:
            await asyncio.wait(
                (connecting, lost), return_when=asyncio.FIRST_COMPLETED
            )
            if connecting.done():
                return connecting.result()
            return result.Failure(
                interfaces.CallFailure(Kind.NOT_SENT, 'no path to targets')
            )
        except asyncio.CancelledError:
            connecting.add_done_callback(_drop_opened)
            raise
        finally:
            lost.cancel()
            connecting.cancel()

    async def _send_direct(
        self,
        connection: target_connections.Connection,
        call: ports.OutgoingCall,
    ) -> ports.SendResult:
        if not call.begin_sending():
            connection.drop()
            return result.Failure(
                interfaces.CallFailure(
                    Kind.NOT_SENT, 'it may no longer be sent'
                )
            )
        waiting = _WaitingCall(connection, call.is_retryable)
        self._waiting.add(waiting)
        self._paths.record_sent(waiting)
        try:
            sent = await self._pool.send_on(connection, call)
        finally:
            self._paths.record_head(waiting)
            self._waiting.discard(waiting)
        if waiting.is_given_up and not pipeline.is_successful(sent):
            return result.Failure(
                interfaces.CallFailure(
                    Kind.PATH_LOST, 'this host reaches no target'
                )
            )
        return sent

    async def _send_by_relay(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        sent_at = self._runtime.now()
        sent = await self._relay.send(call)
        if pipeline.is_successful(sent):
            self._pool.report_response(
                address, call, sent_at, sent.unwrap().head
            )
        return sent

    def _handle_change(self) -> None:
        if not self._paths.is_lost():
            return
        self._pool.close_all_idle()
        self._runtime.start(self._give_up_hanging_calls())

    async def _give_up_hanging_calls(self) -> None:
        """Close connections on which calls that may run again hang.

        Those that may run only once wait on: their response may still come.
        """
        lost_at = self._runtime.now()
        await self._runtime.sleep(HANG_SECONDS)
        if not self._paths.is_lost() or self._paths.was_heard_since(lost_at):
            return
        for waiting in list(self._waiting):
            if waiting.is_retryable:
                waiting.is_given_up = True
                waiting.connection.drop()

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether an address refuses connections that others accept.

        Without a path to any target, a refused connection shows nothing.
        """
        if self._paths.is_lost():
            return False
        if not await self._pool.is_connection_refused(address):
            return False
        return not await self._paths.check(max_age_seconds=0.0)


def _drop_opened(
    connecting: asyncio.Future[target_connections.OpenResult],
) -> None:
    """Close a connection that opened as its call was cancelled."""
    if connecting.cancelled() or connecting.exception() is not None:
        return
    opened = connecting.result()
    if pipeline.is_successful(opened):
        opened.unwrap().drop()
