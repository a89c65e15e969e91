"""Checks of the results of callers against the runs of servers."""

import collections
from collections import abc
import math

import attrs

from tests.soak import callers

MAX_OVERLAP_SECONDS = 0.4
"""Time for which two engines may work on one call."""
LATE_SECONDS = 0.5
"""Time after the disconnect of its caller in which a call may reach a server.
"""
MAX_LATE_CALLS = 3
"""Calls that may be later: the users allow a few."""
STABLE_SECONDS = 4.0
"""Time after a disturbance for which a host counts as disturbed."""
AT_MOST_ONCE_PREFIXES = ('/once/', '/stream/')
LONG_PREFIX = 'chunks-'
"""Prefix of behaviours with long responses, before their size."""


@attrs.frozen
class Kill:
    """SIGKILL of a process that ran at an address; times are monotonic."""

    address: str
    started_at: float
    killed_at: float


@attrs.frozen(kw_only=True)
class Disturbance:
    """Fault from `started_at` to `ended_at`, monotonic times.

    It may be of the store, of a link, and of the host at an address, if its
    process, or its links other than those to servers, are concerned. With
    `is_holding`, calls may go on after its end as if they had just been sent:
    the host, or all of them if `host` is empty, was frozen, or links held back
    what hosts had sent to servers.
    """

    started_at: float
    ended_at: float = math.inf
    is_store: bool = False
    is_link: bool = False
    is_holding: bool = False
    host: str = ''


@attrs.frozen
class Naming:
    """Weights version, and when the store acknowledged it."""

    version: int
    acknowledged_at: float


@attrs.frozen
class Begin:
    """Begin of a run on a weights version; times are monotonic."""

    request_id: str
    version: int
    arrived_at: float
    begun_at: float


@attrs.frozen
class Work:
    """Run of an engine that has ended; times are monotonic."""

    request_id: str
    server: str
    begun_at: float
    ended_at: float


@attrs.frozen(kw_only=True)
class WeightsBounds:
    """Bound on the use of replaced weights.

    A host counts as disturbed for `stable_seconds` after the end.
    """

    weights_seconds: float
    stable_seconds: float = STABLE_SECONDS


@attrs.frozen
class QuotaBound:
    """Most that an account's calls may cost in any window, in tokens."""

    account: str
    window_seconds: float
    max_cost: float


@attrs.frozen
class Violation:
    """Broken promise about one call.

    `rule` is the users' name of it; AGAIN (work that ran as several calls),
    UNREAD (a call that ran after a reset), REPEATED (an id that came again
    on its connection to a server), OVERLAP (a call that ran at two engines
    at once, a part of the users' TWICE) and QUOTA (more than the quota of an
    account ran) are names of our own.
    """

    rule: str
    message: str
    request_id: str


def find_violations(
    results: abc.Sequence[callers.CallResult],
    executed: abc.Iterable[str],
    kills: abc.Collection[Kill],
) -> list[Violation]:
    """Return the violations; the message of each shows the call's result.

    `executed` names the sending of each run, which tells those under one id
    from each other. A call of `AT_MOST_ONCE_PREFIXES` runs at most once under
    its id. A call that is refused with a status of `NOT_RUN_STATUSES` does not
    run, unless it is sent again; only a server's own response to a call that
    may run again promises nothing. Work for which several calls were sent,
    each after a refusal of the one before, runs once too. A call whose host
    reset the connection does not run. A response belongs to its call, and is
    complete with status 200; the events of a stream, over all tries of its
    caller, are of one software version. A call that ran gets a response unless
    its host was killed: a host that is only asked to stop may close a
    connection only before it has passed on the call. A server runs only calls
    that were sent.
    """
    run_counts = collections.Counter(executed)
    violations = []
    for result in results:
        run_count = run_counts[result.get_name()]
        for rule, message in _check_result(result, run_count, kills):
            violations.append(
                Violation(rule, f'{message}: {result}', result.request_id)
            )
    violations += _check_runs(results, run_counts)
    violations += _check_works(results, run_counts)
    sent_names = {result.get_name() for result in results}
    violations += [
        Violation('UNASKED', f'ran but was not sent: {name}', name)
        for name in run_counts
        if name not in sent_names
    ]
    return violations


def find_repeats(request_ids: abc.Iterable[str]) -> list[Violation]:
    """Return the requests that came on connections that knew their ids."""
    message = 'came again on its connection to a server'
    return [Violation('REPEATED', message, name) for name in request_ids]


