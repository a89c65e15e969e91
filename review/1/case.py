"""A late copy of a rejection meets the next request on its connection.

Servers with few slots reject orders while they are full. For some seconds,
three times, two of the three send a second copy of some of their answers late:
where the answer to the next request on that connection is due.
"""

import asyncio
import collections
import random
import time

from review.standins import clients
from review.standins import deployments
from review.standins import servers

SLOTS = 6
WORK_SECONDS = 0.09
CLIENTS = 48
PAUSE_SECONDS = 0.2
TROUBLE_SECONDS = 5.0
"""As long as on the users' sheet, like the two figures below."""
TROUBLES = 3
CALM_SECONDS = 1.0
"""Pause between two times of trouble."""
GARBLING_SERVERS = ('plain-1', 'plain-2')
"""Two of three, the next number to a share of 0.6."""
COPIED_SHARE = 0.03


class Orders:
    """Servers that reject what finds no slot, and repeat some answers."""

    def __init__(self) -> None:
        self.is_garbling = False
        self._busy: collections.Counter[str] = collections.Counter()
        self._late: dict[asyncio.StreamWriter, bytes] = {}
        self._random = random.Random()

    async def garble(self, deployment: deployments.Deployment) -> None:
        """Repeat some answers during each time of trouble."""
        for _ in range(TROUBLES):
            self.is_garbling = deployments.has_trouble()
            deployment.record(f'second copies: {self.is_garbling}')
            await asyncio.sleep(TROUBLE_SECONDS)
            self.is_garbling = False
            await asyncio.sleep(CALM_SECONDS)

    async def answer(self, exchange: servers.Exchange) -> None:
        """Send a copy that is late, then run or reject the request."""
        name = exchange.server.name
        late = self._late.pop(exchange.writer, None)
        if late is not None:
            exchange.server.record(
                f'second copy of {late.split()[1].decode()} answer, where that'
                f' to {exchange.request_id} is due'
            )
            await exchange.send(late)
        if self._busy[name] >= SLOTS:
            exchange.server.record(f'rejected {exchange.request_id}')
            answer = exchange.encode_shed()
        else:
            self._busy[name] += 1
            exchange.record_run()
            await asyncio.sleep(WORK_SECONDS)
            self._busy[name] -= 1
            answer = exchange.encode(200, exchange.path.encode())
        await exchange.send(answer)
        is_garbled = self.is_garbling and name in GARBLING_SERVERS
        if is_garbled and self._random.random() < COPIED_SHARE:
            self._late[exchange.writer] = answer


async def order_repeatedly(
    host: deployments.Host, number: int, end: float
) -> list[clients.Answer]:
    """Send orders on one kept connection; each has an id of its own."""
    connection = clients.Connection(host.address)
    answers = []
    while time.monotonic() < end:
        path = f'/once/{number}-{len(answers)}'
        answers.append(await connection.send('POST', path, body=b'order'))
        await asyncio.sleep(PAUSE_SECONDS)
    connection.close()
    return answers


async def play(deployment: deployments.Deployment) -> list[str]:
    """Send orders that may run once; return those that ran more often."""
    orders = Orders()
    for number in range(1, 4):
        await deployment.add_server(f'plain-{number}', handler=orders.answer)
    deployment.write_desired_state()
    hosts = [
        await deployment.add_host(f'host-{number}') for number in (1, 2, 3)
    ]
    await deployment.wait_ready()
    end = time.monotonic() + TROUBLES * (TROUBLE_SECONDS + CALM_SECONDS)
    garbling = asyncio.create_task(orders.garble(deployment))
    results = await asyncio.gather(
        *(
            order_repeatedly(hosts[number % len(hosts)], number, end)
            for number in range(CLIENTS)
        )
    )
    await garbling
    answers = [answer for result in results for answer in result]
    for answer in answers:
        deployment.record(f'client: {answer.describe()}')
    runs = collections.Counter(
        run for server in deployment.servers for _, run in server.runs
    )
    statuses = collections.Counter(answer.status for answer in answers)
    deployment.record(f'orders {len(answers)}, by status {dict(statuses)}')
    broken = []
    for answer in answers:
        count = runs[answer.request_id]
        if count > 1:
            broken.append(f'TWICE: {answer.request_id} ran {count} times')
        if count and answer.status in (408, 421, 429, 503):
            broken.append(
                f'REFUSED: {answer.request_id} ran, answered {answer.status}'
            )
    return broken


if __name__ == '__main__':
    deployments.run_case(__file__, play)
