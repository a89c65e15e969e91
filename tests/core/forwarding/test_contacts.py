"""Large fleets exchange far fewer messages than there are pairs of hosts."""

from collections import abc

from pistachioseam.forwarding import contacts
from pistachioseam import membership
from pistachioseam.placement import homes
from tests import support

ROUND_SECONDS = 0.35
DOMAINS = 6


def create_peers(count: int) -> list[membership.Peer]:
    """Return hosts that are spread over the domains."""
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
    return contacts.choose_contacts(own, known, live, homes.HomeOrder())


def test_small_fleets_talk_directly(case: support.Case) -> None:
    """Every host tells every other."""
    peers = create_peers(contacts.RELAYED_HOSTS - 1)
    for own in peers:
        chosen = choose(own, peers)
        case.assertEqual(len(peers) - 1, len(chosen.near))
        case.assertEqual((), chosen.distant)


def test_one_host_speaks_for_each_domain(case: support.Case) -> None:
    """All others talk to their own domain only."""
    peers = create_peers(91)
    speakers = [own for own in peers if choose(own, peers).distant]
    case.assertEqual(DOMAINS, len({peer.domain for peer in speakers}))
    case.assertEqual(DOMAINS, len(speakers))
    names = {peer.name for peer in speakers}
    for own in speakers:
        distant = choose(own, peers).distant
        case.assertEqual(names - {own.name}, {peer.name for peer in distant})


def test_messages_stay_few(case: support.Case) -> None:
    """A host of 380 sends under 250 messages a second, most hosts 180."""
    peers = create_peers(380)
    rates = sorted(
        len(choose(own, peers).list_all()) / ROUND_SECONDS for own in peers
    )
    case.assertLess(rates[-1], 250)
    distant = sum(len(choose(own, peers).distant) for own in peers)
    case.assertEqual(DOMAINS * (DOMAINS - 1), distant)


def test_silent_speaker_is_replaced(case: support.Case) -> None:
    """The next host of the domain speaks, and candidates are tried."""
    peers = create_peers(91)
    speakers = {
        peer.domain: peer for peer in peers if choose(peer, peers).distant
    }
    lost = speakers['domain-1']
    alive = [peer for peer in peers if peer.name != lost.name]
    new = [
        own
        for own in alive
        if own.domain == 'domain-1'
        and choose(own, peers, [p for p in alive if p != own]).distant
    ]
    case.assertEqual(1, len(new))
    seen = [peer for peer in peers if peer.domain == 'domain-0']
    other = speakers['domain-0']
    tried = choose(other, peers, [p for p in seen if p != other]).distant
    case.assertEqual(contacts.CANDIDATES * (DOMAINS - 1), len(tried))
    case.assertIn(lost.name, {peer.name for peer in tried})


def test_few_hosts_stand_by_for_duties(case: support.Case) -> None:
    """In a large fleet those that speak for a domain come first."""
    for count in (9, 91):
        peers = create_peers(count)
        ranks = sorted(rank(own, peers) for own in peers)
        case.assertEqual(list(range(min(count, DOMAINS))), ranks[:DOMAINS])
        case.assertGreaterEqual(ranks[DOMAINS], DOMAINS)


def rank(own: membership.Peer, peers: abc.Sequence[membership.Peer]) -> int:
    """Return a host's place, by the peers that it hears of."""
    known = [peer for peer in peers if peer.name != own.name]
    heard = known
    if contacts.is_relayed(known):
        listed = choose(own, peers).list_all()
        heard = [peer for peer in known if peer in listed]
    return contacts.get_standby_rank(own, known, heard, homes.HomeOrder())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