def find_quota_excess(
    results: abc.Iterable[callers.CallResult],
    arrivals: abc.Iterable[tuple[str, float]],
    bound: QuotaBound,
) -> list[Violation]:
    """Return the window in which most was run if that exceeds the bound."""
    cost, names = find_busiest_window(results, arrivals, bound)
    if cost <= bound.max_cost:
        return []
    message = f'{cost} tokens of {bound} ran in one window: {names}'
    return [Violation('QUOTA', message, names[-1])]


def find_busiest_window(
    results: abc.Iterable[callers.CallResult],
    arrivals: abc.Iterable[tuple[str, float]],
    bound: QuotaBound,
) -> tuple[int, list[str]]:
    """Return the highest cost of a window, and the names of its sendings.

    `arrivals` holds for each run the name of its sending and when it arrived
    at a server. Hosts bound what they send, which a blocked link delivers
    later: a call is in a window if its caller sent it and a server got it
    within. It counts once, as its quota covers all of its attempts.
    """
    # The earliest arrival of a sending replaces its later ones.
    arrived = dict(sorted(arrivals, key=lambda run: run[1], reverse=True))
    ran = [
        (result, arrived[result.get_name()])
        for result in results
        if result.account == bound.account and result.get_name() in arrived
    ]
    busiest: tuple[int, list[str]] = (0, [])
    for first, _ in ran:
        window = [
            result
            for result, arrived_at in ran
            if first.sent_at <= result.sent_at
            and arrived_at <= first.sent_at + bound.window_seconds
        ]
        names = [result.get_name() for result in window]
        cost = sum(result.get_cost() for result in window)
        busiest = max(busiest, (cost, names))
    return busiest


def find_late_arrivals(
    results: abc.Iterable[callers.CallResult],
    arrivals: abc.Iterable[tuple[str, float]],
    disturbances: abc.Collection[Disturbance],
) -> list[Violation]:
    """Return the calls that reached a server long after their callers left.

    There are none if they are at most `MAX_LATE_CALLS`. A call is excused if
    its host or a link held it back between the sending and the arrival.
    """
    left = {each.get_name(): each for each in results if each.left_at}
    violations = []
    for name, arrived_at in arrivals:
        result = left.get(name)
        if result is None or arrived_at <= result.left_at + LATE_SECONDS:
            continue
        if any(
            each.is_holding
            and each.host in ('', result.address)
            and each.started_at <= arrived_at
            and each.ended_at >= result.sent_at
            for each in disturbances
        ):
            continue
        seconds = arrived_at - result.left_at
        message = f'arrived {seconds:.2f} s after its caller left: {result}'
        violations.append(Violation('GONE', message, name))
    return violations if len(violations) > MAX_LATE_CALLS else []


def find_overlaps(
    works: abc.Iterable[Work],
    disturbances: abc.Collection[Disturbance],
    hosts: abc.Mapping[str, str],
) -> list[Violation]:
    """Return the calls on which two engines worked at once for too long.

    `hosts` holds the address of each request's host. An overlap is excused if
    the host, the store or a link was disturbed during the earlier run, or
    less than `STABLE_SECONDS` before it.
    """
    violations = []
    works_by_id: dict[str, list[Work]] = {}
    for work in sorted(works, key=lambda each: each.begun_at):
        before = works_by_id.setdefault(work.request_id, [])
        host = hosts.get(work.request_id, '')
        for first in before:
            seconds = first.ended_at - work.begun_at
            if first.server == work.server or _is_disturbed(
                first, host, disturbances
            ):
                continue
            if seconds > MAX_OVERLAP_SECONDS:
                message = (
                    f'ran on for {seconds:.2f} s after the begin at another'
                    f' engine: {first}, {work}'
                )
                violations.append(
                    Violation('OVERLAP', message, work.request_id)
                )
        before.append(work)
    return violations


def _is_disturbed(
    work: Work, host: str, disturbances: abc.Iterable[Disturbance]
) -> bool:
    """Return whether a host may not have reached the engine of a run."""
    return any(
        (each.is_store or each.is_link or (host and each.host == host))
        and each.started_at <= work.ended_at
        and each.ended_at > work.begun_at - STABLE_SECONDS
        for each in disturbances
    )


def find_outdated_begins(
    begins: abc.Iterable[Begin],
    namings: abc.Collection[Naming],
    disturbances: abc.Collection[Disturbance],
    hosts: abc.Mapping[str, str],
    bounds: WeightsBounds,
) -> list[Violation]:
    """Return the runs that began on weights replaced for too long.

    `hosts` holds the address of each request's host. A run is excused if its
    host was not in touch when the request reached the engine: if, less than
    `stable_seconds` before, the host or the store was disturbed. The time
    since a newer version was acknowledged counts in one stretch in which no
    link was disturbed, and the store was not for `stable_seconds` either.
    """
    violations = []
    for begin in begins:
        host = hosts.get(begin.request_id, '')
        if _is_out_of_touch(begin, host, disturbances, bounds):
            continue
        lag_seconds = max(
            (
                _measure_stretch(
                    naming.acknowledged_at,
                    begin.begun_at,
                    disturbances,
                    bounds.stable_seconds,
                )
                for naming in namings
                if naming.version > begin.version
            ),
            default=0.0,
        )
        if lag_seconds > bounds.weights_seconds:
            message = (
                f'began on weights {begin.version}, replaced for'
                f' {lag_seconds:.2f} s: {begin}'
            )
            violations.append(Violation('VERSION', message, begin.request_id))
    return violations


