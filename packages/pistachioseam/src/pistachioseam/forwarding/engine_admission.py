"""Search for an engine whose coordinator admits a call.

Load pattern: every host sees a few calls a second and late reports of the
others' calls. The host asks the coordinator of the engine that looks best; a
rejection tells the true backlog, with which the call is placed again.
"""

import collections
import hashlib

from pistachioseam.forwarding import admission
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import coordination
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection

MAX_PROBED_ENGINES = 3
"""Engines that are asked, before the call waits at one."""
PROBE_SECONDS = 0.05
"""Time for which a call waits at each of these: an engine with little work
takes the next call sooner than another host answers."""
WAIT_SECONDS = 0.3
"""Time for which a call waits at one engine before it is placed again."""
MAX_ASKS = 40
"""Questions for one call, which is refused after them; a bound against endless
searches. Sent without an admission, it might exceed an engine's memory."""
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
"""Callers give up a stream without an event after the longest of these: a
time, a multiple of the objective and one of the longest pause, as documented
by the platform."""
KEY_BYTES = 8


class AdmissionSearch:
    """Questions of one call to the coordinators of engines."""

    def __init__(self, call: calls.Call, router: routers.CallRouter) -> None:
        self._call = call
        self._router = router
        self._asks: collections.Counter[str] = collections.Counter()
        self._expected: dict[str, float] = {}

    def is_needed(self) -> bool:
        """Return whether coordinators decide on the call.

        They do in a large fleet, for services whose prompt routes have
        different priorities. Calls that may have run are always sent.
        """
        call, state = self._call, self._router.desired.state
        return (
            call.prompt is not None
            and not call.may_have_run
            and call.service is not None
            and call.service.engine is not None
            and state is not None
            and call.service.name in state.prioritized_services
            and self._router.has_many_hosts()
        )

    async def decide(
        self, choice: selection.Choice
    ) -> admission.Decision | None:
        """Ask for the chosen engine; None if no coordinator answers.

        A call that is to be placed again is held for no time.
        """
        assert self._router.coordinators is not None
        target = choice.target
        if self._exceeds_memory():
            return admission.refuse(0.0, self._router.random.random())
        asked = await self._router.coordinators.ask(
            target, self._create_question(choice)
        )
        if asked is None:
            return None
        if asked.ticket is not None:
            self._call.admission_ticket = asked.ticket
            return admission.Admit()
        self._expected[target.name] = asked.expected_seconds
        return self._decide_rejected(choice)

    def _decide_rejected(self, choice: selection.Choice) -> admission.Decision:
        """Refuse the call if no engine asked could answer it in time.

        Engines that calls are not placed at any more do not count.
        """
        least = min(
            self._expected[candidate.target]
            for candidate in choice.candidates
            if candidate.target in self._expected
        )
        probed = min(MAX_PROBED_ENGINES, len(choice.candidates))
        seconds_left = self._get_seconds_left()
        if self._asks.total() < MAX_ASKS and (
            len(self._expected) < probed or least <= seconds_left
        ):
            return admission.Hold(0.0)
        return admission.refuse(
            least - max(0.0, seconds_left), self._router.random.random()
        )

    def _create_question(
        self, choice: selection.Choice
    ) -> coordination.Question:
        call = self._call
        assert call.prompt is not None and call.route is not None
        name = choice.target.name
        waited = self._router.runtime.now() - call.received_at
        seconds_left = self._get_seconds_left()
        is_probe = (
            name not in self._expected
            and len(self._expected) < MAX_PROBED_ENGINES
        )
        self._asks[name] += 1
        return coordination.Question(
            incarnation=choice.target.get_incarnation(),
            key=self._create_key(),
            prefill_tokens=choice.prefill_tokens,
            memory_tokens=call.prompt.count_tokens(),
            priority=call.get_priority(),
            objective_seconds=call.route.objective_seconds,
            objective_left_seconds=call.route.objective_seconds - waited,
            seconds_left=min(seconds_left, choice.max_first_byte_seconds),
            max_wait_seconds=max(
                0.0,
                min(PROBE_SECONDS if is_probe else WAIT_SECONDS, seconds_left),
            ),
        )

    def _get_seconds_left(self) -> float:
        """Return the time for which the caller waits for the first byte."""
        call = self._call
        assert call.route is not None
        now = self._router.runtime.now()
        left = call.deadline - now
        if not call.route.semantics.is_stream():
            return left
        patience = max(
            PATIENCE_SECONDS,
            PATIENCE_OBJECTIVES * call.route.objective_seconds,
            PATIENCE_GAPS * call.route.max_gap_seconds,
        )
        return min(left, call.received_at + patience - now)

    def _exceeds_memory(self) -> bool:
        """Return whether the call is larger than an engine's whole memory."""
        call = self._call
        assert call.prompt is not None and call.service is not None
        engine = call.service.engine
        return (
            engine is not None
            and call.prompt.count_tokens() > engine.cache_tokens
        )

    def _create_key(self) -> int:
        """Return a key that no other question has.

        The end of an attempt may be reported after the next one is admitted,
        and callers may send one request to several hosts.
        """
        text = self._router.random.token()
        digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES)
        return int.from_bytes(digest.digest(), 'big')
