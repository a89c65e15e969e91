"""Conversion between the core's values and messages to peers."""

from collections import abc

from pistachioseam.forwarding import confirmations
from pistachioseam import membership
from pistachioseam.placement import loads
from pistachioseam.placement import placer
from pistachioseam import quarantine
from pistachioseam_peer.generated import messages_pb2

MS = 1000.0


def add_digest(gossip: messages_pb2.Gossip, digest: placer.Digest) -> None:
    """Add sightings and outstanding work to gossip."""
    for sighting in digest.prefix_uses:
        gossip.sightings.add(target=sighting.target, chain=sighting.chain)
    for share in digest.shares:
        gossip.shares.add(target=share.target, seconds=share.seconds)


def decode_digest(gossip: messages_pb2.Gossip) -> placer.Digest:
    """Return the digest of gossip."""
    sightings = tuple(
        placer.PrefixUse(sighting.target, tuple(sighting.chain))
        for sighting in gossip.sightings
    )
    shares = tuple(
        loads.Share(share.target, share.seconds) for share in gossip.shares
    )
    return placer.Digest(sightings, shares)


def add_suspects(
    gossip: messages_pb2.Gossip | messages_pb2.HostStatus,
    suspects: abc.Iterable[quarantine.Suspect],
) -> None:
    """Add requests that were in flight at crashes."""
    for suspect in suspects:
        gossip.suspects.add(
            digest=suspect.digest,
            crashes=suspect.crashes,
            seconds_left=suspect.seconds_left,
        )


def decode_suspects(
    gossip: messages_pb2.Gossip | messages_pb2.HostStatus,
) -> tuple[quarantine.Suspect, ...]:
    """Return the suspects of gossip."""
    return tuple(
        quarantine.Suspect(
            suspect.digest, suspect.crashes, suspect.seconds_left
        )
        for suspect in gossip.suspects
    )


def encode_peer(peer: membership.Peer) -> messages_pb2.Host:
    """Return a peer as a message."""
    return messages_pb2.Host(
        name=peer.name,
        incarnation=peer.incarnation,
        domain=peer.domain,
        address=peer.address,
        is_leaving=peer.is_leaving,
    )


def decode_peer(host: messages_pb2.Host) -> membership.Peer:
    """Return the peer of a message."""
    return membership.Peer(
        name=host.name,
        incarnation=host.incarnation,
        domain=host.domain,
        address=host.address,
        is_leaving=host.is_leaving,
    )


def encode_store_word(
    word: confirmations.StoreStatus,
) -> messages_pb2.StoreWord:
    """Return a word on the store as a message; ages are rounded up."""
    return messages_pb2.StoreWord(
        desired=_encode_table(word.desired),
        targets=_encode_table(word.targets),
        held_ms=int(word.held_seconds * MS),
    )


def _encode_table(word: confirmations.TableStatus) -> messages_pb2.TableWord:
    return messages_pb2.TableWord(
        cursor=word.cursor,
        changed=word.changed,
        age_ms=int(word.age_seconds * MS) + 1,
    )


def decode_store_word(
    message: messages_pb2.StoreWord,
) -> confirmations.StoreStatus:
    """Return the word on the store of a message."""
    return confirmations.StoreStatus(
        desired=_decode_table(message.desired),
        targets=_decode_table(message.targets),
        held_seconds=message.held_ms / MS,
    )


def _decode_table(
    message: messages_pb2.TableWord,
) -> confirmations.TableStatus:
    return confirmations.TableStatus(
        cursor=message.cursor,
        changed=message.changed,
        age_seconds=message.age_ms / MS,
    )
