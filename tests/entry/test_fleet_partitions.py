"""Callers of hosts without a path to targets are served as others are.

The rule counts first attempts from `STABLE_SECONDS` after the start.
"""

import asyncio
import collections

import attrs
from returns import result

from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import router as routers
from pistachioseam_entry import relay_client
from pistachioseam_entry import relay_service
from tests import clocks
from tests import partitioned_hosts
from tests import support

STABLE_SECONDS = 4.0
CUT_SECONDS = 10.0
HEALED_SECONDS = 4.0
MIN_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1 / 50
SINGLE_RUN_PREFIXES = ('/once/', '/stream/')
MAX_CANCEL_SECONDS = 0.5


async def measure_partition(
    case: support.Case,
    fleet: partitioned_hosts.Fleet,
    cut: set[str],
    mode: str,
    calls_per_second: float,
) -> None:
    """Cut hosts off their targets and heal them; check who is served."""
    loop = asyncio.get_running_loop()
    calling = asyncio.ensure_future(
        fleet.call(3.0 + CUT_SECONDS + HEALED_SECONDS, calls_per_second)
    )
    await asyncio.sleep(3.0)
    cut_at = loop.time()
    for host in fleet.hosts:
        if host.own.name in cut:
            host.pool.set_mode(mode)
    await asyncio.sleep(CUT_SECONDS)
    healed_at = loop.time()
    for host in fleet.hosts:
        host.pool.set_mode('pass')
    await calling
    others = {host.own.name for host in fleet.hosts} - cut
    since = cut_at + STABLE_SECONDS
    served, sent = fleet.count_served(cut, since, healed_at)
    others_served, others_sent = fleet.count_served(others, since, healed_at)
    figures = (
        f'{mode}: {served} of {sent}, others {others_served} of {others_sent}'
    )
    case.assertGreater(sent, 0, figures)
    case.assertGreaterEqual(
        served / sent, MIN_RATIO * others_served / others_sent, figures
    )
    allowed = ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * (sent + others_sent)
    case.assertLessEqual(sent - served, allowed, figures)
    healed = fleet.count_served(cut, healed_at + 2.0, loop.time())
    case.assertEqual(healed[1], healed[0], f'{mode}: after the end')
    for host in fleet.hosts:
        case.assertFalse(host.paths.is_lost())
        case.assertEqual(0, host.relay_service.active)
    check_single_runs(case, fleet)


def check_single_runs(
    case: support.Case, fleet: partitioned_hosts.Fleet
) -> None:
    """Check that no call ran twice that may run only once."""
    runs = collections.Counter(run.request_id for run in fleet.list_runs())
    repeated = [
        outcome.request_id
        for outcome in fleet.outcomes
        if outcome.prefix in SINGLE_RUN_PREFIXES
        and runs[outcome.request_id] > 1
    ]
    case.assertEqual([], repeated)


def check_partitions(
    case: support.Case,
    hosts: int,
    domains: int,
    cut: set[int],
    calls_per_second: float = 40.0,
) -> None:
    """Check partitions of some hosts, by number, in all modes."""
    for mode in ('hang', 'cut', 'refuse'):

        async def run(mode: str = mode) -> None:
            fleet = partitioned_hosts.Fleet(hosts, domains)
            await asyncio.sleep(4.0)
            names = {fleet.hosts[number].own.name for number in cut}
            await measure_partition(case, fleet, names, mode, calls_per_second)

        clocks.run(run())


def test_callers_of_a_few_cut_off_hosts_are_served(case: support.Case) -> None:
    """Two of nine hosts, in different domains."""
    check_partitions(case, 9, 3, {0, 4})


def test_callers_of_a_cut_off_domain_are_served(case: support.Case) -> None:
    """All hosts of one of three domains."""
    check_partitions(case, 9, 3, {0, 3, 6})


def test_callers_are_served_while_most_hosts_are_cut_off(
    case: support.Case,
) -> None:
    """Six of nine hosts, as in the incident."""
    check_partitions(case, 9, 3, {0, 1, 2, 3, 4, 5})


def test_callers_of_a_cut_off_domain_of_a_large_fleet_are_served(
    case: support.Case,
) -> None:
    """Hosts know those of other domains only from the list of hosts."""
    check_partitions(case, 63, 6, set(range(0, 63, 6)), 120.0)


def test_call_whose_caller_leaves_is_cancelled_at_the_relay(
    case: support.Case,
) -> None:
    """The caller closes its connection before the first byte."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(3, 1)
        await asyncio.sleep(3.0)
        host = fleet.hosts[0]
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        for prefix in ('/safe/', '/stream/'):
            for wait_seconds in (0.0, 0.02, 0.08):
                serving = asyncio.ensure_future(host.serve(prefix, 'left'))
                await asyncio.sleep(wait_seconds)
                serving.cancel()
                left_at = asyncio.get_running_loop().time()
                await asyncio.sleep(MAX_CANCEL_SECONDS)
                for run in fleet.list_runs():
                    assert run.ended_at is not None
                    case.assertLess(run.ended_at, left_at + 0.1)
                case.assertEqual(
                    [0, 0, 0],
                    [other.relay_service.active for other in fleet.hosts],
                )

    clocks.run(run())


def test_calls_are_refused_at_once_when_no_host_has_a_path(
    case: support.Case,
) -> None:
    """They do not go from host to host, and have not run."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(9, 3)
        await asyncio.sleep(3.0)
        for host in fleet.hosts:
            host.pool.set_mode('hang')
        await fleet.call(6.0, 20.0)
        since = asyncio.get_running_loop().time() - 2.0
        late = [o for o in fleet.outcomes if o.sent_at > since]
        case.assertGreater(len(late), 0)
        for outcome in late:
            case.assertFalse(outcome.is_served)
            case.assertLess(outcome.seconds, 0.5)
        for host in fleet.hosts:
            case.assertEqual(0, host.relay_service.active)
            host.pool.set_mode('pass')
        await asyncio.sleep(1.5)
        fleet.outcomes.clear()
        await fleet.call(2.0, 20.0)
        case.assertTrue(all(o.is_served for o in fleet.outcomes))
        check_single_runs(case, fleet)

    clocks.run(run())


