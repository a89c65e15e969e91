"""Conversion of what hosts of both kinds tell peers to and from messages."""

from collections import abc

from pistachioseam import membership
from pistachioseam import quarantine
from pistachioseam_peer.generated import messages_pb2


def add_suspects(
    gossip: messages_pb2.Gossip | messages_pb2.HostStatus,
    suspects: abc.Iterable[quarantine.Suspect],
) -> None:
    """Add suspects, the requests that were in flight when targets crashed."""
    for suspect in suspects:
        gossip.suspects.add(
            digest=suspect.digest,
            crashes=suspect.crashes,
            seconds_left=suspect.seconds_left,
            targets=[
                messages_pb2.Incarnation(target=name, born_ms=born_ms)
                for name, born_ms in sorted(suspect.targets)
            ],
        )


def decode_suspects(
    gossip: messages_pb2.Gossip | messages_pb2.HostStatus,
) -> tuple[quarantine.Suspect, ...]:
    """Return the suspects that a message carries."""
    return tuple(
        quarantine.Suspect(
            suspect.digest,
            suspect.crashes,
            suspect.seconds_left,
            frozenset((t.target, t.born_ms) for t in suspect.targets),
        )
        for suspect in gossip.suspects
    )


def encode_peer(peer: membership.Peer) -> messages_pb2.Host:
    """Return a peer as a `Host` message."""
    return messages_pb2.Host(
        name=peer.name,
        incarnation=peer.incarnation,
        domain=peer.domain,
        address=peer.address,
        is_leaving=peer.is_leaving,
    )


def decode_peer(host: messages_pb2.Host) -> membership.Peer:
    """Return the peer that a `Host` message describes."""
    return membership.Peer(
        name=host.name,
        incarnation=host.incarnation,
        domain=host.domain,
        address=host.address,
        is_leaving=host.is_leaving,
    )
