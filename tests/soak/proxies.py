"""Loopback proxies that delay, silence and reset connections."""

import asyncio
import threading
import typing

MODES = ('pass', 'delay', 'silent', 'one_way', 'reset')
DELAY_SECONDS = 0.3
CHUNK_BYTES = 65_536


class Proxy:
    """Proxy before one address, on a thread of its own."""

    def __init__(self, target: str) -> None:
        self.mode = 'pass'
        self.address = ''
        self._target = target
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Proxy':
        """Listen on a free port of loopback."""
        asyncio.set_event_loop(self._loop)
        starting = asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._server = self._loop.run_until_complete(starting)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        asyncio.set_event_loop(None)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def set_mode(self, mode: str) -> None:
        """Change what happens to bytes; a reset ends what is open."""
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
        host, _, port = self._target.rpartition(':')
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, there[1]}
        await asyncio.gather(
            self._pump(reader, there[1], is_answer=False),
            self._pump(there[0], writer, is_answer=True),
        )
        self._writers -= {writer, there[1]}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode == 'silent' or (
                    self.mode == 'one_way' and is_answer
                ):
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
