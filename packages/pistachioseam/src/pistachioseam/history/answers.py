"""Checkers of what a caller gets: answers, refusals and streams."""

import collections
from collections import abc

from pistachioseam.history import checkers
from pistachioseam.history import records

Violation = checkers.Violation


@checkers.register('at_most_once')
def check_at_most_once(history: records.History) -> abc.Iterator[Violation]:
    """A non-idempotent call runs at most once."""
    ran: dict[tuple[str, str], str] = {}
    for execution in records.select(history, records.Executed):
        if not execution.key:
            continue
        call = (execution.account, execution.key)
        if call in ran:
            detail = f'{call} ran for {ran[call]} and {execution.request_id}'
            yield Violation('at_most_once', execution.at, detail)
        ran[call] = execution.request_id


@checkers.register('true_refusals')
def check_true_refusals(history: records.History) -> abc.Iterator[Violation]:
    """A request that was refused as not run never runs."""
    executed = {
        execution.request_id
        for execution in records.select(history, records.Executed)
    }
    for response in records.select(history, records.Responded):
        if response.outcome != 'not-run':
            continue
        if response.request_id in executed:
            detail = f'{response.request_id} ran'
            yield Violation('true_refusals', response.at, detail)


@checkers.register('own_answer')
def check_own_answer(history: records.History) -> abc.Iterator[Violation]:
    """Each caller gets the whole answer to its own request, once."""
    invoked = {
        record.request_id: record
        for record in records.select(history, records.Invoked)
    }
    answers: dict[str, set[str]] = collections.defaultdict(set)
    for execution in records.select(history, records.Executed):
        answers[execution.request_id].add(execution.answer)
        if execution.key:
            call = f'{execution.account} {execution.key}'
            answers[call].add(execution.answer)
    responded: set[str] = set()
    for response in records.select(history, records.Responded):
        if response.request_id in responded:
            detail = f'{response.request_id} was answered twice'
            yield Violation('own_answer', response.at, detail)
        responded.add(response.request_id)
        if response.outcome != 'done':
            continue
        own = invoked.get(response.request_id)
        if own is None:
            detail = f'{response.request_id} was never sent'
            yield Violation('own_answer', response.at, detail)
            continue
        known = answers[response.request_id]
        if own.key:
            known = answers[f'{own.account} {own.key}']
        if response.answer not in known:
            detail = f'{response.request_id} got an answer not its own'
            yield Violation('own_answer', response.at, detail)


@checkers.register('whole_streams')
def check_whole_streams(history: records.History) -> abc.Iterator[Violation]:
    """Every stream is a prefix of its answer, whole where it says done."""
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
        yield from _check_order(request_id, pieces, promised[request_id])
    for response in records.select(history, records.Responded):
        if response.request_id not in promised:
            continue
        received = delivered.get(response.request_id, [])
        is_ended = bool(received) and received[-1].is_end
        if is_ended != (response.outcome == 'done'):
            detail = f'{response.request_id} ended without its end mark'
            if is_ended:
                detail = f'{response.request_id} failed after its end mark'
            yield Violation('whole_streams', response.at, detail)


def _check_order(
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
            detail = f'{request_id} got piece {piece.number} as {number}'
            yield Violation('whole_streams', piece.at, detail)
            return


@checkers.register('cache_isolation')
def check_cache_isolation(history: records.History) -> abc.Iterator[Violation]:
    """No dead engine's, other account's or older weights' entry is used."""
    for use in records.select(history, records.CacheUsed):
        own = (use.account, use.weights_version, use.incarnation)
        evidence = (
            use.evidence_account,
            use.evidence_weights_version,
            use.evidence_incarnation,
        )
        if own != evidence:
            detail = f'{use.request_id} relied on {evidence}, is {own}'
            yield Violation('cache_isolation', use.at, detail)
