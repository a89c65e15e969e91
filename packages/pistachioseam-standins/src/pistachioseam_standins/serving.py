"""HTTP server, timers and JSON helpers of the stand-ins."""

import json
import typing

import fire
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

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
