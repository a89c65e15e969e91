"""Bounded buffer of ended requests, which `/explain` reads."""

import collections
import typing

import attrs

from pistachioseam import conversion
from pistachioseam import exchanges
from pistachioseam import filter_notes

MAX_ENTRIES = 500


@attrs.frozen(kw_only=True)
class AttemptEntry:
    """One attempt; `started_after_seconds` counts from the request's start."""

    target: str
    started_after_seconds: float
    failure: str
    candidates: tuple[dict[str, typing.Any], ...]


@attrs.frozen(kw_only=True)
class Entry:
    """Data of one ended request, without credentials and bodies.

    `seconds` is its duration and `delivered_pieces` the number of stream
    pieces sent to the caller.
    """

    request_id: str
    account: str
    method: str
    path: str
    outcome: str
    reason: str
    configuration_number: int
    seconds: float
    delivered_pieces: int
    notes: tuple[filter_notes.Note, ...]
    attempts: tuple[AttemptEntry, ...]


class Journal:
    """The latest `max_entries` entries by request id."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def add(self, exchange: exchanges.Exchange, now: float) -> None:
        """Add an ended request and evict the oldest entry if full.

        `now` is in monotonic seconds.
        """
        self._entries[exchange.request_id] = _create_entry(exchange, now)
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def find(self, request_id: str) -> Entry | None:
        """Return the entry of a request, or None if unknown or evicted."""
        return self._entries.get(request_id)

    def count(self) -> int:
        """Return the number of entries."""
        return len(self._entries)


def _create_entry(exchange: exchanges.Exchange, now: float) -> Entry:
    refusal = exchange.refusal
    return Entry(
        request_id=exchange.request_id,
        account=exchange.get_account(),
        method=exchange.method,
        path=exchange.path,
        outcome=exchange.get_outcome().value,
        reason=refusal.reason.value if refusal else '',
        configuration_number=exchange.configuration_number,
        seconds=now - exchange.received_at,
        delivered_pieces=len(exchange.delivered),
        notes=tuple(exchange.notes),
        attempts=tuple(
            _create_attempt_entry(attempt, exchange)
            for attempt in exchange.attempts
        ),
    )


def _create_attempt_entry(
    attempt: exchanges.Attempt, exchange: exchanges.Exchange
) -> AttemptEntry:
    decision = attempt.decision
    candidates = decision.candidates if decision else ()
    return AttemptEntry(
        target=attempt.target.name,
        started_after_seconds=attempt.started_at - exchange.received_at,
        failure=attempt.failure,
        candidates=tuple(conversion.unstructure(c) for c in candidates),
    )
