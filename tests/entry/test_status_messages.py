"""Statuses are relayed to other domains, and their loads counted once."""

import asyncio

import attrs

from pistachioseam.forwarding import loads
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import store_versions
from pistachioseam_entry import peer_messages
from pistachioseam_entry import status_messages
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests import support

ENGINE = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
SALT = 'salt'
STORE_SECONDS = 5000.0
"""Time of the store's clock when that of the hosts is 0."""
PARTS = (prompts.Part('part', 160),)
PROMPT = prompts.Prompt(
    model=call_fakes.MODEL,
    prompt_tokens=200,
    output_tokens=10,
    parts=(*PARTS, prompts.Part('own', 40)),
)


@attrs.define
class Rollout:
    """Stand-in for a rollout, with the engines that are loading."""

    loading: set[tuple[str, int]] = attrs.field(factory=set)


class Host:
    """Host with the part of its state that statuses carry."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.rollout = Rollout()
        self.router = call_fakes.RouterFixture([ENGINE]).router
        self.statuses = status_messages.StatusMessages(
            self.router,
            self.rollout,  # type: ignore[arg-type]
            list,
        )

    def get_load(self) -> loads.Load:
        """Return the engine's load from all hosts known to this one."""
        return self.router.loads.get(ENGINE.name, self.router.runtime.now())

    def start_call(self) -> None:
        """Record a call that prefills a new prompt part."""
        self.router.loads.start_call(
            ENGINE.name, 100, 50, now=self.router.runtime.now()
        )
        update = residency.CacheUpdate(ENGINE.name, SALT, PARTS)
        self.router.cache_models.record_use(update, 1000, 0.0)

    def has_cache_update(self) -> bool:
        """Return whether this host knows that the engine cached the part."""
        cached_tokens = self.router.cache_models.count_prefix_tokens(
            ENGINE.name, SALT, PARTS
        )
        return cached_tokens > 0


def record_store(host: Host, version: int) -> store_versions.StoreVersion:
    """Let a host get a response of the store; return its version."""
    now = host.router.read_boot_clock()
    row = store_versions.StoreVersion(0, version)
    host.router.desired.store_clock.record(row, STORE_SECONDS + now, now, now)
    return row


def name_weights(host: Host, version: int, unconfirmed_seconds: float) -> None:
    """Let a host read a version that was named since it last read."""
    row = record_store(host, version)
    change = ports.DesiredChange(
        state=None,
        weights={call_fakes.MODEL: version},
        cursor=row,
        weights_rows={call_fakes.MODEL: row},
    )
    now = host.router.read_boot_clock()
    host.router.desired.apply(change, now, unconfirmed_seconds)


def get_lag(host: Host) -> float:
    """Return for how many seconds a host takes version 1 for replaced."""
    router = host.router
    return router.desired.get_lag_seconds(
        call_fakes.MODEL, 1, router.read_boot_clock()
    )


def exchange_statuses(
    member: Host, leader: Host, remote_leader: Host, remote_member: Host
) -> None:
    """Relay one status from a member via both domains' leaders."""
    member_status = member.statuses.create_host_status()
    member.statuses.add_updates(member_status, is_relaying=False)
    leader.statuses.apply_host_status(member.name, member_status)
    leader.statuses.queue_for_relay(member_status)
    domain_status = leader.statuses.create_domain_status({member.name})
    remote_leader.statuses.apply_domain_status('d1', domain_status)
    remote_status = remote_leader.statuses.create_host_status()
    remote_leader.statuses.add_updates(remote_status, is_relaying=True)
    remote_member.statuses.apply_host_status(remote_leader.name, remote_status)


def test_loads_of_a_domain_reach_another(case: support.Case) -> None:
    """The sum of a domain's loads replaces the former sum."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].start_call()
        hosts[1].start_call()
        for _ in range(3):
            exchange_statuses(*hosts)
        case.assertEqual(loads.Load(2, 200, 100), hosts[2].get_load())
        case.assertEqual(loads.Load(2, 200, 100), hosts[3].get_load())
        case.assertTrue(hosts[3].has_cache_update())

    clocks.run(run())


def test_loading_engines_are_known_to_all_domains(case: support.Case) -> None:
    """An engine's loading state, then its new version, reach all hosts."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].rollout.loading.add(ENGINE.get_incarnation())
        exchange_statuses(*hosts)
        for host in hosts[1:]:
            case.assertTrue(host.router.weights.is_loading(ENGINE), host.name)
        hosts[0].rollout.loading.clear()
        hosts[0].router.weights.record(ENGINE, call_fakes.MODEL, 7)
        exchange_statuses(*hosts)
        for host in hosts:
            case.assertFalse(host.router.weights.is_loading(ENGINE))
            version = host.router.weights.get(ENGINE, call_fakes.MODEL)
            case.assertEqual(7, version, host.name)

    clocks.run(run())


