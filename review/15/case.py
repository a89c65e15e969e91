"""All hosts are killed while a request that crashes servers is refused."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import fleets  # noqa: E402

CRASH_BODY = b'this request crashes the servers that run it'
STABLE_SECONDS = 4.0
MAX_RETRIES = 3
PAUSE_SECONDS = 5.0
"""Pause between two tries: the servers are back, and the hosts in touch."""


def count_crashing(fleet, since=0.0):
    """Return how often the crashing request has run since a time."""
    return sum(
        run.body == CRASH_BODY and run.at >= since for run in fleet.runs
    )


async def send_crashing(fleet, tries):
    """Send the crashing request to the hosts in turn."""
    for number in range(tries):
        host = fleet.hosts[number % len(fleet.hosts)]
        await fleet.call(host, 'safe', CRASH_BODY)
        await asyncio.sleep(PAUSE_SECONDS)


async def restart_hosts(fleet):
    """Kill all hosts, start them, and wait until they are in touch."""
    fleet.kill_hosts()
    await fleet.start_hosts()
    await asyncio.sleep(STABLE_SECONDS + 1)


async def run(has_trouble):
    """Return the fleet and what broke the rule."""
    async with fleets.Fleet(hosts=3) as fleet:
        fleet.crash_body = CRASH_BODY
        fleet.write_state([fleets.create_tenant('tenant-one', fleets.KEY)])
        fleet.name_weights(1)
        for number in range(5):
            await fleet.add_server(f'plain-{number}', 'plain', work_seconds=1)
        for number in range(3):
            await fleet.add_server(
                f'engine-{number}', 'engines', is_engine=True
            )
        await fleet.start_hosts()
        await asyncio.sleep(STABLE_SECONDS + 1)
        await send_crashing(fleet, 4)
        third_at = sorted(
            run.at for run in fleet.runs if run.body == CRASH_BODY
        )[2]
        counted_from = max(time.monotonic(), third_at + STABLE_SECONDS)
        fleet.record(f'{count_crashing(fleet)} runs before')
        if has_trouble:
            await restart_hosts(fleet)
        bookings = [
            asyncio.ensure_future(fleet.call(host, 'once', b'booking'))
            for host in fleet.hosts
            for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        await send_crashing(fleet, 3)
        if has_trouble:
            await restart_hosts(fleet)
        await send_crashing(fleet, 3)
        lost = [
            request_id
            for request_id, answer in await asyncio.gather(*bookings)
            if answer.status != 200
            if any(run.request_id == request_id for run in fleet.runs)
        ]
        retries = count_crashing(fleet, counted_from)
        fleet.record(f'{retries} retries reached servers')
        fleet.record(f'bookings that ran and were lost: {len(lost)}')
        violations = []
        if retries > MAX_RETRIES:
            violations.append(
                f'BUDGET: the request reached servers in {retries} retries,'
                f' {MAX_RETRIES} are allowed; {len(lost)} bookings were lost'
            )
        return fleet, violations


if __name__ == '__main__':
    sys.exit(fleets.run_case(run, FOLDER))
