"""All hosts together keep the quotas of accounts, and let them be used."""

import asyncio

import hypothesis
from hypothesis import strategies

from pistachioseam.forwarding import desired
from pistachioseam.forwarding import quotas
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import quota_fleets
from tests import support

LARGEST = desired.Quota(
    rate_per_second=127_000.0, burst=127_000.0, counts_tokens=True
)
SMALLEST = desired.Quota(
    rate_per_second=29_000.0, burst=29_000.0, counts_tokens=True
)
USUAL_DEMAND = 1 / 1.8
"""Usual demand of an account as a part of its rate."""
HOT_FACTOR = 7.7
MIN_USE = 0.95
SETTLE_SECONDS = 4.0


def check_windows(
    case: support.Case, fleet: quota_fleets.Fleet, quota: desired.Quota
) -> None:
    """Check every sliding window against the bound."""
    most = quota_fleets.find_most(
        fleet.sent, quota_fleets.TERMS.window_seconds
    )
    case.assertLessEqual(most, quota_fleets.compute_bound(quota))


def create_issuer(share: float = 1.0) -> quotas.QuotaIssuer:
    """Return an issuer with a fixed share."""
    return quotas.QuotaIssuer(lambda: share)


def ask_for(cost: float, returned: float = 0.0) -> quotas.QuotaRequest:
    """Return a request for a cost."""
    return quotas.QuotaRequest(
        asker='host', account='account', cost=cost, returned=returned
    )


def test_cost_is_that_of_the_quotas_unit(case: support.Case) -> None:
    """Calls without counts cost what the quota says, not nothing."""
    tokens = desired.Quota(
        rate_per_second=1.0, burst=1.0, counts_tokens=True, uncounted_cost=70.0
    )
    calls = desired.Quota(rate_per_second=1.0, burst=1.0)
    case.assertEqual(1540.0, quotas.compute_cost(tokens, 1540))
    case.assertEqual(0.0, quotas.compute_cost(tokens, 0))
    case.assertEqual(70.0, quotas.compute_cost(tokens, None))
    case.assertEqual(1.0, quotas.compute_cost(calls, 1540))


def test_issuer_starts_empty(case: support.Case) -> None:
    """A restarted issuer that started full granted a second burst."""
    issuer = create_issuer()
    issuer.follow(['account'], 0.0)
    denied = issuer.issue(ask_for(1000.0), LARGEST, 0.0)
    assert denied is not None
    case.assertFalse(denied.is_granted)
    case.assertGreater(denied.wait_seconds, 0)
    granted = issuer.issue(ask_for(1000.0), LARGEST, 0.1)
    case.assertTrue(granted is not None and granted.is_granted)


def test_bucket_fills_before_the_first_call(case: support.Case) -> None:
    """The first calls of an idle account were refused."""
    issuer = create_issuer()
    for step in range(10):
        issuer.follow(['account'], step / 2)
    granted = issuer.issue(ask_for(127_000.0), LARGEST, 4.6)
    case.assertTrue(granted is not None and granted.is_granted)


def test_large_call_is_granted_by_a_full_bucket(case: support.Case) -> None:
    """A call above the burst was never served; it leaves a debt."""
    issuer = create_issuer()
    for step in range(10):
        issuer.follow(['account'], step / 2)
    granted = issuer.issue(ask_for(50_000.0), SMALLEST, 4.6)
    case.assertTrue(granted is not None and granted.is_granted)
    denied = issuer.issue(ask_for(1.0), SMALLEST, 4.7)
    assert denied is not None
    case.assertFalse(denied.is_granted)
    case.assertAlmostEqual(0.62, denied.wait_seconds, delta=0.01)


def test_issuer_of_a_part_does_not_say_over_quota(case: support.Case) -> None:
    """What its share does not allow may still be within the quota."""
    issuer = create_issuer(0.5)
    issuer.follow(['account'], 0.0)
    denied = issuer.issue(ask_for(1000.0), LARGEST, 0.0)
    case.assertEqual(quotas.QuotaDecision(False, 0.0), denied)


