"""Shared parts are prefilled once, and then fetched or reused."""

import random

from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import transfers
from pistachioseam import links
from tests import call_fakes
from tests import clocks
from tests import support

MODEL = call_fakes.MODEL
STORE = desired.CacheStore(
    address='10.9.0.1:80',
    domain='d9',
    capacity_tokens=1_000_000,
    bytes_per_second=4e10,
)
TOPOLOGY = links.Topology(
    domain='d1',
    regions=(
        links.Region(name='r1', domains=('d1', 'd2')),
        links.Region(name='r9', domains=('d9',)),
    ),
)
PARTS = (prompts.Part('base', 2000), prompts.Part('subject', 4000))
TRANSFER_SECONDS_PER_TOKEN = 2e-6
TOKEN_BYTES = 262_144
ENGINE_SLOTS = 8


def create_fixture(count: int) -> call_fakes.RouterFixture:
    """Return a fixture with engines and a cache store."""
    fixture = call_fakes.RouterFixture(
        [
            call_fakes.create_target(n, call_fakes.ENGINE_SERVICE)
            for n in range(count)
        ]
    )
    state = call_fakes.create_state(2)
    service = desired.Service(name='store', cache_store=STORE)
    fixture.set_state(
        desired.DesiredState(
            version=2,
            routes=state.routes,
            services=(*state.services, service),
            accounts=None,
            limits=state.limits,
        )
    )
    return fixture


def create_prompt(subject: str, own: int) -> prompts.Prompt:
    """Return a prompt with two shared parts and its own."""
    parts = (
        prompts.Part('base', 2000),
        prompts.Part(subject, 4000),
        prompts.Part(f'own-{own}', 1000),
    )
    return prompts.Prompt(
        model=MODEL, prompt_tokens=7000, output_tokens=10, parts=parts
    )


def test_least_recently_used_parts_are_evicted(case: support.Case) -> None:
    """A prefix is evicted after the parts that depend on it."""
    cache = residency.CacheModel(9000)
    cache.record_use('s', PARTS, 0.0)
    cache.record_use('s', (PARTS[0], prompts.Part('other', 4000)), 0.0)
    case.assertEqual(6000, cache.count_prefix_tokens('s', PARTS[:1]) + 4000)
    case.assertEqual(2000, cache.count_prefix_tokens('s', PARTS))
    case.assertEqual(0, cache.count_prefix_tokens('t', PARTS))


def test_nearest_source_of_most_tokens_is_chosen(
    case: support.Case,
) -> None:
    """More tokens win over distance; distance breaks ties."""
    cache_models = residency.CacheModels()
    for holder, parts in (
        ('far', PARTS),
        ('near', PARTS),
        ('half', PARTS[:1]),
    ):
        cache_models.merge(
            residency.CacheUpdate(holder, 's', parts), 100_000, 0.0
        )
    holders = [
        transfers.Holder(
            name=name,
            address=f'{name}:1',
            domain=domain,
            bytes_per_second=4e11,
            wait_seconds=0.0,
        )
        for name, domain in (('far', 'd9'), ('half', 'd1'), ('near', 'd2'))
    ]

    def choose(cached_tokens: int) -> transfers.Source:
        receiver = transfers.Receiver(
            domain='d1',
            cached_tokens=cached_tokens,
            token_bytes=TOKEN_BYTES,
            bytes_per_second=TOKEN_BYTES / TRANSFER_SECONDS_PER_TOKEN,
        )
        return transfers.choose_source(
            receiver, holders, PARTS, 's', TOPOLOGY, cache_models, 1.0
        )

    chosen = choose(0)
    case.assertEqual('near:1', chosen.address)
    case.assertAlmostEqual(
        6000 * TRANSFER_SECONDS_PER_TOKEN * 2, chosen.seconds
    )
    case.assertEqual(4000, choose(2000).tokens)
    case.assertIs(transfers.NO_SOURCE, choose(6000))


def test_shared_parts_are_prefilled_once(case: support.Case) -> None:
    """Prompts that exceed one engine's KV cache prefill each part once."""

    async def run() -> None:
        fixture = create_fixture(4)
        random_ = random.Random(1)
        saved: list[str] = []
        for number in range(200):
            subject = f'subject-{random_.randrange(20)}'
            call, _ = await fixture.serve(
                '/stream/',
                [call_fakes.respond(chunks=(call_fakes.event(1),))],
                prompt=create_prompt(subject, number),
            )
            case.assertTrue(call.is_served)
            sent = fixture.targets.sent[-1][1]
            if sent.save_to:
                saved.append(subject)
        case.assertEqual(20, len(set(saved)))
        case.assertEqual(20, len(saved))

    clocks.run(run())


def test_restarted_host_fetches_from_the_store(case: support.Case) -> None:
    """The host has no cache model yet, but the store may hold the parts."""

    async def run() -> None:
        fixture = create_fixture(4)
        for is_down in (False, True):
            if is_down:
                cache_store_watches.record_epoch(
                    fixture.router,
                    STORE.address,
                    cache_store_watches.DOWN_EPOCH,
                )
            await fixture.serve(
                '/stream/',
                [call_fakes.respond(chunks=(call_fakes.event(1),))],
                prompt=create_prompt('subject', 1),
            )
            fetch_from = fixture.targets.sent[-1][1].fetch_from
            case.assertEqual('' if is_down else STORE.address, fetch_from)

    clocks.run(run())


def test_hot_part_spreads_over_engines(case: support.Case) -> None:
    """Calls for one part that exceed an engine's slots go to others too."""

    async def run() -> None:
        fixture = create_fixture(4)
        used_engines: set[str] = set()
        for number in range(24):
            response = call_fakes.respond(
                chunks=(call_fakes.event(1), 60.0), request_id=f'call-{number}'
            )
            fixture.targets.script = [[response]]
            call = fixture.create_call(
                '/stream/',
                create_prompt('hot', number),
                request_id=f'call-{number}',
            )
            fixture.runtime.start(_serve(fixture, call))
            await clocks.run_pending()
            used_engines.add(fixture.targets.sent[-1][0])
        case.assertGreaterEqual(len(used_engines), 24 // ENGINE_SLOTS)

    clocks.run(run())


async def _serve(fixture: call_fakes.RouterFixture, call: calls.Call) -> None:
    await routers.run_filters(call, fixture.router)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
