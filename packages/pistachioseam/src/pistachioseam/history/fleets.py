"""Checkers of leaving targets, planned stops, configurations, restarts."""

from collections import abc

from pistachioseam.history import checkers
from pistachioseam.history import records

LEAVING_GRACE_SECONDS = 3.0
"""Time for all hosts to learn that a target is leaving."""
MAX_PROPAGATION_SECONDS = 8.0
"""Time from the acceptance of a configuration until all hosts use it."""
MAX_RESTART_SECONDS = 3.0
"""Time from a host's start to its first response."""
Violation = checkers.Violation


@checkers.register('leaving_targets')
def check_leaving_targets(
    history: records.History,
) -> abc.Iterator[Violation]:
    """Check that a leaving target gets no requests after the grace period."""
    leaving_since = {
        record.target: record.at
        for record in records.select(history, records.TargetLeft)
    }
    for execution in records.select(history, records.Executed):
        left_at = leaving_since.get(execution.target)
        if (
            left_at is not None
            and execution.at > left_at + LEAVING_GRACE_SECONDS
        ):
            detail = (
                f'{execution.target} executed {execution.request_id} while'
                ' leaving'
            )
            yield Violation('leaving_targets', execution.at, detail)


@checkers.register('planned_stop')
def check_planned_stop(history: records.History) -> abc.Iterator[Violation]:
    """Check that a host asked to stop responds to all requests sent to it."""
    stopped_at = {
        record.host: record.at
        for record in records.select(history, records.StopAsked)
    }
    responded = {
        record.request_id
        for record in records.select(history, records.Responded)
    }
    for request in records.select(history, records.Invoked):
        if request.host in stopped_at and request.request_id not in responded:
            detail = (
                f'{request.host} stopped without a response to'
                f' {request.request_id}'
            )
            yield Violation('planned_stop', stopped_at[request.host], detail)


@checkers.register('configuration')
def check_configuration(history: records.History) -> abc.Iterator[Violation]:
    """Check that accepted configurations come into force in time.

    The deadline applies to hosts that run from the acceptance until the
    deadline. No host may revert to an older configuration.
    """
    yield from _check_no_reversion(history)
    for accepted in records.select(history, records.Accepted):
        yield from _check_propagation(history, accepted)


def _check_no_reversion(history: records.History) -> abc.Iterator[Violation]:
    numbers: dict[str, int] = {}
    for record in history:
        if not isinstance(record, records.InForce):
            continue
        if record.number < numbers.get(record.host, 0):
            detail = f'{record.host} reverted to configuration {record.number}'
            yield Violation('configuration', record.at, detail)
        numbers[record.host] = record.number


def _check_propagation(
    history: records.History, accepted: records.Accepted
) -> abc.Iterator[Violation]:
    deadline = accepted.at + MAX_PROPAGATION_SECONDS
    if not history or history[-1].at < deadline:
        return
    started: dict[str, float] = {}
    in_force: dict[str, int] = {}
    for record in history:
        if record.at > deadline:
            break
        if isinstance(record, records.HostStarted):
            started[record.host] = record.at
        elif isinstance(record, records.HostLost | records.StopAsked):
            started.pop(record.host, None)
        elif isinstance(record, records.InForce):
            in_force[record.host] = record.number
    for host, started_at in started.items():
        if (
            started_at <= accepted.at
            and in_force.get(host, 0) < accepted.number
        ):
            detail = (
                f'{host} has not put configuration {accepted.number} in force'
            )
            yield Violation('configuration', deadline, detail)


@checkers.register('restart')
def check_restart(history: records.History) -> abc.Iterator[Violation]:
    """Check that a started host serves a request in time, unless lost."""
    started: dict[str, float] = {}
    for record in history:
        if isinstance(record, records.HostStarted):
            started[record.host] = record.at
        elif isinstance(record, records.HostLost):
            started.pop(record.host, None)
        elif isinstance(record, records.HostServed):
            started_at = started.pop(record.host, record.at)
            if record.at > started_at + MAX_RESTART_SECONDS:
                detail = f'{record.host} served its first request too late'
                yield Violation('restart', record.at, detail)
    end = history[-1].at if history else 0.0
    for host, started_at in started.items():
        if end > started_at + MAX_RESTART_SECONDS:
            detail = f'{host} did not serve any request in time'
            yield Violation(
                'restart', started_at + MAX_RESTART_SECONDS, detail
            )