def test_suspects_are_known_to_all_domains(case: support.Case) -> None:
    """A request that crashes engines is refused by all domains."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        for _ in range(3):
            hosts[0].router.quarantine.record_crash('digest')
        exchange_statuses(*hosts)
        case.assertTrue(hosts[3].router.quarantine.is_quarantined('digest'))

    clocks.run(run())


def crash_part(host: Host, crashes: int) -> None:
    """Record targets that crashed under one prompt part, a second apart."""
    now = host.router.runtime.now()
    for number in range(crashes):
        host.router.crash_evidence.record_crash(
            PROMPT, (ENGINE.name, number), now + 1 - crashes + number
        )


def find_quarantined(host: Host) -> str:
    """Return the quarantined part of the prompt, empty if none."""
    return host.router.crash_evidence.find_quarantined(
        PROMPT, host.router.runtime.now()
    )


def test_crashing_parts_are_known_to_all_domains(case: support.Case) -> None:
    """A prompt part that crashes engines is refused by all domains."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        crash_part(hosts[0], 2)
        exchange_statuses(*hosts)
        case.assertEqual('', find_quarantined(hosts[3]))
        await asyncio.sleep(1.0)
        crash_part(hosts[0], 3)
        exchange_statuses(*hosts)
        for host in hosts:
            case.assertEqual('part', find_quarantined(host), host.name)
        hosts[0].router.crash_evidence.record_survival(
            PROMPT, hosts[0].router.runtime.now()
        )
        exchange_statuses(*hosts)
        for host in hosts:
            case.assertEqual('', find_quarantined(host), host.name)

    clocks.run(run())


def test_early_status_of_a_domain_holds_crashing_parts(
    case: support.Case,
) -> None:
    """The early status to other domains holds what the domain's hosts saw."""

    async def run() -> None:
        member, leader, remote = Host('a'), Host('b'), Host('c')
        crash_part(member, 3)
        status = member.statuses.create_host_status()
        case.assertTrue(status_messages.is_urgent(status))
        leader.statuses.apply_host_status(member.name, status)
        partial = leader.statuses.create_partial_status(is_domain=True)
        case.assertTrue(status_messages.is_urgent(partial))
        remote.statuses.apply_domain_status('d1', partial)
        case.assertEqual('part', find_quarantined(remote))

    clocks.run(run())


def test_restarted_host_learns_crashing_parts(case: support.Case) -> None:
    """A handshake holds all evidence, also what other hosts have reported."""

    async def run() -> None:
        observer, peer, restarted = Host('a'), Host('b'), Host('c')
        crash_part(observer, 3)
        peer.statuses.apply_host_status(
            'a', observer.statuses.create_host_status()
        )
        await asyncio.sleep(60.0)
        regular = peer.statuses.create_host_status()
        case.assertEqual(0, len(regular.part_evidence))
        handshake = peer.statuses.create_host_status(is_handshake=True)
        case.assertFalse(status_messages.is_urgent(handshake))
        restarted.statuses.apply_host_status('b', handshake)
        case.assertEqual('part', find_quarantined(restarted))

    clocks.run(run())


def test_healthy_calls_add_nothing_to_statuses(case: support.Case) -> None:
    """Answers are reported only of parts under which targets crashed."""

    async def run() -> None:
        host = Host('a')
        host.router.crash_evidence.record_survival(
            PROMPT, host.router.runtime.now()
        )
        handshake = host.statuses.create_host_status(is_handshake=True)
        case.assertEqual(0, len(handshake.part_evidence))

    clocks.run(run())


def test_leaving_targets_are_known_to_all_domains(case: support.Case) -> None:
    """All hosts prefer others to a target that has told one that it leaves."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].router.notices.record_leaving(
            ENGINE.get_incarnation(), hosts[0].router.runtime.now()
        )
        exchange_statuses(*hosts)
        for host in hosts:
            case.assertTrue(host.router.notices.is_leaving(ENGINE), host.name)

    clocks.run(run())


def test_age_of_leaving_is_known_to_all_domains(case: support.Case) -> None:
    """Hosts that were told late sent calls past the target's drain time."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        for host in hosts:
            host.router.notices.drain_seconds = 4.0
        hosts[0].router.notices.record_leaving(
            ENGINE.get_incarnation(), hosts[0].router.runtime.now()
        )
        await asyncio.sleep(2.9)
        exchange_statuses(*hosts)
        await asyncio.sleep(0.2)
        for host in hosts:
            status = host.statuses.create_host_status()
            case.assertEqual([], list(status.leaving), host.name)
        for seconds, is_accepted in ((0.35, True), (0.1, False)):
            await asyncio.sleep(seconds)
            for host in hosts:
                now = host.router.runtime.now()
                accepts_calls = host.router.notices.accepts_calls(ENGINE, now)
                case.assertEqual(is_accepted, accepts_calls, host.name)

    clocks.run(run())


