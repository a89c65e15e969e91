"""What crashes targets is known as long as the calls come, by any host."""

import asyncio
import typing

from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import crashes
from pistachioseam.forwarding import prompts
from pistachioseam import quarantine
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import row_stores
from tests import support

Kind = call_fakes.Kind
HOSTS = 3
CRASHES = 3
WRITE_SECONDS = 1.0
"""Time in which a record is in the store."""
CALL_PAUSE_SECONDS = 10.0
LONG_SECONDS = 3 * 3600.0
TIMEOUT_SECONDS = 2 * quarantine.KEEP_SECONDS
MAX_RETRIES = 3
"""Retries that may reach targets after the request has crashed the third."""
PROMPT = prompts.Prompt(
    model=call_fakes.MODEL,
    prompt_tokens=10,
    output_tokens=1,
    parts=(prompts.Part('base', 5), prompts.Part('bad', 5)),
)


class Host:
    """Host whose targets all crash, or do not, while they run a request."""

    def __init__(self, store: row_stores.RowStore) -> None:
        self.fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(n) for n in range(4)], row_store=store
        )
        self.fixture.list_software_versions()
        self.router = self.fixture.router
        self.targets = self.fixture.targets

    async def start(self) -> None:
        """Read the records and write new ones from then on."""
        self.fixture.runtime.start(self.router.crash_records.run())
        await asyncio.sleep(WRITE_SECONDS)

    async def serve(self, is_crash: bool, route: str = '/safe/') -> typing.Any:
        """Serve the request; return its call."""
        addresses = [t.address for t in self.router.catalog.list_all()]
        self.targets.crashed_addresses = set(addresses if is_crash else ())
        step = call_fakes.respond()
        if is_crash:
            step = call_fakes.create_failure(Kind.BROKEN)
        call, _ = await self.fixture.serve(route, *([step],) * 4)
        await asyncio.sleep(0.2)
        return call

    def record_part_crashes(self) -> None:
        """Record crashes under a prompt part, on several occasions."""
        for number in range(CRASHES):
            self.router.crash_evidence.record_crash(
                PROMPT,
                ('engine', number),
                self.router.runtime.now() - 2.0 * number,
            )
        self.router.crash_records.record(
            crash_records.Subject(model=call_fakes.MODEL, part='base')
        )

    async def check_part(self) -> refusals.Refusal | None:
        """Return the refusal of a call with the part, None if it may run."""
        call = self.fixture.create_call('/stream/', PROMPT)
        return await crashes.check_quarantine(call, self.router)


def is_quarantined(call: typing.Any) -> bool:
    """Return whether a call was refused as it may crash targets."""
    return (
        call.refusal is not None
        and call.refusal.reason is refusals.Reason.QUARANTINED
    )


async def create_hosts(store: row_stores.RowStore) -> list[Host]:
    """Return hosts that have read the store."""
    hosts = [Host(store) for _ in range(HOSTS)]
    for host in hosts:
        await host.start()
    return hosts


async def quarantine_request(hosts: list[Host]) -> None:
    """Let a request crash targets until all hosts refuse it."""
    while not is_quarantined(await hosts[0].serve(is_crash=True)):
        pass
    await asyncio.sleep(WRITE_SECONDS)
    for suspect in hosts[0].router.quarantine.list_suspects():
        for host in hosts[1:]:
            host.router.quarantine.merge(suspect)


def count_sent(hosts: list[Host]) -> int:
    """Return how often calls have reached targets."""
    return sum(len(host.targets.sent) for host in hosts)


def test_request_is_refused_after_all_hosts_were_killed(
    case: support.Case,
) -> None:
    """BUDGET: what crashes targets ended with the last host."""

    async def run() -> None:
        store = row_stores.RowStore()
        await quarantine_request(await create_hosts(store))
        hosts = await create_hosts(store)
        for host in hosts:
            case.assertTrue(is_quarantined(await host.serve(is_crash=True)))
        case.assertEqual(0, count_sent(hosts))

    clocks.run(run())


def test_part_is_refused_after_all_hosts_were_killed(
    case: support.Case,
) -> None:
    """BUDGET: the same memory of prompt parts ended with the last host."""

    async def run() -> None:
        store = row_stores.RowStore()
        first = Host(store)
        await first.start()
        first.record_part_crashes()
        await asyncio.sleep(WRITE_SECONDS)
        for host in await create_hosts(store):
            case.assertIsNotNone(await host.check_part())

    clocks.run(run())


