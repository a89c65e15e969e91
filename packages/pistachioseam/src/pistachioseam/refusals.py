"""Final answers without a result, and what they say of the call."""

import enum

import attrs


class Outcome(enum.Enum):
    """What the caller is told about its request."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Machine-readable reason of a refusal."""

    BAD_JSON = 'bad_json'
    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    WRONG_METHOD = 'wrong_method'
    UNKNOWN_CALLER = 'unknown_caller'
    UNKNOWN_ROUTE = 'unknown_route'
    NOT_APPROVED = 'not_approved'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_REUSED = 'idempotency_key_reused'
    LIMITED = 'limited'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    NO_TARGET = 'no_target'
    STORE_DOWN = 'store_unavailable'
    NOT_READY = 'not_ready'
    TARGET_FAILED = 'target_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal_error'
    CALLER_LEFT = 'caller_left'
    """Only recorded; nobody is there to be told."""


@attrs.frozen
class Refusal:
    """Final answer without a result, given at once.

    `status` is an HTTP status; `retry_after_seconds` tells when to return.
    """

    status: int
    reason: Reason
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_seconds: float | None = None
