"""Loopback TCP proxy of one host's way to the servers."""

import asyncio

CHUNK_BYTES = 65_536


class Path:
    """Way of one host to a server; `cut` refuses and resets connections."""

    def __init__(self, server: str) -> None:
        self.server = server
        self.address = ''
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, on the former port if there was one."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._listening = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        host, port = self._listening.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def cut(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.server.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            _copy(reader, upstream[1]), _copy(upstream[0], writer)
        )
        self._writers -= {writer, upstream[1]}


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        writer.close()
    except OSError:
        writer.transport.abort()
