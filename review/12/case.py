"""Three of fifteen engines are cut off from the store for 5 s."""

import asyncio
import math
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import fleets  # noqa: E402
import servers  # noqa: E402

ZONES = {
    'zone-one': 'region-one',
    'zone-two': 'region-one',
    'zone-three': 'region-two',
}
ENGINES = 15
CUT_ENGINES = 3
START_GAP_SECONDS = 0.35
"""Pause between the starts of the hosts, as of a rolling restart."""
CUT_SECONDS = 5.0
SETTLE_SECONDS = 8.0
"""Twice `stableWindowMs`: the hosts are in touch, and nothing is cut."""
VERSION_ALL_SECONDS = 11.0
MARGIN_SECONDS = 1.0


async def cut_off(fleet, server):
    """Cut a server off from the store: its entry lapses and comes back.

    It says that it lives at steady intervals; its last word before the cut is
    `last` seconds old, and its first one after the cut is on time.
    """
    interval = servers.HEARTBEAT_SECONDS
    last = random.uniform(0, interval)
    fleet.record(f'{server.name} is cut off from the store')
    lapsed_after = 3 * interval - last
    await asyncio.sleep(lapsed_after)
    server.lapse()
    fleet.record(f'the entry of {server.name} has lapsed')
    intervals = math.ceil((CUT_SECONDS + last) / interval)
    await asyncio.sleep(intervals * interval - last - lapsed_after)
    server.register()
    fleet.record(f'{server.name} reaches the store again: entry written')


async def call_engines(fleet, rounds):
    """Send streams to all hosts; return the statuses."""
    statuses = []
    for _ in range(rounds):
        for host in fleet.hosts:
            calls = [
                fleet.call(
                    host, 'stream', b'x', prompt=((f'a{n}', 200), ('bb', 100))
                )
                for n in range(ENGINES)
            ]
            answers = await asyncio.gather(*calls)
            statuses += [answer.status for _, answer in answers]
        await asyncio.sleep(0.3)
    return statuses


async def run(has_trouble):
    """Return the fleet and what broke the rule."""
    async with fleets.Fleet(hosts=6, zones=ZONES) as fleet:
        fleet.write_state([fleets.create_tenant('tenant-one', fleets.KEY)])
        fleet.name_weights(1)
        for number in range(ENGINES):
            await fleet.add_server(
                f'engine-{number}', 'engines', is_engine=True
            )
        await fleet.add_server('plain-0', 'plain')
        await fleet.start_hosts(START_GAP_SECONDS)
        await asyncio.sleep(4)
        before = await call_engines(fleet, 3)
        if has_trouble:
            cut = fleet.servers[:CUT_ENGINES]
            await asyncio.gather(*(cut_off(fleet, server) for server in cut))
        await asyncio.sleep(SETTLE_SECONDS)
        begun = len(fleet.runs)
        after = await call_engines(fleet, 5)
        idle = [
            server.name
            for server in fleet.servers
            if server.name not in {run.server for run in fleet.runs[begun:]}
            if server.is_engine
        ]
        fleet.name_weights(2)
        await asyncio.sleep(VERSION_ALL_SECONDS + MARGIN_SECONDS)
        old = [s.name for s in fleet.servers if s.is_engine and s.version < 2]
        fleet.record(f'served before: {before.count(200)} of {len(before)}')
        fleet.record(f'served after: {after.count(200)} of {len(after)}')
        fleet.record(f'engines that ran nothing after: {idle}')
        fleet.record(f'engines with the older version: {old}')
        violations = []
        if len(old) > 1 and len(old) > ENGINES / 10:
            violations.append(
                f'VERSION: {len(old)} of {ENGINES} engines have the older'
                f' version; {len(idle)} run nothing since the cut'
            )
        return fleet, violations


if __name__ == '__main__':
    sys.exit(fleets.run_case(run, FOLDER))
