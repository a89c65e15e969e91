"""One request on its way through the filters."""

import attrs

from pistachioseam import claims
from pistachioseam import identity
from pistachioseam import interfaces
from pistachioseam.placement import placer
from pistachioseam import refusals
from pistachioseam import tables

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen
class ChatRequest:
    """Parts of a chat-completions request that decide where it runs."""

    model: str
    messages: tuple[ChatMessage, ...]
    is_stream: bool
    max_tokens: int


@attrs.define(kw_only=True)
class Attempt:
    """One call to a target; `failure` is empty unless it failed."""

    target: tables.Target
    decision: placer.Decision | None
    started_at: float
    ended_at: float | None = None
    failure: str = ''
    is_prefilled: bool = False
    stream: interfaces.TargetStream | None = None


@attrs.frozen
class Note:
    """What one filter found, kept to explain the request."""

    filter: str
    text: str


@attrs.define(kw_only=True)
class Exchange:
    """State of one request between its filters.

    Times are monotonic seconds of the runtime. `headers` has lower-case
    names. `delivered` holds the stream pieces that the caller was sent.
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
    notes: list[Note] = attrs.field(factory=list)
    answer: interfaces.TargetAnswer | None = None
    refusal: refusals.Refusal | None = None
    first_token_at: float | None = None

    def add_note(self, name: str, text: str) -> None:
        """Keep what a filter found."""
        self.notes.append(Note(name, text))

    def is_answered(self) -> bool:
        """Tell whether a whole answer is there."""
        return self.answer is not None

    def get_account(self) -> str:
        """Return the account key, unique over teams."""
        if self.caller is None:
            return ''
        return f'{self.caller.team}/{self.caller.account}'

    def is_repeatable(self) -> bool:
        """Tell whether the call may be sent more than once."""
        if self.chat is not None or self.method in IDEMPOTENT_METHODS:
            return True
        return self.route is not None and self.route.idempotent

    def get_outcome(self) -> refusals.Outcome:
        """Return what the caller is told."""
        if self.refusal is None:
            return refusals.Outcome.DONE
        return self.refusal.outcome
