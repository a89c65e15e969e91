"""HTTP server, timers and JSON helpers of the stand-ins."""

import json
import typing

import fire
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server
from zope import interface

JSON_CONTENT_TYPE = 'application/json'
_REACTOR: typing.Any = reactor


class Application(typing.Protocol):
    """Stand-in whose routes are a klein application."""

    app: typing.Any


def serve(application: Application, address: str) -> None:
    """Listen on `IP:port` and run the reactor until the process ends."""
    host, _, port = address.rpartition(':')
    site = server.Site(application.app.resource())
    _REACTOR.listenTCP(int(port), site, interface=host)
    _REACTOR.run()


def sleep(seconds: float) -> defer.Deferred[None]:
    """Return a Deferred that fires after a delay."""
    return task.deferLater(_REACTOR, seconds)


@interface.implementer(interfaces.IPushProducer)
class PacedWriter:
    """Writer of a response that waits while the other side does not read.

    `is_stopped` is set once its connection has been closed.
    """

    def __init__(self, request: typing.Any) -> None:
        self.is_stopped = False
        self._request = request
        self._waiting: defer.Deferred[None] | None = None

    def __enter__(self) -> typing.Self:
        """Begin to follow how fast the other side reads."""
        self._request.registerProducer(self, True)
        return self

    def __exit__(self, *_: object) -> None:
        """End the flow control; the response may be finished."""
        if not self.is_stopped:
            self._request.unregisterProducer()

    async def write(self, data: bytes) -> None:
        """Write a part of the body, then wait until it may go on."""
        self._request.write(data)
        if self._waiting is not None:
            await self._waiting

    def pauseProducing(self) -> None:  # noqa: N802
        """Make the writer wait."""
        if self._waiting is None:
            self._waiting = defer.Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the writer go on."""
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Let the writer end."""
        self.is_stopped = True
        self.resumeProducing()


def call_later(
    seconds: float, function: typing.Callable[..., object], *arguments: object
) -> None:
    """Schedule a function call without waiting for it."""
    _REACTOR.callLater(seconds, function, *arguments)


def run_command(command: typing.Callable[..., None]) -> None:
    """Call a function with the arguments of the command line."""
    fire.Fire(command)


def read_json(request: typing.Any) -> typing.Any:
    """Return the decoded body of a request; an empty body gives `{}`."""
    return json.loads(request.content.read() or b'{}')


def encode_json(
    request: typing.Any, content: object, status: int = 200
) -> bytes:
    """Set status and content type; return the encoded body."""
    request.setResponseCode(status)
    request.setHeader('content-type', JSON_CONTENT_TYPE)
    return json.dumps(content).encode()
