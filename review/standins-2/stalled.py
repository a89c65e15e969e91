"""Stand-in of a server whose answers stall after some bytes."""

import asyncio

import bookings
import wire

PREFIX = bookings.PREFIX
STEP_SECONDS = 1.0


class StallingServer(bookings.BookingServer):
    """Booking server with long answers, which may stall in the middle.

    While `is_stalled`, an answer stops after its first half and goes on with a
    byte a second. `open_answers` counts the answers that have not ended.
    """

    def __init__(
        self, name: str, service: str, zone: str, answer: bytes
    ) -> None:
        super().__init__(name, service, zone, answer)
        self.is_stalled = False
        self.open_answers = 0

    async def _answer_run(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        head = wire.encode_response(
            200,
            [
                (PREFIX + 'Request-Id', request_id),
                (PREFIX + 'Server-Stamp', f'{self.name}.{request_id}'),
            ],
            self._answer,
        )
        if not self.is_stalled:
            writer.write(head)
            return
        middle = len(head) - len(self._answer) // 2
        self.open_answers += 1
        try:
            writer.write(head[:middle])
            await writer.drain()
            for byte in head[middle:]:
                await asyncio.sleep(STEP_SECONDS)
                writer.write(bytes([byte]))
                await writer.drain()
        finally:
            self.open_answers -= 1
