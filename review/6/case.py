"""Clients leave while their bookings can't be sent; they are sent later."""

import asyncio
import pathlib
import time

import bookings
import callers
import deployments
import engines
import hosts

OUTAGE_SECONDS = 2.0
PATIENCE_SECONDS = 0.3
LATE_SECONDS = 0.5
"""Time after a client's close from which a request counts."""
AFTER_SECONDS = 5.0
CLIENTS = 24
SPACING_SECONDS = 0.05
FEW = 8
"""A third of the clients; the rule allows a few."""
TENANTS = [callers.create_tenant('alpha', 'key-a')]


class Client:
    """Client that sends one booking and leaves if it has to wait."""

    def __init__(self, request_id: str, host: hosts.Host) -> None:
        self.request_id = request_id
        self.left_at: float | None = None
        self._host = host

    async def run(self, record: deployments.Record) -> None:
        """Send the booking, wait for the answer for a while, then leave."""
        record.note(f'{self.request_id} is sent to {self._host.name}')
        answer = await callers.book(
            self._host.address, 'key-a', self.request_id, PATIENCE_SECONDS
        )
        if answer is None:
            self.left_at = time.monotonic()
            record.note(f'{self.request_id}: the client has left')
        else:
            record.note(f'{self.request_id} is answered {answer.status}')


async def play(record: deployments.Record, has_trouble: bool) -> bool:
    """Return whether the rule was kept."""
    server = bookings.BookingServer('b-1', 'bookings', deployments.ZONES[0])
    models = [
        engines.Engine(f'e-{zone}', 'engines', callers.MODEL, zone)
        for zone in deployments.ZONES
    ]
    async with deployments.Deployment(TENANTS, [server, *models]) as small:
        await asyncio.sleep(deployments.STABLE_SECONDS)
        outage_at = time.monotonic()
        if has_trouble:
            await server.lose_power()
            record.note('the booking server loses its power')
        clients = []
        running = []
        for number in range(CLIENTS):
            host = small.fleet[number % len(small.fleet)]
            client = Client(f'q-{number}', host)
            clients.append(client)
            running.append(asyncio.ensure_future(client.run(record)))
            await asyncio.sleep(SPACING_SECONDS)
        await asyncio.gather(*running)
        await asyncio.sleep(outage_at + OUTAGE_SECONDS - time.monotonic())
        if has_trouble:
            await server.start_again()
            record.note('the booking server is back')
        await asyncio.sleep(AFTER_SECONDS)
    late = count_late(record, server, clients)
    record.note(f'{late} requests came too late, of {CLIENTS}')
    return late <= FEW


def count_late(
    record: deployments.Record,
    server: bookings.BookingServer,
    clients: list[Client],
) -> int:
    """Return how many requests came long after their clients had left."""
    left_at = {client.request_id: client.left_at for client in clients}
    late = set()
    for arrival in server.arrivals:
        left = left_at[arrival.request_id]
        text = f'{arrival.request_id} reaches the server'
        text += ', which runs it' if arrival.is_run else ', which rejects it'
        if left is not None and arrival.at > left + LATE_SECONDS:
            late.add(arrival.request_id)
            text += f', {arrival.at - left:.2f} s after its client has left'
        record.note(text, arrival.at)
    return len(late)


if __name__ == '__main__':
    deployments.run(pathlib.Path(__file__).parent, 'GONE', play)
