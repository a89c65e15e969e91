"""A call whose relaying host was killed ends as a false success.

One host is partitioned from all servers, so it sends its calls through the two
others. One of these is killed while it relays calls. The calls are sent again
through the last host, and reach their route's time-out there. Lookups then end
as an empty success, streams as complete though their last pieces are missing.
"""

import asyncio

from review.standins import clients
from review.standins import deployments
from review.standins import servers

WORK_SECONDS = 1.0
ROUTE_TIMEOUT_MS = 1500
DEADLINE_MS = 4000
"""The clients wait for longer than the operator wants it."""
LOOKUPS = 8
STREAMS = 8
PIECES = 12
PIECE_SECONDS = 0.15
"""A stream lasts 1.8 s, longer than its route's time-out."""
PARTITION_SETTLES_SECONDS = 5.0
"""Longer than the time after which the rules count the host as steady."""
KILL_AFTER_SECONDS = 0.7


async def answer_slowly(exchange: servers.Exchange) -> None:
    """Run a request for about two thirds of its route's time-out."""
    exchange.record_run()
    await asyncio.sleep(WORK_SECONDS)
    await exchange.send(exchange.encode(200, exchange.path.encode()))


async def stream_slowly(exchange: servers.Exchange) -> None:
    """Send the pieces of a stream that the client does not have yet."""
    exchange.record_run()
    last = int(exchange.request.headers.get('last-event-id', '0'))
    await exchange.begin_stream()
    for number in range(last + 1, PIECES + 1):
        await asyncio.sleep(PIECE_SECONDS)
        await exchange.send_piece(number)
    await exchange.end_stream()


async def look_up(host: deployments.Host, number: int) -> clients.Answer:
    """Send one lookup."""
    return await clients.send_once(
        host.address, 'GET', f'/safe/{number}', deadline_ms=DEADLINE_MS
    )


async def generate(host: deployments.Host, number: int) -> clients.Answer:
    """Ask for one stream."""
    return await clients.send_once(
        host.address,
        'POST',
        f'/resumable/{number}',
        deadline_ms=DEADLINE_MS,
        headers=servers.create_prompt_headers(f'{number:x}'),
        body=b'prompt',
    )


def find_breach(answer: clients.Answer) -> str:
    """Return how an answer breaks the rule, empty if it does not."""
    if answer.status != 200:
        return ''
    if not answer.stamp or answer.answered_id != answer.request_id:
        return (
            f'{answer.request_id} got status 200 without a stamp and'
            f' {len(answer.body)} bytes'
        )
    pieces = answer.body.count(b'id: ')
    if answer.is_complete and b'id: ' in answer.body and pieces < PIECES:
        return (
            f'{answer.request_id} got a stream that ends as complete after'
            f' {pieces} of {PIECES} pieces'
        )
    return ''


async def play(deployment: deployments.Deployment) -> list[str]:
    """Send lookups; return those that end as a success of no server."""
    for number in range(1, 5):
        await deployment.add_server(f'plain-{number}', handler=answer_slowly)
        await deployment.add_server(
            f'engine-{number}', deployments.ENGINES, stream_slowly
        )
    for route in deployment.routes:
        route['timeoutMs'] = ROUTE_TIMEOUT_MS
    deployment.write_desired_state()
    cut_off = await deployment.add_host('host-1', has_paths=True)
    relays = [await deployment.add_host(f'host-{n}') for n in (2, 3)]
    await deployment.wait_ready()
    await asyncio.sleep(2.0)
    deployment.record('host-1 is partitioned from all servers')
    for path in deployment.paths['host-1']:
        await path.cut()
    # Calls show the host that it reaches no server.
    await asyncio.gather(*(look_up(cut_off, 1000 + n) for n in range(4)))
    await asyncio.sleep(PARTITION_SETTLES_SECONDS)
    calls = [
        *(asyncio.create_task(look_up(cut_off, n)) for n in range(LOOKUPS)),
        *(asyncio.create_task(generate(cut_off, n)) for n in range(STREAMS)),
    ]
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if deployments.has_trouble():
        deployment.record('host-2 is killed')
        relays[0].kill()
    answers = await asyncio.gather(*calls)
    for answer in answers:
        deployment.record(f'client: {answer.describe()}')
    breaches = [find_breach(answer) for answer in answers]
    return [f'MIXED: {breach}' for breach in breaches if breach]


if __name__ == '__main__':
    deployments.run_case(__file__, play)