def test_request_that_goes_on_coming_reaches_few_targets(
    case: support.Case,
) -> None:
    """BUDGET: each two minutes it crashed as many targets as at first."""

    async def run() -> None:
        hosts = await create_hosts(row_stores.RowStore())
        await quarantine_request(hosts)
        loop = asyncio.get_running_loop()
        sent = count_sent(hosts)
        end = loop.time() + LONG_SECONDS
        while loop.time() < end:
            for host in hosts:
                await host.serve(is_crash=True)
            await asyncio.sleep(CALL_PAUSE_SECONDS)
        retries = count_sent(hosts) - sent
        case.assertEqual(len(crash_records.TRIAL_PAUSES_SECONDS), retries)
        case.assertLessEqual(retries, MAX_RETRIES)

    clocks.run(run(), TIMEOUT_SECONDS)


def test_part_that_goes_on_coming_reaches_few_targets(
    case: support.Case,
) -> None:
    """Calls with the part come at all hosts at the same time."""

    async def run() -> None:
        hosts = await create_hosts(row_stores.RowStore())
        for host in hosts:
            host.record_part_crashes()
        trials = 0
        loop = asyncio.get_running_loop()
        end = loop.time() + LONG_SECONDS
        while loop.time() < end:
            refused = await asyncio.gather(
                *(host.check_part() for host in hosts)
            )
            trials += refused.count(None)
            await asyncio.sleep(CALL_PAUSE_SECONDS)
        case.assertEqual(len(crash_records.TRIAL_PAUSES_SECONDS), trials)

    clocks.run(run(), TIMEOUT_SECONDS)


def test_request_that_a_target_survives_is_served_by_all_hosts(
    case: support.Case,
) -> None:
    """A sound request that was in flight at crashes comes back into use."""

    async def run() -> None:
        store = row_stores.RowStore()
        hosts = await create_hosts(store)
        await quarantine_request(hosts)
        for _ in range(15):
            await asyncio.sleep(CALL_PAUSE_SECONDS)
            calls = [await host.serve(is_crash=False) for host in hosts]
        for _ in range(7):
            await asyncio.sleep(CALL_PAUSE_SECONDS)
            calls = [await host.serve(is_crash=False) for host in hosts]
        case.assertEqual([True] * HOSTS, [call.is_served for call in calls])
        for host in await create_hosts(store):
            case.assertTrue((await host.serve(is_crash=False)).is_served)

    clocks.run(run())


def test_nothing_is_tried_while_the_store_is_away(case: support.Case) -> None:
    """Only the store tells whether another host tries at the same time."""

    async def run() -> None:
        store = row_stores.RowStore()
        hosts = await create_hosts(store)
        await quarantine_request(hosts)
        store.is_down = True
        await asyncio.sleep(2 * crash_records.TRIAL_PAUSES_SECONDS[0])
        for host in hosts:
            case.assertTrue(is_quarantined(await host.serve(is_crash=True)))
        store.is_down = False
        await asyncio.sleep(crash_records.CHECK_SECONDS)
        sent = count_sent(hosts)
        await asyncio.gather(*(host.serve(is_crash=True) for host in hosts))
        case.assertEqual(1, count_sent(hosts) - sent)

    clocks.run(run())


def test_record_is_written_once_the_store_is_back(case: support.Case) -> None:
    """The hosts are killed after the outage in which the request came."""

    async def run() -> None:
        store = row_stores.RowStore()
        hosts = await create_hosts(store)
        store.is_down = True
        await quarantine_request(hosts)
        case.assertEqual({}, store.crash_records)
        store.is_down = False
        await asyncio.sleep(WRITE_SECONDS)
        (host, *_) = await create_hosts(store)
        case.assertTrue(is_quarantined(await host.serve(is_crash=True)))

    clocks.run(run())


def test_calls_wait_for_the_records_at_the_start(case: support.Case) -> None:
    """The store is away as the hosts start; not for long, if only for them."""

    async def run() -> None:
        store = row_stores.RowStore()
        await quarantine_request(await create_hosts(store))
        store.is_down = True
        host = Host(store)
        host.router.crash_records._is_read = False
        await host.start()
        call = await host.serve(is_crash=True)
        case.assertIs(refusals.Reason.NOT_READY, call.refusal.reason)
        store.is_down = False
        await asyncio.sleep(WRITE_SECONDS)
        case.assertTrue(is_quarantined(await host.serve(is_crash=True)))
        store.is_down = True
        other = Host(store)
        other.router.crash_records._is_read = False
        await other.start()
        case.assertFalse((await other.serve(is_crash=False)).is_served)
        await asyncio.sleep(crash_records.MAX_WAIT_SECONDS)
        case.assertTrue((await other.serve(is_crash=False)).is_served)

    clocks.run(run())


def test_records_without_calls_are_removed(case: support.Case) -> None:
    """The table does not grow for good."""

    async def run() -> None:
        store = row_stores.RowStore()
        await quarantine_request(await create_hosts(store))
        case.assertEqual(1, len(store.crash_records))
        await asyncio.sleep(quarantine.KEEP_SECONDS + 1.0)
        await create_hosts(store)
        case.assertEqual({}, store.crash_records)

    clocks.run(run(), TIMEOUT_SECONDS)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
