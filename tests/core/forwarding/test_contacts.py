"""Large fleets exchange far fewer statuses than there are pairs of hosts."""

from collections import abc

from pistachioseam.forwarding import contacts
from pistachioseam import membership
from pistachioseam.placement import rendezvous
from tests import support

ROUND_SECONDS = 0.35
DOMAINS = 6


def create_peers(count: int) -> list[membership.Peer]:
    """Return hosts that are spread evenly over the domains."""
    return [
        membership.Peer(
            name=f'host-{number}',
            incarnation=f'{number}',
            domain=f'domain-{number % DOMAINS}',
            address=f'10.0.0.{number}:1',
        )
        for number in range(count)
    ]


def choose(
    own: membership.Peer,
    peers: abc.Sequence[membership.Peer],
    alive: abc.Sequence[membership.Peer] | None = None,
) -> contacts.Contacts:
    """Return a host's contacts among all others."""
    known = [peer for peer in peers if peer.name != own.name]
    live = known if alive is None else alive
    return contacts.choose_contacts(
        own, known, live, rendezvous.RendezvousHash()
    )


def test_small_fleet_exchanges_statuses_directly(case: support.Case) -> None:
    """Every host sends its status to every other host."""
    peers = create_peers(contacts.MIN_HOSTS_TO_RELAY - 1)
    for own in peers:
        chosen = choose(own, peers)
        case.assertEqual(len(peers) - 1, len(chosen.direct_peers))
        case.assertEqual((), chosen.remote_peers)


def test_one_leader_relays_for_each_domain(case: support.Case) -> None:
    """Leaders send to all other leaders, the rest to their own domain only."""
    peers = create_peers(91)
    leaders = [own for own in peers if choose(own, peers).remote_peers]
    case.assertEqual(DOMAINS, len({peer.domain for peer in leaders}))
    case.assertEqual(DOMAINS, len(leaders))
    names = {peer.name for peer in leaders}
    for own in leaders:
        remote = choose(own, peers).remote_peers
        case.assertEqual(names - {own.name}, {peer.name for peer in remote})


def test_message_rate_is_bounded(case: support.Case) -> None:
    """In a fleet of 380 a host sends under 250 messages a second."""
    peers = create_peers(380)
    rates = sorted(
        len(choose(own, peers).list_all()) / ROUND_SECONDS for own in peers
    )
    case.assertLess(rates[-1], 250)
    remote = sum(len(choose(own, peers).remote_peers) for own in peers)
    case.assertEqual(DOMAINS * (DOMAINS - 1), remote)


def test_lost_leader_is_replaced(case: support.Case) -> None:
    """The next host of the domain leads it.

    Other domains that see no live host there send to the first few, among
    them the lost leader, which may be back.
    """
    peers = create_peers(91)
    leaders = {
        peer.domain: peer for peer in peers if choose(peer, peers).remote_peers
    }
    lost = leaders['domain-1']
    alive = [peer for peer in peers if peer.name != lost.name]
    new = [
        own
        for own in alive
        if own.domain == 'domain-1'
        and choose(own, peers, [p for p in alive if p != own]).remote_peers
    ]
    case.assertEqual(1, len(new))
    visible = [peer for peer in peers if peer.domain == 'domain-0']
    other = leaders['domain-0']
    probed = choose(
        other, peers, [p for p in visible if p != other]
    ).remote_peers
    case.assertEqual(contacts.PROBED_HOSTS * (DOMAINS - 1), len(probed))
    case.assertIn(lost.name, {peer.name for peer in probed})


def test_domain_leaders_have_the_first_ranks(case: support.Case) -> None:
    """The first ranks are unique in small fleets and in relayed ones."""
    for count in (9, 91):
        peers = create_peers(count)
        ranks = sorted(rank(own, peers) for own in peers)
        case.assertEqual(list(range(min(count, DOMAINS))), ranks[:DOMAINS])
        case.assertGreaterEqual(ranks[DOMAINS], DOMAINS)


def rank(own: membership.Peer, peers: abc.Sequence[membership.Peer]) -> int:
    """Return a host's standby rank, given the peers that send to it."""
    known = [peer for peer in peers if peer.name != own.name]
    alive = known
    if contacts.should_relay_statuses(known):
        listed = choose(own, peers).list_all()
        alive = [peer for peer in known if peer in listed]
    return contacts.get_standby_rank(
        own, known, alive, rendezvous.RendezvousHash()
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