def test_leaving_target_of_a_former_build_has_no_age(
    case: support.Case,
) -> None:
    """Its hosts send none; the drain time then counts from the receipt."""

    async def run() -> None:
        former, host = Host('a'), Host('b')
        former.router.notices.record_leaving(
            ENGINE.get_incarnation(), former.router.runtime.now()
        )
        await asyncio.sleep(1.0)
        status = former.statuses.create_host_status()
        status.leaving[0].ClearField('age_ms')
        host.statuses.apply_host_status(former.name, status)
        now = host.router.runtime.now()
        (told,) = host.router.notices.list_recently_leaving(now)
        case.assertEqual(0.0, told.age_seconds)

    clocks.run(run())


def test_loading_engines_make_a_status_urgent(case: support.Case) -> None:
    """Loading engines, not loads or cache updates, make a status urgent."""

    async def run() -> None:
        host = Host('a')
        host.start_call()
        status = host.statuses.create_host_status()
        host.statuses.add_updates(status, is_relaying=True)
        case.assertFalse(status_messages.is_urgent(status))
        host.rollout.loading.add(ENGINE.get_incarnation())
        case.assertTrue(
            status_messages.is_urgent(host.statuses.create_host_status())
        )

    clocks.run(run())


def test_dates_of_weights_are_known_to_all_domains(
    case: support.Case,
) -> None:
    """The time on the way and at a former build made dates less exact."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        for host in hosts:
            name_weights(host, 1, 0.0)
        await asyncio.sleep(0.9)
        record_store(hosts[0], 1)
        await asyncio.sleep(0.1)
        for host in hosts:
            name_weights(host, 2, 1.0)
        await asyncio.sleep(0.5)
        lags = [round(get_lag(host), 1) for host in hosts]
        case.assertEqual([0.6, 1.5, 1.5, 1.5], lags)
        exchange_statuses(*hosts)
        for host in hosts:
            case.assertAlmostEqual(0.6, get_lag(host), 1, host.name)

    clocks.run(run())


def test_former_builds_send_ages_only(case: support.Case) -> None:
    """Hosts of the former build did not know the store's clock."""

    async def run() -> None:
        host, former = Host('a'), Host('b')
        for number in (1, 2):
            name_weights(former, number, 0.0)
            name_weights(host, number, 0.0)
            await asyncio.sleep(1.0)
        status = former.statuses.create_host_status()
        for named in status.named:
            for field in ('after_ms', 'after_era', 'predecessor'):
                named.ClearField(field)
        lag_seconds = get_lag(host)
        host.statuses.apply_host_status(former.name, status)
        case.assertEqual(lag_seconds, get_lag(host))
        restarted = Host('c')
        name_weights(restarted, 2, float('inf'))
        restarted.statuses.apply_host_status(former.name, status)
        case.assertAlmostEqual(1.0, get_lag(restarted), 1)

    clocks.run(run())


def test_bytes_of_a_status_are_measured_by_field(case: support.Case) -> None:
    """Relayed loads were not told from the leader's own."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abc']
        for host in hosts:
            host.start_call()
        remote_status = hosts[0].statuses.create_domain_status(())
        hosts[1].statuses.apply_domain_status('d1', remote_status)
        hosts[1].statuses.queue_report(
            messages_pb2.Host(name='c'), hosts[2].statuses.create_host_status()
        )
        status = hosts[1].statuses.create_host_status()
        hosts[1].statuses.add_updates(status, is_relaying=True)
        sizes = peer_messages.measure_fields(status)
        case.assertEqual(status.ByteSize(), sizes.total())
        for field in ('loads', 'reports.loads', 'domains.loads'):
            case.assertGreater(sizes[field], 0, field)

    clocks.run(run())


def test_updates_are_sent_once(case: support.Case) -> None:
    """A second round repeats neither cache updates nor domain statuses."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].start_call()
        exchange_statuses(*hosts)
        partial = hosts[1].statuses.create_partial_status(is_domain=True)
        case.assertEqual(0, len(partial.sightings))
        remote_status = hosts[2].statuses.create_host_status()
        hosts[2].statuses.add_updates(remote_status, is_relaying=True)
        case.assertEqual(0, len(remote_status.domains))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
