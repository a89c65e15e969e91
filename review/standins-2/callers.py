"""Clients of the small deployment, and its desired state."""

import asyncio
import typing

import wire

ROUTE_HOST = 'host.example'
MODEL = 'm0'
PREFIX = 'X-Pistachioseam-'
TIMEOUT_MS = 5000


def create_tenant(name: str, key: str) -> dict[str, typing.Any]:
    """Return a tenant with one key."""
    return {'name': name, 'apiKeys': [key], 'isolated': False}


def create_state(
    version: int,
    tenants: list[dict[str, typing.Any]],
    limit_ms: int = TIMEOUT_MS,
    objective_ms: int = 800,
) -> dict[str, typing.Any]:
    """Return a desired state with a stream route and a route for bookings.

    The time limit and the latency objective are those of the stream route.
    """
    common = {
        'host': ROUTE_HOST,
        'priority': 1,
        'public': False,
        'targetGapMs': 400,
    }
    return {
        'version': version,
        'routes': [
            {
                'name': 'stream',
                'prefix': '/stream/',
                'kind': 'streaming',
                'resumable': True,
                'timeoutMs': limit_ms,
                'targetLatencyMs': objective_ms,
                'service': 'engines',
                'attempts': 2,
                'sessionAffinity': True,
                **common,
            },
            {
                'name': 'book',
                'prefix': '/book/',
                'kind': 'unsafe',
                'timeoutMs': 4000,
                'targetLatencyMs': 500,
                'service': 'bookings',
                'attempts': 1,
                'sessionAffinity': False,
                **common,
            },
        ],
        'services': [
            {
                'name': 'engines',
                'healthCheck': '/health',
                'maxConnections': 630,
                'engine': {
                    'capacity': 128,
                    'kvCapacityTokens': 88566,
                    'kvTokenBytes': 262144,
                    'bandwidthMbps': 1100000.0,
                    'models': [{'name': MODEL}],
                },
            },
            {
                'name': 'bookings',
                'healthCheck': '/health',
                'maxConnections': 110,
            },
        ],
        'limits': {
            'headerBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


async def stream(
    address: str,
    key: str,
    request_id: str,
    parts: dict[str, int],
    limit_ms: int = TIMEOUT_MS,
) -> wire.Message:
    """Send a model request; return the whole response."""
    tokens = sum(parts.values())
    prefix = ','.join(f'{name}:{size}' for name, size in parts.items())
    request = wire.encode_request(
        'POST',
        '/stream/x',
        [
            ('Host', ROUTE_HOST),
            ('Authorization', f'Bearer {key}'),
            (PREFIX + 'Request-Id', request_id),
            (PREFIX + 'Deadline-Ms', str(limit_ms)),
            (PREFIX + 'Model', MODEL),
            (PREFIX + 'Token-Count', f'{tokens},20'),
            (PREFIX + 'Prompt-Prefix', prefix),
        ],
        b'prompt',
    )
    return await wire.call(address, request, limit_ms / 1000 + 1)


async def stream_until_served(
    address: str, key: str, name: str, parts: dict[str, int]
) -> str:
    """Send a model request until it is served; return its id."""
    for attempt in range(20):
        request_id = f'{name}-{attempt}'
        answer = await stream(address, key, request_id, parts)
        if answer.status == 200:
            return request_id
        await asyncio.sleep(0.5)
    raise RuntimeError(f'{name} is not served')


def encode_booking(
    key: str,
    request_id: str,
    body: bytes = b'one seat',
    limit_ms: int = 4000,
) -> bytes:
    """Return the bytes of a booking."""
    return wire.encode_request(
        'POST',
        '/book/seat',
        [
            ('Host', ROUTE_HOST),
            ('Authorization', f'Bearer {key}'),
            (PREFIX + 'Request-Id', request_id),
            (PREFIX + 'Deadline-Ms', str(limit_ms)),
        ],
        body,
    )


async def book(
    address: str, key: str, request_id: str, patience_seconds: float
) -> wire.Message | None:
    """Send a booking; return the answer, None if the client left before it.

    It closes its connection after `patience_seconds`.
    """
    request = encode_booking(key, request_id)
    try:
        return await wire.call(address, request, patience_seconds)
    except TimeoutError:
        return None