def test_issuer_that_does_not_know_the_fleet_is_silent(
    case: support.Case,
) -> None:
    """It cannot tell its share."""
    issuer = create_issuer(0.0)
    case.assertIsNone(issuer.issue(ask_for(1.0), LARGEST, 0.0))


def test_issuer_that_was_frozen_starts_empty(case: support.Case) -> None:
    """Its bucket had filled while its successor granted the same rate."""
    for has_followed in (False, True):
        issuer = create_issuer()
        for step in range(10):
            issuer.follow(['account'], step / 2)
        if has_followed:
            issuer.follow(['account'], 10.0)
        denied = issuer.issue(ask_for(1000.0), LARGEST, 10.0)
        case.assertFalse(denied is None or denied.is_granted)


def test_lowered_limit_holds_at_the_next_call(case: support.Case) -> None:
    """The bucket kept what the former burst had filled it with."""
    issuer = create_issuer()
    for step in range(10):
        issuer.follow(['account'], step / 2)
    issuer.issue(ask_for(1.0), LARGEST, 4.6)
    granted = 0
    for _ in range(100):
        decision = issuer.issue(ask_for(1000.0), SMALLEST, 4.6)
        granted += decision is not None and decision.is_granted
    case.assertEqual(29, granted)


def test_other_quotas_may_not_be_larger_when_counted_in_calls(
    case: support.Case,
) -> None:
    """The slack is in tokens; as calls it would allow 27,500 at once."""
    calls = desired.Quota(rate_per_second=10.0, burst=10.0)
    case.assertAlmostEqual(
        0.25 * 0.1 * 90, quota_fleets.TERMS.compute_fallback_capacity(calls)
    )


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.0, 0.2, 0.5, 1.0]),
            strategies.sampled_from([5, 20, 40, 50]),
            strategies.sampled_from([None, None, 0.0, 0.5, 1.2, 2.4]),
        ),
        max_size=60,
    )
)
@hypothesis.example([(0.0, 50, 1.2), (1.0, 40, None), (0.2, 50, None)])
def check_returned_cost(
    steps: list[tuple[float, int, float | None]],
) -> None:
    """Check calls that take a cost, and return it after a time or use it."""
    rate, burst = 40.0, 50.0
    now = 100.0
    bucket = quotas.Bucket(0.0)
    bucket.refill(rate, burst, 90.0)
    bucket.refill(rate, burst, 95.0)
    used: list[tuple[float, float]] = []
    due: list[tuple[float, float]] = []
    for pause, cost, returned_after in steps:
        now += pause
        for entry in sorted(due):
            if entry[0] <= now:
                bucket.refill(rate, burst, entry[0])
                bucket.give_back(entry[1])
                due.remove(entry)
        bucket.refill(rate, burst, now)
        if not bucket.take(float(cost), may_owe=False):
            continue
        if returned_after is None:
            used.append((now, float(cost)))
        else:
            due.append((now + returned_after, float(cost)))
    for number, (start, _) in enumerate(used):
        total = 0.0
        for at, cost_used in used[number:]:
            total += cost_used
            assert total <= burst + rate * (at - start) + 1e-6


def test_returned_cost_pays_for_no_second_burst(case: support.Case) -> None:
    """Grants that go unused for a while let a full bucket be spent twice."""
    check_returned_cost()


def test_returned_cost_is_granted_again(case: support.Case) -> None:
    """An account under its limit lost the cost of calls that were refused."""
    bucket = quotas.Bucket(0.0)
    now = 0.0
    while now < 10.0:
        bucket.refill(100.0, 100.0, now)
        bucket.take(5.0, may_owe=False)
        now += 0.05
    bucket.refill(100.0, 100.0, now)
    before = bucket.tokens
    bucket.give_back(5.0)
    case.assertAlmostEqual(before + 5.0, bucket.tokens)


