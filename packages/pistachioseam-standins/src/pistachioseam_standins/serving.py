"""Listening shared by the stand-ins."""

import json
import typing

import fire
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import server

JSON_TYPE = 'application/json'
_REACTOR: typing.Any = reactor


class Application(typing.Protocol):
    """Stand-in with a klein application."""

    app: typing.Any


def serve(application: Application, address: str) -> None:
    """Listen on `IP-number:port` until the process is ended."""
    host, _, port = address.rpartition(':')
    site = server.Site(application.app.resource())
    _REACTOR.listenTCP(int(port), site, interface=host)
    _REACTOR.run()


def sleep(seconds: float) -> defer.Deferred[None]:
    """Return a Deferred that fires after a delay."""
    return task.deferLater(_REACTOR, seconds)


def call_later(
    seconds: float, work: typing.Callable[..., object], *arguments: object
) -> None:
    """Call a function after a delay."""
    _REACTOR.callLater(seconds, work, *arguments)


def run_command(command: typing.Callable[..., None]) -> None:
    """Run a stand-in from its command line."""
    fire.Fire(command)


def read_json(request: typing.Any) -> typing.Any:
    """Return the JSON body of a request."""
    return json.loads(request.content.read() or b'{}')


def encode_json(
    request: typing.Any, content: object, status: int = 200
) -> bytes:
    """Return a JSON answer."""
    request.setResponseCode(status)
    request.setHeader('content-type', JSON_TYPE)
    return json.dumps(content).encode()
