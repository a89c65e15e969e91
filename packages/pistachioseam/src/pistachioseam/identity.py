"""Callers and their credentials.

Source: the `callers` section of the settings, which holds only key digests.
"""

from collections import abc
import hashlib
import hmac

import attrs

BEARER_PREFIX = 'bearer '


@attrs.frozen(kw_only=True)
class Caller:
    """Client account of a team, with the digest of its key.

    `key_sha256` is the lower-case hexadecimal SHA-256 of the key;
    `share` is the weight of the account when the targets are saturated.
    """

    team: str
    account: str
    key_sha256: str = attrs.field(repr=False)
    share: float = 1.0


def digest_key(key: str) -> str:
    """Return the digest of a key as the settings hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_caller(
    callers: abc.Iterable[Caller], authorization: str
) -> Caller | None:
    """Return the caller with the key sent, comparing in constant time."""
    if not authorization.lower().startswith(BEARER_PREFIX):
        return None
    digest = digest_key(authorization[len(BEARER_PREFIX) :].strip())
    found = None
    for caller in callers:
        if hmac.compare_digest(caller.key_sha256, digest):
            found = caller
    return found