def check_use(
    case: support.Case,
    fleet: quota_fleets.Fleet,
    quota: desired.Quota,
    start: float,
    end: float,
) -> None:
    """Check that the quota was used."""
    used = fleet.sum_sent(start, end)
    case.assertGreater(used, MIN_USE * quota.rate_per_second * (end - start))


def test_hot_account_gets_its_quota_and_no_more(case: support.Case) -> None:
    """A jump to 7.7 times its usual load, for eight seconds."""

    async def run(quota: desired.Quota) -> None:
        fleet = quota_fleets.Fleet(12, quota)
        usual = USUAL_DEMAND * quota.rate_per_second
        await fleet.load(SETTLE_SECONDS + 8.0, usual)
        now = asyncio.get_running_loop().time()
        case.assertEqual(0, fleet.count_refused(now - 8.0, now))
        await fleet.load(8.0, HOT_FACTOR * usual, hold_seconds=0.4)
        check_use(case, fleet, quota, now, now + 8.0)
        check_windows(case, fleet, quota)

    for quota in (LARGEST, SMALLEST):
        clocks.run(run(quota))


def test_one_host_may_use_most_of_a_quota(case: support.Case) -> None:
    """With fixed shares it could use a twelfth."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(12, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        start = asyncio.get_running_loop().time()
        await fleet.load(12.0, 3 * LARGEST.rate_per_second, ['host-3'])
        check_use(case, fleet, LARGEST, start, start + 12.0)
        check_windows(case, fleet, LARGEST)

    clocks.run(run())


def test_quota_follows_demand_between_domains(case: support.Case) -> None:
    """Demand of 0.95 of the rate moves to other hosts each three seconds."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(12, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        start = asyncio.get_running_loop().time()
        for turn in range(4):
            names = fleet.names[turn % 3 :: 3]
            demand = 2 * LARGEST.rate_per_second
            await fleet.load(3.0, demand, names)
        check_use(case, fleet, LARGEST, start, start + 12.0)
        check_windows(case, fleet, LARGEST)

    clocks.run(run())


def test_lost_issuer_is_replaced(case: support.Case) -> None:
    """The fleet stays within the quota, and soon uses it again."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(12, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        loop = asyncio.get_running_loop()
        demand = 3 * LARGEST.rate_per_second
        await fleet.load(3.0, demand)
        issuer = fleet.find_issuer()
        fleet.hosts[issuer].is_up = False
        others = [name for name in fleet.names if name != issuer]
        await fleet.load(2.6, demand, others)
        start = loop.time()
        await fleet.load(8.0, demand, others)
        used = fleet.sum_sent(start, start + 8.0)
        case.assertGreater(used, 0.8 * 8 * LARGEST.rate_per_second)
        check_windows(case, fleet, LARGEST)

    clocks.run(run())


def test_frozen_issuer_that_resumes_grants_no_second_burst(
    case: support.Case,
) -> None:
    """It has not noticed that another host became the issuer."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(12, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        loop = asyncio.get_running_loop()
        demand = 3 * LARGEST.rate_per_second
        fleet.start(fleet.load(24.0, demand, hold_seconds=0.4))
        await asyncio.sleep(4.0)
        issuer = fleet.hosts[fleet.find_issuer()]
        issuer.frozen_until = loop.time() + 6.0
        await asyncio.sleep(6.0)
        fleet.start(fleet.load(3.0, demand, [issuer.name]))
        await asyncio.sleep(14.0)
        check_windows(case, fleet, LARGEST)

    clocks.run(run())


