"""Envelopes that authenticate messages between hosts by a keyed hash."""

import enum
import hashlib
import hmac

from google.protobuf import message as protobuf
from returns import result

from pistachioseam_peer.generated import messages_pb2

PROTOCOL_VERSION = 1
TAG_BYTES = 16
MAX_PAYLOAD_BYTES = 1_000_000
MAX_SKEW_MS = 30_000
"""Largest difference between the send time and the receiver's clock."""


class Rejection(enum.Enum):
    """Reason why a message was rejected."""

    BAD_TAG = 'bad-tag'
    STALE = 'stale'
    TOO_LARGE = 'too-large'
    MALFORMED = 'malformed'
    VERSION = 'version'
    """The protocol version is missing or below 1; newer ones are accepted."""


def _compute_tag(secret: bytes, sent_at_ms: int, payload: bytes) -> bytes:
    """Return the keyed BLAKE2b hash of a send time and a payload."""
    digest = hashlib.blake2b(key=secret, digest_size=TAG_BYTES)
    digest.update(sent_at_ms.to_bytes(8, 'big', signed=True))
    digest.update(payload)
    return digest.digest()


def create_envelope(
    secret: bytes, message: messages_pb2.Message, now_ms: int
) -> messages_pb2.Envelope:
    """Return the message with a tag; `now_ms` is the Unix time."""
    message.version = PROTOCOL_VERSION
    payload = message.SerializeToString()
    tag = _compute_tag(secret, now_ms, payload)
    return messages_pb2.Envelope(payload=payload, tag=tag, sent_at_ms=now_ms)


def open_envelope(
    secret: bytes, envelope: messages_pb2.Envelope, now_ms: int
) -> result.Result[messages_pb2.Message, Rejection]:
    """Return the message of an authentic envelope, or why it is rejected."""
    if len(envelope.payload) > MAX_PAYLOAD_BYTES:
        return result.Failure(Rejection.TOO_LARGE)
    expected = _compute_tag(secret, envelope.sent_at_ms, envelope.payload)
    if not hmac.compare_digest(expected, envelope.tag):
        return result.Failure(Rejection.BAD_TAG)
    if abs(now_ms - envelope.sent_at_ms) > MAX_SKEW_MS:
        return result.Failure(Rejection.STALE)
    message = messages_pb2.Message()
    try:
        message.ParseFromString(envelope.payload)
    except protobuf.DecodeError:
        return result.Failure(Rejection.MALFORMED)
    if message.version < 1:
        return result.Failure(Rejection.VERSION)
    return result.Success(message)
