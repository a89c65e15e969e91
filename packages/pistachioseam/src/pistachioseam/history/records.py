"""Records of a history, the same for simulated and for real processes.

Times are seconds of one clock. A history file holds one JSON object per line,
with the name of the record's class under `record`.
"""

from collections import abc
import json
import typing

import attrs

from pistachioseam import conversion
from pistachioseam import findings


@attrs.frozen(kw_only=True)
class Invoked:
    """A caller sent a request to a host.

    `key` is its idempotency key, empty if it has none.
    """

    at: float
    request_id: str
    host: str
    account: str
    key: str = ''


@attrs.frozen(kw_only=True)
class Responded:
    """A caller got a complete response or refusal.

    `answer` identifies the content of the response.
    """

    at: float
    request_id: str
    outcome: str
    answer: str = ''


@attrs.frozen(kw_only=True)
class Executed:
    """A target executed a request; `answer` identifies what it returned."""

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
    """All pieces of the stream that a request must get."""

    at: float
    request_id: str
    pieces: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CacheUsed:
    """A host used an entry of its prefix index for a request.

    `account`, `weights_version` and `incarnation` are those of the request
    and the target, the fields with `evidence_` those of the entry.
    """

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
    """Table edits were accepted as the configuration with this number."""

    at: float
    number: int


@attrs.frozen(kw_only=True)
class InForce:
    """A host put the configuration with this number in force."""

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
    """A host served its first request after a start."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class StopAsked:
    """A host was asked to stop, as planned by its operator."""

    at: float
    host: str


@attrs.frozen(kw_only=True)
class HostLost:
    """A host crashed or was cut off from the network.

    Time limits do not apply to it until it starts again.
    """

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

RECORD_CLASSES: dict[str, type[typing.Any]] = {
    record_class.__name__: record_class
    for record_class in typing.get_args(Record)
}

RecordT = typing.TypeVar('RecordT')


def select(
    history: History, record_class: type[RecordT]
) -> abc.Iterator[RecordT]:
    """Yield the records of one class in order."""
    for record in history:
        if isinstance(record, record_class):
            yield record


def encode(record: Record) -> str:
    """Return a record as one line of a history file."""
    content = conversion.unstructure(record)
    return json.dumps({'record': type(record).__name__, **content})


def decode(line: str) -> Record:
    """Return the record of a line.

    Raises ValueError if the line is not JSON or names no known class,
    AttributeError or TypeError if it is not a JSON object, and
    UnwrapFailedError if its fields do not fit the class.
    """
    content = json.loads(line)
    name = content.pop('record', None)
    if name not in RECORD_CLASSES:
        raise ValueError(f'unknown record class "{name}"')
    location = findings.Location('history')
    return typing.cast(
        Record,
        conversion.structure(content, RECORD_CLASSES[name], location).unwrap(),
    )
