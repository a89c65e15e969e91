"""Checkers of how hosts and targets act together."""

from collections import abc

from pistachioseam.history import checkers
from pistachioseam.history import records

LEAVING_SECONDS = 3.0
CONFIGURATION_SECONDS = 8.0
RESTART_SECONDS = 3.0
Violation = checkers.Violation


@checkers.register('leaving_targets')
def check_leaving_targets(
    history: records.History,
) -> abc.Iterator[Violation]:
    """A leaving target gets no new work after a few seconds."""
    left = {
        record.target: record.at
        for record in records.select(history, records.TargetLeft)
    }
    for execution in records.select(history, records.Executed):
        at = left.get(execution.target)
        if at is not None and execution.at > at + LEAVING_SECONDS:
            detail = f'{execution.target} ran {execution.request_id}'
            yield Violation('leaving_targets', execution.at, detail)


@checkers.register('planned_stop')
def check_planned_stop(history: records.History) -> abc.Iterator[Violation]:
    """A host that was asked to stop answers all it has received."""
    stopped = {
        record.host: record.at
        for record in records.select(history, records.StopAsked)
    }
    answered = {
        record.request_id
        for record in records.select(history, records.Responded)
    }
    for request in records.select(history, records.Invoked):
        if request.host in stopped and request.request_id not in answered:
            detail = f'{request.host} cut off {request.request_id}'
            yield Violation('planned_stop', stopped[request.host], detail)


@checkers.register('configuration')
def check_configuration(history: records.History) -> abc.Iterator[Violation]:
    """An accepted configuration is in force in time and never reverts.

    A host is only held to the time limit while it is live: from its start
    until it is lost.
    """
    yield from _check_order(history)
    for accepted in records.select(history, records.Accepted):
        yield from _check_spread(history, accepted)


def _check_order(history: records.History) -> abc.Iterator[Violation]:
    numbers: dict[str, int] = {}
    for record in history:
        if not isinstance(record, records.InForce):
            continue
        if record.number < numbers.get(record.host, 0):
            detail = f'{record.host} went back to {record.number}'
            yield Violation('configuration', record.at, detail)
        numbers[record.host] = record.number


def _check_spread(
    history: records.History, accepted: records.Accepted
) -> abc.Iterator[Violation]:
    limit = accepted.at + CONFIGURATION_SECONDS
    if not history or history[-1].at < limit:
        return
    live: dict[str, float] = {}
    reached: dict[str, int] = {}
    for record in history:
        if record.at > limit:
            break
        if isinstance(record, records.HostStarted):
            live[record.host] = record.at
        elif isinstance(record, records.HostLost | records.StopAsked):
            live.pop(record.host, None)
        elif isinstance(record, records.InForce):
            reached[record.host] = record.number
    for host, since in live.items():
        if since <= accepted.at and reached.get(host, 0) < accepted.number:
            detail = f'{host} lacks {accepted.number}'
            yield Violation('configuration', limit, detail)


@checkers.register('restart')
def check_restart(history: records.History) -> abc.Iterator[Violation]:
    """A host that restarts serves at once."""
    started: dict[str, float] = {}
    for record in history:
        if isinstance(record, records.HostStarted):
            started[record.host] = record.at
        elif isinstance(record, records.HostLost):
            started.pop(record.host, None)
        elif isinstance(record, records.HostServed):
            since = started.pop(record.host, record.at)
            if record.at > since + RESTART_SECONDS:
                detail = f'{record.host} served late'
                yield Violation('restart', record.at, detail)
    end = history[-1].at if history else 0.0
    for host, since in started.items():
        if end > since + RESTART_SECONDS:
            detail = f'{host} never served'
            yield Violation('restart', since + RESTART_SECONDS, detail)