def test_parts_of_a_fleet_stay_within_the_quota(case: support.Case) -> None:
    """Each part has an issuer; together they granted twice the rate."""

    async def run(first: int) -> None:
        fleet = quota_fleets.Fleet(12, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        demand = 6 * LARGEST.rate_per_second
        fleet.start(fleet.load(24.0, demand, hold_seconds=0.4))
        await asyncio.sleep(4.0)
        fleet.sides = dict.fromkeys(fleet.names[:first], 1)
        await asyncio.sleep(10.0)
        now = asyncio.get_running_loop().time()
        used = fleet.sum_sent(now - 6.0, now)
        case.assertGreater(used, 0.8 * 6 * LARGEST.rate_per_second)
        fleet.sides = {}
        await asyncio.sleep(10.0)
        check_windows(case, fleet, LARGEST)

    for first in (1, 3, 6):
        clocks.run(run(first))


def test_lost_replies_are_paid_from_the_hosts_own_share(
    case: support.Case,
) -> None:
    """A call whose question got no reply was sent without a cost."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(6, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        await fleet.load(2.0, USUAL_DEMAND * LARGEST.rate_per_second)
        fleet.lost_replies = 10_000
        await fleet.load(8.0, 3 * LARGEST.rate_per_second)
        check_windows(case, fleet, LARGEST)
        case.assertGreater(len(fleet.refused), 0)

    clocks.run(run())


def test_host_that_does_not_know_the_fleet_spends_nothing(
    case: support.Case,
) -> None:
    """A host that has just started took its share of an unknown fleet."""

    async def run() -> None:
        fleet = quota_fleets.Fleet(3, LARGEST)
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.sides = {'host-0': 1}
        fleet.hosts['host-0'].knows_fleet = False
        await fleet.load(4.0, LARGEST.rate_per_second, ['host-0'])
        case.assertEqual([], fleet.sent)

    clocks.run(run())


FAULTS = ('cut', 'freeze', 'restart', 'heal', 'join', 'lose replies', 'stop')


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
@hypothesis.given(
    hosts=strategies.integers(2, 10),
    is_large=strategies.booleans(),
    demand=strategies.sampled_from([4.3, 2.0, 1.0]),
    hot_hosts=strategies.sampled_from([0, 0, 1, 3]),
    hold_seconds=strategies.sampled_from([0.0, 0.4, 1.8]),
    faults=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([5.0, 2.5, 1.0, 0.3, 0.0]),
            strategies.sampled_from(FAULTS),
            strategies.integers(1, 9),
            strategies.sampled_from([0.2, 0.45, 1.0, 3.0, 6.0]),
        ),
        min_size=1,
        max_size=6,
    ),
    seed=strategies.integers(0, 1000),
)
def check_history(
    case: support.Case,
    hosts: int,
    is_large: bool,
    demand: float,
    hot_hosts: int,
    hold_seconds: float,
    faults: list[tuple[float, str, int, float]],
    seed: int,
) -> None:
    """Check the windows of one history of a fleet."""
    quota = LARGEST if is_large else SMALLEST

    async def run() -> None:
        fleet = quota_fleets.Fleet(hosts, quota, seed)
        await asyncio.sleep(SETTLE_SECONDS)
        seconds = 10.0 + sum(fault[0] for fault in faults)
        fleet.start(
            fleet.load(
                seconds,
                demand * quota.rate_per_second,
                fleet.names[:hot_hosts] or None,
                hold_seconds,
            )
        )
        for pause, kind, number, size in faults:
            await asyncio.sleep(pause)
            name = fleet.names[number % len(fleet.names)]
            if number % 2:
                name = fleet.find_issuer()
            bring_about(fleet, quota, kind, name, number, size)
        await asyncio.sleep(11.0)
        check_windows(case, fleet, quota)

    clocks.run(run())


def bring_about(
    fleet: quota_fleets.Fleet,
    quota: desired.Quota,
    kind: str,
    name: str,
    number: int,
    size: float,
) -> None:
    """Bring about one fault."""
    if kind == 'join':
        fleet.start_host(f'host-{len(fleet.names)}', quota)
    elif kind == 'freeze':
        now = asyncio.get_running_loop().time()
        fleet.hosts[name].frozen_until = now + size
    elif kind == 'cut':
        fleet.sides = {
            other: 1
            for other in fleet.names[number * len(fleet.names) // 10 :]
        }
    elif kind == 'heal':
        fleet.sides = {}
    elif kind == 'restart':
        fleet.start_host(name, quota)
    elif kind == 'lose replies':
        fleet.lost_replies = int(size * 20)
    else:
        fleet.hosts[name].is_up = False


def test_no_history_exceeds_the_bound(case: support.Case) -> None:
    """Faults in any order let two hosts grant the same quota."""
    check_history(case)


def test_calls_are_refused_over_quota(case: support.Case) -> None:
    """Calls over the quota get 429, and 503 while nobody can decide."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.quota_decision = quotas.QuotaDecision(False, 2.0)
        call, _ = await fixture.serve('/once/', key='key')
        assert call.refusal is not None
        case.assertEqual(429, call.refusal.status)
        wait = call.refusal.retry_after_seconds
        case.assertTrue(wait is not None and 2.0 <= wait <= 3.0)
        for unknown in (None, quotas.QuotaDecision(False, 0.0)):
            fixture.quota_decision = unknown
            call, _ = await fixture.serve('/once/', key='key')
            assert call.refusal is not None
            case.assertEqual(503, call.refusal.status)
            case.assertTrue(call.refusal.retry_after_seconds)
        case.assertEqual([], fixture.targets.sent)
        case.assertEqual(
            [1.0] * 3, [asked.cost for asked in fixture.quota_requests]
        )

    clocks.run(run())


def create_fixture() -> call_fakes.RouterFixture:
    """Return a host with a target and an account that has a quota."""
    fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
    account = desired.Account(
        name='a',
        keys=('key',),
        priority=0,
        is_isolated=False,
        quota=desired.Quota(rate_per_second=10.0, burst=10.0),
    )
    fixture.set_state(call_fakes.create_state(2, (account,)))
    return fixture


def test_attempts_of_a_call_cost_once(case: support.Case) -> None:
    """A retried call was charged again; it may have run the first time."""

    async def run() -> None:
        fixture = create_fixture()
        broken = call_fakes.create_failure(call_fakes.Kind.BROKEN)
        call, _ = await fixture.serve(
            '/safe/', [0.8, broken], [call_fakes.respond()], key='key'
        )
        case.assertTrue(call.is_served)
        case.assertEqual(1, len(fixture.quota_requests))

    clocks.run(run())


def test_expired_grant_is_asked_for_again(case: support.Case) -> None:
    """A call that no target had run was sent long after its window."""

    async def run() -> None:
        fixture = create_fixture()
        not_sent = call_fakes.create_failure(call_fakes.Kind.NOT_SENT)
        call, _ = await fixture.serve(
            '/once/', [0.6, not_sent], [call_fakes.respond()], key='key'
        )
        case.assertTrue(call.is_served)
        asked = [(r.cost, r.returned) for r in fixture.quota_requests]
        case.assertEqual([(1.0, 0.0), (1.0, 1.0)], asked)

    clocks.run(run())


def test_cost_of_a_call_that_was_not_sent_is_returned(
    case: support.Case,
) -> None:
    """Calls that no target took used up the quota."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.remove_targets(fixture.router.catalog.list_all())
        call, _ = await fixture.serve('/once/', key='key')
        case.assertEqual(503, call.refusal and call.refusal.status)
        await clocks.run_pending()
        asked = [(r.cost, r.returned) for r in fixture.quota_requests]
        case.assertEqual([(1.0, 0.0), (0.0, 1.0)], asked)

    clocks.run(run())


def test_accounts_without_quota_cause_no_questions(
    case: support.Case,
) -> None:
    """Deployments without quotas exchange no messages for them."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
        call, _ = await fixture.serve('/safe/', [call_fakes.respond()])
        case.assertTrue(call.is_served)
        case.assertEqual([], fixture.quota_requests)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
