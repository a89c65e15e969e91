"""Lines of a history; one format for fakes and real processes.

Times are seconds of one clock. A file holds one JSON object a line, with the
name of the record class under `record`.
"""

from collections import abc
import json
import typing

import attrs

from pistachioseam import conversion
from pistachioseam import findings


@attrs.frozen(kw_only=True)
class Invoked:
    """A caller sent a request; `key` is empty for idempotent requests."""

    at: float
    request_id: str
    host: str
    account: str
    key: str = ''


@attrs.frozen(kw_only=True)
class Responded:
    """A caller got a final answer; `answer` identifies its content."""

    at: float
    request_id: str
    outcome: str
    answer: str = ''


@attrs.frozen(kw_only=True)
class Executed:
    """A target ran a request; `answer` identifies what it returned."""

    at: float
    target: str
    incarnation: str
    request_id: str
    account: str
    key: str = ''
    answer: str = ''


@attrs.frozen(kw_only=True)
class Delivered:
    """A caller got one piece of a stream, or its end mark."""

    at: float
    request_id: str
    number: int
    text: str
    is_end: bool = False


@attrs.frozen(kw_only=True)
class Promised:
    """Text of the whole stream that the request must get."""

    at: float
    request_id: str
    pieces: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CacheUsed:
    """A router counted on cached pieces that this evidence named."""

    at: float
    request_id: str
    target: str
    account: str
    weights_version: str
    incarnation: str
    evidence_account: str
    evidence_weights_version: str
    evidence_incarnation: str


@attrs.frozen(kw_only=True)
class Accepted:
    """A configuration number was accepted by the table service."""

    at: float
    number: int


@attrs.frozen(kw_only=True)
class InForce:
    """A host put a configuration number in force."""

    at: float
    host: str
    number: int


@attrs.frozen(kw_only=True)
class HostStarted:
    """A host's process started."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class HostServed:
    """A host answered its first request after a start."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class StopAsked:
    """A planned stop of a host began."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class HostLost:
    """A host crashed or was cut off; promises about it pause."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class TargetLeft:
    """A target was marked as leaving."""

    at: float
    target: str


Record: typing.TypeAlias = (
    Invoked
    | Responded
    | Executed
    | Delivered
    | Promised
    | CacheUsed
    | Accepted
    | InForce
    | HostStarted
    | HostServed
    | StopAsked
    | HostLost
    | TargetLeft
)
History: typing.TypeAlias = abc.Sequence[Record]

KINDS: dict[str, type[typing.Any]] = {
    kind.__name__: kind for kind in typing.get_args(Record)
}

RecordT = typing.TypeVar('RecordT')


def select(history: History, kind: type[RecordT]) -> abc.Iterator[RecordT]:
    """Yield the records of one kind in order."""
    for record in history:
        if isinstance(record, kind):
            yield record


def encode(record: Record) -> str:
    """Return a record as one line of a history file."""
    content = conversion.unstructure(record)
    return json.dumps({'record': type(record).__name__, **content})


def decode(line: str) -> Record:
    """Return the record of a line; raise ValueError if it is malformed."""
    content = json.loads(line)
    name = content.pop('record', None)
    if name not in KINDS:
        raise ValueError(f'unknown record "{name}"')
    place = findings.Location('history')
    return typing.cast(
        Record, conversion.structure(content, KINDS[name], place).unwrap()
    )