def _is_out_of_touch(
    begin: Begin,
    host: str,
    disturbances: abc.Iterable[Disturbance],
    bounds: WeightsBounds,
) -> bool:
    """Return whether the host or the store was disturbed at the arrival."""
    return any(
        (each.is_store or (host and each.host == host))
        and each.started_at <= begin.arrived_at
        and each.ended_at > begin.arrived_at - bounds.stable_seconds
        for each in disturbances
    )


def _measure_stretch(
    since: float,
    until: float,
    disturbances: abc.Iterable[Disturbance],
    stable_seconds: float,
) -> float:
    """Return the length of the longest stretch without disturbance."""
    longest, stretch_start = 0.0, since
    spans = sorted(
        (
            each.started_at,
            each.ended_at + (stable_seconds if each.is_store else 0.0),
        )
        for each in disturbances
        if each.is_store or each.is_link
    )
    for started_at, ended_at in spans:
        longest = max(longest, min(started_at, until) - stretch_start)
        stretch_start = max(stretch_start, ended_at)
    return max(longest, until - stretch_start)


def _check_runs(
    results: abc.Sequence[callers.CallResult],
    run_counts: abc.Mapping[str, int],
) -> abc.Iterator[Violation]:
    """Yield a violation for each id under which a call ran more than once."""
    counts: collections.Counter[str] = collections.Counter()
    for result in results:
        if result.prefix in AT_MOST_ONCE_PREFIXES:
            counts[result.request_id] += run_counts[result.get_name()]
    for request_id, count in counts.items():
        if count > 1:
            sent = [each for each in results if each.request_id == request_id]
            message = f'ran {count} times: {sent}'
            yield Violation('TWICE', message, request_id)


def _check_works(
    results: abc.Sequence[callers.CallResult],
    run_counts: abc.Mapping[str, int],
) -> abc.Iterator[Violation]:
    """Yield a violation for each work whose calls ran more than once."""
    ids_by_work: dict[str, set[str]] = {}
    for result in results:
        if result.prefix in AT_MOST_ONCE_PREFIXES:
            run_ids = ids_by_work.setdefault(
                result.work or result.request_id, set()
            )
            if run_counts[result.get_name()]:
                run_ids.add(result.request_id)
    for work, run_ids in ids_by_work.items():
        if len(run_ids) > 1:
            message = f'work ran as {sorted(run_ids)}'
            yield Violation('AGAIN', message, work)


def _check_result(
    result: callers.CallResult,
    run_count: int,
    kills: abc.Collection[Kill],
) -> abc.Iterator[tuple[str, str]]:
    """Yield the rule and the message of each violation."""
    runs_once = result.prefix in AT_MOST_ONCE_PREFIXES
    is_promise = runs_once or not result.is_stamped
    if result.status in callers.NOT_RUN_STATUSES and run_count and is_promise:
        yield 'REFUSED', 'refused as not run but ran'
    if result.is_reset and run_count and runs_once:
        yield 'UNREAD', 'reset as unread but ran'
    if result.response_id not in ('', result.request_id):
        yield 'MIXED', 'response of another call'
    if (
        run_count
        and not result.has_begun
        and not result.left_at
        and not _is_host_killed(result, kills)
    ):
        yield 'LOST', 'ran but got no response'
    if result.status == 200 and not _is_whole(result):
        yield 'MIXED', 'incomplete or foreign response'


def _is_host_killed(
    result: callers.CallResult, kills: abc.Collection[Kill]
) -> bool:
    """Return whether the process that got a call was killed after it."""
    return any(
        kill.address == result.address
        and kill.started_at <= result.connected_at
        and kill.killed_at >= result.sent_at
        for kill in kills
    )


def _is_whole(result: callers.CallResult) -> bool:
    if not result.is_stamped:
        return False
    if result.prefix in callers.STREAMS:
        return result.received + result.body in callers.WHOLE_STREAMS
    if result.behaviour.startswith(LONG_PREFIX):
        size = int(result.behaviour.removeprefix(LONG_PREFIX))
        return result.body == bytes(size)
    return result.body == result.get_name().encode()
