"""State of a forwarded call while the filters process it."""

from collections import abc

import attrs

from pistachioseam import filter_notes
from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import stream_origins
from pistachioseam import refusals


@attrs.define(kw_only=True)
class CallAttempt:
    """One attempt at a target; `failure` is empty unless it failed.

    `is_sent` is set right before the first byte is sent to the target, or to
    the host that relays the call, `is_ended` when the attempt has ended.
    `expected_seconds` is the expected time to the first byte of the response;
    `tokens_by_source` holds the result of `RunPlan.count_tokens`: the prompt's
    tokens by label of `pistachioseam_prompt_tokens_total`. `first_event_at` is
    the time at which the first event of a stream was ready for the caller.
    `connection` is the text of `ports.ConnectionUse`, empty if the attempt
    used none of this host. `is_given_up` is that of its `CallFailure`.
    """

    target: catalog.LiveTarget
    started_at: float
    expected_seconds: float = 0.0
    is_sent: bool = False
    is_ended: bool = False
    failure: str = ''
    is_given_up: bool = False
    first_event_at: float | None = None
    connection: str = ''
    tokens_by_source: abc.Mapping[str, int] = attrs.field(factory=dict)

    def describe_end(self) -> str:
        """Return the failure, `ok`, or how far it came without an end."""
        if self.failure or self.is_ended:
            return self.failure or 'ok'
        return 'sent' if self.is_sent else 'connecting'


@attrs.define(kw_only=True)
class Call:
    """One forwarded call; times are monotonic seconds.

    `may_have_run` is set right before the first byte is sent to a target, and
    reset if the failure of that attempt proves that the target has not run
    it. `caller` tells whether the caller still waits, if the call goes on
    without it; other calls are cancelled.
    `is_served` is set once the caller has a target's whole response. `status`
    is the HTTP status of the target's response, 0 until it is sent to the
    caller; `origin` is what began the stream that the caller has events of,
    None if it has none yet; `first_byte_at` is the time at which the first
    part of the response was ready for the caller, None until then. `grant` is
    the cost granted out of the account's quota, once for all attempts.
    `affinity_domain` is the failure domain near which the call's shared parts
    are taken to be saved, empty if unknown. `admission_ticket` is that of the
    next attempt, until it is sent. `trial` is what has crashed targets and may
    be tried at one of them with this call, None for other calls.
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
    affinity_domain: str = ''
    may_have_run: bool = False
    is_served: bool = False
    has_partial_body: bool = False
    status: int = 0
    origin: stream_origins.StreamOrigin | None = None
    first_byte_at: float | None = None
    admission_ticket: coordinator_clients.Ticket | None = None
    attempts: list[CallAttempt] = attrs.field(factory=list)
    notes: list[filter_notes.Note] = attrs.field(factory=list)
    refusal: refusals.Refusal | None = None
    grant: quotas.Grant | None = None
    trial: crash_records.Subject | None = None
    caller: caller_presence.CallerPresence = attrs.field(
        factory=caller_presence.CallerPresence
    )

    def may_send(self) -> bool:
        """Return whether the quota of the account lets the call be sent now.

        A grant of cost expires soon, so this is checked right before sending.
        """
        return self.grant is None or self.grant.may_send()

    @property
    def request_id(self) -> str:
        """Return the request id that the caller sent."""
        return self.head.request_id

    @property
    def prompt(self) -> prompts.Prompt | None:
        """Return the prompt of a model call, None for other calls."""
        return self.head.prompt

    def is_cancelled_on_disconnect(self) -> bool:
        """Return whether to cancel the call when its caller disconnects.

        A call that may run only once, and may have reached a target, runs to
        its end.
        """
        if self.route is None or not self.may_have_run:
            return True
        return self.route.semantics is not desired.CallSemantics.ONCE

    def discard_body(self) -> None:
        """Release the body of a call that has ended.

        The call is part of a reference cycle, and large blocks alone do not
        make the garbage collector run.
        """
        self.body = b''

    def describe_attempts(self) -> list[str]:
        """Return `target:end` of each attempt, for the log."""
        return [
            f'{attempt.target.name}:{attempt.describe_end()}'
            for attempt in self.attempts
        ]

    def add_note(self, name: str, text: str) -> None:
        """Add a text of the filter `name` to the call's journal entry."""
        self.notes.append(filter_notes.Note(name, text))

    def can_skip_filters(self) -> bool:
        """Return whether the caller has a target's whole response."""
        return self.is_served

    def get_path(self) -> str:
        """Return the path without the query."""
        return self.uri.partition(b'?')[0].decode('latin-1')

    def get_account_name(self) -> str:
        """Return the name of the account, empty on public routes."""
        return self.account.name if self.account else ''

    def get_stream_key(self) -> int:
        """Return the key of the stream that the call begins or resumes."""
        request_id = self.request_id
        if self.head.after_event and self.head.resumed_request_id:
            request_id = self.head.resumed_request_id
        return stream_origins.compute_key(self.get_account_name(), request_id)

    def is_retryable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.route is not None and self.route.semantics.is_retryable()

    def is_urgent(self) -> bool:
        """Return whether the call has the highest priority."""
        return self.get_priority() == 0

    def get_priority(self) -> int:
        """Return the priority; 0 is the highest.

        The account's priority takes precedence over the route's.
        """
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority if self.route else 0
