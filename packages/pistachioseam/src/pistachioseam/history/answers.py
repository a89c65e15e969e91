"""Checkers of the answers, refusals and streams that callers receive."""

import collections
from collections import abc

from pistachioseam.history import checkers
from pistachioseam.history import records

Violation = checkers.Violation


@checkers.register('at_most_once')
def check_at_most_once(history: records.History) -> abc.Iterator[Violation]:
    """Check that a call with an idempotency key is executed at most once."""
    request_by_call: dict[tuple[str, str], str] = {}
    for execution in records.select(history, records.Executed):
        if not execution.key:
            continue
        call = (execution.account, execution.key)
        if call in request_by_call:
            detail = (
                f'call (account, idempotency key) {call} was executed for'
                f' requests {request_by_call[call]} and {execution.request_id}'
            )
            yield Violation('at_most_once', execution.at, detail)
        request_by_call[call] = execution.request_id


@checkers.register('true_refusals')
def check_true_refusals(history: records.History) -> abc.Iterator[Violation]:
    """Check that no request with the outcome `not-run` was executed."""
    executed = {
        execution.request_id
        for execution in records.select(history, records.Executed)
    }
    for response in records.select(history, records.Responded):
        if response.outcome != 'not-run':
            continue
        if response.request_id in executed:
            detail = (
                f'{response.request_id} was executed, but its outcome is'
                ' not-run'
            )
            yield Violation('true_refusals', response.at, detail)


@checkers.register('own_answer')
def check_own_answer(history: records.History) -> abc.Iterator[Violation]:
    """Check that each request gets one response, with its own answer.

    A request's own answer is one that a target returned for it. With an
    idempotency key, it is one returned for any request of the same account and
    key.
    """
    invoked = {
        record.request_id: record
        for record in records.select(history, records.Invoked)
    }
    answers_by_call: dict[str, set[str]] = collections.defaultdict(set)
    for execution in records.select(history, records.Executed):
        answers_by_call[execution.request_id].add(execution.answer)
        if execution.key:
            call = f'{execution.account} {execution.key}'
            answers_by_call[call].add(execution.answer)
    responded: set[str] = set()
    for response in records.select(history, records.Responded):
        if response.request_id in responded:
            detail = f'{response.request_id} got more than one response'
            yield Violation('own_answer', response.at, detail)
        responded.add(response.request_id)
        if response.outcome != 'done':
            continue
        request = invoked.get(response.request_id)
        if request is None:
            detail = f'{response.request_id} got a response but was never sent'
            yield Violation('own_answer', response.at, detail)
            continue
        valid_answers = answers_by_call[response.request_id]
        if request.key:
            valid_answers = answers_by_call[f'{request.account} {request.key}']
        if response.answer not in valid_answers:
            detail = (
                f'{response.request_id} got an answer that no target returned'
                ' for it'
            )
            yield Violation('own_answer', response.at, detail)


@checkers.register('whole_streams')
def check_whole_streams(history: records.History) -> abc.Iterator[Violation]:
    """Check that each stream has its pieces in order, without a gap.

    With the outcome `done` it must have all pieces and then an end mark, with
    any other outcome no end mark.
    """
    promised = {
        record.request_id: record.pieces
        for record in records.select(history, records.Promised)
    }
    delivered: dict[str, list[records.Delivered]] = collections.defaultdict(
        list
    )
    for piece in records.select(history, records.Delivered):
        delivered[piece.request_id].append(piece)
    for request_id, pieces in delivered.items():
        yield from _check_piece_order(request_id, pieces, promised[request_id])
    for response in records.select(history, records.Responded):
        if response.request_id not in promised:
            continue
        received = delivered.get(response.request_id, [])
        is_ended = bool(received) and received[-1].is_end
        if is_ended != (response.outcome == 'done'):
            detail = f'{response.request_id} is done but has no end mark'
            if is_ended:
                detail = f'{response.request_id} failed but has an end mark'
            yield Violation('whole_streams', response.at, detail)


def _check_piece_order(
    request_id: str,
    pieces: list[records.Delivered],
    promised: tuple[str, ...],
) -> abc.Iterator[Violation]:
    for number, piece in enumerate(pieces):
        expected = promised[number] if number < len(promised) else ''
        is_end = number == len(promised)
        if (piece.number, piece.text, piece.is_end) != (
            number,
            expected,
            is_end,
        ):
            detail = (
                f'{request_id} got piece {piece.number} at position {number}'
            )
            yield Violation('whole_streams', piece.at, detail)
            return


@checkers.register('cache_isolation')
def check_cache_isolation(history: records.History) -> abc.Iterator[Violation]:
    """Check that a request uses only prefix-index entries that match it.

    The account, weights version and incarnation of an entry must be those of
    the request and its target.
    """
    for use in records.select(history, records.CacheUsed):
        expected = (use.account, use.weights_version, use.incarnation)
        entry = (
            use.evidence_account,
            use.evidence_weights_version,
            use.evidence_incarnation,
        )
        if expected != entry:
            detail = (
                f'{use.request_id} used cached pieces of (account, weights'
                f' version, incarnation) {entry}, expected {expected}'
            )
            yield Violation('cache_isolation', use.at, detail)
