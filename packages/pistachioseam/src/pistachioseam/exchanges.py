"""State of one request while it passes the filters."""

import attrs

from pistachioseam import claim_records
from pistachioseam import claims
from pistachioseam import filter_notes
from pistachioseam import identity
from pistachioseam import interfaces
from pistachioseam.placement import placer
from pistachioseam import refusals
from pistachioseam import tables

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@attrs.frozen
class ChatMessage:
    """One message of a chat request; `content` is JSON text."""

    role: str
    content: str


@attrs.frozen
class ChatRequest:
    """Fields of a chat-completions request that the filters use."""

    model: str
    messages: tuple[ChatMessage, ...]
    is_stream: bool
    max_tokens: int


@attrs.define(kw_only=True)
class Attempt:
    """One call to a target; `failure` is a failure kind, empty if none.

    `is_prefilled` is set once the target has sent its first piece or its
    response.
    """

    target: tables.Target
    decision: placer.Decision | None
    started_at: float
    ended_at: float | None = None
    failure: str = ''
    is_prefilled: bool = False
    stream: interfaces.TargetStream | None = None


@attrs.define(kw_only=True)
class Exchange:
    """State of one request that the filters read and set.

    Times are monotonic seconds of the runtime. `headers` has lower-case
    names. `chain` holds the hashes of the prompt's prefixes, `prompt_pieces`
    the length of the prompt in pieces. `cache_salt` is the hexadecimal seed of
    `chain`; engines share KV cache only between requests with the same salt.
    `digest` identifies equal requests of an account in the quarantine.
    `may_have_run` is set while a target may have executed the call, unless the
    call may be sent to targets more than once.
    `delivered` holds the stream pieces that were sent to the caller.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    received_at: float
    reply: interfaces.Reply
    configuration_number: int = 0
    caller: identity.Caller | None = None
    route: tables.Route | None = None
    pool: tables.Pool | None = None
    chat: ChatRequest | None = None
    deadline: float = 0.0
    digest: str = ''
    cache_salt: str = ''
    chain: tuple[int, ...] = ()
    prompt_pieces: float = 0.0
    claim: claims.Claim | None = None
    targets: tuple[tables.Target, ...] = ()
    may_have_run: bool = False
    attempts: list[Attempt] = attrs.field(factory=list)
    delivered: list[interfaces.Piece] = attrs.field(factory=list)
    notes: list[filter_notes.Note] = attrs.field(factory=list)
    response: interfaces.TargetResponse | None = None
    refusal: refusals.Refusal | None = None
    first_token_at: float | None = None

    def add_note(self, name: str, text: str) -> None:
        """Add a text of the filter `name` to the request's journal entry."""
        self.notes.append(filter_notes.Note(name, text))

    def can_skip_filters(self) -> bool:
        """Return whether the request already has a complete response."""
        return self.response is not None

    def get_account(self) -> str:
        """Return `team/account`, or an empty string for an unknown caller."""
        if self.caller is None:
            return ''
        return f'{self.caller.team}/{self.caller.account}'

    def is_retryable(self) -> bool:
        """Return whether the call may be sent to targets more than once."""
        if self.chat is not None or self.method in IDEMPOTENT_METHODS:
            return True
        return self.route is not None and self.route.idempotent

    def is_cancelled_on_disconnect(self) -> bool:
        """Return whether to cancel the call when its caller disconnects.

        A call with a key goes on, so that its claim is settled and its outcome
        recorded for those that send it again. So does one that may have run.
        """
        if self.is_retryable():
            return True
        return not self.get_idempotency_key() and not self.may_have_run

    def get_idempotency_key(self) -> str:
        """Return the key that the caller sent, empty if it sent none."""
        return self.headers.get(claim_records.IDEMPOTENCY_KEY_HEADER, '')

    def record_sending(self) -> None:
        """Record that the call is sent; targets may execute it from now on."""
        if not self.is_retryable():
            self.may_have_run = True

    def discard_bodies(self) -> None:
        """Release the bodies of an exchange that has ended.

        It is part of a reference cycle, and large blocks alone do not make the
        garbage collector run.
        """
        self.body = b''
        self.response = None

    def get_outcome(self) -> refusals.Outcome:
        """Return the outcome that is reported to the caller."""
        if self.refusal is None:
            return refusals.Outcome.DONE
        return self.refusal.outcome
