"""Small deployment of a case: store, servers and three hosts."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time
import typing

import callers
import hosts
import store as stores
import wire

ZONES = ('pohja-one', 'pohja-two', 'louna-one')
STABLE_SECONDS = 4.0
"""`stableWindowMs` of the site."""
MAX_SECONDS = 110.0
"""Time after which a case has not run."""
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Server(typing.Protocol):
    """Stand-in that registers itself at the store."""

    async def open(self) -> None:
        """Listen on a free port."""

    async def close(self) -> None:
        """Close all sockets."""

    async def run_heartbeats(self, store: stores.Store) -> None:
        """Write the entry to the store, again and again."""


class Record:
    """Text of what was sent, answered and run, with times in seconds."""

    def __init__(self, file: typing.TextIO) -> None:
        self._file = file
        self._started_at = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line about now, or about a monotonic time."""
        seconds = (at or time.monotonic()) - self._started_at
        self._file.write(f'{seconds:7.3f} s  {text}\n')

    def write(self, text: str) -> None:
        """Write a line without a time."""
        self._file.write(text + '\n')


class Deployment:
    """Asynchronous context manager of a store, servers and hosts.

    It is entered once all hosts are ready, and left once they have ended.
    """

    def __init__(
        self,
        tenants: list[dict[str, typing.Any]],
        servers: abc.Sequence[Server],
    ) -> None:
        self.store = stores.Store()
        self.fleet: list[hosts.Host] = []
        self._tenants = tenants
        self._servers = servers
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> typing.Self:
        """Start everything and wait until the hosts are ready."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        try:
            await self._start(pathlib.Path(folder))
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _start(self, folder: pathlib.Path) -> None:
        address = await self.store.listener.open()
        self.write_state(1, self._tenants)
        self.store.write(
            'op',
            f'version/{callers.MODEL}',
            {'model': callers.MODEL, 'version': 1},
        )
        for server in self._servers:
            await server.open()
            self._stack.push_async_callback(server.close)
            beats = asyncio.ensure_future(server.run_heartbeats(self.store))
            self._stack.callback(beats.cancel)
        for zone in ZONES:
            host = hosts.Host(f'front-{zone}-1', zone, address, folder)
            self._stack.callback(host.end)
            host.start()
            self.fleet.append(host)
        for host in self.fleet:
            await host.wait_ready()

    async def __aexit__(self, *_: object) -> None:
        """End the hosts, then the servers."""
        await self._stack.aclose()

    def write_state(
        self, version: int, tenants: list[dict[str, typing.Any]]
    ) -> None:
        """Write a desired state."""
        state = callers.create_state(version, tenants)
        self.store.write('op', 'config', state)


Play: typing.TypeAlias = abc.Callable[[Record, bool], abc.Awaitable[bool]]
"""Plays a case, with its disruption or without; returns whether the rule was
kept."""


def run(folder: pathlib.Path, rule: str, play: Play) -> None:
    """Play a case, write its record and exit with its result."""
    # Unlike the default, this ends the hosts before the process ends.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    has_trouble = os.environ.get('TROUBLE') != '0'
    with (folder / 'record.txt').open('w') as file:
        record = Record(file)
        try:
            is_kept = asyncio.run(_play_in_time(play(record, has_trouble)))
        except Exception as error:
            record.write(f'could not run: {error!r}')
            sys.exit(EXIT_NOT_RUN)
        record.write(f'{rule} {"held" if is_kept else "broken"}')
        sys.exit(EXIT_HELD if is_kept else EXIT_BROKEN)


async def _play_in_time(playing: abc.Awaitable[bool]) -> bool:
    async with asyncio.timeout(MAX_SECONDS):
        return await playing


async def read_or_none(
    reading: abc.Awaitable[wire.Message | None],
) -> wire.Message | None:
    """Return an answer, None if the connection was closed before its end.

    Raise TimeoutError if it did not come in time.
    """
    try:
        return await reading
    except TimeoutError:
        raise
    except (OSError, asyncio.IncompleteReadError):
        return None
