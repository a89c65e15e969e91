"""A host without a path to targets asks the right hosts to relay calls."""

from pistachioseam.forwarding import relays
from pistachioseam import links
from pistachioseam import membership
from tests import call_fakes
from tests import support


def create_peer(name: str, domain: str) -> membership.Peer:
    """Return a host."""
    return membership.Peer(
        name=name, incarnation=name, domain=domain, address=f'{name}:1'
    )


NEAR = [create_peer(f'near-{n}', 'd1') for n in range(3)]
OTHER = [create_peer(f'other-{n}', 'd2') for n in range(3)]
FAR = [create_peer(f'far-{n}', 'd3') for n in range(3)]
REGIONS = (
    links.Region(name='r1', domains=('d1', 'd2')),
    links.Region(name='r2', domains=('d3',)),
)


def create_peers(
    alive: list[membership.Peer], known: list[membership.Peer]
) -> relays.RelayPeers:
    """Return the choice of a host of domain d1."""
    return relays.RelayPeers(
        create_peer('own', 'd1'),
        links.Topology(domain='d1', regions=REGIONS),
        call_fakes.SeededRandom(),
        lambda: alive,
        lambda: known,
    )


def test_near_hosts_come_first_until_they_have_more_calls(
    case: support.Case,
) -> None:
    """Each call in flight counts against a host."""
    peers = create_peers([*NEAR, *OTHER, *FAR], [])
    chosen = []
    for _ in range(30):
        name = peers.choose(1.0)[0].name
        peers.start(name)
        chosen.append(name.partition('-')[0])
    case.assertEqual({'near'}, set(chosen[:4]))
    case.assertGreater(chosen.count('other'), 5)
    case.assertEqual(0, chosen.count('far'))


def test_hosts_without_a_path_are_not_asked(case: support.Case) -> None:
    """They say so in each status; an old one does not count."""
    peers = create_peers([*NEAR, *OTHER], [])
    for peer in NEAR:
        peers.record_status(peer.name, True, 1.0)
    asked = {peer.name for _ in range(20) for peer in peers.choose(1.5)}
    case.assertEqual({peer.name for peer in OTHER}, asked)
    peers.record_status(NEAR[0].name, False, 2.0)
    case.assertEqual(NEAR[0].name, peers.choose(2.0)[0].name)
    later = 1.0 + relays.STATUS_EXPIRY_SECONDS + 0.1
    asked = {peer.name for _ in range(20) for peer in peers.choose(later)}
    case.assertEqual({peer.name for peer in NEAR}, asked)


def test_hosts_that_refused_or_are_silent_come_last(
    case: support.Case,
) -> None:
    """A host that was not heard of may be lost."""
    peers = create_peers(NEAR[:2], [*NEAR, *OTHER])
    case.assertEqual(set(NEAR[:2]), set(peers.choose(1.0)[:2]))
    peers.record_refusal(NEAR[0].name, 1.0)
    case.assertEqual(NEAR[1], peers.choose(1.5)[0])
    case.assertNotIn(NEAR[0], peers.choose(1.5))
    case.assertIn(NEAR[0], peers.choose(1.1 + relays.REFUSAL_PAUSE_SECONDS))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
