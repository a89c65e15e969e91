"""Prometheus metrics of a process."""

from collections import abc

import aioprometheus

SECONDS_BUCKETS = (0.005, 0.02, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 10.0, 60.0)
STORE_SECONDS_BUCKETS = (0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 1.5, 3.0)
"""Most calls take milliseconds, but a long poll of the desired state waits up
to `watches.DESIRED_LONG_POLL_SECONDS`."""


class Metrics:
    """All metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            'pistachioseam_requests_total',
            'Ended requests by kind, outcome and reason.',
            registry=self.registry,
        )
        self._events = aioprometheus.Counter(
            'pistachioseam_events_total',
            'Log events by number, omitted log lines included.',
            registry=self.registry,
        )
        self._request_seconds = aioprometheus.Histogram(
            'pistachioseam_request_seconds',
            'Seconds from the request to the end of its response.',
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._first_token_seconds = aioprometheus.Histogram(
            'pistachioseam_first_token_seconds',
            'Seconds from the request to the first piece of its stream, or to '
            'the first byte of a forwarded response.',
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._pieces = aioprometheus.Counter(
            'pistachioseam_pieces_total',
            'Stream pieces delivered to callers.',
            registry=self.registry,
        )
        self._state = aioprometheus.Gauge(
            'pistachioseam_state',
            'Current state of the process, by name: counts, ages and flags.',
            registry=self.registry,
        )

        self._send_delay_seconds = self._add_histogram(
            'pistachioseam_held_seconds',
            'Seconds from a request to its first attempt at a target.',
        )
        self._expected_first_token_seconds = self._add_histogram(
            'pistachioseam_expected_first_token_seconds',
            'Seconds to the first byte of an attempt, as placement predicted.',
        )
        self._store_calls = self._add_histogram(
            'pistachioseam_store_call_seconds',
            "Seconds of calls to the platform's store.",
            STORE_SECONDS_BUCKETS,
        )
        self._attempts = aioprometheus.Counter(
            'pistachioseam_attempts_total',
            'Attempts (sends to targets) by order and outcome.',
            registry=self.registry,
        )
        self._prompt_tokens = aioprometheus.Counter(
            'pistachioseam_prompt_tokens_total',
            'Prompt tokens by the expected source of their KV cache.',
            registry=self.registry,
        )
        self._log_lines_lost = aioprometheus.Counter(
            'pistachioseam_log_lines_lost_total',
            'Log lines omitted or dropped, by cause.',
            registry=self.registry,
        )
        self._turned_away = aioprometheus.Counter(
            'pistachioseam_callers_turned_away_total',
            'Connections and calls of callers that were turned away because '
            'callers hold too much or are too slow, by cause.',
            registry=self.registry,
        )
        self._retry_budget = aioprometheus.Gauge(
            'pistachioseam_retry_budget',
            'Retries by service that this host has spent in the current '
            'window (`spent`) and may send in it (`allowed`).',
            registry=self.registry,
        )

        self._quota_questions = aioprometheus.Counter(
            'pistachioseam_quota_questions_total',
            'Requests for the cost of a call out of its quota, by outcome.',
            registry=self.registry,
        )

    def _add_histogram(
        self,
        name: str,
        help_text: str,
        buckets: tuple[float, ...] = SECONDS_BUCKETS,
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, help_text, buckets=buckets, registry=self.registry
        )

    def count_event(self, number: int) -> None:
        """Count one log event by its event number."""
        self._events.inc({'number': str(number)})

    def record_request(
        self,
        kind: str,
        outcome: str,
        reason: str,
        seconds: float,
        first_token_seconds: float | None,
        pieces: int,
    ) -> None:
        """Record one ended request; `pieces` were delivered to the caller."""
        self._requests.inc(
            {'kind': kind, 'outcome': outcome, 'reason': reason}
        )
        self._request_seconds.observe({'outcome': outcome}, seconds)
        if first_token_seconds is not None:
            self._first_token_seconds.observe({}, first_token_seconds)
        self._pieces.add({}, pieces)

    def record_attempt(
        self, outcome: str, is_retry: bool, expected_seconds: float
    ) -> None:
        """Record one attempt and its predicted time to the first byte."""
        order = 'again' if is_retry else 'first'
        self._attempts.inc({'order': order, 'outcome': outcome})
        self._expected_first_token_seconds.observe({}, expected_seconds)

    def record_send_delay(self, seconds: float) -> None:
        """Record the seconds from a request to its first attempt."""
        self._send_delay_seconds.observe({}, seconds)

    def count_prompt_tokens(self, tokens: abc.Mapping[str, int]) -> None:
        """Count the prompt tokens of one attempt by KV cache source."""
        for source, count in tokens.items():
            self._prompt_tokens.add({'source': source}, count)

    def record_store_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        """Record the outcome and seconds of a call to the platform's store."""
        self._store_calls.observe({'call': call, 'outcome': outcome}, seconds)

    def count_lost_lines(self, cause: str, count: int) -> None:
        """Count log lines that were omitted or dropped."""
        self._log_lines_lost.add({'cause': cause}, count)

    def count_quota_question(self, outcome: str) -> None:
        """Count a request for the cost of a call out of a quota."""
        self._quota_questions.inc({'outcome': outcome})

    def count_turned_away(self, cause: str, count: int) -> None:
        """Count connections and calls that were turned away."""
        self._turned_away.add({'cause': cause}, count)

    def set_retry_budget(
        self, service: str, spent: int, allowed: float
    ) -> None:
        """Set the spent and allowed retries of a service's retry budget."""
        self._retry_budget.set({'service': service, 'part': 'spent'}, spent)
        self._retry_budget.set(
            {'service': service, 'part': 'allowed'}, allowed
        )

    def set_state(self, name: str, value: float) -> None:
        """Set one gauge of `pistachioseam_state`."""
        self._state.set({'name': name}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = aioprometheus.render(self.registry, ['text/plain'])
        return bytes(content)
