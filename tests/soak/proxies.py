"""Loopback TCP proxies that delay, block and reset connections."""

import asyncio
import threading
import typing

MODES = ('pass', 'delay', 'silent', 'one_way', 'reset')
DELAY_SECONDS = 0.3
"""Delay of each chunk, and interval at which a blocked one checks the mode."""
CHUNK_BYTES = 65_536


class Proxy:
    """TCP proxy in front of the store, with an event loop on its own thread.

    Modes: `pass` forwards, `delay` forwards each chunk after DELAY_SECONDS,
    `silent` blocks both directions, `one_way` blocks responses, `reset` aborts
    the open connections once, then forwards.
    """

    def __init__(self, store_address: str) -> None:
        self.mode = 'pass'
        self.address = ''
        self._store_address = store_address
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Proxy':
        """Listen on a free loopback port and start the thread."""
        asyncio.set_event_loop(self._loop)
        start_coroutine = asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._server = self._loop.run_until_complete(start_coroutine)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        asyncio.set_event_loop(None)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the event loop and end the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def set_mode(self, mode: str) -> None:
        """Set the mode; `reset` aborts the open connections at once."""
        self.mode = mode
        if mode == 'reset':
            self._loop.call_soon_threadsafe(self._reset_all)

    def _reset_all(self) -> None:
        for writer in self._writers:
            transport: typing.Any = writer.transport
            transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._store_address.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._copy(reader, upstream[1], is_response=False),
            self._copy(upstream[0], writer, is_response=True),
        )
        self._writers -= {writer, upstream[1]}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode == 'silent' or (
                    self.mode == 'one_way' and is_response
                ):
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
