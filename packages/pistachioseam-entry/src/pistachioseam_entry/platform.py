"""Client of the platform's transactional table service."""

import asyncio
from collections import abc
import json
import typing

import attrs
from returns import result
import treq
from twisted.internet import error
from twisted.web import client
from twisted.web import http

from pistachioseam import interfaces
from pistachioseam_entry import reactors
from pistachioseam_entry import response_parsers
from pistachioseam_entry import settings

JSON_HEADERS = {'content-type': ['application/json']}


@attrs.frozen
class ListedTarget:
    """Target in the platform's host list, which may be out of date."""

    name: str
    address: str
    is_leaving: bool


class PlatformClient:
    """HTTP client of the table service; implements `interfaces.TableStore`."""

    def __init__(self, options: settings.Platform) -> None:
        self._base_url = f'http://{options.address}'
        self._timeout_seconds = options.timeout_seconds
        pool = response_parsers.StrictPool(
            reactors.get_reactor(), persistent=True
        )
        self._agent = client.Agent(
            reactors.get_reactor(),
            connectTimeout=options.timeout_seconds,
            pool=pool,
        )

    async def read(self, key: interfaces.RowKey) -> interfaces.ReadResult:
        """Return the current row."""
        path = f'/v1/tables/{key.table}/rows/{key.key}'
        received = await self._request('GET', path, None)
        return received.map(lambda response: _decode_row(response.content))

    async def scan(self, tables: abc.Sequence[str]) -> interfaces.ScanResult:
        """Return all rows of the tables, read in one transaction."""
        path = f'/v1/scan?tables={",".join(tables)}'
        received = await self._request('GET', path, None)
        return received.map(lambda response: _decode_view(response.content))

    async def commit(
        self,
        conditions: abc.Sequence[interfaces.Condition],
        writes: abc.Sequence[interfaces.Write],
    ) -> interfaces.CommitResult:
        """Apply the writes if all conditions hold; return the revision."""
        body = {
            'conditions': [
                {
                    'table': condition.key.table,
                    'key': condition.key.key,
                    'version': condition.version,
                }
                for condition in conditions
            ],
            'writes': [
                {
                    'table': write.key.table,
                    'key': write.key.key,
                    'value': write.value,
                }
                for write in writes
            ],
        }
        received = await self._request('POST', '/v1/transactions', body)
        return received.bind(_decode_commit)

    async def list_hosts(
        self,
    ) -> result.Result[tuple[ListedTarget, ...], interfaces.StoreError]:
        """Return the platform's list of live and leaving target hosts."""
        received = await self._request('GET', '/v1/hosts', None)
        return received.map(lambda response: _decode_hosts(response.content))

    async def _request(
        self, method: str, path: str, body: object
    ) -> result.Result['_Response', interfaces.StoreError]:
        data = None if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(self._timeout_seconds):
                return await self._send(method, path, data)
        except error.ConnectError:
            return result.Failure(interfaces.StoreError.UNAVAILABLE)
        except Exception:
            return result.Failure(interfaces.StoreError.LOST)

    async def _send(
        self, method: str, path: str, data: bytes | None
    ) -> result.Result['_Response', interfaces.StoreError]:
        loop = asyncio.get_running_loop()
        sent = treq.request(
            method,
            self._base_url + path,
            headers=JSON_HEADERS,
            data=data,
            agent=self._agent,
        )
        response = await sent.asFuture(loop)
        content = await treq.content(response).asFuture(loop)
        if response.code == http.SERVICE_UNAVAILABLE:
            return result.Failure(interfaces.StoreError.UNAVAILABLE)
        return result.Success(_Response(response.code, json.loads(content)))


@attrs.frozen
class _Response:
    status: int
    content: typing.Any


def _decode_row(content: typing.Any) -> interfaces.Row:
    return interfaces.Row(
        interfaces.RowKey(content['table'], content['key']),
        content['version'],
        content['value'],
    )


def _decode_view(content: typing.Any) -> interfaces.TablesView:
    rows = tuple(_decode_row(row) for row in content['rows'])
    return interfaces.TablesView(content['revision'], rows)


def _decode_hosts(content: typing.Any) -> tuple[ListedTarget, ...]:
    return tuple(
        ListedTarget(host['name'], host['address'], host['is_leaving'])
        for host in content['hosts']
    )


def _decode_commit(response: _Response) -> interfaces.CommitResult:
    if response.status == http.CONFLICT:
        return result.Failure(interfaces.StoreError.CONFLICT)
    if response.status != http.OK:
        return result.Failure(interfaces.StoreError.UNAVAILABLE)
    return result.Success(response.content['revision'])
