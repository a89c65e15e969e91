"""One unreadable entry of a server ends the watch of all entries.

Another writer leaves an entry that names no server to use. A server then
leaves as planned. At the end all processes of the system are killed and start
again.
"""

import asyncio
import time

from review.standins import clients
from review.standins import deployments

DRAIN_SECONDS = 3.0
RECOVERY_SECONDS = 12.0
CALL_PAUSE_SECONDS = 0.05
GHOST_ENTRY = (
    b'{"service": "plain", "address": "127.0.0.1:9", "zone": "zone-1",'
    b' "version": "v1", "capacity": 6, "state": "ready",'
    b' "coldRemainingMs": 0, "seq": 1, "born": Infinity}'
)
"""`Infinity` is no JSON, and no whole number; Python's encoder writes it."""


async def call_for(
    deployment: deployments.Deployment, seconds: float
) -> list[clients.Answer]:
    """Send lookups to the hosts in turn."""
    end = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end:
        host = deployment.hosts[len(answers) % len(deployment.hosts)]
        path = f'/safe/{len(answers)}'
        answer = await clients.send_once(host.address, 'GET', path)
        deployment.record(f'client: {host.name} {answer.describe()}')
        answers.append(answer)
        await asyncio.sleep(CALL_PAUSE_SECONDS)
    return answers


async def play(deployment: deployments.Deployment) -> list[str]:
    """Return requests that came too late, and whether the hosts recover."""
    for number in (1, 2, 3):
        await deployment.add_server(f'plain-{number}')
    deployment.write_desired_state()
    for number in (1, 2):
        await deployment.add_host(f'host-{number}')
    await deployment.wait_ready()
    await call_for(deployment, 4.0)
    if deployments.has_trouble():
        deployment.record('another writer leaves an unreadable entry')
        deployment.store.write('servers', 'ghost', GHOST_ENTRY)
    await call_for(deployment, 4.0)
    leaving = deployment.servers[0]
    leaving.state = 'draining'
    leaving.register()
    drained_at = time.monotonic()
    deployment.record(f'{leaving.name} says that it drains')
    answers = await call_for(deployment, DRAIN_SECONDS + 3.0)
    late_ids = {
        answer.request_id
        for answer in answers
        if answer.sent_at > drained_at + DRAIN_SECONDS
    }
    late = [r for _, r in leaving.requests if r in late_ids]
    leaving.is_registered = False
    deployment.store.remove('servers', leaving.name)
    broken = []
    if late:
        broken.append(
            f'DRAIN: {len(late)} requests, sent more than {DRAIN_SECONDS} s'
            f' after that, reached {leaving.name}'
        )
    deployment.record('all hosts are killed and start again')
    for host in deployment.hosts:
        host.kill()
    await asyncio.sleep(1.0)
    for host in deployment.hosts:
        host.start()
    await asyncio.sleep(RECOVERY_SECONDS)
    ready = [await deployments.is_ready(host) for host in deployment.hosts]
    answers = await call_for(deployment, 5.0)
    served = sum(answer.status == 200 for answer in answers)
    deployment.record(f'ready: {ready}; served {served} of {len(answers)}')
    if served < len(answers) / 4:
        broken.append(
            f'RECOVER: {served} of {len(answers)} requests served, sent more'
            f' than {RECOVERY_SECONDS} s after the hosts were back'
        )
    return broken


if __name__ == '__main__':
    deployments.run_case(__file__, play)
