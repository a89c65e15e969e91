"""One forwarded call on its way through the filters."""

from collections import abc

import attrs

from pistachioseam import exchanges
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam import refusals


@attrs.define(kw_only=True)
class CallAttempt:
    """One send to a target; `failure` is empty unless it failed.

    `expected` is the expected time to the first byte, in seconds;
    `prompt_tokens` says where the tokens of a prompt were to come from.
    """

    target: catalog.LiveTarget
    started_at: float
    expected: float = 0.0
    failure: str = ''
    prompt_tokens: abc.Mapping[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Call:
    """State of one forwarded call; times are monotonic seconds.

    `may_have_run` is set from the first byte sent to a target until
    that target declares that the call has not run.
    """

    head: ports.CallHead
    method: bytes
    uri: bytes
    body: bytes = attrs.field(repr=False)
    received_at: float
    reply: ports.CallReply
    route: desired.Route | None = None
    service: desired.Service | None = None
    account: desired.Account | None = None
    desired_version: int = 0
    deadline: float = 0.0
    digest: str = ''
    may_have_run: bool = False
    is_served: bool = False
    status: int = 0
    first_byte_at: float | None = None
    attempts: list[CallAttempt] = attrs.field(factory=list)
    notes: list[exchanges.Note] = attrs.field(factory=list)
    refusal: refusals.Refusal | None = None

    @property
    def request_id(self) -> str:
        """Return the identity that the caller gave this call."""
        return self.head.request_id

    @property
    def prompt(self) -> prompts.Prompt | None:
        """Return what the call asks of an engine."""
        return self.head.prompt

    def follows_caller(self) -> bool:
        """Tell whether the call ends when its caller leaves.

        A call that may run once only, and may have begun, runs to its end.
        """
        if self.route is None or not self.may_have_run:
            return True
        return self.route.semantics is not desired.CallSemantics.ONCE

    def add_note(self, name: str, text: str) -> None:
        """Keep what a filter found."""
        self.notes.append(exchanges.Note(name, text))

    def is_answered(self) -> bool:
        """Tell whether a target's answer was passed on."""
        return self.is_served

    def get_path(self) -> str:
        """Return the path without the query."""
        return self.uri.partition(b'?')[0].decode('latin-1')

    def get_account_name(self) -> str:
        """Return the name of the account, empty on public routes."""
        return self.account.name if self.account else ''

    def is_repeatable(self) -> bool:
        """Tell whether the call may be sent again after it may have run."""
        return self.route is not None and self.route.semantics.is_retryable()

    def is_urgent(self) -> bool:
        """Tell whether the call goes before all calls of other ranks."""
        return self.get_rank() == 0

    def get_rank(self) -> int:
        """Return the urgency; 0 is first. An account's goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority if self.route else 0
