"""Metrics of a process in the Prometheus exposition format."""

import aioprometheus

SECONDS_BUCKETS = (0.005, 0.02, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 10.0, 60.0)


class Metrics:
    """Registry with all metrics of one process."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            'pistachioseam_requests_total',
            'Requests by outcome and reason.',
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

    def count_event(self, number: int) -> None:
        """Count one log event."""
        self._events.inc({'number': str(number)})

    def observe_request(
        self,
        outcome: str,
        reason: str,
        seconds: float,
        first_token_seconds: float | None,
        pieces: int,
    ) -> None:
        """Count one ended request."""
        self._requests.inc({'outcome': outcome, 'reason': reason})
        self._seconds.observe({'outcome': outcome}, seconds)
        if first_token_seconds is not None:
            self._first.observe({}, first_token_seconds)
        self._pieces.add({}, pieces)

    def set_state(self, name: str, value: float) -> None:
        """Set one size of the process's state."""
        self._gauge.set({'name': name}, value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        content, _ = aioprometheus.render(self.registry, ['text/plain'])
        return bytes(content)
