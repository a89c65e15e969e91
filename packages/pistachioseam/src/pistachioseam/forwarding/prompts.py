"""Prompts as named parts, and the salt that keeps their caches apart."""

import hashlib

import attrs

SALT_BYTES = 8
SHARED = ''


@attrs.frozen
class Part:
    """Part of a prompt that other requests may share."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What a model request asks of an engine; the last part is its own."""

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    def get_home_part(self) -> str:
        """Return the part whose cache decides where the request is best."""
        if len(self.parts) > 1:
            return self.parts[-2].name
        return self.parts[0].name if self.parts else ''

    def count_tokens(self) -> int:
        """Return the engine memory that the whole run takes, in tokens."""
        return self.prompt_tokens + self.output_tokens


def compute_salt(model: str, version: int, isolated_account: str) -> str:
    """Return the text under which an engine caches a request's parts.

    Parts of other weights versions, and of isolated accounts, have another
    salt, so no request can run on them.
    """
    digest = hashlib.blake2b(digest_size=SALT_BYTES)
    for field in (model, str(version), isolated_account):
        digest.update(len(field).to_bytes(4, 'big'))
        digest.update(field.encode())
    return digest.hexdigest()
