"""KV cache of a tenant that has been isolated serves another tenant.

Two tenants share a part of their prompts. A new desired state isolates one of
them. The engines still hold the part that its requests made, and the other
tenant's requests go on finding it.
"""

import asyncio
import dataclasses

from review.standins import clients
from review.standins import deployments
from review.standins import servers

CONFIG_APPLY_SECONDS = 3.0
PAUSE_SECONDS = 0.25
REQUESTS_BEFORE = 8
REQUESTS_AFTER = 12
ISOLATED, OTHER = clients.KEYS


@dataclasses.dataclass
class Use:
    """Use of a cached part: who made it, and whose request found it."""

    server: str
    part: str
    maker: str
    user: str
    request_id: str


class Caches:
    """Cached parts of all engines by server, salt and the parts before."""

    def __init__(self) -> None:
        self.uses: list[Use] = []
        self._makers: dict[tuple[str, str, tuple[str, ...]], str] = {}

    async def answer(self, exchange: servers.Exchange) -> None:
        """Run a prompt on the parts that are cached; cache the others."""
        exchange.record_run()
        name, tenant = exchange.server.name, exchange.get('Tenant')
        salt = exchange.get('Cache-Salt')
        entries = exchange.get('Prompt-Prefix').split(',')
        parts = tuple(entry.partition(':')[0] for entry in entries)
        for length in range(1, len(parts) + 1):
            key = (name, salt, parts[:length])
            maker = self._makers.setdefault(key, tenant)
            if maker != tenant:
                part = parts[length - 1]
                self.uses.append(
                    Use(name, part, maker, tenant, exchange.request_id)
                )
                exchange.server.record(
                    f'{exchange.request_id} of {tenant} finds {part} of'
                    f' {maker} under salt {salt}'
                )
        await exchange.begin_stream()
        for number in range(1, 4):
            await exchange.send_piece(number)
        await exchange.end_stream()


async def ask(
    host: deployments.Host, tenant: str, number: int
) -> clients.Answer:
    """Send a prompt of a tenant; its last part is its own."""
    return await clients.send_once(
        host.address,
        'POST',
        f'/resumable/{number}',
        headers=servers.create_prompt_headers(f'{number + 0x100:x}'),
        body=b'prompt',
        key=clients.KEYS[tenant],
    )


def list_tenants(is_isolated: bool) -> list[dict[str, object]]:
    """Return the tenants of a desired state."""
    return [
        {
            'name': name,
            'apiKeys': [key],
            'priority': 1,
            'isolated': is_isolated and name == ISOLATED,
        }
        for name, key in clients.KEYS.items()
    ]


async def play(deployment: deployments.Deployment) -> list[str]:
    """Isolate a tenant; return the uses of its cache by the other one."""
    caches = Caches()
    for number in (1, 2):
        await deployment.add_server(
            f'engine-{number}', deployments.ENGINES, caches.answer
        )
    deployment.write_desired_state(tenants=list_tenants(False))
    hosts = [await deployment.add_host(f'host-{n}') for n in (1, 2)]
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    for number in range(REQUESTS_BEFORE):
        answer = await ask(hosts[number % 2], ISOLATED, number)
        deployment.record(f'client: {ISOLATED} {answer.describe()}')
        await asyncio.sleep(PAUSE_SECONDS)
    is_isolated = deployments.has_trouble()
    deployment.write_desired_state(tenants=list_tenants(is_isolated))
    deployment.record(f'confirmed: {ISOLATED} is isolated: {is_isolated}')
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 1.0)
    for number in range(REQUESTS_AFTER):
        answer = await ask(hosts[number % 2], OTHER, 100 + number)
        deployment.record(f'client: {OTHER} {answer.describe()}')
        await asyncio.sleep(PAUSE_SECONDS)
    if not is_isolated:
        return []
    return [
        f'WALL: {use.request_id} of {use.user} ran on part {use.part} that'
        f' {use.maker}, which is isolated, made at {use.server}'
        for use in caches.uses
    ]


if __name__ == '__main__':
    deployments.run_case(__file__, play)
