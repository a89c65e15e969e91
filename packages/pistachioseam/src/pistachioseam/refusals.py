"""Error responses, and whether the call has run."""

import enum

import attrs


class Outcome(enum.Enum):
    """Whether a call has run, as reported to the caller."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Machine-readable error code of a refusal."""

    BAD_JSON = 'bad_json'
    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    WRONG_METHOD = 'wrong_method'
    UNKNOWN_CALLER = 'unknown_caller'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_STREAM = 'unknown_stream'
    NOT_APPROVED = 'not_approved'
    IDEMPOTENCY_KEY_REQUIRED = 'idempotency_key_required'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    LIMITED = 'limited'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    NO_TARGET = 'no_target'
    STORE_UNAVAILABLE = 'store_unavailable'
    NOT_READY = 'not_ready'
    TARGET_FAILED = 'target_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    IN_PROGRESS = 'in_progress'
    INTERNAL_ERROR = 'internal_error'
    CALLER_LEFT = 'caller_left'
    """Only recorded; the caller has disconnected and gets no response."""


@attrs.frozen
class Refusal:
    """Error response to a request.

    `status` is an HTTP status; `retry_after_seconds` is sent as
    `Retry-After`, which None omits.
    """

    status: int
    reason: Reason
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_seconds: float | None = None
