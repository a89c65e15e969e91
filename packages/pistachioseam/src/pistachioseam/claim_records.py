"""Rows of the claims table, and the identity of calls.

Source: the `claims` table of the platform's table service, which only entry
hosts write.
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
KEY_HEADER = 'idempotency-key'
DIGEST_BYTES = 16


class State(enum.Enum):
    """What the row of a claim says."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Record:
    """Content of a claim row; `body` is base64 text of the answer."""

    state: State
    token: str
    holder: str
    digest: str
    configuration_number: int
    status: int = 0
    content_type: str = ''
    body: str = ''


def create_key(
    account: str, route: str, idempotency_key: str
) -> interfaces.RowKey:
    """Return the row of a call, apart from every other account and route."""
    parts = (account, route, idempotency_key)
    text = '\0'.join(f'{len(part)}:{part}' for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return interfaces.RowKey(TABLE, digest.hexdigest())


def digest_call(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells equal calls from different ones."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def encode(record: Record) -> dict[str, typing.Any]:
    """Return the content of a claim's row."""
    content: dict[str, typing.Any] = conversion.unstructure(record)
    return content


def decode(row: interfaces.Row) -> Record | None:
    """Return the record of a row, or None while it is absent."""
    if row.value is None:
        return None
    place = findings.Place(TABLE, row.key.key)
    return conversion.structure(row.value, Record, place).unwrap()


def read_answer(record: Record) -> interfaces.TargetAnswer:
    """Return the recorded answer."""
    return interfaces.TargetAnswer(
        record.status, record.content_type, base64.b64decode(record.body)
    )


def add_answer(record: Record, answer: interfaces.TargetAnswer) -> Record:
    """Return the record of a call that brought a whole answer."""
    return attrs.evolve(
        record,
        state=State.DONE,
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode(),
    )
