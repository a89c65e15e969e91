"""What a host knows reaches other domains, and is counted once."""

import attrs

from pistachioseam.forwarding import loads
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam_entry import status_messages
from tests import call_fakes
from tests import clocks
from tests import support

ENGINE = call_fakes.create_target(1, call_fakes.ENGINES)
SALT = 'salt'
PARTS = (prompts.Part('part', 160),)


@attrs.define
class Rollout:
    """Engines that this host has ordered to load."""

    loading: set[tuple[str, int]] = attrs.field(factory=set)


class Host:
    """One host's statuses."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.rollout = Rollout()
        self.router = call_fakes.Fleet([ENGINE]).router
        self.statuses = status_messages.StatusMessages(
            self.router,
            self.rollout,  # type: ignore[arg-type]
            list,
        )

    def get_load(self) -> loads.Load:
        """Return the engine's load."""
        return self.router.loads.get(ENGINE.name, self.router.runtime.now())

    def begin(self) -> None:
        """Send a call that reads a new part."""
        self.router.loads.start_call(
            ENGINE.name, 100, 50, now=self.router.runtime.now()
        )
        sighting = residency.CacheUpdate(ENGINE.name, SALT, PARTS)
        self.router.caches.record_use(sighting, 1000, 0.0)

    def knows_part(self) -> bool:
        """Tell whether this host knows who has the part."""
        held = self.router.caches.count_prefix_tokens(ENGINE.name, SALT, PARTS)
        return held > 0


def pass_round(member: Host, speaker: Host, other: Host, last: Host) -> None:
    """Let each tell once: a member, its speaker, another's, its member."""
    own = member.statuses.create_own()
    member.statuses.add_news(own, is_speaker=False)
    speaker.statuses.hear_near(member.name, own)
    speaker.statuses.keep_for_distant(own)
    domain = speaker.statuses.create_domain({member.name})
    other.statuses.hear_domain('d1', domain)
    near = other.statuses.create_own()
    other.statuses.add_news(near, is_speaker=True)
    last.statuses.hear_near(other.name, near)


def test_loads_of_a_domain_reach_another(case: support.Case) -> None:
    """Its sum replaces the former one; nothing is counted twice."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].begin()
        hosts[1].begin()
        for _ in range(3):
            pass_round(*hosts)
        case.assertEqual(loads.Load(2, 200, 100), hosts[2].get_load())
        case.assertEqual(loads.Load(2, 200, 100), hosts[3].get_load())
        case.assertTrue(hosts[3].knows_part())

    clocks.run(run())


def test_loading_engines_are_known_everywhere(case: support.Case) -> None:
    """No host of any domain sends calls to an engine that loads."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].rollout.loading.add(ENGINE.get_incarnation())
        pass_round(*hosts)
        for host in hosts[1:]:
            case.assertTrue(host.router.weights.is_loading(ENGINE), host.name)
        hosts[0].rollout.loading.clear()
        hosts[0].router.weights.note(ENGINE, call_fakes.MODEL, 7)
        pass_round(*hosts)
        for host in hosts:
            case.assertFalse(host.router.weights.is_loading(ENGINE))
            version = host.router.weights.get(ENGINE, call_fakes.MODEL)
            case.assertEqual(7, version, host.name)

    clocks.run(run())


def test_suspects_are_known_everywhere(case: support.Case) -> None:
    """A request that crashes engines is refused by all domains."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        for _ in range(3):
            hosts[0].router.quarantine.record_crash('digest')
        pass_round(*hosts)
        case.assertTrue(hosts[3].router.quarantine.is_quarantined('digest'))

    clocks.run(run())


def test_only_urgent_news_interrupt(case: support.Case) -> None:
    """Loads and parts wait for the next regular message."""

    async def run() -> None:
        host = Host('a')
        host.begin()
        status = host.statuses.create_own()
        host.statuses.add_news(status, is_speaker=True)
        case.assertFalse(status_messages.is_urgent(status))
        host.rollout.loading.add(ENGINE.get_incarnation())
        case.assertTrue(status_messages.is_urgent(host.statuses.create_own()))

    clocks.run(run())


def test_news_are_told_once(case: support.Case) -> None:
    """A second round repeats no sightings, and does not grow."""

    async def run() -> None:
        hosts = [Host(name) for name in 'abcd']
        hosts[0].begin()
        pass_round(*hosts)
        partial = hosts[1].statuses.create_partial(is_domain=True)
        case.assertEqual(0, len(partial.sightings))
        near = hosts[2].statuses.create_own()
        hosts[2].statuses.add_news(near, is_speaker=True)
        case.assertEqual(0, len(near.domains))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
