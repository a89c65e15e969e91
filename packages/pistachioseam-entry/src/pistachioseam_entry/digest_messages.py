"""Conversion of placement digests to and from gossip messages."""

from pistachioseam.placement import loads
from pistachioseam.placement import placer
from pistachioseam_peer.generated import messages_pb2


def add_digest(gossip: messages_pb2.Gossip, digest: placer.Digest) -> None:
    """Add the prefix uses and outstanding work of a digest to gossip."""
    for prefix_use in digest.prefix_uses:
        gossip.sightings.add(target=prefix_use.target, chain=prefix_use.chain)
    for share in digest.shares:
        gossip.shares.add(target=share.target, seconds=share.seconds)


def decode_digest(gossip: messages_pb2.Gossip) -> placer.Digest:
    """Return the digest that gossip carries."""
    prefix_uses = tuple(
        placer.PrefixUse(sighting.target, tuple(sighting.chain))
        for sighting in gossip.sightings
    )
    shares = tuple(
        loads.Share(share.target, share.seconds) for share in gossip.shares
    )
    return placer.Digest(prefix_uses, shares)
