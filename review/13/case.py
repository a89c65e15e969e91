"""A server comes and leaves while the store turns one host away."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import fleets  # noqa: E402

STABLE_SECONDS = 4.0
DRAIN_SECONDS = 3.0
TURNED_AWAY_SECONDS = 8.0
STAY_SECONDS = 2.5
"""Time from the entry of the new server to its removal."""
LINGER_SECONDS = 10.0
"""Time that the server serves on after `drainMs`."""


async def come_and_leave(fleet):
    """Start a server, remove its entry, let it serve on; return its end."""
    server = await fleet.add_server('new', 'plain', work_seconds=1)
    fleet.record(f'server {server.name} starts')
    await asyncio.sleep(STAY_SECONDS)
    server.lapse()
    left_at = time.monotonic()
    fleet.record(f'server {server.name} leaves: its entry is removed')
    return server, left_at


async def book(fleet, until):
    """Send bookings to all hosts; return the ids of those without a 200."""
    lost = []
    while time.monotonic() < until:
        calls = [
            fleet.call(host, 'once', b'booking')
            for host in fleet.hosts
            for _ in range(4)
        ]
        for request_id, answer in await asyncio.gather(*calls):
            if answer.status != 200:
                lost.append(request_id)
        await asyncio.sleep(0.2)
    return lost


async def run(has_trouble):
    """Return the fleet and what broke the rule."""
    async with fleets.Fleet(hosts=3) as fleet:
        fleet.write_state([fleets.create_tenant('tenant-one', fleets.KEY)])
        fleet.name_weights(1)
        for number in range(3):
            await fleet.add_server(f'plain-{number}', 'plain', work_seconds=1)
        await fleet.add_server('engine-0', 'engines', is_engine=True)
        await fleet.start_hosts()
        await asyncio.sleep(STABLE_SECONDS + 1)
        away = fleet.hosts[0]
        if has_trouble:
            fleet.store.refused = {away.number - 1}
            fleet.record(f'the store turns {away.name} away')
        begun_at = time.monotonic()
        await asyncio.sleep(1)
        server, left_at = await come_and_leave(fleet)
        ends_at = left_at + DRAIN_SECONDS + LINGER_SECONDS
        in_touch_at = begun_at + TURNED_AWAY_SECONDS + STABLE_SECONDS
        await asyncio.sleep(begun_at + TURNED_AWAY_SECONDS - time.monotonic())
        fleet.store.accept_all()
        fleet.record(f'the store serves {away.name} again')
        await asyncio.sleep(in_touch_at + 0.5 - time.monotonic())
        fleet.record('all hosts are in touch')
        bookings = asyncio.ensure_future(book(fleet, ends_at + 1))
        await asyncio.sleep(ends_at - time.monotonic())
        fleet.record(f'server {server.name} exits')
        server.crash()
        lost = await bookings
        late = [
            run
            for run in fleet.runs
            if run.server == server.name and run.at > in_touch_at
        ]
        ran = {run.request_id for run in late}
        lost = [request_id for request_id in lost if request_id in ran]
        fleet.record(f'bookings that ran there and were lost: {len(lost)}')
        violations = []
        if late:
            violations.append(
                f'DRAIN: {len(late)} requests reached {server.name} later than'
                f' drainMs after it had left; {len(lost)} were lost'
            )
        return fleet, violations


if __name__ == '__main__':
    sys.exit(fleets.run_case(run, FOLDER))
