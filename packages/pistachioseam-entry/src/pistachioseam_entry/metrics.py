"""Metrics of a process in the Prometheus exposition format."""

from collections import abc

import aioprometheus

SECONDS_BUCKETS = (0.005, 0.02, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 10.0, 60.0)
STORE_BUCKETS = (0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 1.5, 3.0)
"""A store answers in milliseconds; a watch waits for somewhat over 1 s."""


class Metrics:
    """Registry with all metrics of one process."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            'pistachioseam_requests_total',
            'Requests by kind, outcome and reason.',
            registry=self.registry,
        )
        self._events = aioprometheus.Counter(
            'pistachioseam_events_total',
            'Log events by number.',
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            'pistachioseam_request_seconds',
            'Seconds from the request to the end of its answer.',
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._first = aioprometheus.Histogram(
            'pistachioseam_first_token_seconds',
            'Seconds from the request to the first piece of its stream.',
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._pieces = aioprometheus.Counter(
            'pistachioseam_pieces_total',
            'Stream pieces delivered to callers.',
            registry=self.registry,
        )
        self._gauge = aioprometheus.Gauge(
            'pistachioseam_state',
            'Sizes of the state that the process holds.',
            registry=self.registry,
        )

        self._held = self._add_histogram(
            'pistachioseam_held_seconds',
            'Seconds from a request to its first send to a target.',
        )
        self._expected = self._add_histogram(
            'pistachioseam_expected_first_token_seconds',
            'Seconds to the first byte that placement expected of a send.',
        )
        self._store_calls = self._add_histogram(
            'pistachioseam_store_call_seconds',
            "Seconds of calls to the platform's store.",
            STORE_BUCKETS,
        )
        self._attempts = aioprometheus.Counter(
            'pistachioseam_attempts_total',
            'Sends to targets by how they ended.',
            registry=self.registry,
        )
        self._prompt_tokens = aioprometheus.Counter(
            'pistachioseam_prompt_tokens_total',
            'Prompt tokens by where their KV cache was expected to come from.',
            registry=self.registry,
        )
        self._lost_lines = aioprometheus.Counter(
            'pistachioseam_log_lines_lost_total',
            'Log lines that were not written.',
            registry=self.registry,
        )
        self._retries = aioprometheus.Gauge(
            'pistachioseam_retry_budget',
            "Retries in the current window, and this host's share of them.",
            registry=self.registry,
        )

    def _add_histogram(
        self,
        name: str,
        text: str,
        buckets: tuple[float, ...] = SECONDS_BUCKETS,
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, text, buckets=buckets, registry=self.registry
        )

    def count_event(self, number: int) -> None:
        """Count one log event."""
        self._events.inc({'number': str(number)})

    def observe_request(
        self,
        kind: str,
        outcome: str,
        reason: str,
        seconds: float,
        first_token_seconds: float | None,
        pieces: int,
    ) -> None:
        """Count one ended request."""
        self._requests.inc(
            {'kind': kind, 'outcome': outcome, 'reason': reason}
        )
        self._seconds.observe({'outcome': outcome}, seconds)
        if first_token_seconds is not None:
            self._first.observe({}, first_token_seconds)
        self._pieces.add({}, pieces)

    def observe_attempt(
        self, outcome: str, is_again: bool, expected_seconds: float
    ) -> None:
        """Count one send to a target."""
        order = 'again' if is_again else 'first'
        self._attempts.inc({'order': order, 'outcome': outcome})
        self._expected.observe({}, expected_seconds)

    def observe_held(self, seconds: float) -> None:
        """Record how long a request was held before its first send."""
        self._held.observe({}, seconds)

    def add_prompt_tokens(self, tokens: abc.Mapping[str, int]) -> None:
        """Add the prompt tokens of one send by their source."""
        for source, count in tokens.items():
            self._prompt_tokens.add({'source': source}, count)

    def observe_store_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        """Record one call to the platform's store."""
        self._store_calls.observe({'call': call, 'outcome': outcome}, seconds)

    def count_lost_lines(self, cause: str, count: int) -> None:
        """Count log lines that were left out or dropped."""
        self._lost_lines.add({'cause': cause}, count)

    def set_retry_budget(
        self, service: str, spent: int, allowed: float
    ) -> None:
        """Set how much of a service's retry budget is spent."""
        self._retries.set({'service': service, 'part': 'spent'}, spent)
        self._retries.set({'service': service, 'part': 'allowed'}, allowed)

    def set_state(self, name: str, value: float) -> None:
        """Set one size of the process's state."""
        self._gauge.set({'name': name}, value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        content, _ = aioprometheus.render(self.registry, ['text/plain'])
        return bytes(content)
