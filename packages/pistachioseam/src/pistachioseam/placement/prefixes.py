"""Prompt prefixes, identified by a chain of keyed hashes.

The chain is seeded with account, model and weights version, so that a prefix
of one account, model or version never counts as cached for another.
"""

import hashlib

HASH_BYTES = 8


def create_seed(account: str, model: str, weights_version: str) -> bytes:
    """Return the seed of an account's chains for a version of a model."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for part in (account, model, weights_version):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return digest.digest()


def create_chain(
    seed: bytes, prompt: bytes, piece_bytes: int
) -> tuple[int, ...]:
    """Return one hash per whole piece, of the prompt up to the piece's end."""
    chain = []
    parent_hash = seed
    for start in range(0, len(prompt) - piece_bytes + 1, piece_bytes):
        piece = memoryview(prompt)[start : start + piece_bytes]
        digest = hashlib.blake2b(
            piece, digest_size=HASH_BYTES, key=parent_hash
        )
        parent_hash = digest.digest()
        chain.append(int.from_bytes(parent_hash, 'big'))
    return tuple(chain)
