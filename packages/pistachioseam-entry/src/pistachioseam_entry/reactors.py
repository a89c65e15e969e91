"""The asyncio reactor, shared by twisted and asyncio libraries."""

import asyncio
import sys
import typing

from twisted.internet import asyncioreactor


def install_reactor() -> None:
    """Install the asyncio reactor on a loop that is also the current one."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)


def ensure_reactor() -> None:
    """Install the asyncio reactor unless one is installed."""
    if 'twisted.internet.reactor' not in sys.modules:
        install_reactor()


def get_reactor() -> typing.Any:
    """Return the reactor; importing it earlier would install a default."""
    from twisted.internet import reactor

    return reactor
