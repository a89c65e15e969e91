"""Prompts as chains of named parts, and the cache salt that isolates them."""

import hashlib

import attrs

SALT_BYTES = 8
NOT_ISOLATED = ''
"""Value of `isolated_account` for accounts that share cached parts."""


@attrs.frozen
class Part:
    """Part of a prompt, named by the caller's request.

    Prompts with a common prefix share the parts of that prefix.
    """

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """Prompt of a model call and the output tokens it may generate.

    All parts but the last may be shared with other prompts; the last is the
    call's own.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    def get_affinity_part_name(self) -> str:
        """Return the name of the part that is hashed for cache affinity.

        It is the last shared part, or the only part.
        """
        if len(self.parts) > 1:
            return self.parts[-2].name
        return self.parts[0].name if self.parts else ''

    def list_shared_names(self) -> tuple[str, ...]:
        """Return the names of the parts that other prompts may share."""
        return tuple(part.name for part in self.parts[:-1])

    def count_tokens(self) -> int:
        """Return the KV cache size of the whole run, in tokens."""
        return self.prompt_tokens + self.output_tokens


def compute_salt(model: str, version: int, isolated_account: str) -> str:
    """Return the hexadecimal salt under which an engine caches a call's parts.

    Other weights versions and isolated accounts have other salts, so that no
    call reuses KV cache entries across them.
    """
    digest = hashlib.blake2b(digest_size=SALT_BYTES)
    for field in (model, str(version), isolated_account):
        digest.update(len(field).to_bytes(4, 'big'))
        digest.update(field.encode())
    return digest.hexdigest()
