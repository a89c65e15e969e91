"""Engines that go on with a call for a while after its channel has closed."""

import asyncio

import attrs
from returns import result

from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from tests import call_fakes

RUN_SECONDS = 9.0
"""Length of a run that nobody stops."""
LINGER_SECONDS = 1.5
"""Time for which an engine goes on with a call whose channel has closed."""


@attrs.define
class Work:
    """Work of one engine on one call; times are those of the loop."""

    address: str
    begun_at: float
    ends_at: float

    def stop_within(self, seconds: float) -> None:
        """End the work some seconds from now, unless it ends before."""
        now = asyncio.get_running_loop().time()
        self.ends_at = min(self.ends_at, now + seconds)


class LingeringEngines(call_fakes.ScriptedTargets):
    """Scripted engines; `works` holds what each one does.

    A failure in the script is the engine's own end of its work. Without one,
    and without the end of its events, an engine works for `RUN_SECONDS`, or
    to the time limit of the call.
    """

    def __init__(self) -> None:
        super().__init__()
        self.works: list[Work] = []

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Work on a call; linger if the host gives it up."""
        now = asyncio.get_running_loop().time()
        seconds = min(RUN_SECONDS, call.get_target_seconds())
        work = Work(address, now, now + seconds)
        self.works.append(work)
        try:
            sent = await super().send(address, call)
        except asyncio.CancelledError:
            work.stop_within(LINGER_SECONDS)
            raise
        if isinstance(sent, result.Failure):
            work.stop_within(0.0)
            return sent
        return result.Success(_WatchedResponse(sent.unwrap(), work))

    def measure_overlap(self) -> float:
        """Return for how long an engine worked on after the next had begun."""
        return max(
            (
                first.ends_at - second.begun_at
                for number, second in enumerate(self.works)
                for first in self.works[:number]
                if first.address != second.address
            ),
            default=0.0,
        )


@attrs.define
class _WatchedResponse:
    """Response that ends the work of its engine with its channel."""

    _response: ports.OpenResponse
    _work: Work

    @property
    def head(self) -> ports.ResponseHead:
        """Return the head."""
        return self._response.head

    @property
    def declared_bytes(self) -> int | None:
        """Return the declared length of the body."""
        return self._response.declared_bytes

    @property
    def is_end_marked(self) -> bool:
        """Return whether the engine has marked the end of the body."""
        return self._response.is_end_marked

    @property
    def connection(self) -> str:
        """Return what the connection has carried."""
        return self._response.connection

    async def read(self) -> result.Result[bytes, interfaces.CallFailure]:
        """Return the next bytes; an end or a failure is the engine's own."""
        read = await self._response.read()
        if isinstance(read, result.Failure) or not read.unwrap():
            self._work.stop_within(0.0)
        return read

    def drop(self) -> None:
        """Close the channel."""
        self._work.stop_within(LINGER_SECONDS)
        self._response.drop()

    def abort(self) -> None:
        """Close the channel unless the body has ended."""
        self._work.stop_within(LINGER_SECONDS)
        self._response.abort()