def test_silent_relay_costs_no_call_that_may_run_once(
    case: support.Case,
) -> None:
    """Messages to some hosts are lost; another host is asked."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(6, 2)
        await asyncio.sleep(3.0)
        host = fleet.hosts[0]
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        fleet.network.silent = {'host-2', 'host-4'}
        for number in range(20):
            call = await host.serve('/once/', f'once-{number}')
            case.assertTrue(call.is_served, call.refusal)
            await asyncio.sleep(0.1)

    clocks.run(run())


def test_departed_target_gets_no_relayed_call(case: support.Case) -> None:
    """The relaying host knows of the departure first."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(2, 1)
        await asyncio.sleep(3.0)
        host, relay = fleet.hosts
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        departed = fleet.targets[:2]
        for target in departed:
            relay.router.catalog._listed[target.name].has_departed = True
        for number in range(10):
            await host.serve('/safe/', f'safe-{number}')
        addresses = {target.address for target in departed}
        case.assertFalse(addresses & {run.address for run in relay.pool.runs})
        case.assertEqual(10, len(relay.pool.runs))

    clocks.run(run())


def test_revoked_key_is_not_used_after_a_relay_was_found(
    case: support.Case,
) -> None:
    """The check is repeated right before the other host may send."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(2, 1)
        await asyncio.sleep(3.0)
        host = fleet.hosts[0]
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        host.may_send = False
        call = await host.serve('/once/', 'revoked')
        case.assertFalse(call.is_served)
        case.assertFalse(call.may_have_run)
        case.assertEqual([], fleet.list_runs())

    clocks.run(run())


def test_host_that_stops_relays_no_further_calls(case: support.Case) -> None:
    """It ends those that it has begun."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(3, 1)
        await asyncio.sleep(3.0)
        host, stopping, other = fleet.hosts
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        serving = [
            asyncio.ensure_future(host.serve('/stream/', f'stream-{number}'))
            for number in range(20)
        ]
        await asyncio.sleep(0.03)
        case.assertGreater(stopping.relay_service.active, 0)
        stopping.relay_service.is_refusing = True
        begun = len(stopping.pool.runs)
        for call in await asyncio.gather(*serving):
            case.assertTrue(call.is_served, call.refusal)
        for number in range(10):
            call = await host.serve('/safe/', f'safe-{number}')
            case.assertTrue(call.is_served, call.refusal)
        case.assertEqual(begun, len(stopping.pool.runs))
        case.assertGreater(len(other.pool.runs), 0)

    clocks.run(run())


def test_relay_sends_nothing_without_its_nonce(case: support.Case) -> None:
    """A recorded confirmation of another call is of no use."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(2, 1)
        await asyncio.sleep(3.0)
        host, relay = fleet.hosts
        call = host.fixture.create_call('/once/')
        outgoing = delivery.create_outgoing(
            call, host.router, fleet.targets[0], None
        )
        stream = host.link.open_relay(relay.own.address)
        relayed = relay_client.RelayedCall(stream, host.own)
        call.deadline = host.router.runtime.now() + 3.0
        outgoing = attrs.evolve(outgoing, seconds_left=3.0)
        answer = await relayed.request_relay(outgoing)
        case.assertNotEqual(b'', answer.nonce)
        sent = await relayed.send(b'other', partitioned_hosts.Decoder())
        case.assertIsInstance(sent, result.Failure)
        case.assertEqual([], fleet.list_runs())
        case.assertEqual(0, relay.relay_service.active)

    clocks.run(run())


def test_relayed_calls_are_bounded(case: support.Case) -> None:
    """Further ones are refused as not run."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(2, 1)
        await asyncio.sleep(3.0)
        host, relay = fleet.hosts
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        relay.relay_service.active = relay_service.MAX_RELAYED_CALLS
        call = await host.serve('/once/', 'refused')
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertEqual([], fleet.list_runs())
        relay.relay_service.active = 0
        await asyncio.sleep(2.0)
        call = await host.serve('/once/', 'served')
        case.assertTrue(call.is_served, call.refusal)

    clocks.run(run())


def test_relayed_call_whose_caller_left_is_not_sent(
    case: support.Case,
) -> None:
    """Guards against GONE: the relaying host's connect hangs meanwhile."""

    async def run() -> None:
        fleet = partitioned_hosts.Fleet(2, 1)
        await asyncio.sleep(3.0)
        host, relay = fleet.hosts
        host.pool.set_mode('cut')
        await host.paths.check(max_age_seconds=0.0)
        relay.pool.set_mode('hang')
        call = host.fixture.create_call('/once/', timeout_seconds=3.0)
        work = asyncio.ensure_future(routers.run_filters(call, host.router))
        await asyncio.sleep(0.3)
        case.assertEqual(1, relay.relay_service.active)
        case.assertFalse(call.is_cancelled_on_disconnect())
        call.caller.leave()
        await asyncio.sleep(0.3)
        relay.pool.set_mode('pass')
        await work
        case.assertEqual([], fleet.list_runs())
        case.assertFalse(call.may_have_run)
        case.assertEqual(1, len(call.attempts))
        case.assertEqual((), host.router.health.list_suspected())
        case.assertEqual(0, relay.relay_service.active)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
