"""Twisted's asyncio reactor, which runs Twisted and asyncio on one loop."""

import asyncio
import sys
import typing

from pistachioseam_entry import startup


def install_reactor() -> None:
    """Install the asyncio reactor on a new loop and make the loop current.

    Twisted is imported only now, so that unused libraries stay out.
    """
    with startup.speed_up_imports():
        from twisted.internet import asyncioreactor
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)


def ensure_reactor() -> None:
    """Install the asyncio reactor unless a reactor is already installed."""
    if 'twisted.internet.reactor' not in sys.modules:
        install_reactor()


def get_reactor() -> typing.Any:
    """Return the installed reactor.

    An import at module level would install the default reactor.
    """
    from twisted.internet import reactor

    return reactor
