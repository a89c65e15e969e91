"""Conversion of relayed calls to and from Protocol Buffers messages."""

import math

from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_peer.generated import messages_pb2

MS_PER_SECOND = 1000.0
NO_IDLE_LIMIT = float('inf')
NEW_CONNECTION_MS = 0
"""Bound on the idle time that no connection meets: a new one is opened."""


def encode_request(call: ports.OutgoingCall) -> messages_pb2.RelayRequest:
    """Return a call to a target as a `RelayRequest` message."""
    request = messages_pb2.RelayRequest(
        incarnation=call.incarnation,
        request_id=call.request_id,
        method=call.method,
        uri=call.uri,
        headers=_encode_headers(call.headers),
        body=call.body,
        time_left_ms=max(0, int(call.get_target_seconds() * MS_PER_SECOND)),
        account=call.account,
        cache_salt=call.cache_salt,
        weights_version=call.weights_version,
        priority=call.priority,
        fetch_from=call.fetch_from,
        save_to=call.save_to,
        after_event=call.after_event,
    )
    if call.needs_new_connection:
        request.max_idle_ms = NEW_CONNECTION_MS
    elif call.max_idle_seconds != NO_IDLE_LIMIT:
        request.max_idle_ms = int(call.max_idle_seconds * MS_PER_SECOND)
    if call.run_seconds_left < call.seconds_left:
        request.caller_time_left_ms = max(
            0, int(call.seconds_left * MS_PER_SECOND)
        )
    return request


def encode_waited_ms(seconds: float) -> int:
    """Return a time that has passed in ms, rounded up."""
    return math.ceil(max(0.0, seconds) * MS_PER_SECOND)


def get_caller_seconds(request: messages_pb2.RelayRequest) -> float:
    """Return the time in seconds that the caller of a request waits."""
    if request.HasField('caller_time_left_ms'):
        return request.caller_time_left_ms / MS_PER_SECOND
    return request.time_left_ms / MS_PER_SECOND


def decode_request(
    request: messages_pb2.RelayRequest, waited_seconds: float
) -> ports.OutgoingCall:
    """Return the call of a `RelayRequest` that has waited for some seconds."""
    target_seconds = request.time_left_ms / MS_PER_SECOND
    max_idle_seconds = NO_IDLE_LIMIT
    if request.HasField('max_idle_ms'):
        max_idle_seconds = request.max_idle_ms / MS_PER_SECOND
    has_version = request.HasField('weights_version')
    has_priority = request.HasField('priority')
    call = ports.OutgoingCall(
        request_id=request.request_id,
        method=request.method,
        uri=request.uri,
        headers=decode_headers(request.headers),
        body=request.body,
        seconds_left=get_caller_seconds(request),
        run_seconds_left=target_seconds,
        incarnation=request.incarnation,
        account=request.account,
        cache_salt=request.cache_salt,
        weights_version=request.weights_version if has_version else None,
        priority=request.priority if has_priority else None,
        fetch_from=request.fetch_from,
        save_to=request.save_to,
        after_event=request.after_event,
        max_idle_seconds=max_idle_seconds,
        needs_new_connection=request.HasField('max_idle_ms')
        and request.max_idle_ms == NEW_CONNECTION_MS,
    )
    return call.spend(waited_seconds)


def encode_head(response: ports.OpenResponse) -> messages_pb2.RelayHead:
    """Return the head of a target's response as a `RelayHead` message."""
    return messages_pb2.RelayHead(
        status=response.head.status,
        headers=_encode_headers(response.head.headers),
        declared_bytes=response.declared_bytes,
    )


def encode_failure(
    failure: interfaces.CallFailure,
) -> messages_pb2.RelayFailure:
    """Return the failure of a relayed call as a `RelayFailure` message."""
    return messages_pb2.RelayFailure(
        kind=failure.kind.value, detail=failure.detail
    )


def decode_failure(
    failure: messages_pb2.RelayFailure,
) -> interfaces.CallFailure:
    """Return the failure of a relayed call.

    One of an unknown kind may have run.
    """
    try:
        kind = interfaces.FailureKind(failure.kind)
    except ValueError:
        kind = interfaces.FailureKind.BROKEN
    return interfaces.CallFailure(kind, f'relayed: {failure.detail}')


def _encode_headers(
    headers: ports.HeaderPairs,
) -> list[messages_pb2.HeaderPair]:
    return [
        messages_pb2.HeaderPair(name=name, value=value)
        for name, value in headers
    ]


def decode_headers(headers: object) -> ports.HeaderPairs:
    """Return the headers of a message as pairs."""
    return tuple((pair.name, pair.value) for pair in headers)  # type: ignore
