"""Rows of the claims table, and the keys and digests of calls.

The `claims` table is in the platform's table service; only entry hosts write
to it.
"""

import base64
import enum
import hashlib
import typing

import attrs

from pistachioseam import conversion
from pistachioseam import findings
from pistachioseam import interfaces

TABLE = 'claims'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
DIGEST_BYTES = 16


class State(enum.Enum):
    """State of a claimed call."""

    CLAIMED = 'claimed'
    """The holder may send the call, or has sent it."""
    DONE = 'done'
    """The row holds the answer."""
    UNKNOWN = 'unknown'
    """The call may have run; its answer is lost."""


@attrs.frozen(kw_only=True)
class Record:
    """Content of a claim row.

    `token` identifies the claim and `holder` the process incarnation that
    made it. `status`, `content_type` and `body` (in base64) hold the answer.
    """

    state: State
    token: str
    holder: str
    digest: str
    configuration_number: int
    status: int = 0
    content_type: str = ''
    body: str = ''


def create_row_key(
    account: str, route: str, idempotency_key: str
) -> interfaces.RowKey:
    """Return the row key, unique per account, route and idempotency key."""
    parts = (account, route, idempotency_key)
    text = '\0'.join(f'{len(part)}:{part}' for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return interfaces.RowKey(TABLE, digest.hexdigest())


def digest_call(method: str, path: str, body: bytes) -> str:
    """Return a digest that is equal only for identical calls."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def encode(record: Record) -> dict[str, typing.Any]:
    """Return the row content of a record."""
    content: dict[str, typing.Any] = conversion.unstructure(record)
    return content


def decode(row: interfaces.Row) -> Record | None:
    """Return the record of a row, or None if the row does not exist.

    Raises UnwrapFailedError if the row is malformed.
    """
    if row.value is None:
        return None
    location = findings.Location(TABLE, row.key.key)
    return conversion.structure(row.value, Record, location).unwrap()


def decode_answer(record: Record) -> interfaces.TargetResponse:
    """Return the answer stored in a record."""
    return interfaces.TargetResponse(
        record.status, record.content_type, base64.b64decode(record.body)
    )


def add_answer(record: Record, answer: interfaces.TargetResponse) -> Record:
    """Return the record of a call that received a complete answer."""
    return attrs.evolve(
        record,
        state=State.DONE,
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode(),
    )
