"""Tests of control calls to engines beside late copies of responses."""

from collections import abc
import contextlib
import json

import attrs
from returns import pipeline

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_entry import target_connections
from pistachioseam_platform import engines
from pistachioseam_platform import headers
from tests import call_fakes
from tests.entry import test_target_connections
from tests.entry import test_targets
from tests import support

REPORT = {'seq': 3, 'busy': False, 'models': [], 'queued': 0, 'running': 0}
ORDER = ports.WeightsOrder(
    model=call_fakes.MODEL,
    version=2,
    holder='h',
    fencing_token=1,
    expected_orders=3,
    switch=drains.SwitchMode.FINISH,
    seconds_left=1.0,
)
ORDER_STATUSES = (200, 202, 400, 409, 412, 421, 503)


def create_answer(status: int, content: object) -> bytes:
    """Return a whole answer; those to control calls bear no id."""
    return test_targets.create_response(
        b'HTTP/1.1 %d Any\r\n' % status, json.dumps(content).encode()
    )


def create_target(address: str) -> catalog.LiveTarget:
    """Return an engine at an address."""
    target = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
    return attrs.evolve(target, address=address)


@contextlib.asynccontextmanager
async def run_engine(
    *answers: bytes,
) -> abc.AsyncIterator[
    tuple[test_targets.CopyingTarget, engines.EngineClient]
]:
    """Run a server with late copies, and a client with a pool."""
    async with test_targets.run_server(*answers) as server:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            yield server, engines.EngineClient(pool)


async def send_order(
    client: engines.EngineClient, target: catalog.LiveTarget
) -> int:
    """Return the status of the answer to an order."""
    ordered = await client.order_weights(target, ORDER, lambda: True)
    return ordered.unwrap()


async def read_report(
    client: engines.EngineClient, target: catalog.LiveTarget
) -> int:
    """Return the orders of an engine's report, -1 without one."""
    read = await client.read_report(target)
    return read.unwrap().orders if pipeline.is_successful(read) else -1


def test_copy_of_an_orders_answer_is_no_report(case: support.Case) -> None:
    """Weights or runs that nobody reported would decide about an order."""

    async def work() -> None:
        for status in ORDER_STATUSES:
            report = create_answer(200, REPORT)
            async with run_engine(
                create_answer(status, {}), report, report
            ) as (server, client):
                target = create_target(server.address)
                case.assertEqual(status, await send_order(client, target))
                case.assertEqual(-1, await read_report(client, target))
                case.assertEqual(3, await read_report(client, target))
                case.assertEqual(2, server.connections)

    test_target_connections.run(work)


def test_copy_of_a_report_or_an_order_is_no_orders_answer(
    case: support.Case,
) -> None:
    """Weights that are not loaded would count as loaded, by a copied 200."""

    async def work() -> None:
        answers = [
            create_answer(200, REPORT),
            create_answer(409, {}),
            create_answer(202, {}),
        ]
        async with run_engine(*answers) as (server, client):
            target = create_target(server.address)
            case.assertEqual(3, await read_report(client, target))
            statuses = [await send_order(client, target) for _ in range(2)]
            case.assertEqual([409, 202], statuses)

    test_target_connections.run(work)


def test_changed_epoch_is_read_on_a_new_connection(
    case: support.Case,
) -> None:
    """A copy of an earlier answer of a KV cache store precedes no answer."""

    async def work() -> None:
        answers = [
            create_answer(200, {'epoch': epoch, 'next': 7})
            for epoch in (5, 6, 6)
        ]
        async with run_engine(*answers) as (server, client):
            epochs = []
            for is_new in (False, False, True):
                read = await client.read_epoch(
                    server.address, 0, needs_new_connection=is_new
                )
                epochs.append(read.unwrap().epoch)
            case.assertEqual([5, 5, 6], epochs)

    test_target_connections.run(work)


def test_invalid_status_is_no_answer_of_an_engine_or_store(
    case: support.Case,
) -> None:
    """Guards against a rollout that goes on by an answer nobody can read."""

    async def work() -> None:
        for status in (0, 20, 600, 999):
            answer = create_answer(status, {**REPORT, 'epoch': 5, 'next': 7})
            async with run_engine(answer, answer, answer) as (server, client):
                target = create_target(server.address)
                answers = [
                    await client.order_weights(target, ORDER, lambda: True),
                    await client.read_report(target),
                    await client.read_epoch(server.address, 0),
                ]
                kinds = [each.failure().kind for each in answers]
                case.assertEqual(
                    3 * [interfaces.FailureKind.BROKEN], kinds, status
                )

    test_target_connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
